//! Next actions of a driver, derived from the release record and the fronts' reports.

use crate::change::Change;
use crate::driver::Driver;
use crate::limits::FleetView;
use crate::order::{FencedOrder, Generation, Order};
use crate::release::{ReleaseEvent, ReleaseTarget};
use crate::report::{failure_severity, DriverAction, FrontReport, ServiceState, MAX_REPORTS};
use crate::types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval after which an order is sent again if the front's report shows no effect.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

impl Driver {
    /// Sends the orders of the current stage and returns the change that ends the stage, if it has ended.
    pub(crate) fn advance(
        &mut self,
        now: Duration,
        record: ReleaseRecord,
        reports: &BTreeMap<u64, FrontReport>,
        fleet: &FleetView,
        actions: &mut Vec<DriverAction>,
    ) -> Option<Change> {
        let silent = reports.iter().filter(|(_, f)| now.saturating_sub(f.received_at) > self.silent_after);
        let silent: BTreeSet<u64> = silent.map(|(n, _)| *n).collect();
        let reporting: BTreeMap<u64, FrontReport> =
            reports.iter().filter(|(n, _)| !silent.contains(n)).map(|(n, f)| (*n, *f)).collect();
        let cause = self.halt_detector.halt_cause(&self.plan, reports, &silent, fleet.uncertain_for);
        let may_halt =
            matches!(record.stage, Stage::Canary | Stage::Wave(_) | Stage::Observed(_) | Stage::Forecast);
        if let Some(cause) = cause.filter(|_| may_halt) {
            return Some(Change::HaltRelease { number: record.number, cause });
        }
        let event = match record.stage {
            Stage::Planned => match self.forecast_allows {
                Some(true) => ReleaseEvent::ForecastAllowed,
                Some(false) => ReleaseEvent::Halt(HaltCause::Forecast),
                None => return None,
            },
            Stage::Forecast => {
                self.stage_everywhere(now, record, &reporting, actions).then_some(ReleaseEvent::Staged)?
            }
            Stage::Canary | Stage::Wave(_) => self
                .roll_out(now, record, &reporting, reports, actions)
                .then_some(ReleaseEvent::WaveCompleted)?,
            Stage::RollingBack => {
                let staged = self.stage_everywhere(now, record, &reporting, actions);
                (staged && self.roll_out(now, record, &reporting, reports, actions))
                    .then_some(ReleaseEvent::WaveCompleted)?
            }
            Stage::Observed(_) => {
                let observation = Duration::from_millis(self.plan.observation_ms.into());
                (now >= self.stage_since + observation).then_some(ReleaseEvent::ObservationPassed)?
            }
            Stage::Halted(_) => {
                for name in reporting.iter().filter(|(_, f)| f.restart_pending).map(|(n, _)| *n) {
                    self.send_order(now, record, name, Order::Hold, actions);
                }
                return None;
            }
            Stage::Done | Stage::RolledBack => return None,
        };
        let last_wave = self.plan.last_wave();
        Some(Change::AdvanceRelease { fence: record.fence, from: record.stage, event, last_wave })
    }

    /// Text that the release stages; `None` for a build.
    fn generation(&self) -> Option<Generation> {
        match self.plan.target {
            ReleaseTarget::Build { .. } => None,
            ReleaseTarget::Settings { generation, digest } | ReleaseTarget::Layout { generation, digest } => {
                Some(Generation { number: generation, digest })
            }
        }
    }

    /// Orders all reporting fronts to stage the text. Returns whether all have staged it.
    fn stage_everywhere(
        &mut self,
        now: Duration,
        record: ReleaseRecord,
        reporting: &BTreeMap<u64, FrontReport>,
        actions: &mut Vec<DriverAction>,
    ) -> bool {
        let Some(generation) = self.generation() else { return true };
        let missing: Vec<u64> =
            reporting.iter().filter(|(_, f)| f.newest_staged != generation).map(|(n, _)| *n).collect();
        missing
            .iter()
            .for_each(|name| self.send_order(now, record, *name, Order::Stage(generation), actions));
        missing.is_empty()
    }

    /// Orders the fronts of the current stage that do not run the target yet to change to it. Returns whether
    /// all run it and are in service again.
    fn roll_out(
        &mut self,
        now: Duration,
        record: ReleaseRecord,
        reporting: &BTreeMap<u64, FrontReport>,
        all: &BTreeMap<u64, FrontReport>,
        actions: &mut Vec<DriverAction>,
    ) -> bool {
        let fleet: BTreeMap<u64, Place> = all.iter().map(|(n, f)| (*n, f.place)).collect();
        let wave = self.plan.fronts_at(record.stage, &fleet);
        let severity = |name: u64| reporting.get(&name).map_or(0, failure_severity);
        let rollout_order: Vec<u64> =
            self.plan.rollout_order(&fleet, severity).into_iter().filter(|n| wave.contains(n)).collect();
        let target = self.plan.target.version_id();
        let report = |name: &u64| reporting.get(name);
        let pending: Vec<u64> = rollout_order
            .iter()
            .filter(|n| report(n).is_some_and(|f| f.running != target))
            .copied()
            .collect();
        let any_out = rollout_order
            .iter()
            .filter_map(report)
            .any(|f| f.service_state != ServiceState::Serving || f.restart_pending);
        if pending.is_empty() {
            return !any_out;
        }
        // A front that others have ordered to stop has precedence: the release waits for it.
        if all.values().any(|f| f.service_state == ServiceState::OutByOrder) {
            return false;
        }
        let (max_fronts, order) = match (self.plan.target, self.generation()) {
            (ReleaseTarget::Build { build_id }, _) => {
                (self.plan.limits.fronts.fleet.into(), Order::Restart { build_id })
            }
            (_, Some(generation)) => (MAX_REPORTS, Order::Activate(generation)),
            (_, None) => return false,
        };
        pending
            .into_iter()
            .take(max_fronts)
            .for_each(|name| self.send_order(now, record, name, order, actions));
        false
    }

    /// Sends an order to a front, unless the same one was sent within the resend interval.
    fn send_order(
        &mut self,
        now: Duration,
        record: ReleaseRecord,
        name: u64,
        order: Order,
        actions: &mut Vec<DriverAction>,
    ) {
        let fenced = FencedOrder { fence: record.fence, release: record.number, order };
        if self
            .sent_orders
            .get(&name)
            .is_some_and(|(last, sent_at)| *last == fenced && now < *sent_at + RESEND_INTERVAL)
        {
            return;
        }
        self.sent_orders.insert(name, (fenced, now));
        actions.push(DriverAction::Send(name, fenced));
    }
}
