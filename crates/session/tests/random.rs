//! The core under random load, by the decision module and by one that asks for anything; looked at after each step.

mod common;
mod load;

use load::shell::Shell;
use load::{Happens, Known};
use proptest::test_runner::RngSeed;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

struct Front;

impl StateMachineTest for Front {
    type SystemUnderTest = Shell;
    type Reference = Known;

    fn init_test(known: &Known) -> Shell {
        Shell::new(known)
    }

    fn apply(mut shell: Shell, _: &Known, happens: Happens) -> Shell {
        shell.happens(happens);
        shell
    }

    fn check_invariants(shell: &Shell, known: &<Known as ReferenceStateMachine>::State) {
        shell.agrees(known);
    }

    fn teardown(shell: Shell, _: Known) {
        shell.ends();
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
    fn every_invariant_holds_whatever_happens(sequential 1..250 => Front);
}
