//! Words of one datagram between askers and witnesses.

use crate::types::{Ballot, Register, Sight};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What is said between an asker and a witness, in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Word {
    /// To a witness: promise to take nothing older.
    Prepare {
        /// The try.
        ballot: Ballot,
        /// Where the answer goes.
        reply: SocketAddr,
    },
    /// A witness promises, and tells what it took last.
    Promise {
        /// The try.
        ballot: Ballot,
        /// Who, as the settings name it.
        witness: SocketAddr,
        /// Its life, drawn at its start.
        life: u64,
        /// What it took last, and by which try.
        taken: Option<(Ballot, Register)>,
        /// Bit n: it has had that value's permit n, by [`Id`], for longer than its hold. Bit
        /// [`MOST_PERMITS`]: the release's lease.
        lapsed: u32,
        /// What its word counts for.
        sight: Sight,
    },
    /// To a witness: take this.
    Accept {
        /// The try.
        ballot: Ballot,
        /// Where the answer goes.
        reply: SocketAddr,
        /// The life of the witness that promised this try: another one must not take what it did not promise.
        life: u64,
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
        sight: Sight,
    },
    /// A witness has promised a later try.
    Outbid {
        /// The try that came too late.
        ballot: Ballot,
        /// Who.
        witness: SocketAddr,
        /// What it promised.
        promised: Ballot,
    },
}
