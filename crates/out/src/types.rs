//! Names, the register's value, and the words of one datagram.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Most permits that the register holds: its value fits into one datagram.
pub const MOST_PERMITS: usize = 24;

/// Rises with each change of the register; a fence: whoever has seen a higher one refuses what carries a lower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// One try at a change. No two askers' are alike, and each asker's rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Rises.
    pub round: u64,
    /// The asker's life (drawn at its start).
    pub asker: u64,
}

/// Who may be out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A front, by a digest of its name: whichever of its lives.
    Front(u64),
    /// A video server, as the list names it.
    Server(u64),
}

/// Where somebody stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The hall, by a digest of its name.
    pub hall: u32,
    /// The rack, where it stands in one.
    pub rack: Option<u32>,
    /// A server's cell: a title lies on a run of them.
    pub cell: Option<u32>,
}

/// The fleet's word that somebody may be out for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// Who.
    pub subject: Subject,
    /// Where.
    pub place: Place,
    /// Whose process asked for it, and may give it back.
    pub holder: u64,
    /// The term in which it was granted or last renewed.
    pub term: Term,
    /// How long it lasts from before that was asked, ms.
    pub lease_ms: u32,
}

impl Permit {
    /// How long it lasts for its holder.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms.into())
    }

    /// How long a witness keeps it from when it took it: past its end by the holder's clock, whose pace may differ by a
    /// tenth, and by what is done late under it.
    pub fn hold(&self) -> Duration {
        let lease = self.lease();
        lease + lease / 10 + Duration::from_secs(2)
    }
}

/// Where a release stands. The moves between these are [`crate::Release`]'s table alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Taken in, nothing done.
    Planned,
    /// Its forecast allows it.
    Forecast,
    /// Staged at all; the canaries go.
    Canary,
    /// That wave goes.
    Wave(u16),
    /// Whoever went in that wave (0: the canaries) is watched, nobody goes.
    Watched(u16),
    /// Nobody new goes out, who is out comes back.
    Halted(Cause),
    /// What was changed is changed back.
    GoingBack,
    /// All have it.
    Done,
    /// All have what they had.
    TakenBack,
}

/// Why a release halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// An operator said so.
    Operator,
    /// A rule's checker, or an invariant, at a changed front.
    Rule,
    /// Restarts that fail or loop.
    Restarts,
    /// Paid worth served at changed fronts is under that of unchanged ones by more than chance.
    Worth,
    /// Permits could not be had for too long.
    Permits,
    /// The view is too unsure.
    View,
    /// More are out than planned.
    Out,
    /// What came was outside what was foretold.
    Forecast,
    /// A front does not take what was staged.
    Staging,
}

/// The release as the witnesses keep it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReleaseRecord {
    /// Rises with each release; the way back is one too.
    pub number: u64,
    /// Which plan, by a digest of its text.
    pub plan: u64,
    /// Where it stands.
    pub stage: Stage,
    /// The life that drives it.
    pub driver: u64,
    /// The term in which that one took it: the fence of all that it does.
    pub fence: Term,
    /// How long the driver may act without renewing it, ms.
    pub lease_ms: u32,
}

/// The one value that a majority of the witnesses holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Register {
    /// Rises with each change.
    pub term: Term,
    /// Who may be out, by subject; [`MOST_PERMITS`] at most.
    pub permits: Vec<Permit>,
    /// The release, the last one where it is over.
    pub release: Option<ReleaseRecord>,
}

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
        /// What it took last, and by which try.
        taken: Option<(Ballot, Register)>,
        /// How long it has had each of that value's permits, by term, ms; in their order. The last one: the release's.
        ages_ms: Vec<u32>,
        /// It started too lately to know all: its word counts for nothing.
        blind: bool,
    },
    /// To a witness: take this.
    Accept {
        /// The try.
        ballot: Ballot,
        /// Where the answer goes.
        reply: SocketAddr,
        /// The new value.
        value: Register,
    },
    /// A witness took it.
    Accepted {
        /// The try.
        ballot: Ballot,
        /// Who.
        witness: SocketAddr,
        /// As in `Promise`.
        blind: bool,
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
