//! Names, what a front holds for a live session, and the messages.

use cloverhollow_moves::Epoch;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Most words that wait for one session's viewer or servers.
pub const MOST_WORDS: usize = 64;
/// Most objects asked for and not yet answered, of one session.
pub const MOST_ASKED: usize = 16;

/// A front, one life of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FrontId(pub u64);

/// The settings under which a session began: it keeps them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// The place of a word in its session's row; from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nth(pub u64);

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
    /// What is known of its attempts.
    pub attempt: Attempt,
    /// Further attempts spent on it.
    pub further: u16,
    /// Where it plays.
    pub server: Option<u64>,
    /// Its rung: what the ledger prices.
    pub rung: u8,
    /// Objects asked for and not yet answered, by their number in the session, oldest first.
    pub asked: Vec<u64>,
    /// Words not yet taken, in order.
    pub words: Vec<Queued>,
    /// The last number given out.
    pub last: Nth,
    /// The settings that it began under.
    pub generation: Generation,
}

/// From giver to taker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ToTaker {
    /// Take this session over: hold it, do nothing with it yet.
    Offer {
        /// The step.
        epoch: Epoch,
        /// Who offers.
        giver: FrontId,
        /// What is held.
        channel: Channel,
    },
    /// A word, or an object asked for, that came since.
    More {
        /// The step.
        epoch: Epoch,
        /// It.
        word: Queued,
    },
    /// From now on it is yours.
    Switch {
        /// The step.
        epoch: Epoch,
        /// The last number that was given out here: all up to it must be there, or the switch is not taken.
        last: Nth,
        /// Words up to this were confirmed by their receivers here: not to be said again.
        said: Nth,
    },
    /// Let go of it: it stays here, or is over.
    Withdraw {
        /// All steps up to this one.
        epoch: Epoch,
    },
}

/// From taker to giver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ToGiver {
    /// It holds the session, and all words up to that one.
    Held {
        /// Of which step.
        epoch: Epoch,
        /// See above.
        upto: Nth,
    },
    /// It can't: full, going out itself, or no way to the server.
    Refused {
        /// Of which step.
        epoch: Epoch,
        /// Why.
        why: WhyNot,
    },
    /// It owns the session.
    Owns {
        /// Of which step.
        epoch: Epoch,
    },
    /// It holds nothing up to that step.
    LetGo {
        /// Which.
        epoch: Epoch,
    },
}

/// Why a front does not take a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WhyNot {
    /// No room for it.
    Full,
    /// It goes out itself.
    GoingOut,
    /// It does not reach the session's server.
    NoWay,
    /// It does not have the settings that the session began under.
    Generation,
    /// It has or had a later step of it.
    Later,
}
