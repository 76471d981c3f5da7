//! The vocabulary between a shell and the [`crate::Core`].

mod commands;
mod inputs;

pub use commands::*;
pub use inputs::*;

use cloverhollow::{LoadReport, RequestId};
use std::fmt;
use std::sync::Arc;

/// A playback session as its player names it (CMCD `sid`).
pub type Sid = Arc<str>;

/// One request of a viewer that waits for its answer; the shell never uses a number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewerId(pub u64);

/// One attempt at setting a session up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The session, as the decision module names it.
    pub request: RequestId,
    /// Its number within the session, from 0.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

/// What a server's answer told of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// What is asked of its link over what the link gives.
    pub link: Option<f64>,
    /// The same for its rack's uplink.
    pub rack: Option<f64>,
    /// The share of its rate that the session gets, 1 at most.
    pub share: Option<f64>,
}

impl Load {
    /// As the decision module takes it with an attempt's end.
    pub(crate) fn report(self) -> LoadReport {
        LoadReport { link_load: self.link, uplink_load: self.rack }
    }
}

/// Why a viewer gets no session, as a token for `CMSD-Dynamic`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No server with room at any rung, or none left to try.
    NoRoom,
    /// No server is known that takes new work.
    NoServers,
    /// The front holds as many sessions as it may.
    FrontFull,
    /// Too many requests of this session wait already.
    TooManyWaiting,
    /// The session was set up before and may not be set up again.
    SetUpBefore,
    /// An attempt may have run, its answer did not come.
    Unanswered,
    /// An attempt may have run and failed.
    ServerFailed,
    /// The request's own time was up while the session was being set up.
    TimeUp,
    /// It cannot be taken down that a set-up goes out: none does.
    NotKept,
    /// This front came back and cannot prove which paid sessions its last life set up.
    Unproven,
}

impl Reason {
    /// All of them, in the order of their counts.
    pub const ALL: [Reason; 10] = [
        Reason::NoRoom,
        Reason::NoServers,
        Reason::FrontFull,
        Reason::TooManyWaiting,
        Reason::SetUpBefore,
        Reason::Unanswered,
        Reason::ServerFailed,
        Reason::TimeUp,
        Reason::NotKept,
        Reason::Unproven,
    ];

    /// Its token.
    pub fn token(self) -> &'static str {
        match self {
            Reason::NoRoom => "no-room",
            Reason::NoServers => "no-servers",
            Reason::FrontFull => "front-full",
            Reason::TooManyWaiting => "too-many-waiting",
            Reason::SetUpBefore => "set-up-before",
            Reason::Unanswered => "unanswered",
            Reason::ServerFailed => "server-failed",
            Reason::TimeUp => "time-up",
            Reason::NotKept => "not-kept",
            Reason::Unproven => "unproven",
        }
    }
}

/// How many of each are kept: flat over the months, or there is a leak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)] // the names say it
pub struct Kept {
    pub servers: usize,
    pub gauges: usize,
    pub sessions: usize,
    pub timers: usize,
}
