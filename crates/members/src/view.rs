//! Who is thought to be there.

use crate::who::Who;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How sure it is that a member is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Sure {
    /// It answers somebody.
    There,
    /// It did not answer of late, and may object.
    Doubted,
    /// Taken for gone.
    Gone,
}

/// One member as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Who.
    pub who: Who,
    /// How sure that is.
    pub sure: Sure,
    /// Since when, on this member's clock.
    pub since: Duration,
    /// When a datagram of its own last came here.
    pub heard: Option<Duration>,
    /// Why it is seen so, in words.
    pub why: &'static str,
}

/// All members. Its number rises with each change and never falls while the process lives.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Rises with each change.
    pub number: u64,
    /// By address; this member itself is among them.
    pub members: BTreeMap<SocketAddr, Seen>,
}

impl View {
    /// Members that are surely there.
    pub fn at_least(&self) -> usize {
        self.members.values().filter(|s| s.sure == Sure::There).count()
    }

    /// Members that may be there: those in doubt too.
    pub fn at_most(&self) -> usize {
        self.members.values().filter(|s| s.sure != Sure::Gone).count()
    }
}
