//! Instructions that the core returns to its caller.

use super::{AttemptId, EndReason, RejectReason, SessionId, ViewerId};
use crate::routes::Route;
use cloverhollow::ServerId;
use cloverhollow_knowledge::{KnowledgeLevel, MergeError};
use cloverhollow_recovery::LogRecord;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Reason for cancelling a set-up attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The attempt timed out. Cancel it whether or not its request has been sent.
    TimedOut,
    /// All viewers waiting for the attempt disconnected. Cancel it whether or not its request has been sent.
    Disconnected,
    /// The attempt's server is draining or gone. Cancel it only if the first byte of its request has not been sent.
    Drained,
}

/// A set-up request to send to a video server.
#[derive(Clone, Debug)]
pub struct Setup<A> {
    /// Attempt that this request belongs to.
    pub attempt: AttemptId,
    /// Target server.
    pub server: ServerId,
    /// Address of the target server.
    pub address: SocketAddr,
    /// Playback session to set up.
    pub sid: SessionId,
    /// Rung to stream at: an index into the bit-rate ladder, lowest first.
    pub rung: usize,
    /// Bit rate of the rung, kbps.
    pub kbps: u32,
    /// True if the set-up must take effect at most once.
    pub paid: bool,
    /// Record to persist before the first byte of the request is sent; `None` if nothing must be persisted.
    pub log_record: Option<LogRecord>,
    /// Time from now after which the core cancels the attempt if no answer has arrived.
    pub timeout: Duration,
    /// Time, on the core's clock, after which the request must not be sent any more.
    pub send_deadline: Duration,
    /// Caller's data for building the request, as passed in [`super::Arrival::payload`].
    pub payload: A,
}

/// The one final answer to a waiting viewer.
#[derive(Debug)]
pub enum Answer<B> {
    /// The session plays, and this viewer receives the server's response to the set-up.
    Stream {
        /// Route of the session.
        route: Arc<Route>,
        /// Response to the set-up, as passed in [`super::Input::Playing`].
        response: B,
    },
    /// The session plays already: fetch the object from the route's server as any later object.
    Follow(Arc<Route>),
    /// There is no session, and no server executed a set-up that must take effect at most once. The viewer may
    /// retry.
    Refused {
        /// Time that the viewer is asked to wait before its next request.
        retry_after: Duration,
        /// Reason for the refusal.
        reason: RejectReason,
    },
    /// There is no session, and a server may have executed a set-up, possibly for an earlier request.
    Failed {
        /// True if no answer came in time, false if an error was seen.
        timed_out: bool,
        /// Reason for the failure.
        reason: RejectReason,
    },
}

impl<B> Answer<B> {
    /// Token that names this answer in logs.
    pub fn token(&self) -> &'static str {
        match self {
            Answer::Stream { .. } => "plays",
            Answer::Follow(_) => "follow",
            Answer::Refused { reason, .. } | Answer::Failed { reason, .. } => reason.token(),
        }
    }
}

/// An instruction or notification to the caller, to be handled in order.
#[derive(Debug)]
pub enum Command<A, B> {
    /// Send a set-up request. The caller reports the attempt's end exactly once.
    Send(Setup<A>),
    /// Cancel an attempt.
    Cancel {
        /// Attempt to cancel.
        attempt: AttemptId,
        /// Reason, which decides whether a request that has been sent is cancelled too.
        reason: CancelReason,
    },
    /// Answer a waiting viewer.
    Answer {
        /// Viewer to answer.
        viewer: ViewerId,
        /// Answer to send.
        answer: Answer<B>,
    },
    /// Append a record to the write-ahead log. Nothing waits for the write.
    Persist(LogRecord),
    /// Tell a server that a session has ended, so that it frees what it may hold for it.
    Release {
        /// Address of the server.
        address: SocketAddr,
        /// Server to notify.
        server: ServerId,
        /// Session that has ended.
        sid: SessionId,
    },
    /// A playing session has ended.
    SessionEnded {
        /// Session that ended.
        sid: SessionId,
        /// Server where the session played.
        server: ServerId,
        /// Reason for the end.
        reason: EndReason,
    },
    /// The rung of a playing session has changed.
    RungChanged {
        /// Server where the session plays.
        server: ServerId,
        /// Session whose rung changed.
        sid: SessionId,
        /// New rung: an index into the bit-rate ladder, lowest first.
        rung: usize,
    },
    /// A peer's knowledge message was merged, or rejected as a whole.
    KnowledgeMerged {
        /// Sender of the message.
        peer: SocketAddr,
        /// Sender's state as of the message, or the reason for the rejection.
        outcome: Result<PeerStatus, MergeError>,
    },
}

/// State of a peer, taken from a merged message of that peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    /// Degree to which the peer has gathered the fleet's knowledge since its start.
    pub level: KnowledgeLevel,
    /// Sequence number of the peer's last change. The next delta is requested from here.
    pub seq: u64,
    /// Addresses of the peers known to this peer.
    pub peers: Vec<SocketAddr>,
}
