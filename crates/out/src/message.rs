//! Words of one datagram between askers and witnesses.

use crate::types::{Ballot, MemoryState, Register};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What is said between an asker and a witness, in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To a witness: promise to take nothing older.
    Prepare {
        /// The try.
        ballot: Ballot,
        /// Where the answer goes.
        #[serde(rename = "reply")]
        reply_to: SocketAddr,
    },
    /// A witness promises, and tells what it took last.
    Promise {
        /// The try.
        ballot: Ballot,
        /// Who, as the settings name it.
        witness: SocketAddr,
        /// Its life, drawn at its start.
        #[serde(rename = "life")]
        incarnation: u64,
        /// What it took last, and by which try.
        #[serde(rename = "taken")]
        accepted: Option<(Ballot, Register)>,
        /// Bit n: it has had that value's permit n, by [`Id`], for longer than its hold. Bit
        /// [`MOST_PERMITS`]: the release's lease.
        #[serde(rename = "lapsed")]
        expired_leases: u32,
        /// What its word counts for.
        #[serde(rename = "sight")]
        memory: MemoryState,
    },
    /// To a witness: take this.
    Accept {
        /// The try.
        ballot: Ballot,
        /// Where the answer goes.
        #[serde(rename = "reply")]
        reply_to: SocketAddr,
        /// The life of the witness that promised this try: another one must not take what it did not promise.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The new value.
        value: Register,
    },
    /// A witness took it.
    Accepted {
        /// The try.
        ballot: Ballot,
        /// Who.
        witness: SocketAddr,
        /// What its word counts for, now that it has taken this.
        #[serde(rename = "sight")]
        memory: MemoryState,
    },
    /// A witness has promised a later try.
    #[serde(rename = "Outbid")]
    Rejected {
        /// The try that came too late.
        ballot: Ballot,
        /// Who.
        witness: SocketAddr,
        /// What it promised.
        promised: Ballot,
    },
}
