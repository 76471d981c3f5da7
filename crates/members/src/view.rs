//! MemberId is thought to be there.

use crate::identity::MemberId;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How sure it is that a member is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers its probes.
    #[serde(rename = "there")]
    Alive,
    /// Did not answer its last probes and may still refute the suspicion.
    #[serde(rename = "doubted")]
    Suspect,
    /// Did not refute the suspicion in time, left, or was replaced by a later incarnation.
    #[serde(rename = "gone")]
    Down,
}

/// One member as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownMember {
    /// MemberId.
    pub id: MemberId,
    /// How sure that is.
    pub state: MemberState,
    /// Since when, on this member's clock.
    pub since: Duration,
    /// When a datagram of its own last came here.
    pub last_received: Option<Duration>,
    /// Why it is seen so, in words.
    pub reason: &'static str,
}

/// All members. Its number rises with each change and never falls while the process lives.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// Rises with each change.
    pub version: u64,
    /// By address; this member itself is among them.
    pub members: BTreeMap<SocketAddr, KnownMember>,
}

impl MembershipView {
    /// Members that are surely there.
    pub fn alive_count(&self) -> usize {
        self.members.values().filter(|s| s.state == MemberState::Alive).count()
    }

    /// Members that may be there: those in doubt too.
    pub fn alive_or_suspect_count(&self) -> usize {
        self.members.values().filter(|s| s.state != MemberState::Down).count()
    }
}
