//! What a member is told at its start, and what it tells.

use crate::seal::{Key, Refused};
use crate::swim::SwimSettings;
use crate::who::Who;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Itself.
    pub me: Who,
    /// Keys that datagrams are taken under; the first one seals.
    pub keys: Vec<Key>,
    /// How the view is kept.
    pub swim: SwimSettings,
    /// How long a count holds.
    pub lease: Duration,
    /// Where the witnesses are; this member is one if its own address is among them.
    pub witnesses: Vec<SocketAddr>,
    /// Of random numbers.
    pub seed: u64,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Where.
    pub to: SocketAddr,
    /// Sealed.
    pub bytes: Vec<u8>,
}

/// What an operator should hear of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The process stood still for so long; what it believed is doubted anew.
    StoodStill(Duration),
    /// The others held this life for gone: it goes on as this one.
    Risen(Who),
    /// Another, younger process bears this one's name.
    StepBack(Who),
}

/// Figures since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Datagrams taken.
    pub taken: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams refused, by why.
    pub refused: BTreeMap<Refused, u64>,
}
