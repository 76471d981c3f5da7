//! What a member is told at its start, and what it tells.

use crate::identity::MemberId;
use crate::seal::{Key, ReceiveError};
use crate::swim::SwimConfig;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Itself.
    pub local_id: MemberId,
    /// Keys that datagrams are taken under; the first one seals.
    pub keys: Vec<Key>,
    /// How the view is kept.
    pub swim: SwimConfig,
    /// How long a count holds.
    pub lease_duration: Duration,
    /// Where the witnesses are; this member is one if its own address is among them.
    pub witnesses: Vec<SocketAddr>,
    /// Of random numbers.
    pub seed: u64,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Where.
    pub to: SocketAddr,
    /// Sealed.
    pub bytes: Vec<u8>,
}

/// What an operator should hear of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// The process stood still for so long; what it believed is doubted anew.
    Stalled(Duration),
    /// The others held this incarnation for gone: it goes on as this one.
    IncarnationRaised(MemberId),
    /// Another, younger process bears this one's name.
    Replaced(MemberId),
}

/// Figures since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberStats {
    /// Datagrams taken.
    pub received: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams refused, by why.
    pub rejected: BTreeMap<ReceiveError, u64>,
}
