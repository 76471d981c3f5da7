//! What is kept of servers is bounded over the months, each of which has an id of its own.

mod common;

use cloverhollow::{Action, Event, ListMode};
use cloverhollow_session::*;
use common::*;
use std::time::Duration;

/// Decides nothing.
struct Nobody;

impl Policy for Nobody {
    fn step(&mut self, _: Duration, _: &[Event]) -> Vec<Action> {
        Vec::new()
    }
}

fn named(ids: std::ops::Range<u64>, state: WireState) -> Vec<ServerEntry> {
    ids.map(|id| ServerEntry { id, ..server(1, state) }).collect()
}

const MOST: u64 = MAX_SERVERS as u64;

/// Patches added servers without end: a message was bounded, the list was not.
#[test]
fn a_list_that_grows_by_patches_is_bounded() {
    let mut core: Core<_, u32, &'static str> = Core::new(Nobody, settings(SETTINGS), 1);
    core.step(DAY, [list(ListMode::Full, named(0..MOST, WireState::Serving))]);
    core.step(DAY + ms(1), [list(ListMode::Patch, named(MOST..MOST + 10, WireState::Serving))]);
    assert_eq!((core.check(), core.server_list().serving_count()), (Ok(()), MAX_SERVERS));
    // What is known is heard of all the same, and whoever goes makes room.
    core.step(DAY + ms(2), [list(ListMode::Patch, named(0..10, WireState::Gone))]);
    core.step(DAY + ms(3), [list(ListMode::Patch, named(MOST..MOST + 11, WireState::Serving))]);
    assert_eq!((core.check(), core.server_list().serving_count()), (Ok(()), MAX_SERVERS));
    // A whole list of others takes the place of them all.
    core.step(DAY + ms(4), [list(ListMode::Full, named(2 * MOST..3 * MOST, WireState::Serving))]);
    assert_eq!(
        (core.check(), core.server_list().serving_count(), core.server_list().len()),
        (Ok(()), MAX_SERVERS, MAX_SERVERS)
    );
}

/// Servers that stopped, or failed, and never came back were remembered without end; the paper of deeds was bounded.
#[test]
fn servers_that_never_come_back_are_forgotten_past_the_papers_bound() {
    let mut core: Core<_, u32, &'static str> = Core::new(Nobody, settings(SETTINGS), 1);
    for round in 0..3 {
        let (from, at) = (round * MOST, DAY + ms(round));
        core.step(at, [list(ListMode::Full, named(from..from + MOST, WireState::Serving))]);
        assert_eq!(core.check(), Ok(()), "round {round}");
    }
    // The last ones are remembered: nothing that they are told to be by a kept list opens them.
    core.step(DAY + ms(9), [list(ListMode::Full, Vec::new())]);
    assert_eq!(core.check(), Ok(()));
    let last = 3 * MOST - 1;
    core.step(DAY + ms(10), [list(ListMode::Stale, named(last..last + 1, WireState::Serving))]);
    assert_eq!(core.server_list().serving_count(), 0);
}
