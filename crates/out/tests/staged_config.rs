//! Texts staged, checked and activated: random commands at one front.

use cloverhollow_out::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

#[derive(Clone, Debug)]
enum Command {
    Order(u64, u64, Order),
    ReceiveText(u64, u64, bool),
    ActivatePending,
    StartSession,
    EndSession(usize),
    CatchUp(u64, u64),
    ObserveRelease(u64),
}

/// The expected result is derived from the front before each command, so the reference model has no state.
#[derive(Clone, Debug, Default)]
struct NoModel;

fn generation(number: u64) -> Generation {
    Generation { number, digest: number * 10 }
}

impl ReferenceStateMachine for NoModel {
    type State = NoModel;
    type Transition = Command;

    fn init_state() -> BoxedStrategy<NoModel> {
        Just(NoModel).boxed()
    }

    fn transitions(_: &NoModel) -> BoxedStrategy<Command> {
        let any_generation = || (1u64..14).prop_map(generation);
        let order = prop_oneof![
            3 => any_generation().prop_map(Order::Stage),
            3 => any_generation().prop_map(Order::Activate),
            1 => (1u64..4).prop_map(|build_id| Order::Restart { build_id }),
            1 => Just(Order::Hold),
        ];
        prop_oneof![
            6 => (1u64..5, 1u64..3, order).prop_map(|(f, r, o)| Command::Order(f, r, o)),
            6 => (1u64..14, 0u64..8, any::<bool>()).prop_map(|(n, o, v)| Command::ReceiveText(n, o, v)),
            3 => Just(Command::ActivatePending),
            3 => Just(Command::StartSession),
            2 => (0usize..8).prop_map(Command::EndSession),
            1 => (1u64..5, 1u64..14).prop_map(|(fence, n)| Command::CatchUp(fence, n)),
            1 => (1u64..5).prop_map(Command::ObserveRelease),
        ]
        .boxed()
    }

    fn apply(state: NoModel, _: &Command) -> NoModel {
        state
    }
}

struct FrontUnderTest {
    staged: StagedConfig,
    sessions: Vec<Generation>,
}

impl StateMachineTest for FrontUnderTest {
    type SystemUnderTest = FrontUnderTest;
    type Reference = NoModel;

    fn init_test(_: &NoModel) -> FrontUnderTest {
        FrontUnderTest { staged: StagedConfig::new(1, generation(1)), sessions: Vec::new() }
    }

    fn apply(mut sut: FrontUnderTest, _: &NoModel, command: Command) -> FrontUnderTest {
        let before = sut.staged.clone();
        let activates = matches!(command, Command::ActivatePending);
        match command {
            Command::Order(fence, release, order) => {
                let result = sut.staged.handle_order(FencedOrder { fence: Term(fence), release, order });
                assert!(
                    result.is_err() || Term(fence) >= before.fence(),
                    "an order with an older fencing token is refused"
                );
                if result.is_err() {
                    // A refused order may drop unused texts, but changes nothing else.
                    assert_eq!(
                        (sut.staged.fence(), sut.staged.pending_restart()),
                        (before.fence(), before.pending_restart())
                    );
                }
                if let (Order::Activate(generation), Ok(())) = (order, result) {
                    assert!(before.has_text(generation), "only a checked text is activated");
                }
            }
            Command::ReceiveText(number, offset, valid) => {
                let staged = sut.staged.receive_text(number, number * 10 + offset.saturating_sub(6), valid);
                assert!(!staged || sut.staged.has_text(generation(number)));
            }
            Command::ActivatePending => drop(sut.staged.activate_pending()),
            Command::StartSession => sut.sessions.extend(sut.staged.start_session()),
            Command::EndSession(n) if n < sut.sessions.len() => {
                sut.staged.end_session(sut.sessions.swap_remove(n).number)
            }
            Command::EndSession(_) => {}
            Command::CatchUp(fence, number) => {
                let _ = sut.staged.catch_up(Term(fence), 1, generation(number));
            }
            Command::ObserveRelease(fence) => {
                let (stage, fence) = (Stage::Canary, Term(fence));
                let record = ReleaseRecord {
                    number: 1,
                    plan_digest: 1,
                    stage,
                    driver: 1,
                    fence,
                    lease_ms: 1,
                    request_id: 1,
                };
                sut.staged.observe_release(&record);
            }
        }
        assert!(sut.staged.fence() >= before.fence(), "the fencing token never decreases");
        assert!(
            sut.staged.active().number >= before.active().number,
            "the active generation never decreases"
        );
        assert!(
            activates || sut.staged.active() == before.active(),
            "a text is activated by activate_pending only"
        );
        sut
    }

    fn check_invariants(sut: &FrontUnderTest, _: &NoModel) {
        sut.staged.check_invariants().unwrap();
        assert!(
            sut.sessions.iter().all(|generation| sut.staged.has_text(*generation)),
            "the text of a session's generation is retained"
        );
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
    fn front_keeps_its_invariants_under_random_commands(sequential 1..80 => FrontUnderTest);
}
