//! Leases under random load: rounds lost, late and doubled, witnesses that start anew, members that stand still, die and
//! come back, clocks that differ in pace by a tenth. The parts in force sum to one at the most, and each machine is
//! looked at after each step.

use cloverhollow_members::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::net::SocketAddr;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(4);
const BEAT: Duration = Duration::from_millis(250);
const MEMBERS: usize = 5;
/// Messages that the network holds back at the most.
const MOST_LATE: usize = 64;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i as u16))
}

/// What is given at the start: how many witnesses, and each process's clock in thousandths of true time.
#[derive(Clone, Debug)]
struct Given {
    witnesses: usize,
    pace: Vec<u32>,
}

#[derive(Clone, Debug)]
enum Happens {
    Passes(u64),
    /// Which witnesses a member reaches from now on, and which reach it; a bit each.
    Wires(usize, u8, u8),
    /// It stands still for so many beats.
    Stalls(usize, u64),
    Dies(usize),
    Starts(usize),
    Forgets(usize),
    /// Something that was held back comes, and may come once more.
    Comes(usize, bool),
}

impl ReferenceStateMachine for Given {
    type State = Given;
    type Transition = Happens;

    fn init_state() -> BoxedStrategy<Given> {
        let pace = proptest::collection::vec(953u32..=1_047, MEMBERS + 5);
        (1usize..=5, pace).prop_map(|(witnesses, pace)| Given { witnesses, pace }).boxed()
    }

    fn transitions(_: &Given) -> BoxedStrategy<Happens> {
        let wires = || prop_oneof![2 => Just(0b1_1111u8), 1 => 0u8..32];
        prop_oneof![
            6 => (1u64..40).prop_map(Happens::Passes),
            4 => (0..MEMBERS, wires(), wires()).prop_map(|(i, to, back)| Happens::Wires(i, to, back)),
            2 => (0..MEMBERS, 1u64..40).prop_map(|(i, beats)| Happens::Stalls(i, beats)),
            1 => (0..MEMBERS).prop_map(Happens::Dies),
            2 => (0..MEMBERS).prop_map(Happens::Starts),
            1 => (0usize..5).prop_map(Happens::Forgets),
            4 => (0usize..MOST_LATE, any::<bool>()).prop_map(|(n, again)| Happens::Comes(n, again)),
        ]
        .boxed()
    }

    fn apply(given: Given, _: &Happens) -> Given {
        given
    }
}

enum Message {
    Renew(usize, Renew),
    Counted(usize, Counted),
}

struct Front {
    heads: LeaseCount,
    wakes: u64,
    /// Bits of the witnesses that it reaches, and that reach it.
    wires: (u8, u8),
}

struct World {
    given: Given,
    beats: u64,
    lives: u64,
    members: Vec<Option<Front>>,
    witnesses: Vec<Witness>,
    late: Vec<Message>,
    in_force: usize,
}

impl World {
    /// A process's own time: it has gone on at its own pace for long.
    fn clock(&self, process: usize) -> Duration {
        Duration::from_secs(1_000) + (BEAT * self.beats as u32) * self.given.pace[process] / 1_000
    }

    fn start(&mut self, i: usize) {
        if self.members[i].is_some() {
            return;
        }
        self.lives += 1;
        let witnesses = (0..self.given.witnesses).map(address).collect();
        let heads = LeaseCount::new(self.clock(i), address(100 + i), self.lives * 7_919, LEASE, witnesses);
        self.members[i] = Some(Front { heads, wakes: 0, wires: (u8::MAX, u8::MAX) });
    }

    fn hold_back(&mut self, message: Message) {
        if self.late.len() < MOST_LATE {
            self.late.push(message);
        }
    }

    /// A renewal reaches a witness; its answer comes back, or is held back.
    fn renewed(&mut self, i: usize, w: usize, renew: Renew) {
        let now = self.clock(MEMBERS + w);
        let counted = self.witnesses[w].renew(now, renew);
        assert_eq!(self.witnesses[w].check(), Ok(()), "witness {w}");
        let back = self.members[i].as_ref().is_some_and(|m| m.wires.1 >> w & 1 == 1);
        if back {
            self.counted(i, counted);
        } else {
            self.hold_back(Message::Counted(i, counted));
        }
    }

    fn counted(&mut self, i: usize, counted: Counted) {
        let now = self.clock(i);
        let stands = |m: &&mut Front| m.wakes <= self.beats;
        if let Some(m) = self.members[i].as_mut().filter(stands) {
            m.heads.counted(now, counted);
            assert_eq!(m.heads.check(), Ok(()), "member {i}");
        } else if self.members[i].is_some() {
            self.hold_back(Message::Counted(i, counted));
        }
    }

    fn beat(&mut self) {
        self.beats += 1;
        for i in 0..MEMBERS {
            let now = self.clock(i);
            let beats = self.beats;
            let Some(m) = self.members[i].as_mut().filter(|m| m.wakes <= beats) else { continue };
            let (round, to) = (m.heads.due(now), m.wires.0);
            assert_eq!(m.heads.check(), Ok(()), "member {i}");
            for (w, renew) in round.iter().flat_map(|(r, all)| (0..all.len()).map(|w| (w, *r))) {
                if to >> w & 1 == 1 {
                    self.renewed(i, w, renew);
                } else {
                    self.hold_back(Message::Renew(w, renew));
                }
            }
        }
        let fronts = self.members.iter().enumerate().filter_map(|(i, m)| Some((i, m.as_ref()?)));
        let parts: Vec<_> =
            fronts.filter_map(|(i, m)| m.heads.fleet_size()?.valid_at(self.clock(i))).collect();
        let sum: f64 = parts.iter().map(|n| 1.0 / *n as f64).sum();
        assert!(sum <= 1.0 + 1e-9, "parts over {parts:?} sum to {sum}");
        self.in_force += parts.len();
    }

    fn happens(&mut self, happens: Happens) {
        match happens {
            Happens::Passes(beats) => (0..beats).for_each(|_| self.beat()),
            Happens::Wires(i, to, back) => {
                if let Some(m) = self.members[i].as_mut() {
                    m.wires = (to, back);
                }
            }
            Happens::Stalls(i, beats) => {
                let until = self.beats + beats;
                if let Some(m) = self.members[i].as_mut() {
                    m.wakes = until;
                }
            }
            Happens::Dies(i) => self.members[i] = None,
            Happens::Starts(i) => self.start(i),
            Happens::Forgets(w) if w < self.given.witnesses => {
                let now = self.clock(MEMBERS + w);
                self.witnesses[w] = Witness::new(now, address(w), LeaseCount::hold(LEASE));
            }
            Happens::Forgets(_) => {}
            Happens::Comes(n, again) => {
                if self.late.is_empty() {
                    return;
                }
                let message = self.late.swap_remove(n % self.late.len());
                match &message {
                    Message::Renew(w, renew) => {
                        let i = usize::from(renew.reply.port()) - 7_100;
                        self.renewed(i, *w, *renew);
                    }
                    Message::Counted(i, counted) => self.counted(*i, *counted),
                }
                if again {
                    self.hold_back(message);
                }
            }
        }
    }
}

struct Leases;

impl StateMachineTest for Leases {
    type SystemUnderTest = World;
    type Reference = Given;

    fn init_test(given: &Given) -> World {
        let hold = LeaseCount::hold(LEASE);
        let mut world = World {
            given: given.clone(),
            beats: 0,
            lives: 0,
            members: (0..MEMBERS).map(|_| None).collect(),
            witnesses: (0..given.witnesses).map(|w| Witness::new(Duration::ZERO, address(w), hold)).collect(),
            late: Vec::new(),
            in_force: 0,
        };
        (0..3).for_each(|i| world.start(i));
        world
    }

    fn apply(mut world: World, _: &Given, happens: Happens) -> World {
        world.happens(happens);
        world
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
    fn parts_in_force_sum_to_one_at_the_most_whatever_happens(sequential 1..120 => Leases);
}
