//! Agreement on the register in all interleavings of a small fleet: proposers and three witnesses; lost,
//! duplicated, delayed and reordered messages; a witness that loses its state; leases that expire. At each
//! instant no more permits are valid on their holders' clocks than the limit, and terms never repeat or
//! decrease.
//!
//! A message that is never delivered is lost. A message that was not delivered before the next one was sent
//! may arrive later; so may a copy of a delivered one. A response is lost or arrives at once, because a
//! delayed response has the same effect as a delayed message.

mod register_model;

use register_model::{RegisterModel, PERMIT_LIMIT, TERM_ORDER};
use stateright::{Checker, Model};
use std::time::Duration;

fn check(model: RegisterModel, reached: &[&'static str]) {
    let checker = model.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    for name in reached {
        checker.assert_any_discovery(name);
    }
    checker.assert_no_discovery(PERMIT_LIMIT);
    checker.assert_no_discovery(TERM_ORDER);
}

const BASE: RegisterModel = RegisterModel {
    proposers: 2,
    max_permits: 1,
    ticks: 3,
    submissions: 1,
    delays: 0,
    losses: 0,
    state_losses: 0,
    lease: Duration::from_secs(2),
};

#[test]
fn agreement_holds_with_expired_and_renewed_leases() {
    check(RegisterModel { ticks: 4, submissions: 2, ..BASE }, &["grants", "expires", "renews"]);
}

#[test]
fn agreement_holds_with_leases_of_several_ticks() {
    check(RegisterModel { ticks: 4, lease: Duration::from_secs(5), ..BASE }, &["grants", "expires"]);
}

#[test]
fn agreement_holds_with_lost_messages() {
    check(RegisterModel { ticks: 4, losses: 1, ..BASE }, &["grants", "expires"]);
}

#[test]
fn agreement_holds_with_delayed_and_duplicated_messages() {
    check(RegisterModel { ticks: 4, delays: 1, ..BASE }, &["grants", "expires"]);
}

#[test]
fn agreement_holds_with_delayed_duplicated_and_lost_messages() {
    check(RegisterModel { ticks: 1, delays: 1, losses: 1, ..BASE }, &["grants"]);
}

#[test]
fn agreement_holds_with_delayed_messages_and_renewals() {
    check(RegisterModel { ticks: 0, submissions: 2, delays: 1, ..BASE }, &["grants", "renews"]);
}

#[test]
fn agreement_holds_if_a_witness_loses_its_state() {
    check(RegisterModel { ticks: 1, losses: 1, state_losses: 1, ..BASE }, &["grants"]);
}

#[test]
fn agreement_holds_if_a_witness_loses_its_state_and_recovers() {
    check(RegisterModel { ticks: 8, state_losses: 1, ..BASE }, &["grants", "expires"]);
}

/// Each witness alone would allow two permits, so no two of them would deny the third by their own counts;
/// only agreement on one register does.
#[test]
fn three_proposers_never_get_three_permits_under_a_limit_of_two() {
    check(RegisterModel { proposers: 3, max_permits: 2, ticks: 0, ..BASE }, &["grants", "limit reached"]);
}
