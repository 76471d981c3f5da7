//! What giver and taker say to each other. Any of it may be lost, doubled, late and out of order.

use crate::{Channel, FrontId, Heard, Live, Nth, Queued};
use cloverhollow_moves::Epoch;
use serde::{Deserialize, Serialize};

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
    /// A word that came since.
    More {
        /// The step.
        epoch: Epoch,
        /// No word between this number and the word's is owed any more.
        after: Nth,
        /// It.
        word: Queued,
    },
    /// From now on it is yours. Who says it acts no more.
    Switch {
        /// The step.
        epoch: Epoch,
        /// The last number that was given out here: the taker's go on above it.
        last: Nth,
        /// Words that are still owed, in order: all of them must be there, or the switch is not taken. Others that the
        /// taker has were confirmed, or given up, since it was told of them.
        owed: Vec<Nth>,
        /// Up to where each receiver confirmed here: not to be said again.
        said: Vec<Heard>,
        /// What changed since the offer.
        live: Live,
    },
    /// It is known that it is yours: you may hand it on.
    Done {
        /// Which step.
        epoch: Epoch,
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
    /// It holds the session, and all words that are owed up to that one.
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
    /// It owns the session: said until [`ToTaker::Done`] comes.
    Owns {
        /// Of which step.
        epoch: Epoch,
    },
    /// It holds nothing up to that step, did not own it and will not.
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
