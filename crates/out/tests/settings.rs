//! A release of settings over a small fleet: staged at all, checked at all, then taken.

use cloverhollow_out::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn generation(number: u64) -> Generation {
    Generation { number, digest: number * 10 }
}

fn settings() -> Plan {
    let most = MaxOutOfService { fleet: 2, zone: 2, rack: 2 };
    Plan {
        number: 1,
        target: ReleaseTarget::Settings { generation: 2, digest: 20 },
        previous: ReleaseTarget::Settings { generation: 1, digest: 10 },
        canaries: 1,
        waves: vec![Wave { zone: None, share_permille: 500 }],
        limits: Limits {
            fronts: most,
            servers: most,
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
    asks: u32,
    driver: Driver,
    fronts: Vec<StagedConfig>,
    away: Option<usize>,
    bad: bool,
    stages: Vec<Stage>,
}

impl Fleet {
    fn new(fronts: u64) -> Fleet {
        let now = Duration::from_secs(100);
        let mut driver = Driver::new(now, 1, settings(), 10_000, 0, Duration::from_secs(5));
        driver.start_release();
        driver.set_forecast(true);
        let fronts = (0..fronts).map(|n| StagedConfig::new(n, generation(1))).collect();
        let (register, stages) = (Register::default(), Vec::new());
        Fleet { now, register, asks: 0, driver, fronts, away: None, bad: false, stages }
    }

    fn change(&mut self, change: &Change) {
        self.asks += 1;
        let (world, limits) = (FleetView::default(), settings().limits);
        let seen = GrantContext { fleet: &world, limits: &limits };
        let came = self.register.apply((1, self.asks), change, &Default::default(), seen);
        let until = self.now + Duration::from_secs(10);
        let granted =
            self.register.release.map(|r| GrantedLease { lease_id: r.lease_id(), expires_at: until });
        let outcome = came.map(|_| Outcome::Committed(self.register.clone(), granted));
        self.driver.handle_outcome(self.now, outcome.unwrap_or_else(Outcome::Denied));
    }

    fn second(&mut self) {
        self.now += Duration::from_secs(1);
        let mut reports = BTreeMap::new();
        for (n, f) in self.fronts.iter().enumerate() {
            let report = FrontReport {
                place: Place::default(),
                received_at: if self.away == Some(n) { Duration::ZERO } else { self.now },
                running: f.active().digest,
                newest_staged: f.newest_staged(),
                staging_failed: self.bad && n == 2 && f.missing_text().is_some(),
                service_state: ServiceState::Serving,
                restart_pending: false,
                permit_wait: None,
                failed_restarts: 0,
                rule_violated: false,
                paid: Tally::default(),
                fence: f.fence(),
            };
            reports.insert(n as u64, report);
        }
        for what in self.driver.step(self.now, &reports, &FleetView::default()) {
            match what {
                DriverAction::Submit(change) => self.change(&change),
                DriverAction::Send(n, act) => drop(self.fronts[n as usize].handle_order(act)),
            }
        }
        for (n, f) in self.fronts.iter_mut().enumerate() {
            // One fetches its text late.
            if let Some(g) = f.missing_text().filter(|_| n != 1 || self.now > Duration::from_secs(110)) {
                f.receive_text(g.number, g.digest, !(self.bad && n == 2));
            }
            f.activate_pending();
            f.check_invariants().unwrap();
        }
        self.driver.check_invariants(self.now).unwrap();
        let stage = self.register.release.map(|r| r.stage);
        self.stages.extend(stage.filter(|s| self.stages.last() != Some(s)));
    }
}

#[test]
fn settings_are_staged_at_all_before_any_takes_them() {
    let mut fleet = Fleet::new(6);
    fleet.away = Some(4);
    while fleet.register.release.is_none_or(|r| r.stage != Stage::Done) {
        fleet.second();
        let staged = |f: &StagedConfig| f.newest_staged() == Generation { number: 2, digest: 20 };
        let some = fleet.fronts.iter().any(|f| f.active().number == 2);
        assert!(!some || (0..6).filter(|n| *n != 4).all(|n| staged(&fleet.fronts[n])));
        assert!(fleet.now < Duration::from_secs(200), "{:?}", fleet.stages);
    }
    println!("{:?}", fleet.stages);
    // The one that was away takes what holds now.
    let (record, away) = (fleet.register.release.unwrap(), &mut fleet.fronts[4]);
    assert_eq!(away.active().number, 1);
    assert_eq!(settings().target_at(record.stage), Some(settings().target));
    let holds = Generation { number: 2, digest: 20 };
    away.catch_up(record.fence, record.number, holds).unwrap();
    assert_eq!(away.activate_pending(), None, "not before it is checked");
    assert!(away.receive_text(2, 20, true));
    away.catch_up(record.fence, record.number, holds).unwrap();
    assert_eq!(away.activate_pending(), Some(holds));
}

#[test]
fn a_text_that_does_not_pass_halts_it_and_nobody_takes_it() {
    let mut fleet = Fleet::new(5);
    fleet.bad = true;
    (0..30).for_each(|_| fleet.second());
    assert_eq!(fleet.register.release.map(|r| r.stage), Some(Stage::Halted(HaltCause::Staging)));
    assert!(fleet.fronts.iter().all(|f| f.active().number == 1));
    fleet.bad = false;
    fleet.driver.start_rollback(fleet.now);
    (0..30).for_each(|_| fleet.second());
    assert_eq!(fleet.register.release.map(|r| r.stage), Some(Stage::RolledBack), "{:?}", fleet.stages);
}
