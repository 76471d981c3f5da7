//! Identifiers and messages.

use serde::{Deserialize, Serialize};

/// Id of a server in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerId(pub u64);

/// Number of a process of a server; rises with each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Number of a step of a session's moves; rises with each prepare and each switch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u32);

impl Epoch {
    /// Returns the following epoch.
    pub fn next(self) -> Epoch {
        Epoch(self.0.saturating_add(1))
    }
}

/// One process of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerProcess {
    /// Id of the server.
    pub server: ServerId,
    /// Incarnation of the server.
    pub incarnation: Incarnation,
}

/// Request of a front to a server for one session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Request {
    /// Take the session over and hold its resources, without a set-up.
    Prepare {
        /// Epoch of the step.
        epoch: Epoch,
        /// True if the session's set-up was paid for: its token is passed along, and the set-up never runs again.
        paid: bool,
    },
    /// Play the session from now on; sent with the request for the next object.
    Play {
        /// Epoch of the step.
        epoch: Epoch,
    },
    /// Release everything held for the session up to this epoch.
    Release {
        /// Epoch of the step.
        epoch: Epoch,
    },
}

/// Request addressed to one process of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Addressee.
    pub to: ServerProcess,
    /// The request.
    #[serde(rename = "ask")]
    pub request: Request,
}

/// Answer of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The server holds the session, prepared or playing.
    Prepared {
        /// Epoch of the request.
        epoch: Epoch,
    },
    /// The server has no room, or cannot take over a session whose set-up was paid for.
    Refused {
        /// Epoch of the request.
        epoch: Epoch,
    },
    /// The server plays the session.
    #[serde(rename = "Plays")]
    Playing {
        /// Epoch of the request.
        epoch: Epoch,
    },
    /// The server does not hold the session, or holds it for a later epoch.
    Unknown {
        /// Epoch of the request.
        epoch: Epoch,
    },
    /// The server holds nothing up to this epoch.
    Released {
        /// Epoch of the request.
        epoch: Epoch,
    },
}
