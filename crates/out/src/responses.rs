//! A front's side: what it makes of witnesses' answers.

use crate::change::Change;
use crate::limits::GrantContext;
use crate::message::Message;
use crate::proposal::{Outcome, Phase, Promised, AGAIN};
use crate::proposer::{Proposer, Words};
use crate::types::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

impl Proposer {
    pub(crate) fn majority(&self) -> usize {
        self.set.witnesses.len() / 2 + 1
    }

    pub(crate) fn promised(
        &mut self,
        now: Duration,
        of: Ballot,
        by: SocketAddr,
        said: Promised,
        seen: GrantContext<'_>,
    ) -> Words {
        let (majority, all) = (self.majority(), self.set.witnesses.len());
        let known = self.set.witnesses.contains(&by);
        if let Some((ballot, asked, value)) = self.last.as_ref().filter(|l| l.0 == of && known) {
            // One that forgot and answers last comes to see again by it.
            let late = said.sight == MemoryState::WaitedOut && now < *asked + ROUND_TIMEOUT;
            let (ballot, reply_to, incarnation) = (*ballot, self.set.address, said.life);
            let accept = || (by, Message::Accept { ballot, reply_to, incarnation, value: value.clone() });
            return late.then(accept).into_iter().collect();
        }
        let Some(job) = &mut self.job else { return Words::new() };
        // Guards against promises of a witness that has forgotten them since.
        let in_time = now < job.asked + ROUND_TIMEOUT;
        if of != self.ballot || !known || !in_time {
            return Words::new();
        }
        let heard = match &mut job.phase {
            Phase::Preparing(heard) => heard,
            // It comes after a majority: it takes the value all the same, and one that forgot comes to see again.
            Phase::Accepting { value, lives, .. } if !lives.contains_key(&by) => {
                lives.insert(by, said.life);
                let (reply_to, value) = (self.set.address, value.clone());
                return vec![(by, Message::Accept { ballot: of, reply_to, incarnation: said.life, value })];
            }
            _ => return Words::new(),
        };
        heard.insert(by, said);
        let seeing = heard.values().filter(|p| p.sight == MemoryState::Current).count();
        let waited = heard.values().filter(|p| p.sight != MemoryState::Recovering).count();
        if seeing < majority && waited < all {
            return Words::new();
        }
        let heard = std::mem::take(heard);
        let taken =
            heard.values().filter(|p| p.sight != MemoryState::Recovering).filter_map(|p| p.taken.as_ref());
        let mut value = taken.max_by_key(|t| t.0).map(|t| t.1.clone()).unwrap_or_default();
        value.term = value.term.max(self.floor);
        let lapsed = heard.values().flat_map(Promised::over).collect();
        value.remove_expired(&lapsed);
        let me = if let Change::ReturnPermit { .. } = job.change { self.gives } else { self.set.incarnation };
        if let Err(why) = value.apply((me, self.ask), &job.change, &lapsed, seen) {
            // A value of an earlier try may still get through.
            let outcome = if job.may_be { Outcome::Unknown } else { Outcome::Denied(why) };
            self.end(outcome);
            return Words::new();
        }
        let lives = heard.iter().map(|(w, p)| (*w, p.life)).collect();
        job.phase = Phase::Accepting { value, lives, took: BTreeSet::new() };
        (job.may_be, job.again) = (true, now + AGAIN);
        self.words()
    }

    pub(crate) fn accepted(&mut self, of: Ballot, by: SocketAddr, sight: MemoryState) {
        let majority = self.majority();
        let Some(job) = &mut self.job else { return };
        let Phase::Accepting { value, lives, took } = &mut job.phase else { return };
        if of != self.ballot || sight != MemoryState::Current || !lives.contains_key(&by) {
            return;
        }
        took.insert(by);
        if took.len() < majority {
            return;
        }
        let value = value.clone();
        let granted = job.granted(self.set.incarnation, self.ask, &value);
        self.last = Some((of, job.asked, value.clone()));
        self.floor = self.floor.max(value.term);
        let outcome = Outcome::Committed(value, granted);
        self.end(outcome);
    }
}
