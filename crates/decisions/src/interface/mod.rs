//! The vocabulary between a session manager and [`crate::Brain`]: settings, events, actions.
//!
//! Data only. Times are [`Duration`]s on the caller's one forward-going clock; rates are kB a second.

mod settings;

pub use settings::*;
use std::time::Duration;

/// A request as the caller names it; never used twice.
pub type RequestId = u64;
/// A media server; the same at every front.
pub type ServerId = u64;
/// A title; equal for equal titles.
pub type TitleId = u64;

/// A request for a session.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Its id.
    pub request: RequestId,
    /// Its title.
    pub title: TitleId,
    /// Its class, by index.
    pub class: usize,
    /// Its tenant, by index.
    pub tenant: Option<usize>,
    /// The highest rung the viewer can use.
    pub top: usize,
    /// Where the title's cells begin.
    pub first_cell: u64,
    /// How many cells hold it.
    pub cells: u64,
    /// When the viewer stops waiting.
    pub deadline: Duration,
    /// Whether the viewer comes again.
    pub again: bool,
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listed {
    /// Takes new work.
    #[default]
    Serving,
    /// Finishes what it has.
    Draining,
    /// Is gone.
    Gone,
}

/// One entry of the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// What all fronts know it by alike; need not differ from others'.
    pub key: u64,
    /// Its cell.
    pub cell: u64,
    /// Its kind, by index.
    pub kind: usize,
    /// Its weight.
    pub weight: f64,
    /// Its state.
    pub state: Listed,
    /// When it last started; zero: long ago.
    pub started: Duration,
    /// It stands in another zone than the front: what crosses has its price.
    pub far: bool,
}

/// How a piece of list news is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Changed entries only.
    Patch,
    /// All entries; what is missing is gone.
    Whole,
    /// All entries as last known; may be old.
    Stale,
    /// An ask failed; the list stays as it was.
    Broken,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server replied with an error.
    Error,
    /// Sent back unseen.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection; never sent.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Called off, or the viewer left.
    Cancelled,
    /// Never sent by the caller.
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the set-up never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// A server's load report; absent values were not told.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// What is asked of its link over what the link gives.
    pub link: Option<f64>,
    /// The same for its rack's uplink.
    pub rack: Option<f64>,
}

/// What a note on a session says.
#[derive(Clone, Copy, Debug)]
pub enum Note {
    /// The share of their rates that sessions at this server got.
    Share(f64),
    /// The rung in force.
    Rung(usize),
    /// What is asked of the link over what it gives.
    Link(f64),
    /// The same for the rack's uplink.
    Rack(f64),
}

/// A peer's word on a server, of which this front knows nothing better itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Heard {
    /// Which server.
    pub server: ServerId,
    /// Its state, by a newer list than this front's own.
    pub state: Listed,
    /// When it last started; zero: long ago, or not told.
    pub started: Duration,
    /// The peer's last attempt there failed...
    pub failed: bool,
    /// ...in a way that may mean a restart.
    pub lost: bool,
    /// What it read, so long ago...
    pub report: Report,
    /// ...as this.
    pub age: Duration,
}

/// What a front that comes back can prove of its earlier lives, told before anything else. A front that is
/// never told this runs for the first time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Before {
    /// Ages of the further attempts that they made, as far as they are known, in any order.
    pub further: Vec<Duration>,
    /// For so long back those are all; [`Duration::MAX`]: for ever.
    pub known: Duration,
    /// How long ago they may last have sent a set-up; `None`: never.
    pub ran: Option<Duration>,
    /// For so long the list may not tell yet of servers that started anew between two lives.
    pub late: Duration,
}

/// What happens to a front. All events of one instant go into one call, in order of arrival.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    List(ListMode, Vec<Entry>),
    /// A viewer wants a session.
    Call(Call),
    /// A session that plays already when the front starts.
    Adopted(Call, ServerId),
    /// An attempt's session plays.
    Playing(RequestId, u32, ServerId, Duration),
    /// News on a session.
    Note(RequestId, ServerId, Note),
    /// An attempt ended. The flag: the request is over too.
    Ended(RequestId, u32, ServerId, Outcome, bool, Report),
    /// The viewer is gone; nothing is owed any more.
    Gone(RequestId),
    /// A timer has come due.
    Timer(u64),
    /// A peer's word on a server.
    Heard(Heard),
    /// This front ran before.
    Before(Before),
    /// The clock that all fronts share is so far ahead of this front's own. Zero until it first comes.
    Clock(Duration),
    /// Fronts that send into the fleet, this one included, at the most; `None`: nobody can say any more, and this
    /// front has no part of a cold server. Until it first comes, the settings' number holds.
    Counted {
        /// See above.
        fronts: Option<usize>,
    },
}

/// What a front does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Try to set the session up there, for at most this time.
    Send(RequestId, ServerId, Duration),
    /// Set a session's rung.
    Rung(RequestId, usize),
    /// Final answer: not served, a new try does no harm; come back after this.
    Refuse(RequestId, Duration),
    /// Final answer: failed, may have run.
    Fail(RequestId),
    /// Call `Event::Timer` with this token after this time.
    Timer(Duration, u64),
    /// Subscribe to the list.
    Subscribe,
    /// One line for whoever is on call.
    Log(String),
}
