//! The model of a release: see `model_release.rs`.

use super::plan;
use cloverhollow_out::*;
use stateright::{Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const FRONTS: u64 = 2;
const LEASE_MS: u32 = 10_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: Duration,
    register: Register,
    drivers: Vec<Driver>,
    /// What a driver's change came to, and has not heard yet.
    heard: Vec<Option<Outcome>>,
    fronts: Vec<StagedConfig>,
    builds: Vec<u64>,
    restarts: Vec<u8>,
    orders: BTreeSet<(u64, FencedOrder)>,
    halts: u8,
    lapses: u8,
    sleeps: u8,
    /// Something that must not be.
    wrong: bool,
    refused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Happens {
    Steps(usize),
    Hears(usize),
    Arrives(u64, FencedOrder),
    /// A front that has an order asks for its permit, goes and is back.
    Goes(u64),
    /// Half a lease goes by.
    Time,
    /// The record's lease has lapsed at the witnesses and another driver takes it.
    Taken(usize),
    HaltDetector,
    Back(usize),
}

pub struct World {
    pub halts: u8,
    pub sleeps: u8,
    pub lapses: u8,
}

impl State {
    fn apply(&mut self, me: u64, change: &Change, lapsed: bool) -> Outcome {
        let ask = self.register.term.0 as u32 + 1;
        let over = self.register.release.filter(|_| lapsed).map(|r| r.lease_id());
        let (world, limits) = (cloverhollow_out::FleetView::default(), plan().limits);
        let seen = GrantContext { fleet: &world, limits: &limits };
        match self.register.apply((me, ask), change, &over.into_iter().collect(), seen) {
            Err(why) => Outcome::Denied(why),
            Ok(_) => {
                let own = self.register.release.filter(|r| r.driver == me).map(|r| r.lease_id());
                let until = self.now + Duration::from_millis(LEASE_MS.into());
                Outcome::Committed(
                    self.register.clone(),
                    own.map(|id| GrantedLease { lease_id: id, expires_at: until }),
                )
            }
        }
    }

    fn reports(&self) -> BTreeMap<u64, FrontReport> {
        let report = |n: u64| {
            let (staged, build) = (&self.fronts[n as usize], self.builds[n as usize]);
            FrontReport {
                place: Place::default(),
                received_at: self.now,
                running: build,
                newest_staged: staged.newest_staged(),
                staging_failed: false,
                service_state: ServiceState::Serving,
                restart_pending: staged.pending_restart().is_some_and(|word| word != build),
                permit_wait: None,
                failed_restarts: 0,
                rule_violated: false,
                paid: Tally::default(),
                fence: staged.fence(),
            }
        };
        (0..FRONTS).map(|n| (n, report(n))).collect()
    }
}

impl Model for World {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        let now = Duration::from_secs(100);
        let driver = |me: u64| Driver::new(now, me, plan(), LEASE_MS, 0, Duration::from_secs(60));
        let mut drivers: Vec<Driver> = (1..=2).map(driver).collect();
        drivers[0].start_release();
        drivers.iter_mut().for_each(|d| d.set_forecast(true));
        vec![State {
            now,
            register: Register::default(),
            drivers,
            heard: vec![None; 2],
            fronts: (0..FRONTS).map(|n| StagedConfig::new(n, Generation { number: 1, digest: 1 })).collect(),
            builds: vec![1; FRONTS as usize],
            restarts: vec![0; FRONTS as usize],
            orders: BTreeSet::new(),
            halts: 0,
            lapses: 0,
            sleeps: 0,
            wrong: false,
            refused: false,
        }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Happens>) {
        for d in 0..2 {
            out.push(if s.heard[d].is_some() { Happens::Hears(d) } else { Happens::Steps(d) });
            let other = s.register.release.is_some_and(|r| r.driver != d as u64 + 1);
            if s.lapses < self.lapses && other && s.heard[d].is_none() {
                out.push(Happens::Taken(d));
            }
            if matches!(s.register.release.map(|r| r.stage), Some(Stage::Halted(_))) && s.heard[d].is_none() {
                out.push(Happens::Back(d));
            }
        }
        out.extend(s.orders.iter().map(|(n, act)| Happens::Arrives(*n, *act)));
        out.extend(
            (0..FRONTS).filter(|n| s.fronts[*n as usize].pending_restart().is_some()).map(Happens::Goes),
        );
        if s.halts < self.halts && s.register.release.is_some() {
            out.push(Happens::HaltDetector);
        }
        if s.sleeps < self.sleeps {
            out.push(Happens::Time);
        }
    }

    fn next_state(&self, s: &State, action: Happens) -> Option<State> {
        let mut s = s.clone();
        match action {
            Happens::Steps(d) => {
                let (reports, world) = (s.reports(), cloverhollow_out::FleetView::default());
                let now = s.now;
                for what in s.drivers[d].step(now, &reports, &world) {
                    match what {
                        DriverAction::Submit(change) => {
                            s.heard[d] = Some(s.apply(d as u64 + 1, &change, false))
                        }
                        DriverAction::Send(n, act) => {
                            s.orders.insert((n, act));
                        }
                    }
                }
            }
            Happens::Hears(d) => {
                let outcome = s.heard[d].take()?;
                let now = s.now;
                s.drivers[d].handle_outcome(now, outcome);
                s.wrong |= s.drivers[d].check_invariants(now).is_err();
            }
            Happens::Taken(d) => {
                s.lapses += 1;
                let change = Change::DriveRelease {
                    plan_digests: [plan().digest(), plan().rollback_plan().digest()],
                    lease_ms: LEASE_MS,
                };
                s.heard[d] = Some(s.apply(d as u64 + 1, &change, true));
            }
            Happens::Back(d) => {
                let now = s.now;
                s.drivers[d].start_rollback(now);
            }
            Happens::Arrives(n, act) => {
                let front = &mut s.fronts[n as usize];
                let seen = front.fence();
                let stale = s.orders.iter().any(|(to, o)| *to == n && *o == act && o.fence < seen);
                let took = front.handle_order(act).is_ok();
                s.wrong |= (took && stale) || front.check_invariants().is_err() || front.fence() < seen;
                s.refused |= stale && !took;
            }
            Happens::Goes(n) => {
                let i = n as usize;
                let (word, number) = (s.fronts[i].pending_restart()?, s.register.release?.number);
                let subject = Subject::Front(n);
                let grant = Change::Grant {
                    subject,
                    place: Place::default(),
                    lease_ms: LEASE_MS,
                    release: Some(number),
                };
                let halted = matches!(s.register.release?.stage, Stage::Halted(_));
                if word == s.builds[i] || !matches!(s.apply(10 + n, &grant, false), Outcome::Committed(..)) {
                    return None;
                }
                s.wrong |= halted;
                s.apply(10 + n, &Change::ReturnPermit { subject }, false);
                s.builds[i] = word;
                s.restarts[i] += 1;
                s.fronts[i] = StagedConfig::new(n, Generation { number: 1, digest: 1 });
                s.fronts[i].observe_release(&s.register.release?);
            }
            Happens::Time => {
                s.sleeps += 1;
                s.now += Duration::from_millis(u64::from(LEASE_MS) / 2 + 100);
            }
            Happens::HaltDetector => {
                s.halts += 1;
                let number = s.register.release?.number;
                s.apply(99, &Change::HaltRelease { number, cause: HaltCause::Operator }, false);
            }
        }
        s.wrong |= s.register.check_invariants().is_err();
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(RIGHT, |_, s: &State| !s.wrong),
            Property::always(ONCE, |_, s: &State| {
                let most = if s.register.release.is_some_and(|r| r.number > 1) { 2 } else { 1 };
                s.restarts.iter().all(|n| *n <= most)
            }),
            Property::sometimes("done", |_, s: &State| {
                s.register.release.is_some_and(|r| r.stage == Stage::Done) && s.builds == [2, 2]
            }),
            Property::sometimes("taken over and done", |_, s: &State| {
                s.register.release.is_some_and(|r| r.stage == Stage::Done && r.driver == 2)
            }),
            Property::sometimes("an old fence is refused", |_, s: &State| s.refused),
            Property::sometimes("taken back", |_, s: &State| {
                s.register.release.is_some_and(|r| r.stage == Stage::RolledBack) && s.builds == [1, 1]
            }),
        ]
    }
}

pub const RIGHT: &str = "no order of an older fence, nobody new once halted, each check holds";
pub const ONCE: &str = "nothing is done twice";
