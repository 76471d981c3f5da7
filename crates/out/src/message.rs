//! Messages between proposers and acceptors, each sent as one datagram.

use crate::types::{Ballot, MemoryState, Register};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Message between a proposer and an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks an acceptor to promise that it accepts no lower ballot (phase 1a).
    Prepare {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// Address for the response.
        #[serde(rename = "reply")]
        reply_to: SocketAddr,
    },
    /// Promise of an acceptor, with the value that it accepted last (phase 1b).
    Promise {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// Address of the acceptor, as in the settings.
        witness: SocketAddr,
        /// Incarnation of the acceptor, drawn when its process starts.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Value that the acceptor accepted last, and its ballot.
        #[serde(rename = "taken")]
        accepted: Option<(Ballot, Register)>,
        /// Bit n is set if the acceptor has had the lease of that value's permit n, by [`crate::LeaseId`],
        /// for longer than its hold time. Bit [`crate::MAX_PERMITS`] stands for the driver's lease of the
        /// release.
        #[serde(rename = "lapsed")]
        expired_leases: u32,
        /// State of the acceptor's memory, which decides whether the promise counts.
        #[serde(rename = "sight")]
        memory: MemoryState,
    },
    /// Asks an acceptor to accept a value (phase 2a).
    Accept {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// Address for the response.
        #[serde(rename = "reply")]
        reply_to: SocketAddr,
        /// Incarnation of the acceptor that promised this ballot: a later incarnation must not accept what it
        /// did not promise.
        #[serde(rename = "life")]
        incarnation: u64,
        /// New value of the register.
        value: Register,
    },
    /// Acknowledges that an acceptor accepted the value of the ballot (phase 2b).
    Accepted {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// Address of the acceptor, as in the settings.
        witness: SocketAddr,
        /// State of the acceptor's memory after it accepted the value.
        #[serde(rename = "sight")]
        memory: MemoryState,
    },
    /// Tells a proposer that the acceptor has promised a higher ballot.
    #[serde(rename = "Outbid")]
    Rejected {
        /// Ballot that was rejected.
        ballot: Ballot,
        /// Address of the acceptor, as in the settings.
        witness: SocketAddr,
        /// Higher ballot that the acceptor has promised.
        promised: Ballot,
    },
}
