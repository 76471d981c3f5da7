//! Property test: the core under random load, with the real policy and with a random one. The invariants are checked
//! after each step.

mod common;
mod load;

use load::harness::Harness;
use load::{Model, Transition};
use proptest::test_runner::RngSeed;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

struct CoreTest;

impl StateMachineTest for CoreTest {
    type SystemUnderTest = Harness;
    type Reference = Model;

    fn init_test(model: &Model) -> Harness {
        Harness::new(model)
    }

    fn apply(mut harness: Harness, _: &Model, transition: Transition) -> Harness {
        harness.apply(transition);
        harness
    }

    fn check_invariants(harness: &Harness, model: &<Model as ReferenceStateMachine>::State) {
        harness.assert_agrees(model);
    }

    fn teardown(harness: Harness, _: Model) {
        harness.finish();
    }
}

prop_state_machine! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20261202),
        ..proptest::prelude::ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_under_random_load(sequential 1..250 => CoreTest);
}
