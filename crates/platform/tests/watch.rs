//! Connections to video servers: which stay, what is opened again, when a server's sessions are taken for cut.

use cloverhollow_platform::link_monitor::{LinkAction, LinkEndReason, LinkId, LinkMonitor};
use std::time::Duration;

const S: u64 = 7;
const NOTES: Duration = Duration::from_millis(2_500);
const IDLE_CLOSE: Duration = Duration::from_secs(15);

fn at(ms: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

/// A server with one connection that is up and idle since `at(0)`, where a session stands.
fn standing() -> LinkMonitor {
    let mut w = LinkMonitor::new(NOTES, IDLE_CLOSE, 8);
    w.link_opening(S, LinkId(1));
    w.link_up(at(0), S);
    w.link_idle(at(0), S, LinkId(1));
    w.session_established(at(0), S);
    w
}

fn due(w: &mut LinkMonitor, ms: u64) -> Vec<LinkAction> {
    w.poll(at(ms), |_| true)
}

#[test]
fn the_newest_connection_stays_while_anything_stands_and_others_go() {
    let mut w = standing();
    w.link_opening(S, LinkId(2));
    assert_eq!(w.idle_link(S), Some(LinkId(1)), "one with a set-up open is not used for others");
    w.link_idle(at(100), S, LinkId(2));
    assert_eq!(w.idle_link(S), Some(LinkId(2)));
    w.message_received(at(2_000), S);
    assert_eq!(due(&mut w, 2_000), [LinkAction::Close(LinkId(1))]);
    w.link_closing(S, LinkId(1));
    w.message_received(at(60_000), S);
    assert_eq!(due(&mut w, 60_000), []);
    assert_eq!(w.poll(at(60_000), |_| false), [LinkAction::Close(LinkId(2))], "nothing stands any more");
}

#[test]
fn a_set_up_goes_on_a_connection_that_is_idle_and_lately_heard_of() {
    let mut w = standing();
    assert_eq!(w.take_for_setup(at(900), S, true), Some(LinkId(1)));
    assert_eq!(w.take_for_setup(at(900), S, false), None, "one set-up at a time");
    w.link_idle(at(950), S, LinkId(1));
    assert_eq!(
        w.take_for_setup(at(1_100), S, true),
        None,
        "nothing was heard for too long, and it may run once only"
    );
    assert_eq!(w.take_for_setup(at(1_100), S, false), Some(LinkId(1)));
    w.link_idle(at(1_200), S, LinkId(1));
    w.message_received(at(3_100), S);
    assert_eq!(w.take_for_setup(at(3_200), S, true), Some(LinkId(1)), "it was heard of again");
    w.link_idle(at(3_300), S, LinkId(1));
    w.message_received(at(16_000), S);
    assert_eq!(w.take_for_setup(at(16_000), S, false), None, "its server is about to close it");
    assert_eq!(w.poll(at(16_000), |_| false), [LinkAction::Close(LinkId(1))], "nothing stands there");
}

#[test]
fn where_a_connection_did_not_come_up_none_that_is_there_is_trusted() {
    for down in [LinkEndReason::Refused, LinkEndReason::ConnectTimeout] {
        let mut w = standing();
        w.link_opening(S, LinkId(2));
        w.link_down(at(300), S, LinkId(2), down);
        assert_eq!(w.take_for_setup(at(400), S, false), None, "{down:?}");
        w.message_received(at(500), S);
        assert_eq!(w.take_for_setup(at(500), S, true), Some(LinkId(1)), "a word of it: {down:?}");
    }
}

#[test]
fn idle_connections_are_bounded_the_oldest_closed_first() {
    let mut w = LinkMonitor::new(NOTES, IDLE_CLOSE, 2);
    for i in 1..=4 {
        w.link_opening(i, LinkId(i));
        w.link_up(at(i), i);
        w.link_idle(at(i), i, LinkId(i));
    }
    assert_eq!(w.poll(at(10), |_| false), [LinkAction::Close(LinkId(1)), LinkAction::Close(LinkId(2))]);
    assert_eq!(
        w.poll(at(10), |server| server == 2),
        [LinkAction::Close(LinkId(1))],
        "one where sessions stand does not count"
    );
}

#[test]
fn a_connection_that_broke_is_opened_again_with_back_off() {
    let mut w = standing();
    w.link_down(at(10), S, LinkId(1), LinkEndReason::Disconnected);
    assert_eq!(due(&mut w, 50), []);
    assert_eq!(due(&mut w, 120), [LinkAction::Open(S)]);
    w.link_opening(S, LinkId(2));
    assert_eq!(due(&mut w, 130), [], "one is being made");
    w.link_down(at(140), S, LinkId(2), LinkEndReason::Disconnected);
    assert_eq!((due(&mut w, 300), due(&mut w, 350)), (vec![], vec![LinkAction::Open(S)]), "twice as long");
}

#[test]
fn a_process_that_refuses_twice_has_cut_its_sessions() {
    let mut w = standing();
    w.link_down(at(10), S, LinkId(1), LinkEndReason::Disconnected);
    for (n, ms) in [(2, 120), (3, 400)] {
        assert_eq!(due(&mut w, ms), [LinkAction::Open(S)]);
        w.link_opening(S, LinkId(n));
        w.link_down(at(ms + 1), S, LinkId(n), LinkEndReason::Refused);
    }
    assert_eq!(due(&mut w, 402), [LinkAction::EndSessions(S)]);
}

#[test]
fn one_that_comes_up_again_has_not() {
    let mut w = standing();
    w.link_down(at(10), S, LinkId(1), LinkEndReason::Disconnected);
    w.link_opening(S, LinkId(2));
    w.link_down(at(120), S, LinkId(2), LinkEndReason::Refused);
    w.link_opening(S, LinkId(3));
    w.link_up(at(400), S);
    w.link_down(at(410), S, LinkId(3), LinkEndReason::Refused);
    assert!(!due(&mut w, 3_000).contains(&LinkAction::EndSessions(S)));
}

#[test]
fn a_silent_machine_is_looked_at_and_taken_for_gone_when_nothing_comes_up() {
    let mut w = standing();
    assert_eq!(due(&mut w, 2_400), [], "its next note is not due yet");
    let mut ms = 3_600;
    assert_eq!(due(&mut w, ms), [LinkAction::Open(S)], "it should have said something by now");
    for n in 2..20 {
        w.link_opening(S, LinkId(n));
        ms += 250;
        w.link_down(at(ms), S, LinkId(n), LinkEndReason::ConnectTimeout);
        loop {
            ms += 50;
            match due(&mut w, ms)[..] {
                [] => {}
                [LinkAction::Open(S)] => break,
                [LinkAction::EndSessions(S)] => {
                    return assert!(ms < 8_000, "its clients are told within the platform's time: {ms}")
                }
                ref other => panic!("{other:?}"),
            }
        }
    }
    panic!("never taken for gone");
}

#[test]
fn one_that_is_only_quiet_is_left_alone() {
    let mut w = standing();
    assert_eq!(due(&mut w, 3_600), [LinkAction::Open(S)]);
    w.link_opening(S, LinkId(2));
    w.link_up(at(3_610), S);
    w.link_idle(at(3_610), S, LinkId(2));
    assert_eq!(due(&mut w, 3_650), [LinkAction::Close(LinkId(1))], "the newer one stays");
    // A connection that did not come up, and then a word on an old one.
    w.link_opening(S, LinkId(3));
    w.link_down(at(4_000), S, LinkId(3), LinkEndReason::ConnectTimeout);
    w.message_received(at(4_100), S);
    assert!(!due(&mut w, 6_500).contains(&LinkAction::EndSessions(S)));
}

#[test]
fn what_this_process_could_not_open_says_nothing_of_the_server() {
    let mut w = standing();
    for n in 2..9 {
        w.link_opening(S, LinkId(n));
        w.link_down(at(n * 900), S, LinkId(n), LinkEndReason::LocalError);
    }
    assert!(!due(&mut w, 9_000).contains(&LinkAction::EndSessions(S)));
}
