//! Each checker on logs made by hand: what a front that forgets does over its death, and what one that does not.

use super::*;
use crate::exchange::Got;
use crate::script::Day;
use std::path::Path;
use std::sync::Arc;

fn script() -> Script {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../days/deaths.yaml"));
    Day::load(path).unwrap().script
}

pub(super) fn log(all: Vec<(u64, Seen)>) -> Vec<Exchange> {
    all.into_iter().map(|(ms, seen)| Exchange { at: Duration::from_millis(ms), seen }).collect()
}

pub(super) fn setup(at: u64, server: u64, sid: &str) -> (u64, Seen) {
    let (sid, arrived) = (Arc::from(sid), Duration::from_millis(at));
    let title = "t".into();
    (at, Seen::SetupRead { server, front: 0, sid, class: 0, title, kbps: 800, ran: true, arrived })
}

fn closed(at: u64, server: u64, sid: &str) -> (u64, Seen) {
    (at, Seen::SetupClosed { server, sid: sid.into(), status: None })
}

pub(super) fn called(at: u64, call: u64, sid: &str) -> (u64, Seen) {
    let patience = Duration::from_millis(2_000);
    (at, Seen::Called { call, sid: sid.into(), front: 0, class: 0, title: "t".into(), top: 2, patience })
}

pub(super) fn ended(at: u64, call: u64, sid: &str, got: Got) -> (u64, Seen) {
    (at, Seen::CallEnded { call, sid: sid.into(), got })
}

const DOWN: Seen = Seen::FrontDown { front: 0 };
const UP: Seen = Seen::FrontUp { front: 0 };

fn broken(rule: u8, all: Vec<(u64, Seen)>) -> usize {
    let verdicts = check(&log(all), &script());
    verdicts.iter().find(|v| v.rule == rule).map_or(0, |v| v.broken)
}

#[test]
fn rule_1_a_life_that_comes_back_answers_what_it_takes() {
    let got = |status| Got::Status { status, reason: None };
    let day = |answered: bool| {
        let mut all =
            vec![(0, UP), called(100, 1, "a"), (200, DOWN), ended(210, 1, "a", Got::Lost), (400, UP)];
        all.push(called(500, 2, "b"));
        if answered {
            all.push(ended(600, 2, "b", got(200)));
        }
        all
    };
    assert_eq!(broken(1, day(true)), 0, "the one that waited broke off with its front");
    assert_eq!(broken(1, day(false)), 1);
}

#[test]
fn rule_2_a_paid_set_up_that_ran_in_an_earlier_life_runs_no_more() {
    let before = || vec![(0, UP), setup(100, 1, "a"), (150, DOWN), closed(151, 1, "a"), (400, UP)];
    assert_eq!(broken(2, before()), 0);
    let mut again = before();
    again.push(setup(500, 1, "a"));
    assert!(broken(2, again) > 0);
}

#[test]
fn rule_2_every_two_attempts_are_compared() {
    // The first overlaps the third; between them lies one that was closed at once.
    let first = setup(100, 1, "a");
    let far = vec![first, setup(200, 2, "a"), closed(210, 2, "a"), setup(400, 3, "a")];
    let of = |v: &Verdict| v.first.clone().unwrap_or_default();
    let verdicts = check(&log(far), &script());
    assert!(verdicts[1].broken >= 2 + 2, "two that ran again, and both overlaps: {}", of(&verdicts[1]));
}

#[test]
fn what_a_wire_held_back_counts_from_when_it_was_sent() {
    let late =
        |at, entered| (at, Seen::WireLate { front: 0, server: 1, entered: Duration::from_millis(entered) });
    let told = (500, Seen::ListTold { front: 0, stopped: vec![1], serving: vec![] });
    let drain = |sent| vec![(0, UP), told.clone(), late(3_000, sent), setup(3_001, 1, "a")];
    assert_eq!((broken(3, drain(400)), broken(3, drain(2_000))), (0, 1));
    // Given up while it was held back: its end comes with it. One that stays open is out beside the other.
    let two = |end| vec![(0, UP), setup(100, 2, "a"), late(200, 50), setup(201, 1, "a"), closed(end, 1, "a")];
    let overlaps = |all| broken(2, all) - 1; // the one is that it ran again
    assert_eq!((overlaps(two(205)), overlaps(two(900))), (0, 1));
    // Its viewer has gone: two more seats are free. While it waits there is one.
    let sit = |from: u64| (0..2u64).map(move |i| setup(from + i, 1, &format!("s{from}-{i}")));
    let hung = |gone: bool| {
        let mut all = vec![(0, UP), called(100, 1, "h")];
        all.extend(gone.then(|| ended(200, 1, "h", Got::HungUp)));
        all.extend([late(699, 150), setup(700, 1, "h")]);
        all.extend(sit(800));
        broken(5, all)
    };
    assert_eq!((hung(true), hung(false)), (0, 1));
}

#[test]
fn rule_3_a_drain_told_to_a_life_binds_the_next() {
    let told = |at| (at, Seen::ListTold { front: 0, stopped: vec![1], serving: vec![] });
    let next = |at| vec![(0, UP), told(at), (1_000, DOWN), (2_000, UP), setup(3_000, 1, "a")];
    assert_eq!(broken(3, next(500)), 1);
    assert_eq!(broken(3, next(950)), 0, "it was on its way when the front died");
    let mut frozen = next(500);
    frozen.insert(1, (400, Seen::FrontFrozen { front: 0 }));
    assert_eq!(broken(3, frozen), 0, "it stood still and never read it");
    let mut back = next(500);
    back.insert(4, (2_500, Seen::ListTold { front: 0, stopped: vec![], serving: vec![(1, 1)] }));
    assert_eq!(broken(3, back), 0, "it serves again");
}

#[test]
fn rule_4_what_the_dead_sent_counts() {
    // 2 x 60 streams / 16 s x 0.3 warm and more, a second, and 2 of slack: 4.25 at the start.
    let up = (1_000, Seen::ServerUp { server: 1, incarnation: 2, streams: 60, cold: true });
    let mut all = vec![(0, UP), up, (1_010, UP)];
    all.extend((0..4).map(|i| setup(1_100 + i * 10, 1, &format!("s{i}"))));
    assert_eq!(broken(4, all.clone()), 0);
    all.push((1_200, DOWN));
    all.push((1_300, UP));
    all.extend((4..7).map(|i| setup(1_400 + i * 10, 1, &format!("s{i}"))));
    assert!(broken(4, all) > 0);
}

#[test]
fn rule_5_a_seat_ends_with_its_front_and_the_next_life_keeps_to_its_own() {
    // Two seats.
    let sit = |from: u64, n: u64| (0..n).map(move |i| setup(from + i * 10, 1, &format!("s{from}-{i}")));
    let mut all: Vec<_> = sit(100, 2).collect();
    all.extend([(500, DOWN), (600, UP)]);
    all.extend(sit(700, 2));
    assert_eq!(broken(5, all.clone()), 0);
    all.push(setup(900, 1, "one-more"));
    assert_eq!(broken(5, all), 1);
}

#[test]
fn rule_6_lives_share_one_budget_and_a_viewers_resend_is_no_further_attempt() {
    // Two in 10 s, none for sessions taken.
    let further = |at: u64, sid: &str| [setup(at, 1, sid), closed(at + 1, 1, sid), setup(at + 2, 2, sid)];
    let mut all: Vec<_> = further(100, "a").into_iter().chain(further(200, "b")).collect();
    all.extend([(500, DOWN), (600, UP)]);
    assert_eq!(broken(6, all.clone()), 0);
    let mut resent = all.clone();
    resent.extend([called(650, 1, "c"), setup(660, 1, "c"), ended(670, 1, "c", Got::Lost)]);
    resent.extend([called(700, 2, "c"), setup(710, 2, "c")]);
    assert_eq!(broken(6, resent), 0);
    all.extend(further(700, "d"));
    assert_eq!(broken(6, all), 1, "a third one, of the next life");
}

#[test]
fn rule_2_of_two_requests_sent_together_one_may_be_refused_if_the_other_plays() {
    let got = |status, reason: &str| Got::Status { status, reason: Some(reason.into()) };
    let day = |other: u16| {
        vec![
            called(100, 1, "a"),
            called(101, 2, "a"),
            setup(103, 1, "a"),
            ended(104, 1, "a", got(503, "no-room")),
            ended(115, 2, "a", got(other, "")),
        ]
    };
    assert_eq!(broken(2, day(200)), 0);
    assert_eq!(broken(2, day(502)), 1, "it ran, nobody plays it, and one was told that it did not");
}

#[test]
fn rule_1_every_end_is_told_to_its_viewer_in_time() {
    let untold = |all| ends::check(&log(all)).broken;
    let got = |status| Got::Status { status, reason: None };
    let released = |at| (at, Seen::Released { sid: "a".into(), cause: 16 });
    let day = |more: Vec<(u64, Seen)>| {
        let answered = Seen::SetupClosed { server: 1, sid: "a".into(), status: Some(200) };
        let mut all = vec![(0, UP), called(100, 1, "a"), setup(103, 1, "a"), (110, answered)];
        all.push(ended(111, 1, "a", got(200)));
        all.extend(more);
        all.push((30_000, UP));
        all
    };
    let end = || (5_000, Seen::SessionEnded { server: 1, sid: "a".into() });
    let down = || (5_000, Seen::ServerDown { server: 1 });
    assert_eq!(untold(day(vec![end(), released(5_010)])), 0);
    assert_eq!(untold(day(vec![end(), released(7_000)])), 1, "later than after a second");
    assert_eq!(untold(day(vec![end()])), 1, "never");
    assert_eq!(untold(day(vec![down(), released(12_000)])), 0, "a server that is gone says nothing");
    assert_eq!(untold(day(vec![down()])), 1);
    let left = (4_000, Seen::ViewerOver { sid: "a".into() });
    assert_eq!(untold(day(vec![left, end()])), 0, "it went by itself");
    assert_eq!(untold(day(vec![end(), (5_100, DOWN)])), 0, "its front died");
}
