//! What a driver does next, by the record and the fronts' reports.

use crate::change::Change;
use crate::driver::Driver;
use crate::limits::World;
use crate::release::{Event, What};
use crate::report::{does_worse, Do, Out, Report, MOST_REPORTS};
use crate::staged::{Act, Generation, Order};
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
        reports: &BTreeMap<u64, Report>,
        world: &World,
        out: &mut Vec<Do>,
    ) -> Option<Change> {
        let silent = reports.iter().filter(|(_, f)| now.saturating_sub(f.heard) > self.silent_after);
        let silent: BTreeSet<u64> = silent.map(|(n, _)| *n).collect();
        let here: BTreeMap<u64, Report> =
            reports.iter().filter(|(n, _)| !silent.contains(n)).map(|(n, f)| (*n, *f)).collect();
        let cause = self.halts.cause(&self.plan, reports, &silent, world.unsure_for);
        let going = matches!(r.stage, Stage::Canary | Stage::Wave(_) | Stage::Watched(_) | Stage::Forecast);
        if let Some(cause) = cause.filter(|_| going) {
            return Some(Change::Halt { number: r.number, cause });
        }
        let event = match r.stage {
            Stage::Planned => match self.foretold {
                Some(true) => Event::Foretold,
                Some(false) => Event::Halt(Cause::Forecast),
                None => return None,
            },
            Stage::Forecast => self.stage_all(now, r, &here, out).then_some(Event::Staged)?,
            Stage::Canary | Stage::Wave(_) => {
                self.send(now, r, &here, reports, out).then_some(Event::Went)?
            }
            Stage::GoingBack => {
                let staged = self.stage_all(now, r, &here, out);
                (staged && self.send(now, r, &here, reports, out)).then_some(Event::Went)?
            }
            Stage::Watched(_) => {
                let watch = Duration::from_millis(self.plan.watch_ms.into());
                (now >= self.since + watch).then_some(Event::Well)?
            }
            Stage::Halted(_) => {
                for name in here.iter().filter(|(_, f)| f.goes).map(|(n, _)| *n) {
                    self.act(now, r, name, Order::Hold, out);
                }
                return None;
            }
            Stage::Done | Stage::TakenBack => return None,
        };
        let waves = self.plan.last_wave();
        Some(Change::Step { fence: r.fence, from: r.stage, event, waves })
    }

    fn generation(&self) -> Option<Generation> {
        match self.plan.what {
            What::Build { .. } => None,
            What::Settings { generation, digest } | What::Layout { generation, digest } => {
                Some(Generation { number: generation, digest })
            }
        }
    }

    /// Stages a text at all that are here; whether it is.
    fn stage_all(
        &mut self,
        now: Duration,
        r: ReleaseRecord,
        here: &BTreeMap<u64, Report>,
        out: &mut Vec<Do>,
    ) -> bool {
        let Some(g) = self.generation() else { return true };
        let missing: Vec<u64> = here.iter().filter(|(_, f)| f.staged != g).map(|(n, _)| *n).collect();
        missing.iter().for_each(|name| self.act(now, r, *name, Order::Stage(g), out));
        missing.is_empty()
    }

    /// Sends whoever is to go and has not; whether all have gone and are back.
    fn send(
        &mut self,
        now: Duration,
        r: ReleaseRecord,
        here: &BTreeMap<u64, Report>,
        all: &BTreeMap<u64, Report>,
        out: &mut Vec<Do>,
    ) -> bool {
        let fleet: BTreeMap<u64, Place> = all.iter().map(|(n, f)| (*n, f.place)).collect();
        let targets = self.plan.targets(r.stage, &fleet);
        let worse = |name: u64| here.get(&name).map_or(0, does_worse);
        let order: Vec<u64> =
            self.plan.order(&fleet, worse).into_iter().filter(|n| targets.contains(n)).collect();
        let target = self.plan.what.target();
        let here = |name: &u64| here.get(name);
        let pending: Vec<u64> =
            order.iter().filter(|n| here(n).is_some_and(|f| f.runs != target)).copied().collect();
        let away = order.iter().filter_map(here).any(|f| f.out != Out::Serves || f.goes);
        if pending.is_empty() {
            return !away;
        }
        // Whoever was told to stop by others goes first; nobody is sent meanwhile.
        if all.values().any(|f| f.out == Out::Told) {
            return false;
        }
        let (at_once, order) = match (self.plan.what, self.generation()) {
            (What::Build { word }, _) => (self.plan.limits.fronts.fleet.into(), Order::Go { word }),
            (_, Some(g)) => (MOST_REPORTS, Order::Take(g)),
            (_, None) => return false,
        };
        pending.into_iter().take(at_once).for_each(|name| self.act(now, r, name, order, out));
        false
    }

    fn act(&mut self, now: Duration, r: ReleaseRecord, name: u64, order: Order, out: &mut Vec<Do>) {
        let act = Act { fence: r.fence, release: r.number, order };
        if self.acted.get(&name).is_some_and(|(last, at)| *last == act && now < *at + AGAIN) {
            return;
        }
        self.acted.insert(name, (act, now));
        out.push(Do::Act(name, act));
    }
}
