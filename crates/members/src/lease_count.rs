//! How many fronts there are at the most: a member's side of the leases.
//!
//! Why one over the count sums to no more than one over all fronts is in `docs/fleet.md`, 'Why the sum holds';
//! `tests/model.rs` looks at all interleavings of a small fleet.

use crate::invariants::{hold, InvariantViolation};
use crate::words::{Counted, Renew};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A witness keeps a renewal for a lease, this part of one (clocks that differ in pace) and [`LATE`] longer.
const PACE: u32 = 10;
/// What was decided under a lease is sent so long after it at the most.
const LATE: Duration = Duration::from_secs(2);
/// Rounds in a lease: all but one may be lost.
const ROUNDS: u32 = 4;

/// A front's part of what the fleet may do: one over the count, within these times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FleetSize {
    /// How many fronts there are at the most.
    pub count: usize,
    /// It holds from then on...
    pub valid_from: Duration,
    /// ...until then.
    pub valid_until: Duration,
}

impl FleetSize {
    /// The count, where it holds at that time. To be asked at the time of use: whoever stood still holds nothing.
    pub fn valid_at(&self, now: Duration) -> Option<usize> {
        (self.valid_from <= now && now < self.valid_until).then_some(self.count.max(1))
    }
}

/// A member's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseCount {
    me: SocketAddr,
    holder: u64,
    lease: Duration,
    witnesses: Vec<SocketAddr>,
    round: u64,
    begun: Duration,
    answers: BTreeMap<SocketAddr, Counted>,
    part: Option<FleetSize>,
    next: Duration,
}

impl LeaseCount {
    /// `me`: where answers go; `holder`: drawn at the process's start. Without witnesses there is never a part.
    pub fn new(
        now: Duration,
        me: SocketAddr,
        holder: u64,
        lease: Duration,
        witnesses: Vec<SocketAddr>,
    ) -> LeaseCount {
        let answers = BTreeMap::new();
        LeaseCount { me, holder, lease, witnesses, round: 0, begun: now, answers, part: None, next: now }
    }

    /// How long witnesses keep a renewal, and a newcomer waits before it takes a part.
    pub fn hold(lease: Duration) -> Duration {
        lease + lease / PACE + LATE
    }

    /// When the next round is due.
    pub fn next_due(&self) -> Option<Duration> {
        (!self.witnesses.is_empty()).then_some(self.next)
    }

    /// Begins a round if one is due: what goes to each witness.
    pub fn due(&mut self, now: Duration) -> Option<(Renew, Vec<SocketAddr>)> {
        if self.witnesses.is_empty() || now < self.next {
            return None;
        }
        self.round += 1;
        (self.begun, self.next) = (now, now + self.lease / ROUNDS);
        self.answers.clear();
        Some((Renew { holder: self.holder, round: self.round, reply: self.me }, self.witnesses.clone()))
    }

    /// A witness's answer; those of another round, of strangers and of the blind count for nothing.
    pub fn counted(&mut self, now: Duration, counted: Counted) {
        let majority = self.witnesses.len() / 2 + 1;
        let counts =
            counted.round == self.round && !counted.blind && self.witnesses.contains(&counted.witness);
        if !counts || self.answers.len() >= majority {
            return;
        }
        self.answers.insert(counted.witness, counted);
        if self.answers.len() < majority {
            return;
        }
        // The lease runs from before the first question went out.
        let until = self.begun + self.lease;
        let without_gap = self.part.filter(|p| now < p.valid_until);
        let from = without_gap.map_or(now + LeaseCount::hold(self.lease), |p| p.valid_from);
        self.part =
            Some(FleetSize { count: union(self.answers.values()), valid_from: from, valid_until: until });
    }

    /// Whether all that holds between two steps holds: only answers that count are kept, and a part that was taken in
    /// this round is by a majority, over what the answers count, and never longer than a lease from the round's begin.
    ///
    /// # Errors
    /// The first invariant that is broken.
    pub fn check(&self) -> Result<(), InvariantViolation> {
        let (answers, witnesses) = (self.answers.len(), self.witnesses.len());
        let majority = witnesses / 2 + 1;
        hold(answers <= majority, || InvariantViolation::Answers { answers, majority })?;
        for (witness, c) in &self.answers {
            let counts = c.round == self.round && !c.blind && self.witnesses.contains(witness);
            hold(counts && c.witness == *witness, || InvariantViolation::Answer { witness: *witness })?;
        }
        let (next, begun) = (self.next, self.begun);
        let paced = next <= begun + self.lease / ROUNDS;
        hold(paced, || InvariantViolation::Round { next, begun })?;
        let Some(FleetSize { count, valid_until: until, .. }) = self.part else { return Ok(()) };
        hold(until <= begun + self.lease, || InvariantViolation::Lease { count, until, begun })?;
        if until == begun + self.lease {
            // Taken in this round. More than half of the witnesses vouch for it.
            hold(2 * answers > witnesses, || InvariantViolation::Majority { count, answers, witnesses })?;
            let union = union(self.answers.values());
            hold(count == union, || InvariantViolation::Count { count, union })?;
        }
        Ok(())
    }

    /// Rounds begun.
    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    /// Whether a part that came after `before` waited as it has to: one without a gap goes on, any other one is a
    /// newcomer's and holds only after the hold.
    pub(crate) fn check_waited(
        &self,
        before: Option<FleetSize>,
        now: Duration,
    ) -> Result<(), InvariantViolation> {
        let Some(part) = self.part.filter(|p| Some(*p) != before) else { return Ok(()) };
        let went_on = before.is_some_and(|b| now < b.valid_until && b.valid_from == part.valid_from);
        let waits = part.valid_from >= now + LeaseCount::hold(self.lease);
        let until = before.map_or(Duration::ZERO, |b| b.valid_until);
        hold(went_on || waits, || InvariantViolation::Newcomer { from: part.valid_from, until })
    }

    /// The part as it stands; to be asked by [`FleetSize::at`] at the time of use.
    pub fn fleet_size(&self) -> Option<FleetSize> {
        self.part
    }
}

/// How many all of these know of together, at the most: their number if they know the same ones, else the sum.
fn union<'a>(answers: impl Iterator<Item = &'a Counted> + Clone) -> usize {
    let mut all = answers.clone().map(|c| (c.count, c.print));
    let Some(first) = all.next() else { return usize::MAX };
    if all.all(|c| c == first) {
        return first.0 as usize;
    }
    answers.map(|c| c.count as usize).sum()
}
