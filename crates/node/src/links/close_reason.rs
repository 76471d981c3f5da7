//! Reasons for closing connections to video servers, and the time for which closed connections are still
//! read.

use std::time::Duration;

/// Reason for closing a connection to a video server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Idle for too long, or one of too many idle connections.
    Idle,
    /// The set-up on the connection was cancelled, or its answer was unusable.
    SetupCancelled,
    /// The connection could not carry the set-up it was selected for.
    Unusable,
    /// The server process at the other end has been replaced.
    ProcessReplaced,
}

/// Time for which a closed connection is still read if its server does not close it too. A release that the
/// server wrote before it noticed the close would otherwise be lost, and its viewer never notified.
const LINGER: Duration = Duration::from_secs(1);
/// Time for which a closed connection is still read if sessions that were set up on it may still be
/// established: a server that has stalled writes their releases there once it resumes.
const LINGER_WITH_SESSIONS: Duration = Duration::from_secs(10);

impl CloseReason {
    pub(super) fn linger(self) -> Duration {
        match self {
            CloseReason::Idle | CloseReason::ProcessReplaced => LINGER_WITH_SESSIONS,
            CloseReason::SetupCancelled | CloseReason::Unusable => LINGER,
        }
    }
}
