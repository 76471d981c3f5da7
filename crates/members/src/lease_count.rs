//! Upper bound on the number of fronts: a member's side of the leases at witnesses.
//!
//! Every front may use 1/n of a shared quota, where n is its bound on the fleet size. A majority of the witnesses
//! counts each front that may hold a bound, so the shares of all fronts never sum to more than one.
//! `tests/model.rs` checks all interleavings of a small fleet.

use crate::invariants::{ensure, InvariantViolation};
use crate::messages::{RenewRequest, RenewResponse};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Divisor of the lease that gives the margin for clocks of different rates.
const CLOCK_RATE_DIVISOR: u32 = 10;
/// Longest time from a decision under a lease until its message is sent.
const MAX_SEND_DELAY: Duration = Duration::from_secs(2);
/// Renewal rounds in one lease: all but one may be lost.
const ROUNDS_PER_LEASE: u32 = 4;

/// Upper bound on the number of fronts, with the time for which it is valid.
///
/// The front may use 1/`count` of what the whole fleet may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FleetSize {
    /// Maximum number of fronts.
    pub count: usize,
    /// Time from which the bound is valid.
    pub valid_from: Duration,
    /// Time at which the bound expires.
    pub valid_until: Duration,
}

impl FleetSize {
    /// Returns the count if the bound is valid at `now`.
    ///
    /// Must be called at the time of use: the bound of a stalled process has expired when it resumes.
    pub fn valid_at(&self, now: Duration) -> Option<usize> {
        (self.valid_from <= now && now < self.valid_until).then_some(self.count.max(1))
    }
}

/// Lease renewals of one member, and the fleet size that the witnesses' responses give.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseCount {
    local_address: SocketAddr,
    holder: u64,
    lease: Duration,
    witnesses: Vec<SocketAddr>,
    round: u64,
    round_started: Duration,
    responses: BTreeMap<SocketAddr, RenewResponse>,
    fleet_size: Option<FleetSize>,
    next_round_at: Duration,
}

impl LeaseCount {
    /// Creates the state of a member that holds no lease yet.
    ///
    /// Responses go to `local_address`. `holder` is a random number of this process start. Without witnesses there
    /// is never a bound.
    pub fn new(
        now: Duration,
        local_address: SocketAddr,
        holder: u64,
        lease: Duration,
        witnesses: Vec<SocketAddr>,
    ) -> LeaseCount {
        let responses = BTreeMap::new();
        LeaseCount {
            local_address,
            holder,
            lease,
            witnesses,
            round: 0,
            round_started: now,
            responses,
            fleet_size: None,
            next_round_at: now,
        }
    }

    /// Time for which witnesses remember a renewal, and for which a newcomer waits before its bound is valid.
    pub fn hold_time(lease: Duration) -> Duration {
        lease + lease / CLOCK_RATE_DIVISOR + MAX_SEND_DELAY
    }

    /// Time at which the next round is due. `None` without witnesses.
    pub fn next_due(&self) -> Option<Duration> {
        (!self.witnesses.is_empty()).then_some(self.next_round_at)
    }

    /// Starts a round if one is due, and returns the request and the witnesses to send it to.
    pub fn start_round(&mut self, now: Duration) -> Option<(RenewRequest, Vec<SocketAddr>)> {
        if self.witnesses.is_empty() || now < self.next_round_at {
            return None;
        }
        self.round += 1;
        (self.round_started, self.next_round_at) = (now, now + self.lease / ROUNDS_PER_LEASE);
        self.responses.clear();
        let request = RenewRequest { holder: self.holder, round: self.round, reply_to: self.local_address };
        Some((request, self.witnesses.clone()))
    }

    /// Handles a witness's response. Responses of other rounds, unknown witnesses and witnesses that are still
    /// recovering are ignored.
    pub fn handle_response(&mut self, now: Duration, response: RenewResponse) {
        let majority = self.witnesses.len() / 2 + 1;
        let counts = response.round == self.round
            && !response.recovering
            && self.witnesses.contains(&response.witness);
        if !counts || self.responses.len() >= majority {
            return;
        }
        self.responses.insert(response.witness, response);
        if self.responses.len() < majority {
            return;
        }
        // The lease runs from before the first request of the round was sent.
        let valid_until = self.round_started + self.lease;
        let without_gap = self.fleet_size.filter(|f| now < f.valid_until);
        let valid_from = without_gap.map_or(now + LeaseCount::hold_time(self.lease), |f| f.valid_from);
        self.fleet_size = Some(FleetSize { count: union(self.responses.values()), valid_from, valid_until });
    }

    /// Checks what must hold between two steps.
    ///
    /// Only valid responses are stored. A bound that was set in this round is backed by a majority, equals the
    /// count of the responses, and is valid for at most a lease after the start of the round.
    ///
    /// # Errors
    /// The first violated invariant.
    pub fn check(&self) -> Result<(), InvariantViolation> {
        let (responses, witnesses) = (self.responses.len(), self.witnesses.len());
        let majority = witnesses / 2 + 1;
        ensure(responses <= majority, || InvariantViolation::Responses { responses, majority })?;
        for (witness, r) in &self.responses {
            let counts = r.round == self.round && !r.recovering && self.witnesses.contains(witness);
            ensure(counts && r.witness == *witness, || InvariantViolation::InvalidResponse {
                witness: *witness,
            })?;
        }
        let (next, round_started) = (self.next_round_at, self.round_started);
        let paced = next <= round_started + self.lease / ROUNDS_PER_LEASE;
        ensure(paced, || InvariantViolation::NextRound { next, round_started })?;
        let Some(FleetSize { count, valid_until: until, .. }) = self.fleet_size else { return Ok(()) };
        ensure(until <= round_started + self.lease, || InvariantViolation::ValidTooLong {
            count,
            until,
            round_started,
        })?;
        if until == round_started + self.lease {
            // Set in this round, so more than half of the witnesses must have responded.
            ensure(2 * responses > witnesses, || InvariantViolation::NoMajority {
                count,
                responses,
                witnesses,
            })?;
            let union = union(self.responses.values());
            ensure(count == union, || InvariantViolation::CountMismatch { count, union })?;
        }
        Ok(())
    }

    /// Number of rounds started.
    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    /// Checks that a bound that replaced `before` is valid at once only if it continues `before` without a gap.
    /// Any other bound is a newcomer's and becomes valid after the hold time.
    pub(crate) fn check_newcomer_wait(
        &self,
        before: Option<FleetSize>,
        now: Duration,
    ) -> Result<(), InvariantViolation> {
        let Some(current) = self.fleet_size.filter(|f| Some(*f) != before) else { return Ok(()) };
        let continued = before.is_some_and(|b| now < b.valid_until && b.valid_from == current.valid_from);
        let waits = current.valid_from >= now + LeaseCount::hold_time(self.lease);
        let until = before.map_or(Duration::ZERO, |b| b.valid_until);
        ensure(continued || waits, || InvariantViolation::NewcomerDidNotWait {
            from: current.valid_from,
            until,
        })
    }

    /// The latest bound, valid or not; see [`FleetSize::valid_at`].
    pub fn fleet_size(&self) -> Option<FleetSize> {
        self.fleet_size
    }
}

/// Upper bound on the number of distinct holders in all responses: their common count if all of them know the same
/// holders, otherwise the sum.
fn union<'a>(responses: impl Iterator<Item = &'a RenewResponse> + Clone) -> usize {
    let mut all = responses.clone().map(|r| (r.holder_count, r.holder_fingerprint));
    let Some(first) = all.next() else { return usize::MAX };
    if all.all(|r| r == first) {
        return first.0 as usize;
    }
    responses.map(|r| r.holder_count as usize).sum()
}
