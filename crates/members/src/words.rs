//! What members say to each other in one datagram.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// A message of the view's protocol, as the library wrote it.
    Swim(Vec<u8>),
    /// To a witness.
    Renew(Renew),
    /// A witness's answer.
    Counted(Counted),
    /// A word of another crate that stands on this one; not read here.
    Other(Vec<u8>),
}

/// A member renews its lease and asks how many hold one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Renew {
    /// The process: drawn at its start.
    pub holder: u64,
    /// The round that it belongs to.
    pub round: u64,
    /// Where the answer goes.
    pub reply: SocketAddr,
}

/// How many hold a lease, as far as this witness knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Counted {
    /// MemberId counted, as the settings name it.
    pub witness: SocketAddr,
    /// The round that asked.
    pub round: u64,
    /// Processes that renewed within the hold, the asker included.
    pub count: u32,
    /// All of them, exclusive-or: two witnesses with the same number and print know the same ones.
    pub print: u64,
    /// It started too lately to know of all: its word counts for nothing.
    pub blind: bool,
}
