//! Identity of a member.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum length of a member's name or zone, in bytes. About twenty members fit into a datagram.
pub const MAX_NAME_BYTES: usize = 64;

/// Incarnation of a member; a later one of the same address compares greater.
///
/// Starts from the wall clock, which may be wrong: incarnations are compared but never subtracted, and a process
/// whose incarnation is refused as too low raises it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Unix time of the process start in milliseconds, raised when other members declare the process down.
    pub number: u64,
    /// Random number drawn at the start. Distinguishes processes that started in the same millisecond.
    pub token: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.number, self.token)
    }
}

/// Identity of a member, as gossiped through the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Address for membership datagrams.
    pub address: SocketAddr,
    /// HTTP side address, which serves the full membership records. `None` if the member has none.
    #[serde(rename = "side")]
    pub side_address: Option<SocketAddr>,
    /// Configured name; only one process may use it at a time.
    pub name: Arc<str>,
    /// Zone of the member.
    #[serde(rename = "hall")]
    pub zone: Arc<str>,
    /// Incarnation of the process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

impl MemberId {
    /// Identity of a seed, of which only the address is known.
    pub(crate) fn seed(address: SocketAddr) -> MemberId {
        MemberId {
            address,
            side_address: None,
            name: "".into(),
            zone: "".into(),
            incarnation: Incarnation { number: 0, token: 0 },
        }
    }

    /// Returns whether name and zone are within [`MAX_NAME_BYTES`].
    pub(crate) fn has_valid_lengths(&self) -> bool {
        self.name.len() <= MAX_NAME_BYTES && self.zone.len() <= MAX_NAME_BYTES
    }
}

impl foca::Identity for MemberId {
    type Addr = SocketAddr;

    /// Always `None`: [`crate::Swim`] chooses the next incarnation, since the increment depends on how recently the
    /// last one was refused.
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
