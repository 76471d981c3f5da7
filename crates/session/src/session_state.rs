//! State that the core holds for one session.
//!
//! An attempt is one set-up request to one server. The policy chooses the server and the rung (a step of the bit-rate
//! ladder) and decides on retries. The caller sends set-up requests to servers and answers to viewers. Times are on
//! the core's monotonic clock.

use crate::routes::Route;
use crate::types::{Arrival, AttemptEnd, AttemptId, CancelReason, SessionId, ViewerId};
use cloverhollow::ServerId;
use cloverhollow_hints::Contradictions;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A viewer that waits for the set-up of a session.
#[derive(Debug)]
pub(crate) struct WaitingViewer<A> {
    /// Id of the viewer's request, to which the answer is addressed.
    pub(crate) viewer: ViewerId,
    /// True if the set-up is sent with this viewer's request, so that this viewer receives the server's response.
    /// The other waiting viewers then fetch from the session's server through its route.
    pub(crate) is_owner: bool,
    /// The viewer's request and its time of arrival, if it is to be submitted as a new one after the current attempt.
    /// Set if the viewer arrived after all earlier ones had disconnected; `None` if it shares the current attempt.
    pub(crate) resubmission: Option<(Duration, Box<Arrival<A>>)>,
}

/// Progress of a session.
#[derive(Debug)]
pub(crate) enum Phase {
    /// The policy has the request, and no attempt is pending.
    Deciding,
    /// An attempt to set the session up at a server is pending.
    Attempting {
        /// Pending attempt.
        attempt: AttemptId,
        /// Server that the attempt goes to.
        server: ServerId,
        /// Address of the server when the attempt began.
        address: SocketAddr,
        /// Time at which the attempt began.
        started_at: Duration,
        /// Reason for which the core cancelled the attempt; `None` if it has not. A cancelled attempt stays pending
        /// until the caller reports its end.
        cancelled: Option<CancelReason>,
    },
    /// The session plays.
    Playing {
        /// Attempt that set the session up.
        attempt: AttemptId,
        /// Route to the session's server, shared with the viewers' connections.
        route: Arc<Route>,
    },
}

/// One session, from its first request to its end. `A` is the caller's data for building a request to a server.
#[derive(Debug)]
pub(crate) struct Session<A> {
    /// Name given by the player (CMCD `sid`).
    pub(crate) sid: SessionId,
    /// Id of the title that is played.
    pub(crate) title: u64,
    /// Class of the session: an index into the settings' classes.
    pub(crate) class: usize,
    /// True if a set-up must take effect at most once, so that one that may have been executed is never repeated.
    pub(crate) paid: bool,
    /// Time by which the first viewer must be answered.
    pub(crate) deadline: Duration,
    /// Rung in force: an index into the bit-rate ladder, lowest first.
    pub(crate) rung: usize,
    /// Number of attempts begun, which is also the number of the next one.
    pub(crate) attempts: u32,
    /// True once all waiting viewers have disconnected and the policy was notified. The pending attempt is the last
    /// one.
    pub(crate) abandoned: bool,
    /// End of the last attempt that a server may have executed; `None` if there was none.
    pub(crate) possibly_executed_end: Option<AttemptEnd>,
    /// True if an attempt was not sent because its log record could not be persisted.
    pub(crate) not_persisted: bool,
    /// Progress of the session.
    pub(crate) phase: Phase,
    /// Viewers that wait for the set-up, in order of arrival. Empty once the session plays.
    pub(crate) waiting: Vec<WaitingViewer<A>>,
    /// Contradictions already found in the session's hints. Each kind is logged and counted once for each session.
    pub(crate) contradictions: Contradictions,
    /// Caller's data for building the request to a server.
    pub(crate) payload: A,
}

impl<A> Session<A> {
    /// Creates a session without waiting viewers and without a pending attempt.
    pub(crate) fn new(arrival: Arrival<A>, paid: bool, deadline: Duration) -> Self {
        Session {
            sid: arrival.sid,
            title: arrival.title,
            class: arrival.class,
            paid,
            deadline,
            rung: 0,
            attempts: 0,
            abandoned: false,
            possibly_executed_end: None,
            not_persisted: false,
            phase: Phase::Deciding,
            waiting: Vec::new(),
            contradictions: arrival.hint_contradictions,
            payload: arrival.payload,
        }
    }

    /// Server where the session plays or is being set up; `None` while the policy decides.
    pub(crate) fn server(&self) -> Option<ServerId> {
        match &self.phase {
            Phase::Deciding => None,
            Phase::Attempting { server, .. } => Some(*server),
            Phase::Playing { route, .. } => Some(route.server),
        }
    }
}
