//! Driver of a release, or a standby that takes over when the driver's lease expires.
//!
//! A driver needs only the plan, the release record of the register, and the reports of the fronts: what a
//! front has already is not done again. It acts only while its lease is valid, and each order carries the
//! lease's fencing token.

use crate::change::{Change, DenialReason};
use crate::halt_detector::HaltDetector;
use crate::limits::FleetView;
use crate::order::FencedOrder;
use crate::proposal::{GrantedLease, Outcome};
use crate::release::Plan;
use crate::report::{DriverAction, FrontReport, MAX_REPORTS};
use crate::types::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay after which a change that did not succeed is submitted again.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// The lease is renewed when one part in this many of it is left.
const RENEWAL_DIVISOR: u32 = 2;

/// Driver or standby of a release, run by a front.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Driver {
    /// Incarnation of this process.
    pub(crate) incarnation: u64,
    /// Plan of the release, or of its rollback once that has been started.
    pub(crate) plan: Plan,
    /// Duration of the requested lease in milliseconds.
    pub(crate) lease_ms: u32,
    /// Number of standbys before this one; it waits that many leases longer before it tries to take over.
    pub(crate) standby_rank: u32,
    /// Time without a report after which a front counts as out of service.
    pub(crate) silent_after: Duration,
    /// True if the release or rollback is to be registered.
    pub(crate) start_requested: bool,
    /// True while a submitted change has no outcome yet.
    pub(crate) change_in_progress: bool,
    /// Earliest time of the next change.
    pub(crate) next_change_at: Duration,
    /// Release record of the last value that a change returned.
    pub(crate) record: Option<ReleaseRecord>,
    /// Driver's lease, if held.
    pub(crate) lease: Option<GrantedLease>,
    /// Time at which this process learnt of the current stage.
    pub(crate) stage_since: Duration,
    /// True if the forecast of the release's effect allows it; `None` before the forecast is known.
    pub(crate) forecast_allows: Option<bool>,
    /// Detector of reasons to halt.
    pub(crate) halt_detector: HaltDetector,
    /// Last order to each front, and when it was sent.
    pub(crate) sent_orders: BTreeMap<u64, (FencedOrder, Duration)>,
}

impl Driver {
    /// Creates a standby.
    ///
    /// `incarnation` is that of the process's proposer, `standby_rank` is the number of standbys that try
    /// before this one, and a front without a report for `silent_after` counts as out of service.
    pub fn new(
        now: Duration,
        incarnation: u64,
        plan: Plan,
        lease_ms: u32,
        standby_rank: u32,
        silent_after: Duration,
    ) -> Driver {
        let halt_detector = HaltDetector::new(plan.false_halt_ppm);
        let next_change_at = now + Duration::from_millis(lease_ms.into()) * standby_rank;
        Driver {
            incarnation,
            plan,
            lease_ms,
            standby_rank,
            silent_after,
            start_requested: false,
            change_in_progress: false,
            next_change_at,
            record: None,
            lease: None,
            stage_since: now,
            forecast_allows: None,
            halt_detector,
            sent_orders: BTreeMap::new(),
        }
    }

    /// Requests the start of the release. It does not start while another release is in progress; call this
    /// again when that one has ended.
    pub fn start_release(&mut self) {
        self.start_requested = true;
    }

    /// Requests the start of the rollback, at whatever stage the release is.
    pub fn start_rollback(&mut self, now: Duration) {
        if self.plan.rollback_of.is_none() {
            self.switch_to_rollback(now);
            (self.start_requested, self.next_change_at) = (true, now);
        }
    }

    /// Replaces the plan by its rollback plan.
    fn switch_to_rollback(&mut self, now: Duration) {
        self.plan = self.plan.rollback_plan();
        self.halt_detector = HaltDetector::new(self.plan.false_halt_ppm);
        (self.stage_since, self.sent_orders) = (now, BTreeMap::new());
    }

    /// Sets whether the forecast of the release's effect allows it. The release does not leave
    /// [`Stage::Planned`] before this is known.
    pub fn set_forecast(&mut self, allows: bool) {
        self.forecast_allows = Some(allows);
    }

    /// Plan that is driven: the rollback plan once the rollback has been requested.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Release record of the last value that a change returned.
    pub fn record(&self) -> Option<&ReleaseRecord> {
        self.record.as_ref()
    }

    /// Returns whether this process holds the driver's lease at `now`.
    pub fn is_driving(&self, now: Duration) -> bool {
        self.lease.is_some_and(|lease| lease.is_valid_at(now))
    }

    /// Handles the outcome of the change that was submitted last.
    pub fn handle_outcome(&mut self, now: Duration, outcome: Outcome) {
        self.change_in_progress = false;
        self.next_change_at = now + RETRY_DELAY;
        match outcome {
            Outcome::Committed(register, granted) => {
                let stage = self.record.map(|r| (r.number, r.stage));
                self.record = register.release;
                let record = self.record.filter(|r| r.driver == self.incarnation);
                if let Some(r) = record {
                    self.lease = granted.filter(|lease| lease.lease_id == r.lease_id()).or(self.lease);
                    self.next_change_at = now;
                    if r.number > self.plan.number && r.plan_digest == self.plan.rollback_plan().digest() {
                        self.switch_to_rollback(now);
                    }
                    self.start_requested &= r.number < self.plan.number;
                } else {
                    self.lease = None;
                }
                if stage != self.record.map(|r| (r.number, r.stage)) {
                    self.stage_since = now;
                }
                let record = self.record;
                self.sent_orders.retain(|_, (order, _)| record.is_some_and(|r| r.fence == order.fence));
            }
            // Another process drives, there is nothing to drive, or the known record is out of date.
            Outcome::Denied(DenialReason::Fenced | DenialReason::ReleaseInactive) => {
                (self.lease, self.start_requested) = (None, false);
                self.next_change_at =
                    now + Duration::from_millis(self.lease_ms.into()) * (1 + self.standby_rank);
            }
            Outcome::Denied(DenialReason::InvalidTransition) => self.lease = None,
            Outcome::Denied(_) | Outcome::NoQuorum | Outcome::Unknown => {}
        }
    }

    /// Returns the next actions, given the fronts' reports and the membership view. Reports are keyed by the
    /// fronts' names, as in [`Subject::Front`].
    pub fn step(
        &mut self,
        now: Duration,
        reports: &BTreeMap<u64, FrontReport>,
        fleet: &FleetView,
    ) -> Vec<DriverAction> {
        let mut actions = Vec::new();
        let reports: BTreeMap<u64, FrontReport> =
            reports.iter().take(MAX_REPORTS).map(|(n, r)| (*n, *r)).collect();
        let record = self.record.filter(|r| self.is_driving(now) && r.plan_digest == self.plan.digest());
        let has_ended = |r: &ReleaseRecord| matches!(r.stage, Stage::Done | Stage::RolledBack);
        if let Some(r) = record.filter(|r| !has_ended(r) && !self.start_requested) {
            let change = self.advance(now, r, &reports, fleet, &mut actions);
            let lease = Duration::from_millis(r.lease_ms.into());
            let renewal_due = self.lease.is_some_and(|l| now + lease / RENEWAL_DIVISOR >= l.expires_at);
            if let Some(change) = change.or(renewal_due.then_some(self.drive_change())) {
                self.submit(now, change, &mut actions);
            }
        } else if self.start_requested {
            let (number, plan_digest) = (self.plan.number, self.plan.digest());
            let is_rollback = self.plan.rollback_of.is_some();
            self.submit(
                now,
                Change::StartRelease { number, plan_digest, is_rollback, lease_ms: self.lease_ms },
                &mut actions,
            );
        } else if !self.record.as_ref().is_some_and(has_ended) {
            self.submit(now, self.drive_change(), &mut actions);
        }
        actions
    }

    /// Change that takes over the release or renews the lease.
    fn drive_change(&self) -> Change {
        let plan_digests = [self.plan.digest(), self.plan.rollback_plan().digest()];
        Change::DriveRelease { plan_digests, lease_ms: self.lease_ms }
    }

    /// Submits a change unless one is in progress or it is too early.
    fn submit(&mut self, now: Duration, change: Change, actions: &mut Vec<DriverAction>) {
        if !self.change_in_progress && now >= self.next_change_at {
            self.change_in_progress = true;
            actions.push(DriverAction::Submit(change));
        }
    }

    /// Checks the invariants of the driver.
    ///
    /// # Errors
    /// The first invariant that does not hold.
    pub fn check_invariants(&self, now: Duration) -> Result<(), InvariantViolation> {
        let is = |good, what| ensure(good, "driver", self.incarnation, what);
        let is_recorded = self.record.is_some_and(|r| r.driver == self.incarnation);
        is(!self.is_driving(now) || is_recorded, "a process that drives is the driver of the record")?;
        is(self.sent_orders.len() <= MAX_REPORTS, "orders go to no more fronts than may report")?;
        let fence = self.record.map_or(Term::default(), |r| r.fence);
        is(
            self.sent_orders.values().all(|(order, _)| order.fence == fence),
            "each order carries the record's fencing token",
        )
    }
}
