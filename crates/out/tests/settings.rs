//! A release of settings over a small fleet: staged and checked at all fronts, then activated.

use cloverhollow_out::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn generation(number: u64) -> Generation {
    Generation { number, digest: number * 10 }
}

fn settings_plan() -> Plan {
    let max = MaxOutOfService { fleet: 2, zone: 2, rack: 2 };
    Plan {
        number: 1,
        target: ReleaseTarget::Settings { generation: 2, digest: 20 },
        previous: ReleaseTarget::Settings { generation: 1, digest: 10 },
        canaries: 1,
        waves: vec![Wave { zone: None, share_permille: 500 }],
        limits: Limits {
            fronts: max,
            servers: max,
            cells_per_title: 0,
            ring_cells: 0,
            free_link_kbit_s: None,
            max_uncertain_ms: 1_000,
        },
        observation_ms: 3_000,
        max_out: 2,
        max_failed_restarts: 1,
        max_permit_wait_ms: 60_000,
        false_halt_ppm: 1_000,
        rollback_of: None,
    }
}

struct Fleet {
    now: Duration,
    register: Register,
    requests: u32,
    driver: Driver,
    fronts: Vec<StagedConfig>,
    silent_front: Option<usize>,
    bad_text: bool,
    stages: Vec<Stage>,
}

impl Fleet {
    fn new(fronts: u64) -> Fleet {
        let now = Duration::from_secs(100);
        let mut driver = Driver::new(now, 1, settings_plan(), 10_000, 0, Duration::from_secs(5));
        driver.start_release();
        driver.set_forecast(true);
        let fronts = (0..fronts).map(|name| StagedConfig::new(name, generation(1))).collect();
        let (register, stages) = (Register::default(), Vec::new());
        Fleet { now, register, requests: 0, driver, fronts, silent_front: None, bad_text: false, stages }
    }

    fn change(&mut self, change: &Change) {
        self.requests += 1;
        let (fleet_view, limits) = (FleetView::default(), settings_plan().limits);
        let context = GrantContext { fleet: &fleet_view, limits: &limits };
        let applied = self.register.apply((1, self.requests), change, &Default::default(), context);
        let expires_at = self.now + Duration::from_secs(10);
        let granted = self.register.release.map(|r| GrantedLease { lease_id: r.lease_id(), expires_at });
        let outcome = applied.map(|_| Outcome::Committed(self.register.clone(), granted));
        self.driver.handle_outcome(self.now, outcome.unwrap_or_else(Outcome::Denied));
    }

    fn run_one_second(&mut self) {
        self.now += Duration::from_secs(1);
        let mut reports = BTreeMap::new();
        for (name, front) in self.fronts.iter().enumerate() {
            let report = FrontReport {
                place: Place::default(),
                received_at: if self.silent_front == Some(name) { Duration::ZERO } else { self.now },
                running: front.active().digest,
                newest_staged: front.newest_staged(),
                staging_failed: self.bad_text && name == 2 && front.missing_text().is_some(),
                service_state: ServiceState::Serving,
                restart_pending: false,
                permit_wait: None,
                failed_restarts: 0,
                rule_violated: false,
                paid: Tally::default(),
                fence: front.fence(),
            };
            reports.insert(name as u64, report);
        }
        for action in self.driver.step(self.now, &reports, &FleetView::default()) {
            match action {
                DriverAction::Submit(change) => self.change(&change),
                DriverAction::Send(name, order) => drop(self.fronts[name as usize].handle_order(order)),
            }
        }
        for (name, front) in self.fronts.iter_mut().enumerate() {
            // Front 1 fetches its text late.
            if let Some(generation) =
                front.missing_text().filter(|_| name != 1 || self.now > Duration::from_secs(110))
            {
                front.receive_text(generation.number, generation.digest, !(self.bad_text && name == 2));
            }
            front.activate_pending();
            front.check_invariants().unwrap();
        }
        self.driver.check_invariants(self.now).unwrap();
        let stage = self.register.release.map(|r| r.stage);
        self.stages.extend(stage.filter(|new_stage| self.stages.last() != Some(new_stage)));
    }
}

#[test]
fn settings_are_staged_everywhere_before_any_front_activates_them() {
    let mut fleet = Fleet::new(6);
    fleet.silent_front = Some(4);
    while fleet.register.release.is_none_or(|r| r.stage != Stage::Done) {
        fleet.run_one_second();
        let staged = |front: &StagedConfig| front.newest_staged() == Generation { number: 2, digest: 20 };
        let any_active = fleet.fronts.iter().any(|front| front.active().number == 2);
        assert!(!any_active || (0..6).filter(|name| *name != 4).all(|name| staged(&fleet.fronts[name])));
        assert!(fleet.now < Duration::from_secs(200), "{:?}", fleet.stages);
    }
    println!("{:?}", fleet.stages);
    // The front that was silent activates the current generation.
    let (record, silent_front) = (fleet.register.release.unwrap(), &mut fleet.fronts[4]);
    assert_eq!(silent_front.active().number, 1);
    assert_eq!(settings_plan().target_at(record.stage), Some(settings_plan().target));
    let active = Generation { number: 2, digest: 20 };
    silent_front.catch_up(record.fence, record.number, active).unwrap();
    assert_eq!(silent_front.activate_pending(), None, "not activated before it is checked");
    assert!(silent_front.receive_text(2, 20, true));
    silent_front.catch_up(record.fence, record.number, active).unwrap();
    assert_eq!(silent_front.activate_pending(), Some(active));
}

#[test]
fn a_text_that_fails_its_checks_halts_the_release_and_is_never_activated() {
    let mut fleet = Fleet::new(5);
    fleet.bad_text = true;
    (0..30).for_each(|_| fleet.run_one_second());
    assert_eq!(fleet.register.release.map(|r| r.stage), Some(Stage::Halted(HaltCause::Staging)));
    assert!(fleet.fronts.iter().all(|front| front.active().number == 1));
    fleet.bad_text = false;
    fleet.driver.start_rollback(fleet.now);
    (0..30).for_each(|_| fleet.run_one_second());
    assert_eq!(fleet.register.release.map(|r| r.stage), Some(Stage::RolledBack), "{:?}", fleet.stages);
}
