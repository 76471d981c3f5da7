//! Property test of the leases: messages lost, late and duplicated, witnesses that restart, members that stall, crash
//! and restart, and clocks whose rates differ by a tenth. The shares always sum to at most one, and the invariants of
//! each state machine are checked after each step.

use cloverhollow_members::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::net::SocketAddr;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(4);
const TICK: Duration = Duration::from_millis(250);
const MEMBERS: usize = 5;
/// Maximum number of delayed messages.
const MAX_DELAYED: usize = 64;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i as u16))
}

/// Parameters of a run: the number of witnesses, and the clock rate of each process in thousandths.
#[derive(Clone, Debug)]
struct Params {
    witnesses: usize,
    clock_rates: Vec<u32>,
}

/// Step of a run.
#[derive(Clone, Debug)]
enum Step {
    /// Lets a number of ticks pass.
    Ticks(u64),
    /// Sets the witnesses that a member can send to, and those that it can receive from, as bit masks.
    SetLinks(usize, u8, u8),
    /// Stalls a member for a number of ticks.
    Stall(usize, u64),
    Crash(usize),
    Start(usize),
    RestartWitness(usize),
    /// Delivers a delayed message, which is duplicated if the flag is set.
    DeliverDelayed(usize, bool),
}

impl ReferenceStateMachine for Params {
    type State = Params;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Params> {
        let clock_rates = proptest::collection::vec(953u32..=1_047, MEMBERS + 5);
        (1usize..=5, clock_rates)
            .prop_map(|(witnesses, clock_rates)| Params { witnesses, clock_rates })
            .boxed()
    }

    fn transitions(_: &Params) -> BoxedStrategy<Step> {
        let links = || prop_oneof![2 => Just(0b1_1111u8), 1 => 0u8..32];
        prop_oneof![
            6 => (1u64..40).prop_map(Step::Ticks),
            4 => (0..MEMBERS, links(), links()).prop_map(|(i, send, receive)| Step::SetLinks(i, send, receive)),
            2 => (0..MEMBERS, 1u64..40).prop_map(|(i, ticks)| Step::Stall(i, ticks)),
            1 => (0..MEMBERS).prop_map(Step::Crash),
            2 => (0..MEMBERS).prop_map(Step::Start),
            1 => (0usize..5).prop_map(Step::RestartWitness),
            4 => (0usize..MAX_DELAYED, any::<bool>()).prop_map(|(n, duplicate)| Step::DeliverDelayed(n, duplicate)),
        ]
        .boxed()
    }

    fn apply(params: Params, _: &Step) -> Params {
        params
    }
}

enum Message {
    /// Request on its way to a witness.
    Request(usize, RenewRequest),
    /// Response on its way to a member.
    Response(usize, RenewResponse),
}

struct Front {
    lease_count: LeaseCount,
    resume_tick: u64,
    /// Bit masks of the witnesses that the member can send to, and of those that it can receive from.
    links: (u8, u8),
}

struct Fleet {
    params: Params,
    ticks: u64,
    starts: u64,
    members: Vec<Option<Front>>,
    witnesses: Vec<Witness>,
    delayed: Vec<Message>,
    valid_bounds: usize,
}

impl Fleet {
    /// Clock of a process, which runs at its own rate.
    fn clock(&self, process: usize) -> Duration {
        Duration::from_secs(1_000) + (TICK * self.ticks as u32) * self.params.clock_rates[process] / 1_000
    }

    fn start(&mut self, i: usize) {
        if self.members[i].is_some() {
            return;
        }
        self.starts += 1;
        let witnesses = (0..self.params.witnesses).map(address).collect();
        let lease_count =
            LeaseCount::new(self.clock(i), address(100 + i), self.starts * 7_919, LEASE, witnesses);
        self.members[i] = Some(Front { lease_count, resume_tick: 0, links: (u8::MAX, u8::MAX) });
    }

    fn delay(&mut self, message: Message) {
        if self.delayed.len() < MAX_DELAYED {
            self.delayed.push(message);
        }
    }

    /// Delivers a request to a witness. The response is delivered or delayed.
    fn deliver_request(&mut self, i: usize, w: usize, request: RenewRequest) {
        let now = self.clock(MEMBERS + w);
        let response = self.witnesses[w].handle_request(now, request);
        assert_eq!(self.witnesses[w].check(), Ok(()), "witness {w}");
        let is_reachable = self.members[i].as_ref().is_some_and(|m| m.links.1 >> w & 1 == 1);
        if is_reachable {
            self.deliver_response(i, response);
        } else {
            self.delay(Message::Response(i, response));
        }
    }

    fn deliver_response(&mut self, i: usize, response: RenewResponse) {
        let now = self.clock(i);
        let is_running = |m: &&mut Front| m.resume_tick <= self.ticks;
        if let Some(m) = self.members[i].as_mut().filter(is_running) {
            m.lease_count.handle_response(now, response);
            assert_eq!(m.lease_count.check(), Ok(()), "member {i}");
        } else if self.members[i].is_some() {
            self.delay(Message::Response(i, response));
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        for i in 0..MEMBERS {
            let now = self.clock(i);
            let ticks = self.ticks;
            let Some(m) = self.members[i].as_mut().filter(|m| m.resume_tick <= ticks) else { continue };
            let (round, send_mask) = (m.lease_count.start_round(now), m.links.0);
            assert_eq!(m.lease_count.check(), Ok(()), "member {i}");
            for (w, request) in round.iter().flat_map(|(r, all)| (0..all.len()).map(|w| (w, *r))) {
                if send_mask >> w & 1 == 1 {
                    self.deliver_request(i, w, request);
                } else {
                    self.delay(Message::Request(w, request));
                }
            }
        }
        let fronts = self.members.iter().enumerate().filter_map(|(i, m)| Some((i, m.as_ref()?)));
        let bounds: Vec<_> =
            fronts.filter_map(|(i, m)| m.lease_count.fleet_size()?.valid_at(self.clock(i))).collect();
        let sum: f64 = bounds.iter().map(|n| 1.0 / *n as f64).sum();
        assert!(sum <= 1.0 + 1e-9, "shares of bounds {bounds:?} sum to {sum}");
        self.valid_bounds += bounds.len();
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Ticks(ticks) => (0..ticks).for_each(|_| self.tick()),
            Step::SetLinks(i, send, receive) => {
                if let Some(m) = self.members[i].as_mut() {
                    m.links = (send, receive);
                }
            }
            Step::Stall(i, ticks) => {
                let resume_tick = self.ticks + ticks;
                if let Some(m) = self.members[i].as_mut() {
                    m.resume_tick = resume_tick;
                }
            }
            Step::Crash(i) => self.members[i] = None,
            Step::Start(i) => self.start(i),
            Step::RestartWitness(w) if w < self.params.witnesses => {
                let now = self.clock(MEMBERS + w);
                self.witnesses[w] = Witness::new(now, address(w), LeaseCount::hold_time(LEASE));
            }
            Step::RestartWitness(_) => {}
            Step::DeliverDelayed(n, duplicate) => {
                if self.delayed.is_empty() {
                    return;
                }
                let message = self.delayed.swap_remove(n % self.delayed.len());
                match &message {
                    Message::Request(w, request) => {
                        let i = usize::from(request.reply_to.port()) - 7_100;
                        self.deliver_request(i, *w, *request);
                    }
                    Message::Response(i, response) => self.deliver_response(*i, *response),
                }
                if duplicate {
                    self.delay(message);
                }
            }
        }
    }
}

struct Leases;

impl StateMachineTest for Leases {
    type SystemUnderTest = Fleet;
    type Reference = Params;

    fn init_test(params: &Params) -> Fleet {
        let hold_time = LeaseCount::hold_time(LEASE);
        let mut fleet = Fleet {
            params: params.clone(),
            ticks: 0,
            starts: 0,
            members: (0..MEMBERS).map(|_| None).collect(),
            witnesses: (0..params.witnesses)
                .map(|w| Witness::new(Duration::ZERO, address(w), hold_time))
                .collect(),
            delayed: Vec::new(),
            valid_bounds: 0,
        };
        (0..3).for_each(|i| fleet.start(i));
        fleet
    }

    fn apply(mut fleet: Fleet, _: &Params, step: Step) -> Fleet {
        fleet.apply(step);
        fleet
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20261202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn shares_sum_to_at_most_one(sequential 1..120 => Leases);
}
