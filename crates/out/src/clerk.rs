//! A witness's side: what it promised, what it took, and since when it has had each lease.
//!
//! A witness that starts without what it kept has forgotten promises and values. What keeps that harmless,
//! beside the majority that did not forget:
//!
//! - all tries that began before it stopped are over when it has waited: an asker uses promises for [`ROUND`]
//!   after its question went out, a witness takes a value for [`ROUND`] after its promise, and only with the
//!   life that promised in it;
//! - all leases that it may have forgotten are over by then too;
//! - it counts as seeing again only when it has taken a value that it promised after it had waited. That one
//!   was built on the answers of a majority that saw, so it is no older than anything that it took before it
//!   forgot.

use crate::types::*;
use crate::words::Word;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a disk keeps of a witness: written before its answer goes out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kept {
    /// The highest try that it promised.
    pub promised: Ballot,
    /// What it took last.
    pub taken: Option<(Ballot, Register)>,
    /// It was not one that had forgotten.
    pub sees: bool,
}

/// How long one that forgot is blind, where no lease is longer than that.
pub fn blind_for(longest: Duration) -> Duration {
    hold(longest) + ROUND * 4
}

/// A witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Clerk {
    me: SocketAddr,
    life: u64,
    longest: Duration,
    waited_at: Duration,
    sees: bool,
    promised: Ballot,
    /// When it first promised that, in this life.
    promised_at: Option<Duration>,
    taken: Option<(Ballot, Register)>,
    since: BTreeMap<Id, Duration>,
}

impl Clerk {
    /// One that starts now. `me`: as the settings name it; `life`: drawn at the start; `longest`: no lease is
    /// longer, at all witnesses alike; `kept`: what its disk kept, if anything.
    pub fn new(now: Duration, me: SocketAddr, life: u64, longest: Duration, kept: Option<Kept>) -> Clerk {
        let Kept { promised, taken, sees } = kept.unwrap_or_default();
        let waited_at = now + blind_for(longest);
        let (since, promised_at) = (BTreeMap::new(), None);
        let mut clerk = Clerk { me, life, longest, waited_at, sees, promised, promised_at, taken, since };
        clerk.count_from(now);
        clerk
    }

    /// What its word counts for.
    pub fn sight(&self, now: Duration) -> Sight {
        match self.sees {
            true => Sight::Sees,
            false if now >= self.waited_at => Sight::Waited,
            false => Sight::Blind,
        }
    }

    /// A word came: the answer and where it goes.
    pub fn word(&mut self, now: Duration, word: &Word) -> Option<(SocketAddr, Word)> {
        match word {
            Word::Prepare { ballot, reply } => Some((*reply, self.prepare(now, *ballot))),
            Word::Accept { ballot, reply, life, value } => {
                Some((*reply, self.accept(now, *ballot, *life, value)?))
            }
            _ => None,
        }
    }

    fn prepare(&mut self, now: Duration, ballot: Ballot) -> Word {
        let witness = self.me;
        if ballot < self.promised {
            return Word::Outbid { ballot, witness, promised: self.promised };
        }
        if ballot > self.promised || self.promised_at.is_none() {
            (self.promised, self.promised_at) = (ballot, Some(now));
        }
        let (lapsed, sight) = (self.lapsed(now), self.sight(now));
        Word::Promise { ballot, witness, life: self.life, taken: self.taken.clone(), lapsed, sight }
    }

    fn accept(&mut self, now: Duration, ballot: Ballot, life: u64, value: &Register) -> Option<Word> {
        let witness = self.me;
        if ballot < self.promised {
            return Some(Word::Outbid { ballot, witness, promised: self.promised });
        }
        if self.taken.as_ref().is_none_or(|t| t.0 < ballot) {
            // Guards against a value that comes so late that what its try rests on may have been forgotten.
            let promised = self.promised_at.filter(|_| ballot == self.promised && life == self.life)?;
            let in_time = now <= promised + ROUND;
            if !in_time || value.check().is_err() || value.longest() > self.longest {
                return None;
            }
            self.sees |= promised >= self.waited_at;
            self.taken = Some((ballot, value.clone()));
            self.count_from(now);
        }
        Some(Word::Accepted { ballot, witness, sight: self.sight(now) })
    }

    fn leases(&self) -> impl Iterator<Item = (usize, Id, Duration)> + '_ {
        let value = self.taken.iter().map(|t| &t.1);
        let permits = value.clone().flat_map(|v| v.permits.iter().enumerate());
        let release = value.filter_map(|v| v.release).map(|r| (MOST_PERMITS, r.id(), r.hold()));
        permits.map(|(n, p)| (n, p.id(), p.hold())).chain(release)
    }

    /// Counts each lease's age from when this very one was first taken.
    fn count_from(&mut self, now: Duration) {
        let old = std::mem::take(&mut self.since);
        let since = self.leases().map(|(_, id, _)| (id, old.get(&id).copied().unwrap_or(now))).collect();
        self.since = since;
    }

    fn lapsed(&self, now: Duration) -> u32 {
        let over = |(_, id, hold): &(usize, Id, Duration)| {
            self.since.get(id).is_some_and(|since| now.saturating_sub(*since) > *hold)
        };
        self.leases().filter(over).fold(0, |bits, (n, _, _)| bits | 1 << n)
    }

    /// Where it is, as the settings name it.
    pub fn me(&self) -> SocketAddr {
        self.me
    }

    /// What a disk keeps.
    pub fn kept(&self) -> Kept {
        Kept { promised: self.promised, taken: self.taken.clone(), sees: self.sees }
    }

    /// What it took last.
    pub fn taken(&self) -> Option<&Register> {
        self.taken.as_ref().map(|t| &t.1)
    }

    /// # Errors
    /// An invariant that does not hold.
    pub fn check(&self) -> Result<(), Broken> {
        let is = |good, what| holds(good, "clerk", self.me.port().into(), what);
        is(self.taken.as_ref().is_none_or(|t| t.0 <= self.promised), "nothing taken above what it promised")?;
        is(self.leases().count() == self.since.len(), "an age for each lease, and no more")?;
        self.taken().map_or(Ok(()), Register::check)
    }
}
