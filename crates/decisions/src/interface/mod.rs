//! Interface between a session manager and [`crate::SessionPolicy`]: settings, events and actions.
//!
//! Plain data. Times are [`Duration`]s on the caller's monotonic clock; rates are in kB a second.

mod settings;

pub use settings::*;
use std::time::Duration;

/// Identifier of a request, chosen by the caller and never reused.
pub type RequestId = u64;
/// Identifier of a media server, the same at every front.
pub type ServerId = u64;
/// Identifier of a title, equal for equal titles.
pub type TitleId = u64;

/// A request for a session.
#[derive(Clone, Debug, Default)]
pub struct SessionRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Requested title.
    pub title: TitleId,
    /// Index of the request's class.
    pub class: usize,
    /// Index of the request's tenant.
    pub tenant: Option<usize>,
    /// Highest rung that the viewer can play.
    pub max_rung: usize,
    /// First of the cells that hold the title.
    pub first_cell: u64,
    /// Number of consecutive cells that hold the title.
    pub cell_count: u64,
    /// Time at which the viewer stops waiting.
    pub deadline: Duration,
    /// True if the viewer repeats an earlier request.
    pub is_repeat: bool,
}

/// State of a server in the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new sessions.
    #[default]
    Serving,
    /// Finishes its sessions and accepts no new ones.
    Draining,
    /// No longer listed.
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListEntry {
    /// Identifier of the server.
    pub server: ServerId,
    /// Key that has the same value at all fronts, from which they compute time slots at a cold server. Several
    /// servers may share one.
    pub shared_key: u64,
    /// Cell of the server.
    pub cell: u64,
    /// Index of the server's kind.
    pub kind: usize,
    /// Capacity of the server's link in units of [`Settings::link_unit_kb_per_s`]; used only if
    /// [`Settings::sized_by_weight`] is set.
    pub weight: f64,
    /// State of the server.
    pub state: ServerState,
    /// Time of the server's last start; zero if that was long ago.
    pub started_at: Duration,
    /// True if the server is in another zone than the front; traffic between zones has a price.
    pub in_other_zone: bool,
}

/// Meaning of an update of the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Changed entries only.
    Patch,
    /// All entries; a server that is missing has been removed.
    Full,
    /// All entries as last known; they may be out of date.
    Stale,
    /// A request for the list failed; the known list stays in force.
    Failed,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The session was served.
    Ok,
    /// The server replied with an error.
    Error,
    /// The server was full and returned the set-up without executing it.
    Full,
    /// The server did not answer in time.
    Timeout,
    /// No connection was made; the set-up was not sent.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// The attempt was cancelled, or the viewer left.
    Cancelled,
    /// The caller did not send the set-up.
    NotSent,
}

impl AttemptOutcome {
    /// Returns true if the outcome proves that the server did not execute the set-up.
    pub fn never_executed(self) -> bool {
        matches!(self, AttemptOutcome::Full | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// Load reported by a server; `None` for a value that it did not report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Demand on the server's link, as a fraction of the link's capacity; may exceed 1.
    pub link_load: Option<f64>,
    /// Demand on the uplink of the server's rack, as a fraction of its capacity.
    pub uplink_load: Option<f64>,
}

/// Report on a playing session.
#[derive(Clone, Copy, Debug)]
pub enum SessionReport {
    /// Fraction of their rates that the sessions at this server received.
    DeliveredShare(f64),
    /// Rung in force.
    Rung(usize),
    /// Demand on the server's link, as a fraction of the link's capacity.
    LinkLoad(f64),
    /// Demand on the uplink of the server's rack, as a fraction of its capacity.
    UplinkLoad(f64),
}

/// A peer's knowledge of a server. Reported only if it is newer than this front's own.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerReport {
    /// Identifier of the server.
    pub server: ServerId,
    /// State of the server, from a newer list than this front's own; `Serving` changes nothing.
    pub state: ServerState,
    /// Time of the server's last start; zero if that was long ago or is unknown.
    pub started_at: Duration,
    /// True if the peer's last attempt at the server failed.
    pub failed: bool,
    /// True if that failure may mean that the server restarted.
    pub may_have_restarted: bool,
    /// Load that the peer read.
    pub load: LoadReport,
    /// Age of that load.
    pub load_age: Duration,
}

/// Provable history of a front's previous incarnations, passed in before any other event. A front that
/// does not receive it runs for the first time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredHistory {
    /// Ages of the known retries of previous incarnations, in any order.
    pub retry_ages: Vec<Duration>,
    /// Age up to which the list of retries is complete; [`Duration::MAX`] if it is complete.
    pub complete_for: Duration,
    /// Age of the last set-up that a previous incarnation may have sent; `None` if it sent none.
    pub last_setup_age: Option<Duration>,
    /// Time for which the server list may not yet show restarts of servers while this front was down.
    pub list_delay: Duration,
}

/// Input of a front. All events of one instant belong in one call of `step`, in order of arrival.
#[derive(Clone, Debug)]
pub enum Event {
    /// Update of the server list.
    ListUpdate(ListMode, Vec<ListEntry>),
    /// Request of a viewer for a session.
    Request(SessionRequest),
    /// Session that was already playing at a server when the front started.
    Adopted(SessionRequest, ServerId),
    /// Start of playing: request, index of the attempt, server, and the time that the set-up took.
    Playing(RequestId, u32, ServerId, Duration),
    /// Report on a playing session.
    SessionReport(RequestId, ServerId, SessionReport),
    /// End of an attempt: request, index of the attempt, server, outcome, flag, and the load that the server
    /// reported. The flag is true if the request ended with the attempt and must not be retried.
    AttemptEnded(RequestId, u32, ServerId, AttemptOutcome, bool, LoadReport),
    /// Departure of the viewer; the request needs no answer any more.
    ViewerLeft(RequestId),
    /// Expiry of the timer with this token.
    Timer(u64),
    /// Knowledge of a peer about a server.
    PeerReport(PeerReport),
    /// History of previous incarnations of this front.
    RecoveredHistory(RecoveredHistory),
    /// Time by which the clock shared by all fronts is ahead of this front's clock; zero until first set.
    ClockOffset(Duration),
    /// Upper bound of the fleet's size; the value of [`Settings`] holds until the first such event.
    FleetSize {
        /// Highest possible number of fronts that send set-ups, this one included. `None` if the number is
        /// unknown; this front then has no share of a cold server.
        max_fronts: Option<usize>,
    },
}

/// Output of a front.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Attempt the set-up at this server, for at most this time.
    Send(RequestId, ServerId, Duration),
    /// Set the rung of a session.
    SetRung(RequestId, usize),
    /// Final answer: not served, and safe to repeat after this delay.
    Refuse(RequestId, Duration),
    /// Final answer: failed, and the set-up may have been executed.
    Fail(RequestId),
    /// Raise [`Event::Timer`] with this token after this time.
    SetTimer(Duration, u64),
    /// Subscribe to the server list.
    Subscribe,
    /// Log a line for the operator.
    Log(String),
}
