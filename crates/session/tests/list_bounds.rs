//! Bounds on the servers held: over months servers come and go, each with an id of its own.

mod common;

use cloverhollow::{Action, Event, ListMode};
use cloverhollow_session::*;
use common::*;
use std::time::Duration;

/// Policy that takes no action.
struct InactivePolicy;

impl Policy for InactivePolicy {
    fn step(&mut self, _: Duration, _: &[Event]) -> Vec<Action> {
        Vec::new()
    }
}

fn entries(ids: std::ops::Range<u64>, state: WireState) -> Vec<ServerEntry> {
    ids.map(|id| ServerEntry { id, ..server(1, state) }).collect()
}

const MAX: u64 = MAX_SERVERS as u64;

/// Each message is bounded, but patches could add servers to the list without end.
#[test]
fn patches_cannot_grow_the_list_past_its_bound() {
    let mut core: Core<_, u32, &'static str> = Core::new(InactivePolicy, settings(SETTINGS), 1);
    core.step(START, [list_update(ListMode::Full, entries(0..MAX, WireState::Serving))]);
    core.step(START + ms(1), [list_update(ListMode::Patch, entries(MAX..MAX + 10, WireState::Serving))]);
    assert_eq!((core.check(), core.server_list().serving_count()), (Ok(()), MAX_SERVERS));
    // Updates of known servers still apply, and a server that goes makes room for another.
    core.step(START + ms(2), [list_update(ListMode::Patch, entries(0..10, WireState::Gone))]);
    core.step(START + ms(3), [list_update(ListMode::Patch, entries(MAX..MAX + 11, WireState::Serving))]);
    assert_eq!((core.check(), core.server_list().serving_count()), (Ok(()), MAX_SERVERS));
    // A full list of other servers replaces all of them.
    core.step(START + ms(4), [list_update(ListMode::Full, entries(2 * MAX..3 * MAX, WireState::Serving))]);
    assert_eq!(
        (core.check(), core.server_list().serving_count(), core.server_list().len()),
        (Ok(()), MAX_SERVERS, MAX_SERVERS)
    );
}

/// Servers that stopped or failed and never came back were remembered without bound, unlike in the write-ahead log.
#[test]
fn stopped_servers_are_forgotten_past_the_bound_of_the_log() {
    let mut core: Core<_, u32, &'static str> = Core::new(InactivePolicy, settings(SETTINGS), 1);
    for round in 0..3 {
        let (from, now) = (round * MAX, START + ms(round));
        core.step(now, [list_update(ListMode::Full, entries(from..from + MAX, WireState::Serving))]);
        assert_eq!(core.check(), Ok(()), "round {round}");
    }
    // The last ones are remembered: a persisted list cannot make them serve again.
    core.step(START + ms(9), [list_update(ListMode::Full, Vec::new())]);
    assert_eq!(core.check(), Ok(()));
    let last = 3 * MAX - 1;
    core.step(START + ms(10), [list_update(ListMode::Stale, entries(last..last + 1, WireState::Serving))]);
    assert_eq!(core.server_list().serving_count(), 0);
}
