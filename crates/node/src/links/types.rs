//! Set-ups and lines as they are passed between the event loop and the links.

use crate::viewer_conn::Waits;
use bytes::Bytes;
use cloverhollow::ServerId;
use cloverhollow_session::{AttemptEnd, AttemptId, SessionId};
use std::net::SocketAddr;
use std::time::Duration;

/// A set-up to be sent.
pub(crate) struct Outgoing {
    pub(crate) attempt: AttemptId,
    pub(crate) server: ServerId,
    pub(crate) address: SocketAddr,
    pub(crate) sid: SessionId,
    /// It may take effect once only.
    pub(crate) paid: bool,
    pub(crate) line: Bytes,
    /// If its first byte has not gone out by then, it never does.
    pub(crate) until: Duration,
    /// Who waits for it.
    pub(crate) waits: Option<Waits>,
}

/// What came on a connection, as far as the connection tells.
pub(crate) struct Heard {
    /// What it was opened for.
    pub(crate) server: ServerId,
    /// Where the process that spoke listens.
    pub(crate) address: SocketAddr,
    /// It is about the set-up that is open there.
    pub(crate) own: bool,
    pub(crate) closing: bool,
}

/// What is proven of a set-up.
pub(crate) type Ended = Option<(AttemptId, AttemptEnd)>;
