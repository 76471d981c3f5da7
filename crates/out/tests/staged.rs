//! Texts staged, checked and taken: drawn orders at one front.

use cloverhollow_out::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

#[derive(Clone, Debug)]
enum Cmd {
    Order(u64, u64, Order),
    Text(u64, u64, bool),
    Boundary,
    Begins,
    Ends(usize),
    CameBack(u64, u64),
    Heard(u64),
}

/// What should be is read off the front before each order.
#[derive(Clone, Debug, Default)]
struct Plain;

fn generation(number: u64) -> Generation {
    Generation { number, digest: number * 10 }
}

impl ReferenceStateMachine for Plain {
    type State = Plain;
    type Transition = Cmd;

    fn init_state() -> BoxedStrategy<Plain> {
        Just(Plain).boxed()
    }

    fn transitions(_: &Plain) -> BoxedStrategy<Cmd> {
        let g = || (1u64..14).prop_map(generation);
        let order = prop_oneof![
            3 => g().prop_map(Order::Stage),
            3 => g().prop_map(Order::Activate),
            1 => (1u64..4).prop_map(|build_id| Order::Restart { build_id }),
            1 => Just(Order::Hold),
        ];
        prop_oneof![
            6 => (1u64..5, 1u64..3, order).prop_map(|(f, r, o)| Cmd::Order(f, r, o)),
            6 => (1u64..14, 0u64..8, any::<bool>()).prop_map(|(n, off, good)| Cmd::Text(n, off, good)),
            3 => Just(Cmd::Boundary),
            3 => Just(Cmd::Begins),
            2 => (0usize..8).prop_map(Cmd::Ends),
            1 => (1u64..5, 1u64..14).prop_map(|(f, n)| Cmd::CameBack(f, n)),
            1 => (1u64..5).prop_map(Cmd::Heard),
        ]
        .boxed()
    }

    fn apply(state: Plain, _: &Cmd) -> Plain {
        state
    }
}

struct Drawn {
    staged: StagedConfig,
    sessions: Vec<Generation>,
}

impl StateMachineTest for Drawn {
    type SystemUnderTest = Drawn;
    type Reference = Plain;

    fn init_test(_: &Plain) -> Drawn {
        Drawn { staged: StagedConfig::new(1, generation(1)), sessions: Vec::new() }
    }

    fn apply(mut sut: Drawn, _: &Plain, cmd: Cmd) -> Drawn {
        let before = sut.staged.clone();
        let at_boundary = matches!(cmd, Cmd::Boundary);
        match cmd {
            Cmd::Order(fence, release, order) => {
                let came = sut.staged.handle_order(FencedOrder { fence: Term(fence), release, order });
                assert!(came.is_err() || Term(fence) >= before.fence(), "an older fence is refused for good");
                if came.is_err() {
                    // But for texts that nobody can come to use any more.
                    assert_eq!(
                        (sut.staged.fence(), sut.staged.pending_restart()),
                        (before.fence(), before.pending_restart())
                    );
                }
                if let (Order::Activate(g), Ok(())) = (order, came) {
                    assert!(before.has_text(g), "only what is checked is taken");
                }
            }
            Cmd::Text(number, off, good) => {
                let staged = sut.staged.receive_text(number, number * 10 + off.saturating_sub(6), good);
                assert!(!staged || sut.staged.has_text(generation(number)));
            }
            Cmd::Boundary => drop(sut.staged.activate_pending()),
            Cmd::Begins => sut.sessions.extend(sut.staged.start_session()),
            Cmd::Ends(n) if n < sut.sessions.len() => {
                sut.staged.end_session(sut.sessions.swap_remove(n).number)
            }
            Cmd::Ends(_) => {}
            Cmd::CameBack(fence, number) => {
                let _ = sut.staged.catch_up(Term(fence), 1, generation(number));
            }
            Cmd::Heard(fence) => {
                let (stage, fence) = (Stage::Canary, Term(fence));
                let r = ReleaseRecord {
                    number: 1,
                    plan_digest: 1,
                    stage,
                    driver: 1,
                    fence,
                    lease_ms: 1,
                    request_id: 1,
                };
                sut.staged.observe_release(&r);
            }
        }
        assert!(sut.staged.fence() >= before.fence(), "a fence never falls");
        assert!(sut.staged.active().number >= before.active().number, "a generation never falls");
        assert!(at_boundary || sut.staged.active() == before.active(), "taken at a boundary alone");
        sut
    }

    fn check_invariants(sut: &Drawn, _: &Plain) {
        sut.staged.check_invariants().unwrap();
        assert!(sut.sessions.iter().all(|g| sut.staged.has_text(*g)), "a session keeps its generation");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 192,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    #[test]
    fn one_front_under_drawn_orders(sequential 1..80 => Drawn);
}
