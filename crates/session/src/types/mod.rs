//! Types that pass between the caller and the [`crate::Core`].

mod commands;
mod inputs;

pub use commands::*;
pub use inputs::*;

use cloverhollow::{LoadReport, RequestId};
use std::fmt;
use std::sync::Arc;

/// Name of a playback session, as given by its player (CMCD `sid`).
pub type SessionId = Arc<str>;

/// Identifies one waiting request of a viewer. The caller never reuses a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewerId(pub u64);

/// Identifies one attempt to set a session up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Session, as numbered for the policy.
    pub request: RequestId,
    /// Number of the attempt within the session, from 0.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

/// Load that a server reported in a response. A field is `None` if the response did not contain it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Demand on the server's link divided by the capacity of the link.
    pub link: Option<f64>,
    /// Demand on the uplink of the server's rack divided by the capacity of the uplink.
    pub rack: Option<f64>,
    /// Fraction of its bit rate that the session receives, at most 1.
    pub share: Option<f64>,
}

impl Load {
    /// Converts this load to the policy's form, which has no session share.
    pub(crate) fn to_load_report(self) -> LoadReport {
        LoadReport { link_load: self.link, uplink_load: self.rack }
    }
}

/// Reason for which a viewer gets no session. Sent as a token in `CMSD-Dynamic`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// No server has room at any usable rung, or none is left to try.
    NoRoom,
    /// No known server accepts new sessions.
    NoServers,
    /// The front holds its maximum number of sessions.
    FrontFull,
    /// Too many requests already wait for this session.
    TooManyWaiting,
    /// The paid session may have been set up before and must not be set up again.
    AlreadySetUp,
    /// An attempt may have been executed, and no answer arrived.
    Unanswered,
    /// An attempt may have been executed, and the server answered with an error or broke the connection.
    ServerFailed,
    /// The viewer's own deadline passed while the session was being set up.
    DeadlineExceeded,
    /// The log record of a set-up could not be persisted, so no set-up was sent.
    NotPersisted,
    /// After a restart the front cannot prove which paid sessions its previous incarnation set up.
    HistoryUnknown,
}

impl RejectReason {
    /// All reasons, in the order of their counters in [`crate::Stats`].
    pub const ALL: [RejectReason; 10] = [
        RejectReason::NoRoom,
        RejectReason::NoServers,
        RejectReason::FrontFull,
        RejectReason::TooManyWaiting,
        RejectReason::AlreadySetUp,
        RejectReason::Unanswered,
        RejectReason::ServerFailed,
        RejectReason::DeadlineExceeded,
        RejectReason::NotPersisted,
        RejectReason::HistoryUnknown,
    ];

    /// Token of this reason in headers, logs and metrics.
    pub fn token(self) -> &'static str {
        match self {
            RejectReason::NoRoom => "no-room",
            RejectReason::NoServers => "no-servers",
            RejectReason::FrontFull => "front-full",
            RejectReason::TooManyWaiting => "too-many-waiting",
            RejectReason::AlreadySetUp => "set-up-before",
            RejectReason::Unanswered => "unanswered",
            RejectReason::ServerFailed => "server-failed",
            RejectReason::DeadlineExceeded => "time-up",
            RejectReason::NotPersisted => "not-kept",
            RejectReason::HistoryUnknown => "unproven",
        }
    }
}

/// Numbers of retained items. Growth over a long time is a leak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetainedCounts {
    /// Servers on the list, those that are gone included.
    pub servers: usize,
    /// Report throttles, one for each listed server that has had a session.
    pub report_throttles: usize,
    /// Sessions being set up or playing.
    pub sessions: usize,
    /// Armed timers.
    pub timers: usize,
}
