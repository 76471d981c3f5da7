//! A release and its fences in all interleavings: two drivers that each believe that they drive, one of which
//! stands still for as long as it likes; orders that come late and twice; leases that run out; an operator
//! that halts.
//!
//! The register is one value here, as agreement makes it (`model_register.rs`): a driver reads and changes it
//! at once, and hears of that later.

mod roll;

use cloverhollow_out::*;
use roll::{World, ONCE, RIGHT};
use stateright::{Checker, Model};

fn plan() -> Plan {
    let most = MaxOutOfService { fleet: 1, zone: 1, rack: 1 };
    let limits = Limits {
        fronts: most,
        servers: most,
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

fn check(world: World, seen: &[&'static str]) {
    let checker = world.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_no_discovery(RIGHT);
    checker.assert_no_discovery(ONCE);
    seen.iter().for_each(|name| drop(checker.assert_any_discovery(name)));
}

#[test]
fn a_stalled_driver_and_its_successor() {
    let seen = ["done", "taken over and done", "an old fence is refused"];
    check(World { halts: 0, sleeps: 1, lapses: 2 }, &seen);
}

#[test]
fn an_operator_halts_and_it_is_taken_back() {
    check(World { halts: 1, sleeps: 1, lapses: 0 }, &["done", "taken back"]);
}
