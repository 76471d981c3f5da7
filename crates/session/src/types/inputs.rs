//! What a shell tells the core.

use super::{AttemptId, Load, Sid, ViewerId};
use crate::list::ListNews;
use cloverhollow::{RequestId, ServerId, SessionReport, SessionRequest, TitleId};
use cloverhollow_hints::{Contradictions, Faults};
use cloverhollow_knowledge::wire::Message;
use cloverhollow_recovery::Recovered;
use std::net::SocketAddr;
use std::time::Duration;

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
    pub(crate) fn call(&self, request: RequestId, deadline: Duration) -> SessionRequest {
        SessionRequest {
            id: request,
            title: self.title,
            class: self.class,
            tenant: self.tenant,
            max_rung: self.top,
            first_cell: self.first_cell,
            cell_count: self.cells,
            deadline,
            is_repeat: self.again,
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
        note: SessionReport,
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
    /// The clock that all fronts share is so far ahead of this one's; before anything else.
    Clock(Duration),
    /// What another front read of a server and told at once.
    Heard(cloverhollow::PeerReport),
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
