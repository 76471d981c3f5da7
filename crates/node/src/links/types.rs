//! Set-ups and lines as they are passed between the event loop and [`Links`](super::Links).

use crate::viewer_conn::SetupWaiter;
use bytes::Bytes;
use cloverhollow::ServerId;
use cloverhollow_platform::link_monitor::ProcessId;
use cloverhollow_session::{AttemptEnd, AttemptId, SessionId};
use std::net::SocketAddr;
use std::time::Duration;

/// A set-up to be sent.
pub(crate) struct OutgoingSetup {
    pub(crate) attempt: AttemptId,
    pub(crate) server: ServerId,
    pub(crate) address: SocketAddr,
    pub(crate) sid: SessionId,
    /// The set-up must not take effect more than once.
    pub(crate) at_most_once: bool,
    /// Encoded START line.
    pub(crate) line: Bytes,
    /// Time after which the set-up must not be sent any more.
    pub(crate) send_deadline: Duration,
    /// Viewer waiting for the set-up; `None` if unknown.
    pub(crate) waiter: Option<SetupWaiter>,
}

/// The link that delivered a line, as seen by the event loop.
pub(crate) struct LineSource {
    /// The server that the connection was opened for.
    pub(crate) server: ServerId,
    /// Listen address of the server process.
    pub(crate) address: SocketAddr,
    /// The server process.
    pub(crate) process: Option<ProcessId>,
    /// The line concerns the set-up that is open on the connection.
    pub(crate) is_open_setup: bool,
    pub(crate) is_closing: bool,
}

/// A session that is lost with the process that it was established at.
pub(crate) struct LostSession {
    pub(crate) sid: SessionId,
    /// The process that spoke of the session last; `None` if none has.
    pub(crate) process: Option<ProcessId>,
}

/// A set-up that has ended and its proven outcome; `None` if no set-up ended.
pub(crate) type EndedSetup = Option<(AttemptId, AttemptEnd)>;
