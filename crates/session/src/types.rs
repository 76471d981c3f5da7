//! The vocabulary between a shell and the [`crate::Core`].

use crate::list::ListNews;
use crate::routes::Route;
use cloverhollow::{Call, Note, Report, RequestId, ServerId, TitleId};
use cloverhollow_hints::{Contradictions, Faults};
use cloverhollow_knowledge::wire::Message;
use cloverhollow_knowledge::{Level, MergeError};
use cloverhollow_recovery::{Deed, Recovered};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A playback session as its player names it (CMCD `sid`).
pub type Sid = Arc<str>;

/// One request of a viewer that waits for its answer; the shell never uses a number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewerId(pub u64);

/// One attempt at setting a session up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The session, as the decision module names it.
    pub request: RequestId,
    /// Its number within the session, from 0.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

/// What a server's answer told of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// What is asked of its link over what the link gives.
    pub link: Option<f64>,
    /// The same for its rack's uplink.
    pub rack: Option<f64>,
    /// The share of its rate that the session gets, 1 at most.
    pub share: Option<f64>,
}

impl Load {
    /// As the decision module takes it with an attempt's end.
    pub(crate) fn report(self) -> Report {
        Report { link: self.link, rack: self.rack }
    }
}

/// A request of a session, read from hints and path by [`crate::arrival::read`].
#[derive(Clone, Debug)]
pub struct Arrival<A> {
    /// Who waits.
    pub viewer: ViewerId,
    /// The playback session.
    pub sid: Sid,
    /// The title.
    pub title: TitleId,
    /// The class, by its index in the settings.
    pub class: usize,
    /// The tenant, by its index in the settings.
    pub tenant: Option<usize>,
    /// The highest rung that the viewer can use.
    pub top: usize,
    /// Where the title's cells begin.
    pub first_cell: u64,
    /// How many cells hold it.
    pub cells: u64,
    /// The viewer says that it comes again.
    pub again: bool,
    /// How long the viewer waits, from now.
    pub patience: Duration,
    /// The hints say that it plays already: somebody has set it up.
    pub underway: bool,
    /// Hints that could not be used.
    pub faults: Faults,
    /// Hints that contradicted each other.
    pub contradictions: Contradictions,
    /// What the shell needs to ask a server for it.
    pub ask: A,
}

impl<A> Arrival<A> {
    /// As the decision module is told of it.
    pub(crate) fn call(&self, request: RequestId, deadline: Duration) -> Call {
        Call {
            request,
            title: self.title,
            class: self.class,
            tenant: self.tenant,
            top: self.top,
            first_cell: self.first_cell,
            cells: self.cells,
            deadline,
            again: self.again,
        }
    }
}

/// What is proven of an attempt that did not come to play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection could be made: no byte was sent.
    NotConnected,
    /// It was recalled before its first byte went out.
    NeverSent,
    /// The server said that it did not run.
    Full,
    /// The server answered with an error: it may have run.
    Error {
        /// The status.
        status: u16,
    },
    /// The connection broke after the first byte: it may have run.
    Reset,
    /// It was recalled after its first byte: it may have run or be running.
    Unanswered,
    /// It could not be taken down that it goes out: it never did.
    NotKept,
}

/// Why a session that played is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverWhy {
    /// The player said that the content ended.
    Ended,
    /// The player said that the viewer quit.
    Quit,
    /// The player said that it failed.
    Fatal,
    /// Nothing was heard of it for the settings' time.
    Idle,
    /// Its server lost it.
    Lost,
}

/// What happened, as the shell saw it. `A` is what it needs to ask a server, `B` an answer under way.
#[derive(Debug)]
pub enum Input<A, B> {
    /// A request of a session that has no route yet.
    Arrived(Arrival<A>),
    /// A viewer that waited has closed its connection.
    HungUp {
        /// Who.
        viewer: ViewerId,
        /// Of which session.
        sid: Sid,
    },
    /// An attempt's answer has begun: the session plays.
    Playing {
        /// Which attempt.
        attempt: AttemptId,
        /// What the answer told.
        load: Load,
        /// The answer itself.
        answer: B,
    },
    /// An attempt ended otherwise. Exactly one of this and `Playing` for each [`Command::Send`]; after a
    /// recall both may come, the first one counts.
    AttemptEnded {
        /// Which attempt.
        attempt: AttemptId,
        /// What is proven of it.
        end: AttemptEnd,
        /// What an answer told.
        load: Load,
    },
    /// A later object's answer told the load, and [`crate::Gauge::due`] found it due.
    Reading {
        /// The session.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// What it told.
        load: Load,
    },
    /// A later object proved that the server has lost the session.
    Lost {
        /// The session.
        request: RequestId,
    },
    /// The player says that its session is over.
    Over {
        /// Which session.
        sid: Sid,
        /// Why.
        why: OverWhy,
        /// What its server told with it.
        load: Load,
    },
    /// A session plays already, as an earlier life of this front set it up; nobody waits for an answer.
    Adopted {
        /// The session; its viewer is not looked at.
        arrival: Arrival<A>,
        /// Where it plays.
        server: ServerId,
    },
    /// A server's word on a session that plays there.
    Note {
        /// The session.
        sid: Sid,
        /// What it says.
        note: Note,
    },
    /// News of the server list.
    List(ListNews),
    /// A peer's answer to a question.
    Told {
        /// Whose.
        peer: SocketAddr,
        /// When the question went out.
        asked_at: Duration,
        /// What it was asked with.
        nonce: u64,
        /// The answer.
        message: Box<Message>,
    },
    /// How many fronts there are at the most, itself included, by a count that holds now; `None`: none holds any more.
    /// Where fronts are not counted it never comes, and the settings' number holds.
    Counted {
        /// See above.
        fronts: Option<usize>,
    },
    /// The message that this front itself kept before its start.
    Remembered(Box<Message>),
    /// What is proven of this front's earlier lives; before anything else, or never.
    Recovered(Box<Recovered>),
}

/// Why an attempt is recalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecallWhy {
    /// Its time is up: close it whether it was sent or not.
    TimedOut,
    /// Its viewer has gone: close it whether it was sent or not.
    HungUp,
    /// Its server drains or is gone: only if its first byte has not gone out. Else nothing happens.
    Drained,
}

/// A set-up to be sent.
#[derive(Clone, Debug)]
pub struct Setup<A> {
    /// Which attempt.
    pub attempt: AttemptId,
    /// Which server.
    pub server: ServerId,
    /// Where it is.
    pub address: SocketAddr,
    /// The playback session.
    pub sid: Sid,
    /// The rung.
    pub rung: usize,
    /// Its rate, kbps.
    pub kbps: u32,
    /// It may take effect once only.
    pub paid: bool,
    /// What must be taken down before its first byte goes out, if anything.
    pub deed: Option<Deed>,
    /// How long its answer is waited for, from now.
    pub within: Duration,
    /// If its first byte has not gone out by then, it never goes out.
    pub until: Duration,
    /// What the shell needs.
    pub ask: A,
}

/// Why a viewer gets no session, as a token for `CMSD-Dynamic`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No server with room at any rung, or none left to try.
    NoRoom,
    /// No server is known that takes new work.
    NoServers,
    /// The front holds as many sessions as it may.
    FrontFull,
    /// Too many requests of this session wait already.
    TooManyWaiting,
    /// The session was set up before and may not be set up again.
    SetUpBefore,
    /// An attempt may have run, its answer did not come.
    Unanswered,
    /// An attempt may have run and failed.
    ServerFailed,
    /// The request's own time was up while the session was being set up.
    TimeUp,
    /// It cannot be taken down that a set-up goes out: none does.
    NotKept,
    /// This front came back and cannot prove which paid sessions its last life set up.
    Unproven,
}

impl Reason {
    /// All of them, in the order of their counts.
    pub const ALL: [Reason; 10] = [
        Reason::NoRoom,
        Reason::NoServers,
        Reason::FrontFull,
        Reason::TooManyWaiting,
        Reason::SetUpBefore,
        Reason::Unanswered,
        Reason::ServerFailed,
        Reason::TimeUp,
        Reason::NotKept,
        Reason::Unproven,
    ];

    /// Its token.
    pub fn token(self) -> &'static str {
        match self {
            Reason::NoRoom => "no-room",
            Reason::NoServers => "no-servers",
            Reason::FrontFull => "front-full",
            Reason::TooManyWaiting => "too-many-waiting",
            Reason::SetUpBefore => "set-up-before",
            Reason::Unanswered => "unanswered",
            Reason::ServerFailed => "server-failed",
            Reason::TimeUp => "time-up",
            Reason::NotKept => "not-kept",
            Reason::Unproven => "unproven",
        }
    }
}

/// The one final answer to a waiting request.
#[derive(Debug)]
pub enum Answer<B> {
    /// The set-up's own answer.
    Stream {
        /// Its route, for what the answer says of it.
        route: Arc<Route>,
        /// The answer under way.
        answer: B,
    },
    /// The session plays: ask its server as for any later object.
    Follow(Arc<Route>),
    /// No session, and nothing ran: come back after this.
    Refused {
        /// The hold-off.
        after: Duration,
        /// Why.
        reason: Reason,
    },
    /// No session, and something may have run. `late`: no answer came in time.
    Failed {
        /// Whether it was for want of time.
        late: bool,
        /// Why.
        reason: Reason,
    },
}

impl<B> Answer<B> {
    /// As a token for logs.
    pub fn word(&self) -> &'static str {
        match self {
            Answer::Stream { .. } => "plays",
            Answer::Follow(_) => "follow",
            Answer::Refused { reason, .. } | Answer::Failed { reason, .. } => reason.token(),
        }
    }
}

/// What the shell is to do, in order.
#[derive(Debug)]
pub enum Command<A, B> {
    /// Send a set-up. The shell reports its end exactly once.
    Send(Setup<A>),
    /// Recall an attempt.
    Recall {
        /// Which attempt.
        attempt: AttemptId,
        /// Why.
        why: RecallWhy,
    },
    /// Answer a waiting request.
    Answer {
        /// Who waits.
        viewer: ViewerId,
        /// What it gets.
        answer: Answer<B>,
    },
    /// Take this down for later lives; nobody waits for it.
    Keep(Deed),
    /// Tell a server that a session is over, so that it lets go of what it may hold.
    Release {
        /// Where the server is.
        address: SocketAddr,
        /// Which server.
        server: ServerId,
        /// Which session.
        sid: Sid,
    },
    /// A session that played is over.
    Over {
        /// Which session.
        sid: Sid,
        /// Where it played.
        server: ServerId,
        /// Why.
        why: OverWhy,
    },
    /// A session that plays has another rung from now on.
    Rung {
        /// Where it plays.
        server: ServerId,
        /// Which session.
        sid: Sid,
        /// The rung.
        rung: usize,
    },
    /// A peer's answer was merged, or refused whole.
    Merged {
        /// Whose.
        peer: SocketAddr,
        /// How warm the peer is, its last change, and the peers that it knows.
        outcome: Result<PeerSaid, MergeError>,
    },
}

/// What a merged answer says of its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSaid {
    /// How warm it is.
    pub level: Level,
    /// Number of its last change: what the next delta is asked after.
    pub seq: u64,
    /// Peers that it knows.
    pub peers: Vec<SocketAddr>,
}

/// How many of each are kept: flat over the months, or there is a leak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)] // the names say it
pub struct Kept {
    pub servers: usize,
    pub gauges: usize,
    pub sessions: usize,
    pub timers: usize,
}
