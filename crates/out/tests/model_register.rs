//! Agreement on the register in all interleavings of a small fleet: askers and three witnesses, words lost,
//! doubled, late and out of order, a witness that forgets, leases that run out. At each instant no more
//! permits are in force, by their holders' own count of time, than the limit; terms never repeat or fall.
//!
//! A word that is never delivered is lost. A word that its witness had not got when the next one was said may
//! come later; so may a copy of one that it got. An answer is lost, or comes at once: one that comes late is
//! as a word that came late.

mod agree;

use agree::{World, OVER, TERMS};
use stateright::{Checker, Model};
use std::time::Duration;

fn check(world: World, seen: &[&'static str]) {
    let checker = world.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    for name in seen {
        checker.assert_any_discovery(name);
    }
    checker.assert_no_discovery(OVER);
    checker.assert_no_discovery(TERMS);
}

const NONE: World = World {
    askers: 2,
    limit: 1,
    ticks: 3,
    asks: 1,
    lates: 0,
    losses: 0,
    forgets: 0,
    lease: Duration::from_secs(2),
};

#[test]
fn leases_that_run_out_and_are_renewed() {
    check(World { ticks: 4, asks: 2, ..NONE }, &["grants", "lapses", "renews"]);
}

#[test]
fn leases_of_some_ticks() {
    check(World { ticks: 4, lease: Duration::from_secs(5), ..NONE }, &["grants", "lapses"]);
}

#[test]
fn words_lost() {
    check(World { ticks: 4, losses: 1, ..NONE }, &["grants", "lapses"]);
}

#[test]
fn words_late_and_doubled() {
    check(World { ticks: 4, lates: 1, ..NONE }, &["grants", "lapses"]);
}

#[test]
fn words_late_and_doubled_and_lost() {
    check(World { ticks: 1, lates: 1, losses: 1, ..NONE }, &["grants"]);
}

#[test]
fn words_late_and_doubled_and_renewed() {
    check(World { ticks: 0, asks: 2, lates: 1, ..NONE }, &["grants", "renews"]);
}

#[test]
fn a_witness_that_forgets() {
    check(World { ticks: 1, losses: 1, forgets: 1, ..NONE }, &["grants"]);
}

#[test]
fn a_witness_that_forgets_and_comes_to_count_again() {
    check(World { ticks: 8, forgets: 1, ..NONE }, &["grants", "lapses"]);
}

/// Each of three witnesses would let two go; by its own count no pair of them would have stopped the third.
#[test]
fn a_limit_of_two_over_three_witnesses_never_gives_three() {
    check(World { askers: 3, limit: 2, ticks: 0, ..NONE }, &["grants", "as many as may"]);
}
