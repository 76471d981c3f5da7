//! Changes of the register, as pure functions on its value.

use crate::change::{Applied, Change, DenialReason};
use crate::limits::{check_limits, GrantContext};
use crate::release::{next_stage, ReleaseEvent};
use crate::types::*;
use std::collections::BTreeSet;
use std::time::Duration;

impl Register {
    /// Removes permits whose leases have expired. The release stays; [`Register::apply`] checks whether its
    /// driver's lease has expired.
    pub fn remove_expired(&mut self, expired: &BTreeSet<LeaseId>) {
        self.permits.retain(|p| !expired.contains(&p.lease_id()));
    }

    /// Applies a change that was submitted by the incarnation `holder` with the given request id. `expired`
    /// names leases that have expired at a witness; `context` is what a grant is checked against.
    ///
    /// # Errors
    /// Reason why the change is denied; the register is then unchanged.
    pub fn apply(
        &mut self,
        (holder, request_id): (u64, u32),
        change: &Change,
        expired: &BTreeSet<LeaseId>,
        context: GrantContext<'_>,
    ) -> Result<Applied, DenialReason> {
        let term = Term(self.term.0.saturating_add(1));
        let applied = match *change {
            Change::Grant { subject, place, lease_ms, release } => {
                let permit = Permit { subject, place, holder, request_id, term, lease_ms };
                self.grant(permit, release, context)?
            }
            Change::ReturnPermit { subject } => {
                let before = self.permits.len();
                self.permits.retain(|p| p.subject != subject || p.holder != holder);
                if self.permits.len() < before {
                    Applied::Changed
                } else {
                    Applied::AlreadyApplied
                }
            }
            Change::StartRelease { number, plan_digest, is_rollback, lease_ms } => {
                let stage = if is_rollback { Stage::RollingBack } else { Stage::Planned };
                let new = ReleaseRecord {
                    number,
                    plan_digest,
                    stage,
                    driver: holder,
                    fence: term,
                    lease_ms,
                    request_id,
                };
                self.start(new, is_rollback)?
            }
            Change::DriveRelease { plan_digests, lease_ms } => {
                let has_plan = |r: &&mut ReleaseRecord| plan_digests.contains(&r.plan_digest);
                let release = self.release.as_mut().filter(has_plan).ok_or(DenialReason::ReleaseInactive)?;
                let lease_expired = expired.contains(&release.lease_id());
                if release.lease_id() == (LeaseId { subject: None, holder, request_id }) {
                    Applied::AlreadyApplied
                } else if matches!(release.stage, Stage::Done | Stage::RolledBack) {
                    return Err(DenialReason::ReleaseInactive);
                } else if release.driver == holder && !lease_expired {
                    (release.lease_ms, release.request_id) = (lease_ms, request_id);
                    Applied::Changed
                } else if lease_expired {
                    *release =
                        ReleaseRecord { driver: holder, fence: term, lease_ms, request_id, ..*release };
                    Applied::Changed
                } else {
                    return Err(DenialReason::Fenced);
                }
            }
            Change::AdvanceRelease { fence, from, event, last_wave } => {
                let release = self.release.as_mut().ok_or(DenialReason::ReleaseInactive)?;
                if release.driver != holder || release.fence != fence {
                    return Err(DenialReason::Fenced);
                }
                let to = next_stage(from, event, last_wave).ok_or(DenialReason::InvalidTransition)?;
                // A release enters each stage once, so a transition that was made before cannot be made
                // again.
                if release.stage != from && release.stage != to {
                    return Err(DenialReason::InvalidTransition);
                }
                (release.stage, release.request_id) = (to, request_id);
                Applied::Changed
            }
            Change::HaltRelease { number, cause } => {
                let release = self
                    .release
                    .as_mut()
                    .filter(|r| r.number == number)
                    .ok_or(DenialReason::ReleaseInactive)?;
                match release.stage {
                    Stage::Halted(_) => Applied::AlreadyApplied,
                    stage => {
                        release.stage = next_stage(stage, ReleaseEvent::Halt(cause), 0)
                            .ok_or(DenialReason::InvalidTransition)?;
                        Applied::Changed
                    }
                }
            }
        };
        if applied == Applied::Changed {
            self.term = term;
        }
        Ok(applied)
    }

    /// Grants a permit or renews it, if the release and the limits allow it.
    fn grant(
        &mut self,
        permit: Permit,
        release: Option<u64>,
        context: GrantContext<'_>,
    ) -> Result<Applied, DenialReason> {
        let index = self.permits.iter().position(|p| p.subject == permit.subject);
        match index.map(|i| &mut self.permits[i]) {
            Some(p) if p.lease_id() == permit.lease_id() => return Ok(Applied::AlreadyApplied),
            // The permit is counted already. Denying a renewal would only leave the subject out without a
            // permit.
            Some(p) if p.holder == permit.holder => *p = permit,
            Some(_) => return Err(DenialReason::HeldByAnother),
            None => {
                // No permit is granted under a release that has halted, even if the requester has not noticed
                // yet.
                let allows_permits = |r: &ReleaseRecord| {
                    Some(r.number) == release
                        && matches!(r.stage, Stage::Canary | Stage::Wave(_) | Stage::RollingBack)
                };
                if release.is_some() && !self.release.as_ref().is_some_and(allows_permits) {
                    return Err(DenialReason::ReleaseInactive);
                }
                check_limits(self, context.fleet, context.limits, permit.subject, permit.place)?;
                if self.permits.len() >= MAX_PERMITS {
                    return Err(DenialReason::RegisterFull);
                }
                self.permits.push(permit);
                self.permits.sort_unstable_by_key(|p| p.subject);
            }
        }
        Ok(Applied::Changed)
    }

    /// Registers a release if the last one has ended. A rollback replaces any release but another rollback.
    fn start(&mut self, new: ReleaseRecord, is_rollback: bool) -> Result<Applied, DenialReason> {
        if let Some(old) = &self.release {
            if old.number == new.number && old.lease_id() == new.lease_id() {
                return Ok(Applied::AlreadyApplied);
            }
            let has_ended = matches!(old.stage, Stage::Done | Stage::RolledBack);
            let old_is_rollback = matches!(old.stage, Stage::RollingBack | Stage::RolledBack);
            if old.number >= new.number || (is_rollback && old_is_rollback) || (!is_rollback && !has_ended) {
                return Err(DenialReason::ReleaseInactive);
            }
        }
        self.release = Some(new);
        Ok(Applied::Changed)
    }

    /// Longest lease in the register; zero if there is none.
    pub fn longest_lease(&self) -> Duration {
        let leases = self.permits.iter().map(|p| p.lease_ms).chain(self.release.map(|r| r.lease_ms));
        Duration::from_millis(leases.max().unwrap_or(0).into())
    }

    /// Checks the invariants of the register.
    ///
    /// # Errors
    /// The first invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let is = |good, what| ensure(good, "register", self.term.0, what);
        is(self.permits.len() <= MAX_PERMITS, "no more permits than the maximum")?;
        is(
            self.permits.windows(2).all(|w| w[0].subject < w[1].subject),
            "one permit for each subject, ordered by subject",
        )?;
        is(self.permits.iter().all(|p| p.term <= self.term), "no permit has a later term than the register")?;
        is(self.release.is_none_or(|r| r.fence <= self.term), "no fence has a later term than the register")
    }
}
