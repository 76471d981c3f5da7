//! What a driver does next, by the record and the fronts' reports.

use crate::change::Change;
use crate::driver::Driver;
use crate::limits::FleetView;
use crate::release::{ReleaseEvent, ReleaseTarget};
use crate::report::{does_worse, DriverAction, FrontReport, ServiceState, MAX_REPORTS};
use crate::staged_config::{FencedOrder, Generation, Order};
use crate::types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An order that shows nothing is given again after so long.
const AGAIN: Duration = Duration::from_secs(2);

impl Driver {
    pub(crate) fn go_on(
        &mut self,
        now: Duration,
        r: ReleaseRecord,
        reports: &BTreeMap<u64, FrontReport>,
        world: &FleetView,
        out: &mut Vec<DriverAction>,
    ) -> Option<Change> {
        let silent = reports.iter().filter(|(_, f)| now.saturating_sub(f.received_at) > self.silent_after);
        let silent: BTreeSet<u64> = silent.map(|(n, _)| *n).collect();
        let here: BTreeMap<u64, FrontReport> =
            reports.iter().filter(|(n, _)| !silent.contains(n)).map(|(n, f)| (*n, *f)).collect();
        let cause = self.halts.halt_cause(&self.plan, reports, &silent, world.uncertain_for);
        let going = matches!(r.stage, Stage::Canary | Stage::Wave(_) | Stage::Observed(_) | Stage::Forecast);
        if let Some(cause) = cause.filter(|_| going) {
            return Some(Change::HaltRelease { number: r.number, cause });
        }
        let event = match r.stage {
            Stage::Planned => match self.foretold {
                Some(true) => ReleaseEvent::ForecastAllowed,
                Some(false) => ReleaseEvent::Halt(HaltCause::Forecast),
                None => return None,
            },
            Stage::Forecast => self.stage_all(now, r, &here, out).then_some(ReleaseEvent::Staged)?,
            Stage::Canary | Stage::Wave(_) => {
                self.send(now, r, &here, reports, out).then_some(ReleaseEvent::WaveCompleted)?
            }
            Stage::RollingBack => {
                let staged = self.stage_all(now, r, &here, out);
                (staged && self.send(now, r, &here, reports, out)).then_some(ReleaseEvent::WaveCompleted)?
            }
            Stage::Observed(_) => {
                let watch = Duration::from_millis(self.plan.observation_ms.into());
                (now >= self.since + watch).then_some(ReleaseEvent::ObservationPassed)?
            }
            Stage::Halted(_) => {
                for name in here.iter().filter(|(_, f)| f.restart_pending).map(|(n, _)| *n) {
                    self.act(now, r, name, Order::Hold, out);
                }
                return None;
            }
            Stage::Done | Stage::RolledBack => return None,
        };
        let last_wave = self.plan.last_wave();
        Some(Change::AdvanceRelease { fence: r.fence, from: r.stage, event, last_wave })
    }

    fn generation(&self) -> Option<Generation> {
        match self.plan.target {
            ReleaseTarget::Build { .. } => None,
            ReleaseTarget::Settings { generation, digest } | ReleaseTarget::Layout { generation, digest } => {
                Some(Generation { number: generation, digest })
            }
        }
    }

    /// Stages a text at all that are here; whether it is.
    fn stage_all(
        &mut self,
        now: Duration,
        r: ReleaseRecord,
        here: &BTreeMap<u64, FrontReport>,
        out: &mut Vec<DriverAction>,
    ) -> bool {
        let Some(g) = self.generation() else { return true };
        let missing: Vec<u64> = here.iter().filter(|(_, f)| f.newest_staged != g).map(|(n, _)| *n).collect();
        missing.iter().for_each(|name| self.act(now, r, *name, Order::Stage(g), out));
        missing.is_empty()
    }

    /// Sends whoever is to go and has not; whether all have gone and are back.
    fn send(
        &mut self,
        now: Duration,
        r: ReleaseRecord,
        here: &BTreeMap<u64, FrontReport>,
        all: &BTreeMap<u64, FrontReport>,
        out: &mut Vec<DriverAction>,
    ) -> bool {
        let fleet: BTreeMap<u64, Place> = all.iter().map(|(n, f)| (*n, f.place)).collect();
        let targets = self.plan.fronts_at(r.stage, &fleet);
        let worse = |name: u64| here.get(&name).map_or(0, does_worse);
        let order: Vec<u64> =
            self.plan.rollout_order(&fleet, worse).into_iter().filter(|n| targets.contains(n)).collect();
        let target = self.plan.target.version_id();
        let here = |name: &u64| here.get(name);
        let pending: Vec<u64> =
            order.iter().filter(|n| here(n).is_some_and(|f| f.running != target)).copied().collect();
        let away = order
            .iter()
            .filter_map(here)
            .any(|f| f.service_state != ServiceState::Serving || f.restart_pending);
        if pending.is_empty() {
            return !away;
        }
        // Whoever was told to stop by others goes first; nobody is sent meanwhile.
        if all.values().any(|f| f.service_state == ServiceState::OutByOrder) {
            return false;
        }
        let (at_once, order) = match (self.plan.target, self.generation()) {
            (ReleaseTarget::Build { build_id }, _) => {
                (self.plan.limits.fronts.fleet.into(), Order::Restart { build_id })
            }
            (_, Some(g)) => (MAX_REPORTS, Order::Activate(g)),
            (_, None) => return false,
        };
        pending.into_iter().take(at_once).for_each(|name| self.act(now, r, name, order, out));
        false
    }

    fn act(&mut self, now: Duration, r: ReleaseRecord, name: u64, order: Order, out: &mut Vec<DriverAction>) {
        let act = FencedOrder { fence: r.fence, release: r.number, order };
        if self.acted.get(&name).is_some_and(|(last, at)| *last == act && now < *at + AGAIN) {
            return;
        }
        self.acted.insert(name, (act, now));
        out.push(DriverAction::Send(name, act));
    }
}
