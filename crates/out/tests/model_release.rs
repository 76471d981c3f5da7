//! A release and its fencing tokens in all interleavings: two drivers that both consider themselves in
//! charge, one of which may be suspended for any time; delayed and duplicated orders; leases that expire; an
//! operator that halts the release.
//!
//! The register is a single value here, as agreement provides it (`model_register.rs`): a change of a driver
//! takes effect at once, and its outcome reaches the driver later.

mod release_model;

use cloverhollow_out::*;
use release_model::{ReleaseModel, AT_MOST_ONCE, SAFETY};
use stateright::{Checker, Model};

fn plan() -> Plan {
    let max = MaxOutOfService { fleet: 1, zone: 1, rack: 1 };
    let limits = Limits {
        fronts: max,
        servers: max,
        cells_per_title: 0,
        ring_cells: 0,
        free_link_kbit_s: None,
        max_uncertain_ms: 1_000,
    };
    Plan {
        number: 1,
        target: ReleaseTarget::Build { build_id: 2 },
        previous: ReleaseTarget::Build { build_id: 1 },
        canaries: 1,
        waves: Vec::new(),
        limits,
        observation_ms: 0,
        max_out: 9,
        max_failed_restarts: 1,
        max_permit_wait_ms: 60_000,
        false_halt_ppm: 1,
        rollback_of: None,
    }
}

fn check(model: ReleaseModel, reached: &[&'static str]) {
    let checker = model.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_no_discovery(SAFETY);
    checker.assert_no_discovery(AT_MOST_ONCE);
    reached.iter().for_each(|name| drop(checker.assert_any_discovery(name)));
}

#[test]
fn stalled_driver_and_its_successor_never_act_twice() {
    let reached = ["done", "taken over and done", "a stale fencing token is refused"];
    check(ReleaseModel { halts: 0, time_steps: 1, takeovers: 2 }, &reached);
}

#[test]
fn release_halted_by_an_operator_is_rolled_back() {
    check(ReleaseModel { halts: 1, time_steps: 1, takeovers: 0 }, &["done", "rolled back"]);
}
