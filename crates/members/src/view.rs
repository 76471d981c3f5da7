//! Membership view of one member.

use crate::identity::MemberId;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// State of a member in the SWIM protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes, of this member or of others.
    #[serde(rename = "there")]
    Alive,
    /// Did not answer its last probes and may still refute the suspicion.
    #[serde(rename = "doubted")]
    Suspect,
    /// Did not refute the suspicion in time, left, or was replaced by a later incarnation.
    #[serde(rename = "gone")]
    Down,
}

/// One member as seen by the local member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownMember {
    /// Identity, with the latest known incarnation.
    pub id: MemberId,
    /// State in the SWIM protocol.
    pub state: MemberState,
    /// Time since which the member has this identity and state, on the local clock.
    pub since: Duration,
    /// Time at which a datagram sent by the member itself was last received. `None` if never.
    pub last_received: Option<Duration>,
    /// Reason for the state, for operators.
    pub reason: &'static str,
}

/// All known members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// Incremented with each change; never decreases within a process.
    pub version: u64,
    /// Members by address, the local member included.
    pub members: BTreeMap<SocketAddr, KnownMember>,
}

impl MembershipView {
    /// Number of members that are alive.
    pub fn alive_count(&self) -> usize {
        self.members.values().filter(|m| m.state == MemberState::Alive).count()
    }

    /// Number of members that are alive or suspect.
    pub fn alive_or_suspect_count(&self) -> usize {
        self.members.values().filter(|m| m.state != MemberState::Down).count()
    }
}
