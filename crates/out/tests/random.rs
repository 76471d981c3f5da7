//! Drawn commands at the register, against what each should do.

use cloverhollow_out::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
enum Cmd {
    Grant(u64, u64, Option<u64>),
    GiveBack(u64, u64),
    Lapse(usize),
    Start(u64, u64, bool),
    Drive(u64, bool),
    Step(u64, ReleaseEvent),
    Halt,
}

/// What should be is read off the value before each command.
#[derive(Clone, Debug, Default)]
struct Holders;

fn event() -> impl Strategy<Value = ReleaseEvent> {
    prop_oneof![
        Just(ReleaseEvent::ForecastAllowed),
        Just(ReleaseEvent::Staged),
        Just(ReleaseEvent::WaveCompleted),
        Just(ReleaseEvent::ObservationPassed),
        Just(ReleaseEvent::Halt(HaltCause::RuleViolation))
    ]
}

impl ReferenceStateMachine for Holders {
    type State = Holders;
    type Transition = Cmd;

    fn init_state() -> BoxedStrategy<Holders> {
        Just(Holders).boxed()
    }

    fn transitions(_: &Holders) -> BoxedStrategy<Cmd> {
        let (who, life) = (0u64..6, 1u64..4);
        prop_oneof![
            4 => (who.clone(), life.clone(), proptest::option::of(1u64..4))
                .prop_map(|(w, l, r)| Cmd::Grant(w, l, r)),
            2 => (who, life.clone()).prop_map(|(w, l)| Cmd::GiveBack(w, l)),
            1 => (0usize..4).prop_map(Cmd::Lapse),
            1 => (life.clone(), 1u64..4, any::<bool>()).prop_map(|(l, n, b)| Cmd::Start(l, n, b)),
            2 => (life.clone(), any::<bool>()).prop_map(|(l, lapsed)| Cmd::Drive(l, lapsed)),
            4 => (life, event()).prop_map(|(l, e)| Cmd::Step(l, e)),
            1 => Just(Cmd::Halt),
        ]
        .boxed()
    }

    fn apply(state: Holders, _: &Cmd) -> Holders {
        state
    }
}

struct Drawn {
    register: Register,
    ask: u32,
    fences: BTreeSet<Term>,
}

const MOST: usize = 3;

impl Drawn {
    fn change(&mut self, me: u64, change: &Change, lapsed: bool) -> Result<Applied, DenialReason> {
        self.ask += 1;
        let most = MaxOutOfService { fleet: MOST as u16, zone: MOST as u16, rack: 9 };
        let limits = Limits {
            fronts: most,
            servers: most,
            cells_per_title: 0,
            ring_cells: 0,
            free_link_kbit_s: None,
            max_uncertain_ms: 1,
        };
        let (world, before) = (FleetView::default(), self.register.clone());
        let over = before.release.filter(|_| lapsed).map(|r| r.lease_id()).into_iter().collect();
        let mut value = before.clone();
        let seen = GrantContext { fleet: &world, limits: &limits };
        let came = value.apply((me, self.ask), change, &over, seen);
        match came {
            Ok(Applied::Changed) => {
                assert_eq!(value.term, Term(before.term.0 + 1), "a change is a term");
                // The same ask once more changes nothing of what it made.
                let mut again = value.clone();
                assert!(again.apply((me, self.ask), change, &over, seen).is_ok());
                assert_eq!(again.permits, value.permits, "made twice is made once");
                assert_eq!(again.release, value.release, "made twice is made once");
            }
            _ => assert_eq!(value, before, "what is not made changes nothing"),
        }
        self.register = value;
        came
    }
}

impl StateMachineTest for Drawn {
    type SystemUnderTest = Drawn;
    type Reference = Holders;

    fn init_test(_: &Holders) -> Drawn {
        Drawn { register: Register::default(), ask: 0, fences: BTreeSet::new() }
    }

    fn apply(mut sut: Drawn, _: &Holders, cmd: Cmd) -> Drawn {
        let before = sut.register.clone();
        match cmd {
            Cmd::Grant(who, me, release) => {
                let subject = Subject::Front(who);
                let grant = Change::Grant { subject, place: Place::default(), lease_ms: 1_000, release };
                let came = sut.change(me, &grant, false);
                let had = before.permits.iter().find(|p| p.subject == subject);
                let stage = before.release.filter(|r| Some(r.number) == release).map(|r| r.stage);
                let goes = matches!(stage, Some(Stage::Canary | Stage::Wave(_) | Stage::RollingBack));
                match had {
                    Some(p) => assert_eq!(came.is_ok(), p.holder == me),
                    None => {
                        assert_eq!(came.is_ok(), before.permits.len() < MOST && (release.is_none() || goes))
                    }
                }
            }
            Cmd::GiveBack(who, me) => {
                let change = Change::ReturnPermit { subject: Subject::Front(who) };
                assert!(sut.change(me, &change, false).is_ok());
            }
            Cmd::Lapse(n) => {
                let id = sut.register.permits.get(n).map(Permit::lease_id);
                sut.register.remove_expired(&id.into_iter().collect());
                let other = LeaseId { subject: None, holder: 0, request_id: 0 };
                sut.register.remove_expired(&BTreeSet::from([other]));
                assert_eq!(sut.register.permits.len(), before.permits.len() - usize::from(id.is_some()));
            }
            Cmd::Start(me, number, is_rollback) => {
                let start = Change::StartRelease { number, plan_digest: 5, is_rollback, lease_ms: 1_000 };
                if sut.change(me, &start, false).is_ok() {
                    assert!(before.release.is_none_or(|r| r.number < number), "numbers only rise");
                    assert!(sut.fences.insert(sut.register.release.unwrap().fence), "a fence of its own");
                }
            }
            Cmd::Drive(me, lapsed) => {
                let came =
                    sut.change(me, &Change::DriveRelease { plan_digests: [5, 6], lease_ms: 1_000 }, lapsed);
                let (Ok(_), Some(r), Some(now)) = (came, before.release, sut.register.release) else {
                    return sut;
                };
                assert_eq!(r.fence == now.fence, r.driver == me && !lapsed);
                assert!(r.fence == now.fence || sut.fences.insert(now.fence), "a fence of its own");
            }
            Cmd::Step(me, event) => {
                let Some(r) = before.release else { return sut };
                let step = Change::AdvanceRelease { fence: r.fence, from: r.stage, event, last_wave: 2 };
                let came = sut.change(me, &step, false);
                let to = next_stage(r.stage, event, 2);
                assert_eq!(came.is_ok(), r.driver == me && to.is_some());
                let now = sut.register.release.unwrap().stage;
                assert_eq!(now, to.filter(|_| came.is_ok()).unwrap_or(r.stage));
            }
            Cmd::Halt => {
                let number = before.release.map_or(0, |r| r.number);
                let _ = sut.change(9, &Change::HaltRelease { number, cause: HaltCause::Operator }, false);
            }
        }
        sut
    }

    fn check_invariants(sut: &Drawn, _: &Holders) {
        sut.register.check_invariants().unwrap();
        assert!(sut.register.permits.len() <= MOST);
    }
}

fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

prop_state_machine! {
    #![proptest_config(config(128))]

    #[test]
    fn the_register_under_drawn_commands(sequential 1..60 => Drawn);
}
