//! A release of settings over a small fleet: staged at all, checked at all, then taken.

use cloverhollow_out::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn generation(number: u64) -> Generation {
    Generation { number, digest: number * 10 }
}

fn settings() -> Plan {
    let most = Most { fleet: 2, hall: 2, rack: 2 };
    Plan {
        number: 1,
        what: What::Settings { generation: 2, digest: 20 },
        before: What::Settings { generation: 1, digest: 10 },
        canaries: 1,
        waves: vec![Wave { hall: None, share: 500 }],
        limits: Limits { fronts: most, servers: most, copies: 0, cells: 0, free: None, unsure_ms: 1_000 },
        watch_ms: 3_000,
        most_out: 2,
        restarts: 1,
        permits_ms: 60_000,
        error_ppm: 1_000,
        back: None,
    }
}

struct Fleet {
    now: Duration,
    register: Register,
    asks: u32,
    driver: Driver,
    fronts: Vec<Staged>,
    away: Option<usize>,
    bad: bool,
    stages: Vec<Stage>,
}

impl Fleet {
    fn new(fronts: u64) -> Fleet {
        let now = Duration::from_secs(100);
        let mut driver = Driver::new(now, 1, settings(), 10_000, 0, Duration::from_secs(5));
        driver.begin();
        driver.foretold(true);
        let fronts = (0..fronts).map(|n| Staged::new(n, generation(1))).collect();
        let (register, stages) = (Register::default(), Vec::new());
        Fleet { now, register, asks: 0, driver, fronts, away: None, bad: false, stages }
    }

    fn change(&mut self, change: &Change) {
        self.asks += 1;
        let (world, limits) = (World::default(), settings().limits);
        let seen = Seen { world: &world, limits: &limits };
        let came = self.register.apply((1, self.asks), change, &Default::default(), seen);
        let until = self.now + Duration::from_secs(10);
        let granted = self.register.release.map(|r| Granted { id: r.id(), until });
        let outcome = came.map(|_| Outcome::Done(self.register.clone(), granted));
        self.driver.told(self.now, outcome.unwrap_or_else(Outcome::Denied));
    }

    fn second(&mut self) {
        self.now += Duration::from_secs(1);
        let mut reports = BTreeMap::new();
        for (n, f) in self.fronts.iter().enumerate() {
            let report = Report {
                place: Place::default(),
                heard: if self.away == Some(n) { Duration::ZERO } else { self.now },
                runs: f.now().digest,
                staged: f.staged(),
                bad_text: self.bad && n == 2 && f.wanted().is_some(),
                out: Out::Serves,
                goes: false,
                waits: None,
                failed: 0,
                rule: false,
                paid: Tally::default(),
                fence: f.fence(),
            };
            reports.insert(n as u64, report);
        }
        for what in self.driver.step(self.now, &reports, &World::default()) {
            match what {
                Do::Ask(change) => self.change(&change),
                Do::Act(n, act) => drop(self.fronts[n as usize].act(act)),
            }
        }
        for (n, f) in self.fronts.iter_mut().enumerate() {
            // One fetches its text late.
            if let Some(g) = f.wanted().filter(|_| n != 1 || self.now > Duration::from_secs(110)) {
                f.text(g.number, g.digest, !(self.bad && n == 2));
            }
            f.boundary();
            f.check().unwrap();
        }
        self.driver.check(self.now).unwrap();
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
        let staged = |f: &Staged| f.staged() == Generation { number: 2, digest: 20 };
        let some = fleet.fronts.iter().any(|f| f.now().number == 2);
        assert!(!some || (0..6).filter(|n| *n != 4).all(|n| staged(&fleet.fronts[n])));
        assert!(fleet.now < Duration::from_secs(200), "{:?}", fleet.stages);
    }
    println!("{:?}", fleet.stages);
    // The one that was away takes what holds now.
    let (record, away) = (fleet.register.release.unwrap(), &mut fleet.fronts[4]);
    assert_eq!(away.now().number, 1);
    assert_eq!(settings().holds_at(record.stage), Some(settings().what));
    let holds = Generation { number: 2, digest: 20 };
    away.came_back(record.fence, record.number, holds).unwrap();
    assert_eq!(away.boundary(), None, "not before it is checked");
    assert!(away.text(2, 20, true));
    away.came_back(record.fence, record.number, holds).unwrap();
    assert_eq!(away.boundary(), Some(holds));
}

#[test]
fn a_text_that_does_not_pass_halts_it_and_nobody_takes_it() {
    let mut fleet = Fleet::new(5);
    fleet.bad = true;
    (0..30).for_each(|_| fleet.second());
    assert_eq!(fleet.register.release.map(|r| r.stage), Some(Stage::Halted(Cause::Staging)));
    assert!(fleet.fronts.iter().all(|f| f.now().number == 1));
    fleet.bad = false;
    fleet.driver.back(fleet.now);
    (0..30).for_each(|_| fleet.second());
    assert_eq!(fleet.register.release.map(|r| r.stage), Some(Stage::TakenBack), "{:?}", fleet.stages);
}
