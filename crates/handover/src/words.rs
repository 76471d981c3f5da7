//! The numbered row of one session's words: said in order, kept until confirmed.

use crate::ear::Say;
use crate::{For, Heard, Kind, Nth, Queued, Saying, MOST_WAYS, MOST_WORDS};
use cloverhollow_moves::Epoch;
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// Why a word is not taken down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoWord {
    /// [`MOST_WORDS`] wait.
    #[error("{MOST_WORDS} words wait already")]
    Full,
    /// [`MOST_WAYS`] receivers have words that wait.
    #[error("words wait for {MOST_WAYS} receivers already")]
    Ways,
    /// This front does not own the session.
    #[error("another front speaks for the session")]
    NotOurs,
}

/// What must hold of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BrokenRow {
    /// Numbers do not rise.
    #[error("words out of order at {0:?}")]
    Order(Nth),
    /// More than bounds allow.
    #[error("past its bounds: {0} words, {1} receivers")]
    Bound(usize, usize),
    /// A word is kept that its receiver has confirmed, or is past the last number, or has no receiver.
    #[error("a word that should not be there: {0:?}")]
    Stray(Nth),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Way {
    kind: Kind,
    said: Nth,
    /// Written on the connection that is open; at least `said`.
    wrote: Nth,
    open: bool,
}

/// The row.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Row {
    words: VecDeque<Queued>,
    ways: BTreeMap<For, Way>,
    last: Nth,
}

impl Row {
    /// A row as another front held it; `None`: it is past the bounds, or its numbers do not rise.
    pub fn of(words: &[Queued], heard: &[Heard], last: Nth) -> Option<Row> {
        let way = |h: &Heard| (h.by, Way { kind: h.kind, said: h.upto, wrote: h.upto, open: false });
        let mut row =
            Row { words: words.iter().copied().collect(), ways: heard.iter().map(way).collect(), last };
        for word in words {
            row.way(word.to);
        }
        row.check().is_ok().then_some(row)
    }

    fn way(&mut self, to: For) -> &mut Way {
        let fresh = Way { kind: Kind::Plain, said: Nth(0), wrote: Nth(0), open: false };
        self.ways.entry(to).or_insert(fresh)
    }

    /// The last number given out or taken over.
    pub fn last(&self) -> Nth {
        self.last
    }

    /// Words that are not confirmed, in order.
    pub fn owed(&self) -> impl Iterator<Item = &Queued> {
        self.words.iter()
    }

    /// Up to where each receiver has confirmed.
    pub fn heard(&self) -> Vec<Heard> {
        self.ways.iter().map(|(by, w)| Heard { by: *by, kind: w.kind, upto: w.said }).collect()
    }

    /// Takes a new word down, numbered for the owner's step.
    pub fn push(&mut self, epoch: Epoch, to: For, what: Saying) -> Result<Queued, NoWord> {
        if self.words.len() >= MOST_WORDS {
            return Err(NoWord::Full);
        }
        if !self.ways.contains_key(&to) && self.ways.len() >= MOST_WAYS {
            // Who has confirmed all and is not connected may be forgotten: nothing of its can be said twice.
            let idle = |f: &For, w: &Way| !w.open && self.words.iter().all(|q| q.to != *f);
            let Some(idle) = self.ways.iter().find(|(f, w)| idle(f, w)).map(|(f, _)| *f) else {
                return Err(NoWord::Ways);
            };
            self.ways.remove(&idle);
        }
        self.way(to);
        let word = Queued { nth: self.last.next_in(epoch), to, what };
        self.last = word.nth;
        self.words.push_back(word);
        Ok(word)
    }

    /// Keeps a word that the owner gave out, if all before it is there.
    pub fn put(&mut self, after: Nth, word: Queued) -> bool {
        if word.nth <= self.last {
            return true;
        }
        let room = self.ways.contains_key(&word.to) || self.ways.len() < MOST_WAYS;
        if after > self.last || self.words.len() >= MOST_WORDS || !room {
            return false;
        }
        self.way(word.to);
        self.last = word.nth;
        self.words.push_back(word);
        true
    }

    /// A receiver has all up to there. One that does not count confirms only what was written to it.
    pub fn confirm(&mut self, to: For, upto: Nth) {
        let last = self.last;
        let Some(way) = self.ways.get_mut(&to) else { return };
        let upto = upto.min(if way.kind == Kind::Plain { way.wrote } else { last });
        way.said = way.said.max(upto);
        way.wrote = way.wrote.max(way.said);
        self.words.retain(|q| q.to != to || q.nth > upto);
    }

    /// Goes on from where another front was: `None`, and nothing changed, if a word that is owed there is not here.
    pub fn go_on(&mut self, last: Nth, owed: &[Nth], heard: &[Heard]) -> Option<()> {
        let words: Vec<Queued> = self.words.iter().filter(|q| owed.contains(&q.nth)).copied().collect();
        if words.len() != owed.len() {
            return None;
        }
        *self = Row::of(&words, heard, last.max(self.last))?;
        Some(())
    }

    /// A connection to a receiver stands.
    pub fn open(&mut self, to: For, kind: Kind) {
        if self.ways.contains_key(&to) || self.ways.len() < MOST_WAYS {
            let way = self.way(to);
            (way.kind, way.open, way.wrote) = (kind, true, way.said);
        }
    }

    /// It is known to be closed: what was written on it and not confirmed is said again on the next one. One that does
    /// not count may have taken it: what does harm twice is not said again.
    pub fn shut(&mut self, to: For) {
        let Some(way) = self.ways.get_mut(&to) else { return };
        let (kind, wrote) = (way.kind, way.wrote);
        (way.open, way.wrote) = (false, way.said);
        let gone = |q: &Queued| kind == Kind::Plain && q.nth <= wrote && !q.what.repeats();
        self.words.retain(|q| q.to != to || !gone(q));
    }

    /// Another front may have said any of it, and died: what does harm twice is not said to who does not count.
    pub fn doubt(&mut self) {
        let ways = &self.ways;
        let counts = |to: &For| ways.get(to).is_some_and(|w| w.kind == Kind::Numbered);
        self.words.retain(|q| q.what.repeats() || counts(&q.to));
    }

    /// What is to be written now. `hold`: nothing to receivers that do not count, a switch is near.
    pub fn due(&mut self, hold: bool) -> Vec<Say> {
        let ways: Vec<For> = self.ways.iter().filter(|(_, w)| w.open).map(|(f, _)| *f).collect();
        ways.into_iter().flat_map(|to| self.due_to(to, hold)).collect()
    }

    fn due_to(&mut self, to: For, hold: bool) -> Vec<Say> {
        let Some(way) = self.ways.get_mut(&to) else { return Vec::new() };
        if hold && way.kind == Kind::Plain {
            return Vec::new();
        }
        let mut after = way.said;
        let mut all = Vec::new();
        for q in self.words.iter().filter(|q| q.to == to) {
            if q.nth > way.wrote {
                all.push(Say { to, nth: q.nth, after, what: q.what });
                way.wrote = q.nth;
            }
            after = q.nth;
        }
        all
    }

    /// Time to say again: to those that count, from the first that is not confirmed.
    pub fn again(&mut self) {
        for way in self.ways.values_mut().filter(|w| w.kind == Kind::Numbered) {
            way.wrote = way.said;
        }
    }

    /// Receivers that do not count, with a word written of which it is not known whether it was taken.
    pub fn unsure(&self) -> Vec<For> {
        let unsure = |w: &Way| w.kind == Kind::Plain && w.open && w.wrote > w.said;
        self.ways.iter().filter(|(_, w)| unsure(w)).map(|(f, _)| *f).collect()
    }

    /// Whether a connection to that receiver stands.
    pub fn is_open(&self, to: For) -> bool {
        self.ways.get(&to).is_some_and(|w| w.open)
    }

    /// What must hold.
    pub fn check(&self) -> Result<(), BrokenRow> {
        if self.words.len() > MOST_WORDS || self.ways.len() > MOST_WAYS {
            return Err(BrokenRow::Bound(self.words.len(), self.ways.len()));
        }
        let mut before = Nth(0);
        for q in &self.words {
            if q.nth <= before {
                return Err(BrokenRow::Order(q.nth));
            }
            before = q.nth;
            if q.nth > self.last || self.ways.get(&q.to).is_none_or(|w| q.nth <= w.said) {
                return Err(BrokenRow::Stray(q.nth));
            }
        }
        Ok(())
    }
}
