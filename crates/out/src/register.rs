//! What may be done with the register: pure functions on its value.

use crate::change::{Applied, Change, Denied};
use crate::limits::{may_go, Seen};
use crate::release::{next, Event};
use crate::types::*;
use std::collections::BTreeSet;
use std::time::Duration;

impl Register {
    /// Forgets permits that have lapsed. The release stays; whether its lease has lapsed is told to
    /// [`Register::apply`].
    pub fn lapse(&mut self, lapsed: &BTreeSet<Id>) {
        self.permits.retain(|p| !lapsed.contains(&p.id()));
    }

    /// Makes a change by the life `me`, its ask of that number.
    ///
    /// # Errors
    /// Why not; nothing is changed.
    pub fn apply(
        &mut self,
        (me, ask): (u64, u32),
        change: &Change,
        lapsed: &BTreeSet<Id>,
        seen: Seen<'_>,
    ) -> Result<Applied, Denied> {
        let term = Term(self.term.0.saturating_add(1));
        let applied = match *change {
            Change::Grant { subject, place, lease_ms, release } => {
                let permit = Permit { subject, place, holder: me, ask, term, lease_ms };
                self.grant(permit, release, seen)?
            }
            Change::GiveBack { subject } => {
                let before = self.permits.len();
                self.permits.retain(|p| p.subject != subject || p.holder != me);
                if self.permits.len() < before {
                    Applied::Changed
                } else {
                    Applied::Already
                }
            }
            Change::Start { number, plan, back, lease_ms } => {
                let stage = if back { Stage::GoingBack } else { Stage::Planned };
                let new = ReleaseRecord { number, plan, stage, driver: me, fence: term, lease_ms, ask };
                self.start(new, back)?
            }
            Change::Drive { plans, lease_ms } => {
                let has = |r: &&mut ReleaseRecord| plans.contains(&r.plan);
                let release = self.release.as_mut().filter(has).ok_or(Denied::Release)?;
                let lapsed = lapsed.contains(&release.id());
                if release.id() == (Id { subject: None, holder: me, ask }) {
                    Applied::Already
                } else if matches!(release.stage, Stage::Done | Stage::TakenBack) {
                    return Err(Denied::Release);
                } else if release.driver == me && !lapsed {
                    (release.lease_ms, release.ask) = (lease_ms, ask);
                    Applied::Changed
                } else if lapsed {
                    *release = ReleaseRecord { driver: me, fence: term, lease_ms, ask, ..*release };
                    Applied::Changed
                } else {
                    return Err(Denied::Fenced);
                }
            }
            Change::Step { fence, from, event, waves } => {
                let release = self.release.as_mut().ok_or(Denied::Release)?;
                if release.driver != me || release.fence != fence {
                    return Err(Denied::Fenced);
                }
                let to = next(from, event, waves).ok_or(Denied::Move)?;
                // A release comes to each stage once, so a step that was made before is made again by nobody.
                if release.stage != from && release.stage != to {
                    return Err(Denied::Move);
                }
                (release.stage, release.ask) = (to, ask);
                Applied::Changed
            }
            Change::Halt { number, cause } => {
                let release = self.release.as_mut().filter(|r| r.number == number).ok_or(Denied::Release)?;
                match release.stage {
                    Stage::Halted(_) => Applied::Already,
                    stage => {
                        release.stage = next(stage, Event::Halt(cause), 0).ok_or(Denied::Move)?;
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

    fn grant(&mut self, permit: Permit, release: Option<u64>, seen: Seen<'_>) -> Result<Applied, Denied> {
        let at = self.permits.iter().position(|p| p.subject == permit.subject);
        match at.map(|i| &mut self.permits[i]) {
            Some(p) if p.id() == permit.id() => return Ok(Applied::Already),
            // It is counted already: to renew it is always better than to be out without.
            Some(p) if p.holder == permit.holder => *p = permit,
            Some(_) => return Err(Denied::Holder),
            None => {
                // Guards against going out under a release that has halted: the register itself says no.
                let goes = |r: &ReleaseRecord| {
                    Some(r.number) == release
                        && matches!(r.stage, Stage::Canary | Stage::Wave(_) | Stage::GoingBack)
                };
                if release.is_some() && !self.release.as_ref().is_some_and(goes) {
                    return Err(Denied::Release);
                }
                may_go(self, seen.world, seen.limits, permit.subject, permit.place)?;
                if self.permits.len() >= MOST_PERMITS {
                    return Err(Denied::Full);
                }
                self.permits.push(permit);
                self.permits.sort_unstable_by_key(|p| p.subject);
            }
        }
        Ok(Applied::Changed)
    }

    fn start(&mut self, new: ReleaseRecord, back: bool) -> Result<Applied, Denied> {
        if let Some(old) = &self.release {
            if old.number == new.number && old.id() == new.id() {
                return Ok(Applied::Already);
            }
            let over = matches!(old.stage, Stage::Done | Stage::TakenBack);
            let goes_back = matches!(old.stage, Stage::GoingBack | Stage::TakenBack);
            if old.number >= new.number || (back && goes_back) || (!back && !over) {
                return Err(Denied::Release);
            }
        }
        self.release = Some(new);
        Ok(Applied::Changed)
    }

    /// The longest lease in it.
    pub fn longest(&self) -> Duration {
        let leases = self.permits.iter().map(|p| p.lease_ms).chain(self.release.map(|r| r.lease_ms));
        Duration::from_millis(leases.max().unwrap_or(0).into())
    }

    /// # Errors
    /// An invariant that does not hold.
    pub fn check(&self) -> Result<(), Broken> {
        let is = |good, what| holds(good, "register", self.term.0, what);
        is(self.permits.len() <= MOST_PERMITS, "no more permits than fit")?;
        is(self.permits.windows(2).all(|w| w[0].subject < w[1].subject), "one permit a subject, in order")?;
        is(self.permits.iter().all(|p| p.term <= self.term), "no permit of a later term")?;
        is(self.release.is_none_or(|r| r.fence <= self.term), "no fence of a later term")
    }
}
