//! Connections to video servers: which stay open, when they are reopened, and when the sessions at a server count as
//! lost.

use cloverhollow_platform::link_monitor::{
    LinkAction, LinkEndReason, LinkId, LinkMonitor, LinkMonitorConfig,
};
use std::time::Duration;

const SERVER: u64 = 7;
const CONFIG: LinkMonitorConfig = LinkMonitorConfig {
    report_interval: Duration::from_millis(2_500),
    idle_close: Duration::from_secs(15),
    connect_timeout: Duration::from_millis(250),
    max_idle: 8,
};

fn at(ms: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

/// A server with an established session and one link, which is up and idle since `at(0)`.
fn with_session() -> LinkMonitor {
    let mut monitor = LinkMonitor::new(CONFIG);
    monitor.link_opening(SERVER, LinkId(1));
    monitor.link_up(at(0), SERVER, LinkId(1));
    monitor.link_idle(at(0), SERVER, LinkId(1));
    monitor.session_established(at(0), SERVER);
    monitor
}

fn poll(monitor: &mut LinkMonitor, ms: u64) -> Vec<LinkAction> {
    monitor.poll(at(ms), |_| true)
}

#[test]
fn the_newest_link_stays_open_while_sessions_are_established() {
    let mut monitor = with_session();
    monitor.link_opening(SERVER, LinkId(2));
    assert_eq!(
        monitor.idle_link(SERVER),
        Some(LinkId(1)),
        "a link with a pending set-up is not used for messages"
    );
    monitor.link_idle(at(100), SERVER, LinkId(2));
    assert_eq!(monitor.idle_link(SERVER), Some(LinkId(2)));
    monitor.message_received(at(2_000), SERVER);
    assert_eq!(poll(&mut monitor, 2_000), [LinkAction::Close(LinkId(1))]);
    monitor.link_closing(SERVER, LinkId(1));
    monitor.message_received(at(60_000), SERVER);
    assert_eq!(poll(&mut monitor, 60_000), []);
    assert_eq!(
        monitor.poll(at(60_000), |_| false),
        [LinkAction::Close(LinkId(2))],
        "no session is established any more"
    );
}

#[test]
fn a_set_up_uses_a_link_that_is_idle_and_recently_active() {
    let mut monitor = with_session();
    assert_eq!(monitor.take_for_setup(at(900), SERVER, true), Some(LinkId(1)));
    assert_eq!(monitor.take_for_setup(at(900), SERVER, false), None, "one set-up at a time");
    monitor.link_idle(at(950), SERVER, LinkId(1));
    assert_eq!(
        monitor.take_for_setup(at(1_100), SERVER, true),
        None,
        "silent for too long for an at-most-once set-up"
    );
    assert_eq!(monitor.take_for_setup(at(1_100), SERVER, false), Some(LinkId(1)));
    monitor.link_idle(at(1_200), SERVER, LinkId(1));
    monitor.message_received(at(3_100), SERVER);
    assert_eq!(
        monitor.take_for_setup(at(3_200), SERVER, true),
        Some(LinkId(1)),
        "the server sent something again"
    );
    monitor.link_idle(at(3_300), SERVER, LinkId(1));
    monitor.message_received(at(16_000), SERVER);
    assert_eq!(monitor.take_for_setup(at(16_000), SERVER, false), None, "the server is about to close it");
    assert_eq!(
        monitor.poll(at(16_000), |_| false),
        [LinkAction::Close(LinkId(1))],
        "no session is established"
    );
}

#[test]
fn no_existing_link_is_used_after_a_failed_connect() {
    for reason in [LinkEndReason::Refused, LinkEndReason::ConnectTimeout] {
        let mut monitor = with_session();
        monitor.link_opening(SERVER, LinkId(2));
        monitor.link_down(at(300), SERVER, LinkId(2), reason);
        assert_eq!(monitor.take_for_setup(at(400), SERVER, false), None, "{reason:?}");
        monitor.message_received(at(500), SERVER);
        assert_eq!(
            monitor.take_for_setup(at(500), SERVER, true),
            Some(LinkId(1)),
            "usable again after a message: {reason:?}"
        );
    }
}

#[test]
fn idle_links_are_bounded_and_the_oldest_closed_first() {
    let mut monitor = LinkMonitor::new(LinkMonitorConfig { max_idle: 2, ..CONFIG });
    for i in 1..=4 {
        monitor.link_opening(i, LinkId(i));
        monitor.link_up(at(i), i, LinkId(i));
        monitor.link_idle(at(i), i, LinkId(i));
    }
    assert_eq!(monitor.poll(at(10), |_| false), [LinkAction::Close(LinkId(1)), LinkAction::Close(LinkId(2))]);
    assert_eq!(
        monitor.poll(at(10), |server| server == 2),
        [LinkAction::Close(LinkId(1))],
        "the link to a server with sessions does not count"
    );
}

#[test]
fn a_lost_link_is_reopened_with_back_off() {
    let mut monitor = with_session();
    monitor.link_down(at(10), SERVER, LinkId(1), LinkEndReason::Disconnected);
    assert_eq!(poll(&mut monitor, 50), []);
    assert_eq!(poll(&mut monitor, 120), [LinkAction::Open(SERVER)]);
    monitor.link_opening(SERVER, LinkId(2));
    assert_eq!(poll(&mut monitor, 130), [], "a link is being opened");
    monitor.link_down(at(140), SERVER, LinkId(2), LinkEndReason::Disconnected);
    assert_eq!(
        (poll(&mut monitor, 300), poll(&mut monitor, 350)),
        (vec![], vec![LinkAction::Open(SERVER)]),
        "twice the delay"
    );
}

#[test]
fn two_refused_connects_end_the_sessions() {
    let mut monitor = with_session();
    monitor.link_down(at(10), SERVER, LinkId(1), LinkEndReason::Disconnected);
    for (n, ms) in [(2, 120), (3, 400)] {
        assert_eq!(poll(&mut monitor, ms), [LinkAction::Open(SERVER)]);
        monitor.link_opening(SERVER, LinkId(n));
        monitor.link_down(at(ms + 1), SERVER, LinkId(n), LinkEndReason::Refused);
    }
    assert_eq!(poll(&mut monitor, 402), [LinkAction::EndSessions(SERVER)]);
}

#[test]
fn a_successful_connect_resets_the_count_of_refusals() {
    let mut monitor = with_session();
    monitor.link_down(at(10), SERVER, LinkId(1), LinkEndReason::Disconnected);
    monitor.link_opening(SERVER, LinkId(2));
    monitor.link_down(at(120), SERVER, LinkId(2), LinkEndReason::Refused);
    monitor.link_opening(SERVER, LinkId(3));
    monitor.link_up(at(400), SERVER, LinkId(3));
    monitor.link_down(at(410), SERVER, LinkId(3), LinkEndReason::Refused);
    assert!(!poll(&mut monitor, 3_000).contains(&LinkAction::EndSessions(SERVER)));
}

#[test]
fn a_silent_server_is_probed_and_its_sessions_end_if_connects_time_out() {
    let mut monitor = with_session();
    assert_eq!(poll(&mut monitor, 2_400), [], "its next report is not due yet");
    let mut ms = 3_600;
    assert_eq!(poll(&mut monitor, ms), [LinkAction::Open(SERVER)], "its report is overdue");
    for n in 2..20 {
        monitor.link_opening(SERVER, LinkId(n));
        ms += 250;
        monitor.link_down(at(ms), SERVER, LinkId(n), LinkEndReason::ConnectTimeout);
        loop {
            ms += 50;
            match poll(&mut monitor, ms)[..] {
                [] => {}
                [LinkAction::Open(SERVER)] => break,
                [LinkAction::EndSessions(SERVER)] => {
                    return assert!(ms < 8_000, "viewers are notified within the platform's limit: {ms} ms")
                }
                ref other => panic!("{other:?}"),
            }
        }
    }
    panic!("the sessions never ended");
}

#[test]
fn a_silent_server_that_accepts_connections_keeps_its_sessions() {
    let mut monitor = with_session();
    assert_eq!(poll(&mut monitor, 3_600), [LinkAction::Open(SERVER)]);
    monitor.link_opening(SERVER, LinkId(2));
    monitor.link_up(at(3_610), SERVER, LinkId(2));
    monitor.link_idle(at(3_610), SERVER, LinkId(2));
    assert_eq!(poll(&mut monitor, 3_650), [LinkAction::Close(LinkId(1))], "the newer link stays");
    // A connect that timed out, and then a message on an older link.
    monitor.link_opening(SERVER, LinkId(3));
    monitor.link_down(at(4_000), SERVER, LinkId(3), LinkEndReason::ConnectTimeout);
    monitor.message_received(at(4_100), SERVER);
    assert!(!poll(&mut monitor, 6_500).contains(&LinkAction::EndSessions(SERVER)));
}

#[test]
fn local_errors_do_not_end_the_sessions() {
    let mut monitor = with_session();
    for n in 2..9 {
        monitor.link_opening(SERVER, LinkId(n));
        monitor.link_down(at(n * 900), SERVER, LinkId(n), LinkEndReason::LocalError);
    }
    assert!(!poll(&mut monitor, 9_000).contains(&LinkAction::EndSessions(SERVER)));
}
