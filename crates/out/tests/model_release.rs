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
    let most = Most { fleet: 1, hall: 1, rack: 1 };
    let limits = Limits { fronts: most, servers: most, copies: 0, cells: 0, free: None, unsure_ms: 1_000 };
    Plan {
        number: 1,
        what: What::Build { word: 2 },
        before: What::Build { word: 1 },
        canaries: 1,
        waves: Vec::new(),
        limits,
        watch_ms: 0,
        most_out: 9,
        restarts: 1,
        permits_ms: 60_000,
        error_ppm: 1,
        back: None,
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
