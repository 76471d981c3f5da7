//! Releases whose viewer's connection broke.

use cloverhollow_platform::resend::{UnacknowledgedReleases, ASSUMED_READ_AFTER};
use cloverhollow_platform::session_registry::{ConnId, Release};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn release(conn: u64, sid: &str) -> Release {
    Release { conn: ConnId(conn), sid: sid.into(), cause: 16 }
}

#[test]
fn what_was_written_lately_on_a_connection_that_ended_is_told_again_once() {
    let mut unproven = UnacknowledgedReleases::default();
    unproven.record(NOW, release(1, "a"));
    unproven.record(NOW, release(2, "b"));
    assert_eq!(unproven.take_lost(NOW + ASSUMED_READ_AFTER, ConnId(1)), [release(1, "a")]);
    assert_eq!(unproven.take_lost(NOW + ASSUMED_READ_AFTER, ConnId(1)), []);
    assert_eq!(unproven.take_lost(NOW + ASSUMED_READ_AFTER * 2, ConnId(2)), [], "it was read");
}

#[test]
fn what_its_viewer_has_heard_is_not_told_again() {
    let mut unproven = UnacknowledgedReleases::default();
    unproven.record(NOW, release(1, "a"));
    unproven.acknowledge("a");
    assert_eq!(unproven.take_lost(NOW, ConnId(1)), []);
}
