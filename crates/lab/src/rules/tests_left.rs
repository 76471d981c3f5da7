//! Attempts for viewers who had left, on logs made by hand.

use super::tests::{called, ended, log, setup};
use super::{left, Left};
use crate::exchange::{Got, Seen};
use std::time::Duration;

fn of(all: Vec<(u64, Seen)>) -> Left {
    left(&log(all))
}

fn hung(at: u64, call: u64) -> (u64, Seen) {
    ended(at, call, "a", Got::HungUp)
}

#[test]
fn a_front_that_sends_after_its_viewer_left_is_found() {
    let before = of(vec![called(0, 1, "a"), setup(20, 1, "a"), hung(50, 1)]);
    assert_eq!((before.sessions, before.tried, before.after, before.first), (1, 1, 0, None));
    let soon = of(vec![called(0, 1, "a"), hung(50, 1), setup(140, 1, "a")]);
    assert_eq!((soon.after, soon.longest_ms, soon.broken, soon.first), (1, 90.0, 0, None));
    let further = of(vec![called(0, 1, "a"), setup(20, 1, "a"), hung(50, 1), setup(151, 2, "a")]);
    assert_eq!((further.after, further.longest_ms, further.broken), (1, 101.0, 1));
    assert!(further.first.is_some_and(|f| f.contains("left 101 ms ago")));
    let waits_no_more = of(vec![called(0, 1, "a"), ended(2_500, 1, "a", Got::TimeUp), setup(2_700, 1, "a")]);
    assert_eq!(waits_no_more.broken, 1);
}

#[test]
fn whoever_still_waits_for_the_session_has_not_left() {
    let two = of(vec![called(0, 1, "a"), called(1, 2, "a"), hung(50, 1), setup(300, 1, "a")]);
    assert_eq!((two.sessions, two.after), (0, 0));
    let again = of(vec![called(0, 1, "a"), hung(50, 1), called(400, 2, "a"), setup(410, 1, "a")]);
    assert_eq!(again.after, 0);
    let played = of(vec![called(0, 1, "a"), ended(30, 1, "a", Got::Lost), setup(300, 1, "a")]);
    assert_eq!(played.after, 0, "its front broke off");
}

#[test]
fn what_a_wire_held_back_began_when_it_came_to_the_wire() {
    let late = |entered| Seen::WireLate { front: 0, server: 1, entered: Duration::from_millis(entered) };
    let day = |entered| of(vec![called(0, 1, "a"), hung(50, 1), (900, late(entered)), setup(901, 1, "a")]);
    assert_eq!((day(40).after, day(700).broken), (0, 1));
}
