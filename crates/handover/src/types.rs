//! Names, what a front holds for a live session, and the messages.

use cloverhollow_moves::Epoch;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Most words that wait for one session's viewer or servers.
pub const MOST_WORDS: usize = 64;
/// Most objects asked for and not yet answered, of one session.
pub const MOST_ASKED: usize = 16;

/// Most bytes of a session's name (CTA-5004 has 64 characters at the most).
pub const MOST_SID: usize = 256;
/// Most receivers of one session: its viewer, the servers that it plays and played at.
pub const MOST_WAYS: usize = 8;

/// A front, one life of it: a process that is started anew is another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FrontId(pub u64);

/// The settings under which a session began: it keeps them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// The place of a word in its session's row; from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nth(pub u64);

impl Nth {
    /// The first number that the owner of a step gives out, less one.
    ///
    /// Numbers carry their step in the upper half, so those of two owners never meet: a front that goes on after its
    /// taker died does not know what that one gave out.
    pub fn before(epoch: Epoch) -> Nth {
        Nth(u64::from(epoch.0) << 32)
    }

    /// The one after it, given out in that step.
    pub fn next_in(self, epoch: Epoch) -> Nth {
        Nth(self.max(Nth::before(epoch)).0.saturating_add(1))
    }
}

/// What a receiver does with a copy of a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// It confirms by number and drops what it has seen ([`crate::Ear`]): a switch need not wait for it.
    Numbered,
    /// An old protocol: it takes all that comes. A switch waits until each word that was written is confirmed, or its
    /// connection is known to be closed.
    Plain,
}

/// Up to where a receiver has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Heard {
    /// Who.
    pub by: For,
    /// Which kind it is.
    pub kind: Kind,
    /// All its words up to this one.
    pub upto: Nth,
}

/// For whom a word is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum For {
    /// The viewer.
    Viewer,
    /// A video server, as the list names it.
    Server(u64),
}

/// What is to be said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Saying {
    /// To the viewer: another rung from now on.
    Rung(u8),
    /// To the viewer: come back after so long, ms.
    ComeBack(u32),
    /// To the viewer: the session plays at that front from now on.
    PlaysAt(FrontId),
    /// To a server: the session is over.
    End,
    /// To a server: what is its load?
    LoadAsked,
}

impl Saying {
    /// Whether a receiver that hears it twice is none the worse: then it is said again to one that can neither drop a
    /// copy nor confirm. One that does harm is said at most once.
    pub fn repeats(self) -> bool {
        match self {
            // The last rung holds, a session ends once, a load is told again.
            Saying::Rung(_) | Saying::PlaysAt(_) | Saying::End | Saying::LoadAsked => true,
            // It counts from when it is heard: a copy would put the viewer off anew.
            Saying::ComeBack(_) => false,
        }
    }
}

/// A word that its receiver has not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Queued {
    /// Its place in the row.
    pub nth: Nth,
    /// For whom.
    pub to: For,
    /// What.
    pub what: Saying,
}

/// An attempt at setting the session up, or what is known of the last one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Attempt {
    /// None was made.
    #[default]
    None,
    /// It is out: only its owner hears its answer, so the session is not handed on before that.
    Out {
        /// Where.
        server: u64,
    },
    /// It may have run: a paid one is never made again.
    Ran {
        /// Where.
        server: u64,
    },
    /// A front that may have owned the session died: one may have run, nobody knows where.
    Unknown,
}

/// What of a session may change between its offer and its switch.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Live {
    /// What is known of its attempts.
    pub attempt: Attempt,
    /// Further attempts spent on it.
    pub further: u16,
    /// Where it plays.
    pub server: Option<u64>,
    /// Its rung.
    pub rung: u8,
    /// Objects asked for and not yet answered, oldest first; [`MOST_ASKED`] at the most.
    pub asked: Vec<u64>,
}

/// What a front holds for a live session.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Channel {
    /// The session, as its player names it.
    pub sid: Arc<str>,
    /// Its class and title: the seat.
    pub class: u16,
    /// See above.
    pub title: u64,
    /// The tenant, by its index in the settings.
    pub tenant: Option<u16>,
    /// Whether its set-up was paid for.
    pub paid: bool,
    /// Its attempts, where it plays, its rung (what the ledger prices), the objects asked for.
    pub live: Live,
    /// Words not yet taken, in order.
    pub words: Vec<Queued>,
    /// Up to where each receiver has confirmed; [`MOST_WAYS`] at the most.
    pub heard: Vec<Heard>,
    /// The last number given out.
    pub last: Nth,
    /// The settings that it began under.
    pub generation: Generation,
}

impl Channel {
    /// Whether it is within its bounds, but for its words, which [`crate::Row::of`] looks at.
    pub fn fits(&self) -> bool {
        self.sid.len() <= MOST_SID && self.live.asked.len() <= MOST_ASKED
    }
}
