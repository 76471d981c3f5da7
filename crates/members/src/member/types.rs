//! Configuration and output types of a member.

use crate::auth::{Key, ReceiveError};
use crate::identity::MemberId;
use crate::swim::SwimConfig;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Configuration of a member.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Identity of the local member.
    pub local_id: MemberId,
    /// Keys under which datagrams are accepted; the first one signs.
    pub keys: Vec<Key>,
    /// Parameters of the SWIM protocol.
    pub swim: SwimConfig,
    /// Time for which a bound on the fleet size is valid.
    pub lease_duration: Duration,
    /// Addresses of the witnesses. The local member is a witness if its address is among them.
    pub witnesses: Vec<SocketAddr>,
    /// Seed of the random choice of members to probe and to gossip with.
    pub seed: u64,
}

/// Signed datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Destination address.
    pub to: SocketAddr,
    /// Contents, signature included.
    pub bytes: Vec<u8>,
}

/// Event to be logged for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// The process was stalled for this long. Time-outs were extended accordingly.
    Stalled(Duration),
    /// Other members declared the local incarnation down; the member goes on with this new one.
    IncarnationRaised(MemberId),
    /// A younger process with the same name has joined.
    Replaced(MemberId),
}

/// Datagram counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberStats {
    /// Datagrams received and accepted.
    pub received: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams rejected, by reason.
    pub rejected: BTreeMap<ReceiveError, u64>,
}
