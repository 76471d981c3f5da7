//! Each of the platform's checks finds what it is there for, and only that.

use super::*;
use crate::exchange::Got;
use std::sync::Arc;

fn sid() -> Arc<str> {
    "a".into()
}

fn log(all: &[(u64, Seen)]) -> Vec<Exchange> {
    all.iter().map(|(ms, seen)| Exchange { at: Duration::from_millis(*ms), seen: seen.clone() }).collect()
}

fn called(front: usize) -> Seen {
    let patience = Duration::from_secs(3);
    Seen::Called { call: 1, sid: sid(), front, class: 0, title: "t".into(), top: 1, patience }
}

fn got(got: Got) -> Seen {
    Seen::CallEnded { call: 1, sid: sid(), got }
}

fn played() -> Vec<(u64, Seen)> {
    let status = Got::Status { status: 200, reason: None };
    vec![
        (0, called(0)),
        (10, Seen::SetupClosed { server: 7, sid: sid(), status: Some(200) }),
        (11, got(status)),
    ]
}

const END: (u64, Seen) = (30_000, Seen::FrontUp { front: 9 });

fn with(mut all: Vec<(u64, Seen)>, more: &[(u64, Seen)]) -> Vec<Exchange> {
    all.extend_from_slice(more);
    all.push(END);
    log(&all)
}

#[test]
fn a_release_that_was_written_is_due_in_a_second_and_one_that_was_not_in_eight() {
    let ended = (1_000, Seen::SessionEnded { server: 7, sid: sid() });
    let unsent = (1_000, Seen::ReleaseUnsent { server: 7, sid: sid() });
    let written = (1_000, Seen::ReleaseWritten { server: 7, sid: sid() });
    let released = |ms| (ms, Seen::Released { sid: sid(), cause: 16 });
    let broken = |more: &[(u64, Seen)]| ends::check(&with(played(), more)).broken;
    assert_eq!(broken(&[ended.clone(), written.clone(), released(1_900)]), 0);
    assert_eq!(broken(&[ended.clone(), written.clone(), released(2_500)]), 1);
    assert_eq!(broken(&[ended.clone(), written]), 1, "never");
    let by_a_slow_server = (2_400, Seen::ReleaseWritten { server: 7, sid: sid() });
    assert_eq!(
        broken(&[ended.clone(), by_a_slow_server.clone(), released(2_450)]),
        0,
        "written late, told at once"
    );
    assert_eq!(broken(&[ended.clone(), by_a_slow_server, released(3_700)]), 1, "told late");
    assert_eq!(broken(&[ended.clone(), released(9_500)]), 1, "its server hangs: eight seconds at most");
    assert_eq!(broken(&[ended.clone(), unsent.clone(), released(8_500)]), 0, "its server had no connection");
    assert_eq!(broken(&[ended.clone(), unsent.clone(), released(9_500)]), 1);
    let late = (4_000, Seen::ReleaseWritten { server: 7, sid: sid() });
    assert_eq!(broken(&[ended, unsent, late, released(5_500)]), 1, "on the next connection");
}

#[test]
fn what_ended_while_its_front_was_down_is_owed_from_its_handing_over_on() {
    let down = [
        (1_000, Seen::FrontDown { front: 0 }),
        (1_500, Seen::SessionEnded { server: 7, sid: sid() }),
        (2_000, Seen::FrontUp { front: 0 }),
        (2_100, Seen::HandedOver { sid: sid(), front: 0 }),
    ];
    let broken = |released: u64| {
        let more = [&down[..], &[(released, Seen::Released { sid: sid(), cause: 16 })]].concat();
        ends::check(&with(played(), &more)).broken
    };
    assert_eq!(broken(3_000), 0);
    assert_eq!(broken(12_000), 1);
}

#[test]
fn a_request_long_after_the_word_to_stop_is_lost_with_its_front_and_an_earlier_one_is_not() {
    let broken = |came: u64, exits: bool| {
        let mut all = vec![(0, Seen::FrontTerminated { front: 0 }), (came, called(0))];
        all.extend(exits.then_some((3_000, Seen::FrontExited { front: 0 })));
        all.extend([(3_000, Seen::FrontDown { front: 0 }), (3_001, got(Got::Lost))]);
        answers::check(&with(all, &[])).broken
    };
    assert_eq!(broken(500, false), 0, "it was killed");
    assert_eq!(broken(900, false), 1, "and found unanswered");
    assert_eq!(broken(500, true), 1, "it ended by itself");
}

#[test]
fn a_change_that_a_front_is_not_told_six_seconds_after_discovery_is_back_is_found() {
    let broken = |told: u64| {
        let all = [
            (0, Seen::ListAt { front: 0, version: 1 }),
            (500, Seen::DiscoveryOff { front: None }),
            (1_000, Seen::ListChanged { version: 2 }),
            (4_000, Seen::DiscoveryOn { front: None }),
            (told, Seen::ListAt { front: 0, version: 2 }),
        ];
        told::check(&with(all.to_vec(), &[])).broken
    };
    assert_eq!(broken(9_900), 0);
    assert_eq!(broken(10_500), 1);
}

#[test]
fn crashes_limits_and_clients_that_wait_in_vain_are_found() {
    let client = |ms| Seen::BadClient { front: 0, kind: "noise", took: Some(Duration::from_millis(ms)) };
    let broken = |seen: Seen| processes::check(&with(vec![(10_000, seen)], &[])).broken;
    assert_eq!(broken(client(2_900)), 0);
    assert_eq!(broken(client(3_500)), 1);
    assert_eq!(broken(Seen::BadClient { front: 0, kind: "noise", took: None }), 1);
    assert_eq!(broken(Seen::FrontCrashed { front: 0, how: "signal 6".into() }), 1);
    assert_eq!(broken(Seen::OverLimit { front: 0, what: "300 descriptors".into() }), 1);
}
