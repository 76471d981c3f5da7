//! Why connections to video servers are closed, and how long they are read on.

use std::time::Duration;

/// Why a connection to a video server is closed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// It has been idle for too long, or there are too many idle ones.
    Idle,
    /// The set-up on it is given up.
    GivenUp,
    /// It can't carry the set-up that was meant for it.
    Unusable,
    /// It was opened to a process that has been replaced since.
    FormerProcess,
}

/// A connection that is closed here is read on for so long, unless its server closes it too. Guards what the server wrote
/// before it heard of the close: a release of a session would be lost, and its client never told.
const LINGER: Duration = Duration::from_secs(1);
/// The same where sessions may stand that were set up on it: a server that hangs writes there once it goes on.
const LINGER_FOR_SESSIONS: Duration = Duration::from_secs(10);

impl CloseReason {
    pub(super) fn linger(self) -> Duration {
        match self {
            CloseReason::Idle | CloseReason::FormerProcess => LINGER_FOR_SESSIONS,
            CloseReason::GivenUp | CloseReason::Unusable => LINGER,
        }
    }
}
