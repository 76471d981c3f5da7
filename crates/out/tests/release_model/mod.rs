//! Model of a release; see `model_release.rs`.

mod properties;

pub use properties::{AT_MOST_ONCE, SAFETY};

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
    /// Outcome of each driver's last change that it has not received yet.
    outcomes: Vec<Option<Outcome>>,
    fronts: Vec<StagedConfig>,
    builds: Vec<u64>,
    restarts: Vec<u8>,
    orders: BTreeSet<(u64, FencedOrder)>,
    halts: u8,
    takeovers: u8,
    time_steps: u8,
    /// True if a safety property or an invariant was violated.
    violated: bool,
    stale_refused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    RunDriver(usize),
    ReceiveOutcome(usize),
    DeliverOrder(u64, FencedOrder),
    /// A front with an order to restart gets its permit, restarts and returns it.
    Restart(u64),
    /// Time advances by more than half a lease.
    AdvanceTime,
    /// The driver's lease has expired at the witnesses and another driver takes over.
    TakeOver(usize),
    Halt,
    StartRollback(usize),
}

pub struct ReleaseModel {
    pub halts: u8,
    pub time_steps: u8,
    pub takeovers: u8,
}

impl State {
    fn apply(&mut self, incarnation: u64, change: &Change, is_expired: bool) -> Outcome {
        let request_id = self.register.term.0 as u32 + 1;
        let expired = self.register.release.filter(|_| is_expired).map(|r| r.lease_id());
        let (fleet, limits) = (FleetView::default(), plan().limits);
        let context = GrantContext { fleet: &fleet, limits: &limits };
        match self.register.apply((incarnation, request_id), change, &expired.into_iter().collect(), context)
        {
            Err(reason) => Outcome::Denied(reason),
            Ok(_) => {
                let own_lease =
                    self.register.release.filter(|r| r.driver == incarnation).map(|r| r.lease_id());
                let expires_at = self.now + Duration::from_millis(LEASE_MS.into());
                Outcome::Committed(
                    self.register.clone(),
                    own_lease.map(|lease_id| GrantedLease { lease_id, expires_at }),
                )
            }
        }
    }

    fn reports(&self) -> BTreeMap<u64, FrontReport> {
        let report = |front: u64| {
            let (staged, build) = (&self.fronts[front as usize], self.builds[front as usize]);
            FrontReport {
                place: Place::default(),
                received_at: self.now,
                running: build,
                newest_staged: staged.newest_staged(),
                staging_failed: false,
                service_state: ServiceState::Serving,
                restart_pending: staged.pending_restart().is_some_and(|next_build| next_build != build),
                permit_wait: None,
                failed_restarts: 0,
                rule_violated: false,
                paid: Tally::default(),
                fence: staged.fence(),
            }
        };
        (0..FRONTS).map(|front| (front, report(front))).collect()
    }
}

impl Model for ReleaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let now = Duration::from_secs(100);
        let driver =
            |incarnation: u64| Driver::new(now, incarnation, plan(), LEASE_MS, 0, Duration::from_secs(60));
        let mut drivers: Vec<Driver> = (1..=2).map(driver).collect();
        drivers[0].start_release();
        drivers.iter_mut().for_each(|driver| driver.set_forecast(true));
        vec![State {
            now,
            register: Register::default(),
            drivers,
            outcomes: vec![None; 2],
            fronts: (0..FRONTS)
                .map(|front| StagedConfig::new(front, Generation { number: 1, digest: 1 }))
                .collect(),
            builds: vec![1; FRONTS as usize],
            restarts: vec![0; FRONTS as usize],
            orders: BTreeSet::new(),
            halts: 0,
            takeovers: 0,
            time_steps: 0,
            violated: false,
            stale_refused: false,
        }]
    }

    fn actions(&self, state: &State, out: &mut Vec<Step>) {
        for driver in 0..2 {
            out.push(if state.outcomes[driver].is_some() {
                Step::ReceiveOutcome(driver)
            } else {
                Step::RunDriver(driver)
            });
            let other_drives = state.register.release.is_some_and(|r| r.driver != driver as u64 + 1);
            if state.takeovers < self.takeovers && other_drives && state.outcomes[driver].is_none() {
                out.push(Step::TakeOver(driver));
            }
            if matches!(state.register.release.map(|r| r.stage), Some(Stage::Halted(_)))
                && state.outcomes[driver].is_none()
            {
                out.push(Step::StartRollback(driver));
            }
        }
        out.extend(state.orders.iter().map(|(front, order)| Step::DeliverOrder(*front, *order)));
        out.extend(
            (0..FRONTS)
                .filter(|front| state.fronts[*front as usize].pending_restart().is_some())
                .map(Step::Restart),
        );
        if state.halts < self.halts && state.register.release.is_some() {
            out.push(Step::Halt);
        }
        if state.time_steps < self.time_steps {
            out.push(Step::AdvanceTime);
        }
    }

    fn next_state(&self, state: &State, action: Step) -> Option<State> {
        let mut state = state.clone();
        match action {
            Step::RunDriver(driver) => {
                let (reports, fleet) = (state.reports(), FleetView::default());
                let now = state.now;
                for driver_action in state.drivers[driver].step(now, &reports, &fleet) {
                    match driver_action {
                        DriverAction::Submit(change) => {
                            state.outcomes[driver] = Some(state.apply(driver as u64 + 1, &change, false))
                        }
                        DriverAction::Send(front, order) => {
                            state.orders.insert((front, order));
                        }
                    }
                }
            }
            Step::ReceiveOutcome(driver) => {
                let outcome = state.outcomes[driver].take()?;
                let now = state.now;
                state.drivers[driver].handle_outcome(now, outcome);
                state.violated |= state.drivers[driver].check_invariants(now).is_err();
            }
            Step::TakeOver(driver) => {
                state.takeovers += 1;
                let change = Change::DriveRelease {
                    plan_digests: [plan().digest(), plan().rollback_plan().digest()],
                    lease_ms: LEASE_MS,
                };
                state.outcomes[driver] = Some(state.apply(driver as u64 + 1, &change, true));
            }
            Step::StartRollback(driver) => {
                let now = state.now;
                state.drivers[driver].start_rollback(now);
            }
            Step::DeliverOrder(name, order) => {
                let front = &mut state.fronts[name as usize];
                let highest_fence = front.fence();
                let stale = state
                    .orders
                    .iter()
                    .any(|(to, other)| *to == name && *other == order && other.fence < highest_fence);
                let accepted = front.handle_order(order).is_ok();
                state.violated |=
                    (accepted && stale) || front.check_invariants().is_err() || front.fence() < highest_fence;
                state.stale_refused |= stale && !accepted;
            }
            Step::Restart(front) => {
                let i = front as usize;
                let (build, number) = (state.fronts[i].pending_restart()?, state.register.release?.number);
                let subject = Subject::Front(front);
                let grant = Change::Grant {
                    subject,
                    place: Place::default(),
                    lease_ms: LEASE_MS,
                    release: Some(number),
                };
                let halted = matches!(state.register.release?.stage, Stage::Halted(_));
                if build == state.builds[i]
                    || !matches!(state.apply(10 + front, &grant, false), Outcome::Committed(..))
                {
                    return None;
                }
                state.violated |= halted;
                state.apply(10 + front, &Change::ReturnPermit { subject }, false);
                state.builds[i] = build;
                state.restarts[i] += 1;
                state.fronts[i] = StagedConfig::new(front, Generation { number: 1, digest: 1 });
                state.fronts[i].observe_release(&state.register.release?);
            }
            Step::AdvanceTime => {
                state.time_steps += 1;
                state.now += Duration::from_millis(u64::from(LEASE_MS) / 2 + 100);
            }
            Step::Halt => {
                state.halts += 1;
                let number = state.register.release?.number;
                state.apply(99, &Change::HaltRelease { number, cause: HaltCause::Operator }, false);
            }
        }
        state.violated |= state.register.check_invariants().is_err();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties::all()
    }
}
