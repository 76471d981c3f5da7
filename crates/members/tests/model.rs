//! Model check of leases at three witnesses: all interleavings of lost or late requests and responses, members that
//! stall, crash and restart, and a witness that loses its state. At all times the shares, 1/n for each valid bound n,
//! sum to at most one.
//!
//! Lost and late messages are not modelled, because they cannot make the sum larger: a request whose response is lost
//! or late raises a witness's count and gives its sender no bound. In each round a member sends to any two of the three
//! witnesses, since the response of the third is never used.

use cloverhollow_members::*;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_secs(10);
const START: Duration = Duration::from_secs(1_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn witnesses() -> Vec<SocketAddr> {
    (1..=3).map(address).collect()
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Duration,
    members: Vec<Option<LeaseCount>>,
    witnesses: Vec<Witness>,
    /// Rounds in progress by member: the request, and the witnesses that have received it.
    rounds: BTreeMap<usize, (RenewRequest, BTreeSet<usize>)>,
    /// Number of process starts, which gives each its holder number.
    starts: u64,
    crashes: u8,
    witness_restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Transition {
    Tick,
    StartRound(usize),
    /// A member's request reaches a witness, and the response the member.
    Renew(usize, usize),
    Crash(usize),
    Start(usize),
    /// A witness restarts without its state.
    RestartWitness(usize),
}

struct LeaseModel {
    members: usize,
    ticks: u32,
    max_crashes: u8,
    max_witness_restarts: u8,
    /// Time for which witnesses remember a renewal.
    hold_time: Duration,
}

const SHARES_SUM_TO_ONE: &str = "shares sum to at most one";
const BOUND_VALID: &str = "a bound is valid";
const BOUND_EXPIRED: &str = "a bound expires";

impl State {
    fn start(&mut self, i: usize) {
        self.starts += 1;
        self.members[i] =
            Some(LeaseCount::new(self.now, address(100 + i as u16), self.starts, LEASE, witnesses()));
    }

    fn start_round(&mut self, i: usize) {
        if let Some((request, _)) = self.members[i].as_mut().and_then(|m| m.start_round(self.now)) {
            self.rounds.insert(i, (request, BTreeSet::new()));
        }
    }

    fn renew(&mut self, i: usize, w: usize) {
        let Some((request, received_by)) = self.rounds.get_mut(&i) else { return };
        received_by.insert(w);
        let response = self.witnesses[w].handle_request(self.now, *request);
        if let Some(m) = self.members[i].as_mut() {
            m.handle_response(self.now, response);
        }
        if self.rounds[&i].1.len() == 2 {
            self.rounds.remove(&i);
        }
    }

    fn valid_bounds(&self) -> Vec<usize> {
        self.members.iter().flatten().filter_map(|m| m.fleet_size()?.valid_at(self.now)).collect()
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Transition;

    /// The first member has a valid bound; the others have not started.
    fn init_states(&self) -> Vec<State> {
        let witness = |w: SocketAddr| Witness::new(Duration::ZERO, w, self.hold_time);
        let mut s = State {
            now: START,
            members: vec![None; self.members],
            witnesses: witnesses().into_iter().map(witness).collect(),
            rounds: BTreeMap::new(),
            starts: 0,
            crashes: 0,
            witness_restarts: 0,
        };
        s.start(0);
        for _ in 0..4 {
            s.start_round(0);
            (0..2).for_each(|w| s.renew(0, w));
            s.now += TICK;
        }
        s.now -= TICK;
        vec![s]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Transition>) {
        // Time passes only between complete rounds. An incomplete one cannot make the sum larger either: it raises a
        // witness's count and gives no new bound.
        if s.rounds.is_empty() && s.now < START + TICK * (3 + self.ticks) {
            actions.push(Transition::Tick);
        }
        for (i, (_, received_by)) in &s.rounds {
            actions.extend((0..3).filter(|w| !received_by.contains(w)).map(|w| Transition::Renew(*i, w)));
        }
        for (i, m) in s.members.iter().enumerate() {
            match m {
                Some(m) => {
                    if m.next_due().is_some_and(|t| t <= s.now) {
                        actions.push(Transition::StartRound(i));
                    }
                    if s.crashes < self.max_crashes {
                        actions.push(Transition::Crash(i));
                    }
                }
                None => actions.push(Transition::Start(i)),
            }
        }
        if s.witness_restarts < self.max_witness_restarts {
            actions.extend((0..3).map(Transition::RestartWitness));
        }
    }

    fn next_state(&self, s: &State, action: Transition) -> Option<State> {
        let mut s = s.clone();
        match action {
            Transition::Tick => s.now += TICK,
            Transition::StartRound(i) => s.start_round(i),
            Transition::Renew(i, w) => s.renew(i, w),
            Transition::Crash(i) => {
                s.crashes += 1;
                s.members[i] = None;
                s.rounds.remove(&i);
            }
            Transition::Start(i) => s.start(i),
            Transition::RestartWitness(w) => {
                s.witness_restarts += 1;
                s.witnesses[w] = Witness::new(s.now, witnesses()[w], self.hold_time);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(SHARES_SUM_TO_ONE, |_, s: &State| {
                // In units of 1/2520, a common multiple of all counts that occur.
                s.valid_bounds().iter().map(|n| 2_520 / *n as u32).sum::<u32>() <= 2_520
            }),
            Property::sometimes(BOUND_VALID, |_, s: &State| !s.valid_bounds().is_empty()),
            Property::sometimes("two bounds are valid", |_, s: &State| s.valid_bounds().len() == 2),
            Property::sometimes(BOUND_EXPIRED, |_, s: &State| {
                s.valid_bounds().is_empty() && s.members[0].as_ref().is_some_and(|m| m.fleet_size().is_some())
            }),
        ]
    }
}

/// Returns the number of states, and "above one" if the shares sum to more than one in any of them.
fn check(model: LeaseModel) -> (usize, Option<&'static str>) {
    let checker = model.checker().threads(2).spawn_bfs().join();
    let violation = checker.discovery(SHARES_SUM_TO_ONE);
    let reached = [BOUND_VALID, BOUND_EXPIRED];
    for name in reached {
        checker.assert_any_discovery(name);
    }
    (checker.unique_state_count(), violation.map(|_| "above one"))
}

#[test]
fn shares_hold_with_a_newcomer_beside_a_stalled_or_partitioned_member() {
    let hold_time = LeaseCount::hold_time(LEASE);
    let (states, violation) =
        check(LeaseModel { members: 2, ticks: 4, max_crashes: 0, max_witness_restarts: 0, hold_time });
    println!("{states} states");
    assert_eq!(violation, None);
    assert!(states > 10_000, "{states}");
}

#[test]
fn shares_hold_when_a_witness_loses_its_state() {
    let hold_time = LeaseCount::hold_time(LEASE);
    let (states, violation) =
        check(LeaseModel { members: 2, ticks: 3, max_crashes: 0, max_witness_restarts: 1, hold_time });
    println!("{states} states");
    assert_eq!(violation, None);
}

#[test]
fn shares_hold_when_a_member_crashes_and_restarts() {
    let hold_time = LeaseCount::hold_time(LEASE);
    let (states, violation) =
        check(LeaseModel { members: 2, ticks: 3, max_crashes: 1, max_witness_restarts: 0, hold_time });
    println!("{states} states");
    assert_eq!(violation, None);
}

/// The model can detect violations: with a hold time below a lease, witnesses drop a member whose bound is still valid.
#[test]
fn a_hold_time_below_a_lease_violates_the_shares() {
    let (_, violation) = check(LeaseModel {
        members: 2,
        ticks: 4,
        max_crashes: 0,
        max_witness_restarts: 0,
        hold_time: LEASE / 4,
    });
    assert_eq!(violation, Some("above one"));
}
