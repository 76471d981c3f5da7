//! A front's side: one change at a time, by a majority of the witnesses.

use crate::change::Change;
use crate::limits::GrantContext;
use crate::message::Message;
use crate::proposal::*;
use crate::types::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What an asker is told at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProposerConfig {
    /// Where answers go.
    pub address: SocketAddr,
    /// Drawn at the process's start.
    pub incarnation: u64,
    /// All witnesses, the same at all fronts.
    pub witnesses: Vec<SocketAddr>,
    /// No lease is longer, at all witnesses alike.
    pub max_lease: Duration,
    /// Of waits.
    pub backoff_seed: u64,
}

/// A front's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    pub(crate) set: ProposerConfig,
    pub(crate) ballot: Ballot,
    pub(crate) ask: u32,
    /// The highest term that it heard of: none that it gives is lower.
    pub(crate) floor: Term,
    pub(crate) job: Option<Job>,
    pub(crate) outcome: Option<Outcome>,
    /// The try that was done last: its ballot, its first question, its value.
    pub(crate) last: Option<(Ballot, Duration, Register)>,
    /// Whose permits it gives back: its own life's, or an earlier one's.
    pub(crate) gives: u64,
}

pub(crate) type Words = Vec<(SocketAddr, Message)>;

impl Proposer {
    /// One that has asked nothing.
    pub fn new(set: ProposerConfig) -> Proposer {
        let ballot = Ballot { round: 0, proposer: set.incarnation };
        let gives = set.incarnation;
        Proposer { set, ballot, ask: 0, floor: Term::default(), job: None, outcome: None, last: None, gives }
    }

    /// From now on it gives back the permits of that life, an earlier one of this very front that is over and
    /// uses none any more; its own life's again with `None`. Its tries and asks are its own in either case: those
    /// of the earlier life may be on their way still.
    pub fn return_permits_of(&mut self, earlier: Option<u64>) {
        self.gives = earlier.unwrap_or(self.set.incarnation);
    }

    /// Asks for a change; `false`: one is under way, or the lease is too long.
    pub fn submit(&mut self, now: Duration, change: Change) -> bool {
        let lease = match change {
            Change::Grant { lease_ms, .. }
            | Change::StartRelease { lease_ms, .. }
            | Change::DriveRelease { lease_ms, .. } => lease_ms,
            _ => 0,
        };
        if self.job.is_some() || Duration::from_millis(lease.into()) > self.set.max_lease {
            return false;
        }
        self.ask = self.ask.wrapping_add(1);
        let phase = Phase::Waiting(now);
        let job = Job { change, begun: now, tries: 0, asked: now, again: now, may_be: false, phase };
        (self.job, self.outcome) = (Some(job), None);
        true
    }

    /// A term that somebody has seen: terms rise past it even where a majority of the witnesses has forgotten
    /// it.
    pub fn observe_term(&mut self, term: Term) {
        self.floor = self.floor.max(term);
    }

    /// Whether a change is under way.
    pub fn is_busy(&self) -> bool {
        self.job.is_some()
    }

    /// How the last change ended; once.
    pub fn take_outcome(&mut self) -> Option<Outcome> {
        self.outcome.take()
    }

    /// When [`Asker::due`] is next due.
    pub fn next_timeout(&self) -> Option<Duration> {
        let job = self.job.as_ref()?;
        Some(match job.phase {
            Phase::Waiting(until) => until,
            _ => job.again.min(job.asked + ROUND_TIMEOUT),
        })
    }

    /// Does what is due: words to witnesses.
    pub fn handle_timeout(&mut self, now: Duration) -> Words {
        let Some(job) = &mut self.job else { return Words::new() };
        match &job.phase {
            Phase::Waiting(until) if now < *until => Words::new(),
            Phase::Waiting(_) => {
                job.tries += 1;
                (job.asked, job.again) = (now, now + AGAIN);
                job.phase = Phase::Preparing(BTreeMap::new());
                self.ballot.round = self.ballot.round.saturating_add(1);
                self.words()
            }
            _ if now >= job.asked + ROUND_TIMEOUT => {
                self.try_later(now);
                Words::new()
            }
            _ if now >= job.again => {
                job.again = now + AGAIN;
                self.words()
            }
            _ => Words::new(),
        }
    }

    /// What is to be said to each witness that has not answered.
    pub(crate) fn words(&self) -> Words {
        let (ballot, reply_to) = (self.ballot, self.set.address);
        match self.job.as_ref().map(|j| &j.phase) {
            Some(Phase::Preparing(heard)) => {
                let others = self.set.witnesses.iter().filter(|w| !heard.contains_key(w));
                others.map(|w| (*w, Message::Prepare { ballot, reply_to })).collect()
            }
            Some(Phase::Accepting { value, lives, took }) => {
                let others = lives.iter().filter(|(w, _)| !took.contains(w));
                let accept =
                    |incarnation| Message::Accept { ballot, reply_to, incarnation, value: value.clone() };
                others.map(|(w, incarnation)| (*w, accept(*incarnation))).collect()
            }
            _ => Words::new(),
        }
    }

    /// A later try, after a wait that differs by asker.
    fn try_later(&mut self, now: Duration) {
        let Some(job) = &mut self.job else { return };
        if job.tries >= MAX_ATTEMPTS {
            let outcome = if job.may_be { Outcome::Unknown } else { Outcome::NoQuorum };
            return self.end(outcome);
        }
        job.phase = Phase::Waiting(now + job.wait(self.set.backoff_seed ^ mix(self.ballot.round)));
    }

    pub(crate) fn end(&mut self, outcome: Outcome) {
        (self.job, self.outcome) = (None, Some(outcome));
    }

    /// A witness's word; `seen`: what the change is judged by, where it comes to that now.
    pub fn handle_message(&mut self, now: Duration, word: Message, seen: GrantContext<'_>) -> Words {
        match word {
            Message::Promise {
                ballot,
                witness,
                incarnation: life,
                accepted: taken,
                expired_leases: lapsed,
                memory: sight,
            } => {
                let promised = Promised { life, taken, lapsed, sight };
                self.promised(now, ballot, witness, promised, seen)
            }
            Message::Accepted { ballot, witness, memory: sight } => {
                self.accepted(ballot, witness, sight);
                Words::new()
            }
            Message::Rejected { ballot, promised, .. } => {
                if ballot == self.ballot && self.job.as_ref().is_some_and(Job::is_on) {
                    self.ballot.round = self.ballot.round.max(promised.round);
                    self.try_later(now);
                }
                Words::new()
            }
            Message::Prepare { .. } | Message::Accept { .. } => Words::new(),
        }
    }

    /// # Errors
    /// An invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let is = |good, what| ensure(good, "asker", self.set.incarnation, what);
        is(self.ballot.proposer == self.set.incarnation, "its tries are its own")?;
        let Some(job) = &self.job else { return Ok(()) };
        is(job.tries <= MAX_ATTEMPTS, "no more tries than are given")?;
        is(job.begun <= job.asked, "a lease runs from before its first question")?;
        if let Phase::Accepting { value, lives, took } = &job.phase {
            is(took.len() < self.majority(), "what a majority took is done")?;
            is(took.iter().all(|w| lives.contains_key(w)), "only who promised takes")?;
            is(value.longest_lease() <= self.set.max_lease, "no lease longer than witnesses wait")?;
            value.check_invariants()?;
        }
        Ok(())
    }
}
