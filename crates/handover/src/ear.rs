//! A word as a receiver gets it, and the receiver's side.

use crate::{For, Nth, Saying};
use serde::{Deserialize, Serialize};

/// A word as its receiver gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Say {
    /// For whom.
    pub to: For,
    /// Its number.
    pub nth: Nth,
    /// The one before it for this receiver that is not known to be taken, or the last that is.
    pub after: Nth,
    /// What.
    pub what: Saying,
}

/// What becomes of a word at a receiver that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Took {
    /// It is news: do what it says, confirm its number.
    Taken,
    /// It was there before: confirm, do nothing.
    Copy,
    /// One before it is missing: confirm what is there, do nothing; it comes again in order.
    Gap,
}

/// A receiver's side, of one that counts: whoever says the words, each is taken once and in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ear {
    seen: Nth,
}

impl Ear {
    /// Takes a word, or not.
    pub fn take(&mut self, say: &Say) -> Took {
        if say.nth <= self.seen {
            return Took::Copy;
        }
        // Guards against a word that overtook another: the later one would be done first, the earlier one never.
        if say.after > self.seen {
            return Took::Gap;
        }
        self.seen = say.nth;
        Took::Taken
    }

    /// What it confirms: all up to this one; also said first on each new connection.
    pub fn seen(&self) -> Nth {
        self.seen
    }
}
