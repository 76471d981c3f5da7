//! Names and messages.

use serde::{Deserialize, Serialize};

/// A server, as the list names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Server(pub u64);

/// One process of a server: rises with each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A step in a session's life at servers: rises with each place that is prepared and each hand-over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u32);

impl Epoch {
    /// The one after it.
    pub fn next(self) -> Epoch {
        Epoch(self.0.saturating_add(1))
    }
}

/// One process of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Which server.
    pub server: Server,
    /// Which of its processes.
    pub incarnation: Incarnation,
}

/// What a front asks of a server for one session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ask {
    /// Take the session over: hold what it needs, set nothing up. `paid`: a set-up of it was paid for; its token
    /// goes along and is never run again.
    Prepare {
        /// The step.
        epoch: Epoch,
        /// Whether it was paid for.
        paid: bool,
    },
    /// Play from here from now on: comes with the next object.
    Play {
        /// The step.
        epoch: Epoch,
    },
    /// Let go of all up to this step.
    Release {
        /// The step.
        epoch: Epoch,
    },
}

/// A question on its way to one process of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Word {
    /// For whom.
    pub to: Place,
    /// What.
    pub ask: Ask,
}

/// A server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// It holds the session, prepared or playing.
    Prepared {
        /// Of which step.
        epoch: Epoch,
    },
    /// It cannot: no room, or it cannot take a paid set-up over.
    Refused {
        /// Of which step.
        epoch: Epoch,
    },
    /// It plays.
    Plays {
        /// Of which step.
        epoch: Epoch,
    },
    /// It does not hold the session, or a later step of it.
    Unknown {
        /// Of which step.
        epoch: Epoch,
    },
    /// It holds nothing up to that step.
    Released {
        /// Which.
        epoch: Epoch,
    },
}
