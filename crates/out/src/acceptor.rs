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

use crate::message::Message;
use crate::types::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a disk keeps of a witness: written before its answer goes out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistedState {
    /// The highest try that it promised.
    pub promised: Ballot,
    /// What it took last.
    #[serde(rename = "taken")]
    pub accepted: Option<(Ballot, Register)>,
    /// It was not one that had forgotten.
    #[serde(rename = "sees")]
    pub is_current: bool,
}

/// How long one that forgot is blind, where no lease is longer than that.
pub fn recovery_time(longest: Duration) -> Duration {
    hold_time(longest) + ROUND_TIMEOUT * 4
}

/// A witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    me: SocketAddr,
    life: u64,
    longest: Duration,
    waited_at: Duration,
    sees: bool,
    promised: Ballot,
    /// When it first promised that, in this life.
    promised_at: Option<Duration>,
    taken: Option<(Ballot, Register)>,
    since: BTreeMap<LeaseId, Duration>,
}

impl Acceptor {
    /// One that starts now. `me`: as the settings name it; `life`: drawn at the start; `longest`: no lease is
    /// longer, at all witnesses alike; `kept`: what its disk kept, if anything.
    pub fn new(
        now: Duration,
        me: SocketAddr,
        life: u64,
        longest: Duration,
        kept: Option<PersistedState>,
    ) -> Acceptor {
        let PersistedState { promised, accepted: taken, is_current: sees } = kept.unwrap_or_default();
        let waited_at = now + recovery_time(longest);
        let (since, promised_at) = (BTreeMap::new(), None);
        let mut clerk = Acceptor { me, life, longest, waited_at, sees, promised, promised_at, taken, since };
        clerk.count_from(now);
        clerk
    }

    /// What its word counts for.
    pub fn memory_state(&self, now: Duration) -> MemoryState {
        match self.sees {
            true => MemoryState::Current,
            false if now >= self.waited_at => MemoryState::WaitedOut,
            false => MemoryState::Recovering,
        }
    }

    /// A word came: the answer and where it goes.
    pub fn handle_message(&mut self, now: Duration, word: &Message) -> Option<(SocketAddr, Message)> {
        match word {
            Message::Prepare { ballot, reply_to: reply } => Some((*reply, self.prepare(now, *ballot))),
            Message::Accept { ballot, reply_to: reply, incarnation: life, value } => {
                Some((*reply, self.accept(now, *ballot, *life, value)?))
            }
            _ => None,
        }
    }

    fn prepare(&mut self, now: Duration, ballot: Ballot) -> Message {
        let witness = self.me;
        if ballot < self.promised {
            return Message::Rejected { ballot, witness, promised: self.promised };
        }
        if ballot > self.promised || self.promised_at.is_none() {
            (self.promised, self.promised_at) = (ballot, Some(now));
        }
        let (expired_leases, memory) = (self.lapsed(now), self.memory_state(now));
        Message::Promise {
            ballot,
            witness,
            incarnation: self.life,
            accepted: self.taken.clone(),
            expired_leases,
            memory,
        }
    }

    fn accept(&mut self, now: Duration, ballot: Ballot, life: u64, value: &Register) -> Option<Message> {
        let witness = self.me;
        if ballot < self.promised {
            return Some(Message::Rejected { ballot, witness, promised: self.promised });
        }
        if self.taken.as_ref().is_none_or(|t| t.0 < ballot) {
            // Guards against a value that comes so late that what its try rests on may have been forgotten.
            let promised = self.promised_at.filter(|_| ballot == self.promised && life == self.life)?;
            let in_time = now <= promised + ROUND_TIMEOUT;
            if !in_time || value.check_invariants().is_err() || value.longest_lease() > self.longest {
                return None;
            }
            self.sees |= promised >= self.waited_at;
            self.taken = Some((ballot, value.clone()));
            self.count_from(now);
        }
        Some(Message::Accepted { ballot, witness, memory: self.memory_state(now) })
    }

    fn leases(&self) -> impl Iterator<Item = (usize, LeaseId, Duration)> + '_ {
        let value = self.taken.iter().map(|t| &t.1);
        let permits = value.clone().flat_map(|v| v.permits.iter().enumerate());
        let release = value.filter_map(|v| v.release).map(|r| (MAX_PERMITS, r.lease_id(), r.hold_time()));
        permits.map(|(n, p)| (n, p.lease_id(), p.hold_time())).chain(release)
    }

    /// Counts each lease's age from when this very one was first taken.
    fn count_from(&mut self, now: Duration) {
        let old = std::mem::take(&mut self.since);
        let since = self.leases().map(|(_, id, _)| (id, old.get(&id).copied().unwrap_or(now))).collect();
        self.since = since;
    }

    fn lapsed(&self, now: Duration) -> u32 {
        let over = |(_, id, hold): &(usize, LeaseId, Duration)| {
            self.since.get(id).is_some_and(|since| now.saturating_sub(*since) > *hold)
        };
        self.leases().filter(over).fold(0, |bits, (n, _, _)| bits | 1 << n)
    }

    /// Where it is, as the settings name it.
    pub fn address(&self) -> SocketAddr {
        self.me
    }

    /// What a disk keeps.
    pub fn persisted_state(&self) -> PersistedState {
        PersistedState { promised: self.promised, accepted: self.taken.clone(), is_current: self.sees }
    }

    /// What it took last.
    pub fn accepted_value(&self) -> Option<&Register> {
        self.taken.as_ref().map(|t| &t.1)
    }

    /// # Errors
    /// An invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let is = |good, what| ensure(good, "clerk", self.me.port().into(), what);
        is(self.taken.as_ref().is_none_or(|t| t.0 <= self.promised), "nothing taken above what it promised")?;
        is(self.leases().count() == self.since.len(), "an age for each lease, and no more")?;
        self.accepted_value().map_or(Ok(()), Register::check_invariants)
    }
}
