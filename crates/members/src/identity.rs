//! What one member is to the others.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Longest name of a member or a zone, bytes: some twenty members fit into a datagram.
pub const MAX_NAME_BYTES: usize = 64;

/// One incarnation of a process; a later one of the same address is greater.
///
/// It begins with the wall clock's word, which may be wrong: lives are compared, never subtracted, and a process
/// that is refused for its low number raises it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Unix time of its start, ms, raised where others hold it for gone.
    pub number: u64,
    /// Drawn at the start: tells two processes apart that started in the same millisecond.
    pub token: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.number, self.token)
    }
}

/// A member as the fleet knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Where its datagrams go.
    pub address: SocketAddr,
    /// Its side address, where it can be asked for all that it holds.
    #[serde(rename = "side")]
    pub side_address: Option<SocketAddr>,
    /// Its name: one process bears it at a time.
    pub name: Arc<str>,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: Arc<str>,
    /// Which of its lives.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

impl MemberId {
    /// A seed of which only the address is known.
    pub(crate) fn seed(address: SocketAddr) -> MemberId {
        MemberId {
            address,
            side_address: None,
            name: "".into(),
            zone: "".into(),
            incarnation: Incarnation { number: 0, token: 0 },
        }
    }

    /// Whether its texts are as long as they may be.
    pub(crate) fn bounded(&self) -> bool {
        self.name.len() <= MAX_NAME_BYTES && self.zone.len() <= MAX_NAME_BYTES
    }
}

impl foca::Identity for MemberId {
    type Addr = SocketAddr;

    /// The next incarnation is made by [`crate::Swim`], which knows how long the last one held.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}
