//! Releases that are sent again because the viewer's connection ended.

use cloverhollow_platform::resend::{UnacknowledgedReleases, ASSUMED_READ_AFTER, WRITE_TIMEOUT};
use cloverhollow_platform::session_registry::{ConnId, Release};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn release(conn: u64, sid: &str) -> Release {
    Release { conn: ConnId(conn), sid: sid.into(), cause: 16 }
}

#[test]
fn a_recent_release_on_a_closed_connection_is_returned_once() {
    let mut releases = UnacknowledgedReleases::default();
    releases.record(NOW, release(1, "a"));
    releases.record(NOW, release(2, "b"));
    assert_eq!(releases.take_lost(NOW + ASSUMED_READ_AFTER, ConnId(1), true), [release(1, "a")]);
    assert_eq!(releases.take_lost(NOW + ASSUMED_READ_AFTER, ConnId(1), true), []);
    assert_eq!(
        releases.take_lost(NOW + ASSUMED_READ_AFTER * 2, ConnId(2), true),
        [],
        "assumed to have been read"
    );
}

#[test]
fn an_acknowledged_release_is_not_returned() {
    let mut releases = UnacknowledgedReleases::default();
    releases.record(NOW, release(1, "a"));
    releases.acknowledge("a");
    assert_eq!(releases.take_lost(NOW, ConnId(1), false), []);
}

/// The release waited for the viewer to read, until the connection was closed for that.
#[test]
fn a_release_that_the_system_may_not_have_accepted_is_returned_after_the_write_timeout() {
    let mut releases = UnacknowledgedReleases::default();
    releases.record(NOW, release(1, "a"));
    releases.record(NOW + WRITE_TIMEOUT, release(2, "b"));
    assert_eq!(releases.take_lost(NOW + WRITE_TIMEOUT, ConnId(1), false), [release(1, "a")]);
}
