//! What may be done with the register: pure functions on its value.

use crate::change::{Applied, Change, DenialReason};
use crate::limits::{check_limits, GrantContext};
use crate::release::{next_stage, ReleaseEvent};
use crate::types::*;
use std::collections::BTreeSet;
use std::time::Duration;

impl Register {
    /// Forgets permits that have lapsed. The release stays; whether its lease has lapsed is told to
    /// [`Register::apply`].
    pub fn remove_expired(&mut self, lapsed: &BTreeSet<LeaseId>) {
        self.permits.retain(|p| !lapsed.contains(&p.lease_id()));
    }

    /// Makes a change by the life `me`, its ask of that number.
    ///
    /// # Errors
    /// Why not; nothing is changed.
    pub fn apply(
        &mut self,
        (me, ask): (u64, u32),
        change: &Change,
        lapsed: &BTreeSet<LeaseId>,
        seen: GrantContext<'_>,
    ) -> Result<Applied, DenialReason> {
        let term = Term(self.term.0.saturating_add(1));
        let applied = match *change {
            Change::Grant { subject, place, lease_ms, release } => {
                let permit = Permit { subject, place, holder: me, request_id: ask, term, lease_ms };
                self.grant(permit, release, seen)?
            }
            Change::ReturnPermit { subject } => {
                let before = self.permits.len();
                self.permits.retain(|p| p.subject != subject || p.holder != me);
                if self.permits.len() < before {
                    Applied::Changed
                } else {
                    Applied::AlreadyApplied
                }
            }
            Change::StartRelease { number, plan_digest: plan, is_rollback: back, lease_ms } => {
                let stage = if back { Stage::RollingBack } else { Stage::Planned };
                let new = ReleaseRecord {
                    number,
                    plan_digest: plan,
                    stage,
                    driver: me,
                    fence: term,
                    lease_ms,
                    request_id: ask,
                };
                self.start(new, back)?
            }
            Change::DriveRelease { plan_digests: plans, lease_ms } => {
                let has = |r: &&mut ReleaseRecord| plans.contains(&r.plan_digest);
                let release = self.release.as_mut().filter(has).ok_or(DenialReason::ReleaseInactive)?;
                let lapsed = lapsed.contains(&release.lease_id());
                if release.lease_id() == (LeaseId { subject: None, holder: me, request_id: ask }) {
                    Applied::AlreadyApplied
                } else if matches!(release.stage, Stage::Done | Stage::RolledBack) {
                    return Err(DenialReason::ReleaseInactive);
                } else if release.driver == me && !lapsed {
                    (release.lease_ms, release.request_id) = (lease_ms, ask);
                    Applied::Changed
                } else if lapsed {
                    *release =
                        ReleaseRecord { driver: me, fence: term, lease_ms, request_id: ask, ..*release };
                    Applied::Changed
                } else {
                    return Err(DenialReason::Fenced);
                }
            }
            Change::AdvanceRelease { fence, from, event, last_wave: waves } => {
                let release = self.release.as_mut().ok_or(DenialReason::ReleaseInactive)?;
                if release.driver != me || release.fence != fence {
                    return Err(DenialReason::Fenced);
                }
                let to = next_stage(from, event, waves).ok_or(DenialReason::InvalidTransition)?;
                // A release comes to each stage once, so a step that was made before is made again by nobody.
                if release.stage != from && release.stage != to {
                    return Err(DenialReason::InvalidTransition);
                }
                (release.stage, release.request_id) = (to, ask);
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

    fn grant(
        &mut self,
        permit: Permit,
        release: Option<u64>,
        seen: GrantContext<'_>,
    ) -> Result<Applied, DenialReason> {
        let at = self.permits.iter().position(|p| p.subject == permit.subject);
        match at.map(|i| &mut self.permits[i]) {
            Some(p) if p.lease_id() == permit.lease_id() => return Ok(Applied::AlreadyApplied),
            // It is counted already: to renew it is always better than to be out without.
            Some(p) if p.holder == permit.holder => *p = permit,
            Some(_) => return Err(DenialReason::HeldByAnother),
            None => {
                // Guards against going out under a release that has halted: the register itself says no.
                let goes = |r: &ReleaseRecord| {
                    Some(r.number) == release
                        && matches!(r.stage, Stage::Canary | Stage::Wave(_) | Stage::RollingBack)
                };
                if release.is_some() && !self.release.as_ref().is_some_and(goes) {
                    return Err(DenialReason::ReleaseInactive);
                }
                check_limits(self, seen.fleet, seen.limits, permit.subject, permit.place)?;
                if self.permits.len() >= MAX_PERMITS {
                    return Err(DenialReason::RegisterFull);
                }
                self.permits.push(permit);
                self.permits.sort_unstable_by_key(|p| p.subject);
            }
        }
        Ok(Applied::Changed)
    }

    fn start(&mut self, new: ReleaseRecord, back: bool) -> Result<Applied, DenialReason> {
        if let Some(old) = &self.release {
            if old.number == new.number && old.lease_id() == new.lease_id() {
                return Ok(Applied::AlreadyApplied);
            }
            let over = matches!(old.stage, Stage::Done | Stage::RolledBack);
            let goes_back = matches!(old.stage, Stage::RollingBack | Stage::RolledBack);
            if old.number >= new.number || (back && goes_back) || (!back && !over) {
                return Err(DenialReason::ReleaseInactive);
            }
        }
        self.release = Some(new);
        Ok(Applied::Changed)
    }

    /// The longest lease in it.
    pub fn longest_lease(&self) -> Duration {
        let leases = self.permits.iter().map(|p| p.lease_ms).chain(self.release.map(|r| r.lease_ms));
        Duration::from_millis(leases.max().unwrap_or(0).into())
    }

    /// # Errors
    /// An invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let is = |good, what| ensure(good, "register", self.term.0, what);
        is(self.permits.len() <= MAX_PERMITS, "no more permits than fit")?;
        is(self.permits.windows(2).all(|w| w[0].subject < w[1].subject), "one permit a subject, in order")?;
        is(self.permits.iter().all(|p| p.term <= self.term), "no permit of a later term")?;
        is(self.release.is_none_or(|r| r.fence <= self.term), "no fence of a later term")
    }
}
