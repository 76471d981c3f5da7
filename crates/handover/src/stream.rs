//! Hundreds of sessions at once: how many are under way, in which order, and who is not asked for a while.

use crate::wave::{Due, Key, Limits, NoRoom, Progress, Rank, Start};
use crate::{FrontId, Stage, WhyNot, AGAIN, GIVE_UP, MOST_QUEUED, MOST_ROUNDS, MOST_TRIED, OFFER_FOR};
use cloverhollow_moves::Epoch;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use thiserror::Error;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BrokenStream {
    /// More under way than the limits allow.
    #[error("{0} under way")]
    UnderWay(usize),
    /// More at one neighbour.
    #[error("{1} under way to {0:?}")]
    ToOne(FrontId, usize),
    /// One is waiting twice, or waiting and under way, or missing.
    #[error("{0} are accounted for, {1} were added")]
    Sum(usize, usize),
}

#[derive(Clone, Debug)]
struct Wait {
    key: Key,
    /// Whom it may go to, next first; who can't take it at all is not among them any more.
    tries: VecDeque<FrontId>,
    /// Offers made in vain, but for neighbours that were full.
    vain: u32,
    /// Since when it waits for full neighbours.
    since: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Flight {
    rank: Rank,
    wait: Wait,
    to: FrontId,
    stage: Option<Stage>,
    again: Duration,
    until: Duration,
}

/// The sessions that a front hands on in one wave.
#[derive(Clone, Debug)]
pub struct Stream {
    limits: Limits,
    waiting: BTreeMap<Reverse<Rank>, VecDeque<Wait>>,
    flights: BTreeMap<Key, Flight>,
    /// By neighbour, until when it is not asked. Bounded by the neighbours named in what was added.
    full: BTreeMap<FrontId, Duration>,
    /// Those that wait or are under way.
    keys: BTreeSet<Key>,
    added: usize,
    ended: Progress,
}

impl Stream {
    /// Nothing in it yet.
    pub fn new(limits: Limits) -> Stream {
        let (waiting, flights, full) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Stream { limits, waiting, flights, full, keys: BTreeSet::new(), added: 0, ended: Progress::default() }
    }

    /// A session that is to go to one of these, the first if it can; at most [`MOST_TRIED`] are looked at.
    pub fn add(&mut self, key: Key, rank: Rank, tries: &[FrontId]) -> Result<(), NoRoom> {
        if self.keys.len() >= MOST_QUEUED {
            return Err(NoRoom::Full);
        }
        if !self.keys.insert(key) {
            return Err(NoRoom::Twice);
        }
        let tries: VecDeque<FrontId> = tries.iter().copied().take(MOST_TRIED).collect();
        self.added += 1;
        let wait = Wait { key, tries, vain: 0, since: None };
        self.wait(rank, wait);
        Ok(())
    }

    fn wait(&mut self, rank: Rank, wait: Wait) {
        if wait.tries.is_empty() {
            self.ended.stayed += 1;
            self.keys.remove(&wait.key);
        } else {
            self.waiting.entry(Reverse(rank)).or_default().push_back(wait);
        }
    }

    /// What is to be begun now. `free`: whether that one may go ([`crate::Giver::must_wait`] says if not); it waits, and
    /// takes nobody's place.
    pub fn next(&mut self, now: Duration, free: impl Fn(Key) -> bool) -> Vec<Start> {
        self.full.retain(|_, until| *until > now);
        let mut begun = Vec::new();
        for (Reverse(rank), queue) in &mut self.waiting {
            for _ in 0..queue.len() {
                let under_way = self.flights.len();
                if under_way >= self.limits.under_way {
                    return begun;
                }
                let Some(mut wait) = queue.pop_front() else { break };
                if !free(wait.key) {
                    queue.push_back(wait);
                    continue;
                }
                let busy = |to: FrontId| self.flights.values().filter(|f| f.to == to).count();
                let open = |to: &FrontId| !self.full.contains_key(to) && busy(*to) < self.limits.to_one;
                if let Some(to) = wait.tries.iter().copied().find(open) {
                    let (again, until) = (now + AGAIN, now + OFFER_FOR);
                    let key = wait.key;
                    self.flights.insert(key, Flight { rank: *rank, wait, to, stage: None, again, until });
                    begun.push(Start { key, to });
                    continue;
                }
                if wait.tries.iter().all(|to| self.full.contains_key(to)) {
                    let since = *wait.since.get_or_insert(now);
                    if now.saturating_sub(since) >= self.limits.full_for * MOST_ROUNDS {
                        self.ended.stayed += 1;
                        self.keys.remove(&wait.key);
                        continue;
                    }
                }
                queue.push_back(wait);
            }
        }
        begun
    }

    /// What those that are under way need now.
    pub fn due(&mut self, now: Duration) -> Vec<Due> {
        let mut due = Vec::new();
        for (key, f) in &mut self.flights {
            if now >= f.until {
                f.until = now + OFFER_FOR;
                if let Some((_, epoch)) = f.stage.and_then(asked) {
                    due.push(Due::TimedOut(*key, epoch));
                }
            } else if now >= f.again {
                f.again = now + AGAIN;
                due.push(Due::Again(*key));
            }
        }
        due
    }

    /// Where a session stands after a step of its giver. `why`: of an `Output::Stayed` in that step.
    pub fn saw(&mut self, key: Key, stage: Stage, why: Option<WhyNot>, now: Duration) {
        let Some(flight) = self.flights.get_mut(&key) else { return self.waited(key, stage) };
        let begun = flight.stage;
        flight.stage = Some(stage);
        match stage {
            Stage::Offering { .. } | Stage::Held { .. } => {
                if begun.and_then(asked) != asked(stage) {
                    flight.until = now + OFFER_FOR;
                }
            }
            Stage::Switched { .. } => {
                if begun != Some(stage) {
                    flight.until = now + GIVE_UP;
                }
            }
            Stage::Closed { .. } => self.end(key, |p| &mut p.handed_on),
            Stage::Over if !matches!(begun, Some(Stage::Switched { .. })) => self.end(key, |p| &mut p.over),
            Stage::GaveUp { .. } | Stage::Over => self.end(key, |p| &mut p.lost),
            Stage::Settled => {
                if let Some(flight) = self.flights.remove(&key) {
                    self.stayed(flight, why, now);
                }
            }
        }
    }

    /// One that waits may end.
    fn waited(&mut self, key: Key, stage: Stage) {
        if stage == Stage::Over && self.keys.remove(&key) {
            self.waiting.values_mut().for_each(|q| q.retain(|w| w.key != key));
            self.ended.over += 1;
        }
    }

    fn end(&mut self, key: Key, count: impl Fn(&mut Progress) -> &mut usize) {
        if self.flights.remove(&key).is_some() {
            self.keys.remove(&key);
            *count(&mut self.ended) += 1;
        }
    }

    /// The next neighbour, or this one again later if it is only full now.
    fn stayed(&mut self, flight: Flight, why: Option<WhyNot>, now: Duration) {
        let Flight { rank, mut wait, to, .. } = flight;
        let all = wait.tries.len() as u32;
        wait.tries.retain(|t| *t != to);
        match why {
            Some(WhyNot::Full) => {
                self.full.insert(to, now + self.limits.full_for);
                wait.since.get_or_insert(now);
                wait.tries.push_back(to);
            }
            Some(_) => {}
            None => {
                wait.vain += 1;
                if wait.vain < all * MOST_ROUNDS {
                    wait.tries.push_back(to);
                }
            }
        }
        self.wait(rank, wait);
    }

    /// How far it is.
    pub fn progress(&self) -> Progress {
        let waiting = self.waiting.values().map(VecDeque::len).sum();
        Progress { waiting, under_way: self.flights.len(), ..self.ended }
    }

    /// What must hold.
    pub fn check(&self) -> Result<(), BrokenStream> {
        if self.flights.len() > self.limits.under_way {
            return Err(BrokenStream::UnderWay(self.flights.len()));
        }
        let mut to_one: BTreeMap<FrontId, usize> = BTreeMap::new();
        for f in self.flights.values() {
            *to_one.entry(f.to).or_insert(0) += 1;
        }
        if let Some((to, n)) = to_one.into_iter().find(|(_, n)| *n > self.limits.to_one) {
            return Err(BrokenStream::ToOne(to, n));
        }
        let p = self.progress();
        let sum = p.waiting + p.under_way + p.handed_on + p.stayed + p.over + p.lost;
        if sum != self.added || p.waiting + p.under_way != self.keys.len() {
            return Err(BrokenStream::Sum(sum, self.added));
        }
        Ok(())
    }
}

fn asked(stage: Stage) -> Option<(FrontId, Epoch)> {
    match stage {
        Stage::Offering { to, epoch } | Stage::Held { to, epoch } | Stage::Switched { to, epoch } => {
            Some((to, epoch))
        }
        _ => None,
    }
}
