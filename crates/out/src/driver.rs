//! A front that drives a release, or stands by to go on with it.
//!
//! All that one needs is the plan, the record at the witnesses, and what the fronts report: what a front
//! already has is not done again. It acts only while its lease holds, and each act bears the lease's fence.

use crate::change::{Change, DenialReason};
use crate::halt_detector::HaltDetector;
use crate::limits::FleetView;
use crate::proposal::{GrantedLease, Outcome};
use crate::release::Plan;
use crate::report::{DriverAction, FrontReport, MAX_REPORTS};
use crate::staged_config::FencedOrder;
use crate::types::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// A change that came to nothing is asked for again after so long.
const LATER: Duration = Duration::from_secs(1);
/// A lease is renewed when this part of it is left.
const LEFT: u32 = 2;

/// A front that drives, or stands by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Driver {
    pub(crate) me: u64,
    pub(crate) plan: Plan,
    pub(crate) lease_ms: u32,
    /// Who stands by asks later by that many leases.
    pub(crate) rank: u32,
    pub(crate) silent_after: Duration,
    pub(crate) begins: bool,
    pub(crate) asked: bool,
    pub(crate) not_before: Duration,
    pub(crate) record: Option<ReleaseRecord>,
    pub(crate) lease: Option<GrantedLease>,
    /// When the release came to its stage, as far as this one knows.
    pub(crate) since: Duration,
    pub(crate) foretold: Option<bool>,
    pub(crate) halts: HaltDetector,
    pub(crate) acted: BTreeMap<u64, (FencedOrder, Duration)>,
}

impl Driver {
    /// One that stands by. `me`: its asker's life; `rank`: others that stand by before it; `silent_after`: a
    /// front that was not heard of for so long counts as out.
    pub fn new(
        now: Duration,
        me: u64,
        plan: Plan,
        lease_ms: u32,
        rank: u32,
        silent_after: Duration,
    ) -> Driver {
        let halts = HaltDetector::new(plan.false_halt_ppm);
        let not_before = now + Duration::from_millis(lease_ms.into()) * rank;
        Driver {
            me,
            plan,
            lease_ms,
            rank,
            silent_after,
            begins: false,
            asked: false,
            not_before,
            record: None,
            lease: None,
            since: now,
            foretold: None,
            halts,
            acted: BTreeMap::new(),
        }
    }

    /// Begins the release. Where another one is not over it does not begin: ask again then.
    pub fn start_release(&mut self) {
        self.begins = true;
    }

    /// Begins the way back, whatever the release has come to.
    pub fn start_rollback(&mut self, now: Duration) {
        if self.plan.rollback_of.is_none() {
            self.go_back(now);
            (self.begins, self.not_before) = (true, now);
        }
    }

    fn go_back(&mut self, now: Duration) {
        self.plan = self.plan.rollback_plan();
        self.halts = HaltDetector::new(self.plan.false_halt_ppm);
        (self.since, self.acted) = (now, BTreeMap::new());
    }

    /// What the forecast says of the plan.
    pub fn set_forecast(&mut self, allows: bool) {
        self.foretold = Some(allows);
    }

    /// The plan that it drives: the way back's, once that was begun.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The record as it was last heard.
    pub fn record(&self) -> Option<&ReleaseRecord> {
        self.record.as_ref()
    }

    /// Whether it may act.
    pub fn is_driving(&self, now: Duration) -> bool {
        self.lease.is_some_and(|l| l.is_valid_at(now))
    }

    /// How the last change ended.
    pub fn handle_outcome(&mut self, now: Duration, outcome: Outcome) {
        self.asked = false;
        self.not_before = now + LATER;
        match outcome {
            Outcome::Committed(register, granted) => {
                let stage = self.record.map(|r| (r.number, r.stage));
                self.record = register.release;
                let record = self.record.filter(|r| r.driver == self.me);
                if let Some(r) = record {
                    self.lease = granted.filter(|g| g.lease_id == r.lease_id()).or(self.lease);
                    self.not_before = now;
                    if r.number > self.plan.number && r.plan_digest == self.plan.rollback_plan().digest() {
                        self.go_back(now);
                    }
                    self.begins &= r.number < self.plan.number;
                } else {
                    self.lease = None;
                }
                if stage != self.record.map(|r| (r.number, r.stage)) {
                    self.since = now;
                }
                let record = self.record;
                self.acted.retain(|_, (act, _)| record.is_some_and(|r| r.fence == act.fence));
            }
            // Another drives, or there is nothing to drive, or this one does not know where it stands.
            Outcome::Denied(DenialReason::Fenced | DenialReason::ReleaseInactive) => {
                (self.lease, self.begins) = (None, false);
                self.not_before = now + Duration::from_millis(self.lease_ms.into()) * (1 + self.rank);
            }
            Outcome::Denied(DenialReason::InvalidTransition) => self.lease = None,
            Outcome::Denied(_) | Outcome::NoQuorum | Outcome::Unknown => {}
        }
    }

    /// What to do now, by what the fronts report and the view says.
    pub fn step(
        &mut self,
        now: Duration,
        reports: &BTreeMap<u64, FrontReport>,
        world: &FleetView,
    ) -> Vec<DriverAction> {
        let mut out = Vec::new();
        let reports: BTreeMap<u64, FrontReport> =
            reports.iter().take(MAX_REPORTS).map(|(n, r)| (*n, *r)).collect();
        let record = self.record.filter(|r| self.is_driving(now) && r.plan_digest == self.plan.digest());
        let over = |r: &ReleaseRecord| matches!(r.stage, Stage::Done | Stage::RolledBack);
        if let Some(r) = record.filter(|r| !over(r) && !self.begins) {
            let change = self.go_on(now, r, &reports, world, &mut out);
            let lease = Duration::from_millis(r.lease_ms.into());
            let ends = self.lease.is_some_and(|l| now + lease / LEFT >= l.expires_at);
            if let Some(change) = change.or(ends.then_some(self.drive())) {
                self.ask(now, change, &mut out);
            }
        } else if self.begins {
            let (number, plan_digest) = (self.plan.number, self.plan.digest());
            let is_rollback = self.plan.rollback_of.is_some();
            self.ask(
                now,
                Change::StartRelease { number, plan_digest, is_rollback, lease_ms: self.lease_ms },
                &mut out,
            );
        } else if !self.record.as_ref().is_some_and(over) {
            self.ask(now, self.drive(), &mut out);
        }
        out
    }

    fn drive(&self) -> Change {
        let plan_digests = [self.plan.digest(), self.plan.rollback_plan().digest()];
        Change::DriveRelease { plan_digests, lease_ms: self.lease_ms }
    }

    fn ask(&mut self, now: Duration, change: Change, out: &mut Vec<DriverAction>) {
        if !self.asked && now >= self.not_before {
            self.asked = true;
            out.push(DriverAction::Submit(change));
        }
    }

    /// # Errors
    /// An invariant that does not hold.
    pub fn check_invariants(&self, now: Duration) -> Result<(), InvariantViolation> {
        let is = |good, what| ensure(good, "driver", self.me, what);
        let mine = self.record.is_some_and(|r| r.driver == self.me);
        is(!self.is_driving(now) || mine, "who drives is in the record")?;
        is(self.acted.len() <= MAX_REPORTS, "orders to no more fronts than report")?;
        let fence = self.record.map_or(Term::default(), |r| r.fence);
        is(self.acted.values().all(|(a, _)| a.fence == fence), "each order bears the record's fence")
    }
}
