//! Events that the caller reports to the core.

use super::{AttemptId, Load, SessionId, ViewerId};
use crate::list::ListUpdate;
use cloverhollow::{RequestId, ServerId, SessionReport, SessionRequest, TitleId};
use cloverhollow_hints::{Contradictions, Faults};
use cloverhollow_knowledge::wire::Message;
use cloverhollow_recovery::RecoveredState;
use std::net::SocketAddr;
use std::time::Duration;

/// A viewer's request for a session that has no route yet. [`crate::arrival::read`] builds it from hints and path.
#[derive(Clone, Debug)]
pub struct Arrival<A> {
    /// Viewer waiting for the answer.
    pub viewer: ViewerId,
    /// Playback session requested.
    pub sid: SessionId,
    /// Title requested.
    pub title: TitleId,
    /// Class of the session: an index into the settings' classes.
    pub class: usize,
    /// Tenant: an index into the settings' tenants. `None` if the request names none.
    pub tenant: Option<usize>,
    /// Highest rung that the viewer can use; `usize::MAX` if it has not limited the rate.
    pub max_rung: usize,
    /// First of the consecutive cells that hold the title.
    pub first_cell: u64,
    /// Number of cells that hold the title.
    pub cell_count: u64,
    /// True if the viewer says that it has requested this session before.
    pub repeated: bool,
    /// Time that the viewer waits for the answer, from now.
    pub max_wait: Duration,
    /// True if the hints say that the session plays already, so that a front has set it up.
    pub already_playing: bool,
    /// Hints that could not be used, counted by fault.
    pub hint_faults: Faults,
    /// Hints that contradicted each other.
    pub hint_contradictions: Contradictions,
    /// Caller's data for building the request to a server. Returned in [`super::Setup::payload`].
    pub payload: A,
}

impl<A> Arrival<A> {
    /// Converts this request to the policy's form.
    pub(crate) fn to_session_request(&self, request: RequestId, deadline: Duration) -> SessionRequest {
        SessionRequest {
            id: request,
            title: self.title,
            class: self.class,
            tenant: self.tenant,
            max_rung: self.max_rung,
            first_cell: self.first_cell,
            cell_count: self.cell_count,
            deadline,
            is_repeat: self.repeated,
        }
    }
}

/// End of an attempt that did not lead to a playing session, with what is proven about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection could be made, so no byte was sent.
    NotConnected,
    /// The attempt was cancelled before the first byte was sent.
    NeverSent,
    /// The server answered that it did not execute the set-up.
    Full,
    /// The server answered with an error. The set-up may have been executed.
    Error {
        /// Status code of the answer.
        status: u16,
    },
    /// The connection broke after the first byte was sent. The set-up may have been executed.
    Reset,
    /// The attempt was cancelled after the first byte was sent. The set-up may have been executed, or be in
    /// execution.
    Unanswered,
    /// The attempt's log record could not be persisted, so the request was never sent.
    NotPersisted,
}

/// Reason for the end of a playing session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The player reported the end of the content.
    Ended,
    /// The player reported that the viewer quit.
    Quit,
    /// The player reported a fatal error.
    Fatal,
    /// The session's player was silent for the idle timeout.
    Idle,
    /// The server has lost the session.
    Lost,
}

/// An event observed by the caller. `A` is the caller's data for building a request to a server, `B` a server's
/// response.
#[derive(Debug)]
pub enum Input<A, B> {
    /// A request arrived for a session that has no route yet.
    Arrived(Arrival<A>),
    /// A waiting viewer closed its connection.
    Disconnected {
        /// Viewer that disconnected.
        viewer: ViewerId,
        /// Session that the viewer waited for.
        sid: SessionId,
    },
    /// The response to an attempt has begun: the session plays.
    Playing {
        /// Attempt that succeeded.
        attempt: AttemptId,
        /// Load that the server reported in the response.
        load: Load,
        /// Response of the server, for the viewer whose request was sent.
        response: B,
    },
    /// An attempt ended without a session. The caller reports either this or `Playing` exactly once for each
    /// [`Command::Send`](super::Command::Send). After a cancellation both may come; the first one counts.
    AttemptEnded {
        /// Attempt that ended.
        attempt: AttemptId,
        /// Kind of end, with what is proven about the attempt.
        end: AttemptEnd,
        /// Load that the server reported in its response, if any.
        load: Load,
    },
    /// The response to a later object reported a load that [`crate::ReportThrottle::take_due`] let pass.
    LoadReport {
        /// Session that the object belongs to.
        request: RequestId,
        /// Server that answered.
        server: ServerId,
        /// Reported load.
        load: Load,
    },
    /// The request for a later object proved that the server has lost the session.
    SessionLost {
        /// Session that was lost.
        request: RequestId,
    },
    /// The player reported the end of its session.
    SessionEnded {
        /// Session that ended.
        sid: SessionId,
        /// Reason for the end.
        reason: EndReason,
        /// Load that the server reported at the end.
        load: Load,
    },
    /// A session plays already, set up by an earlier incarnation of this front. No viewer waits for an answer.
    Adopted {
        /// Request of the session. The viewer in it is ignored.
        arrival: Arrival<A>,
        /// Server where the session plays.
        server: ServerId,
    },
    /// A server reported on a session that plays there.
    SessionReport {
        /// Session that the report is about.
        sid: SessionId,
        /// Content of the report.
        report: SessionReport,
    },
    /// The server list was updated.
    ListUpdate(ListUpdate),
    /// A peer answered a knowledge request.
    PeerMessage {
        /// Sender of the message.
        peer: SocketAddr,
        /// Time at which the knowledge request was sent.
        requested_at: Duration,
        /// Nonce of the knowledge request.
        nonce: u64,
        /// Message received.
        message: Box<Message>,
    },
    /// Offset by which the clock shared by all fronts is ahead of this front's clock. Comes before any other input.
    ClockOffset(Duration),
    /// Another front observed a server and reported it at once.
    PeerReport(cloverhollow::PeerReport),
    /// The bound on the number of fronts has changed. Where fronts are not counted by leases this never comes,
    /// and the number in the settings applies.
    FleetSize {
        /// Upper bound on the number of fronts, this one included; `None` if no count is valid at the moment.
        fronts: Option<usize>,
    },
    /// The knowledge message that this front persisted before its restart.
    PersistedKnowledge(Box<Message>),
    /// History recovered from the write-ahead logs of this front's earlier incarnations. Comes before any other
    /// input, or never.
    Recovered(Box<RecoveredState>),
}
