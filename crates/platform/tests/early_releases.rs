//! Releases that arrive before their sessions are established.

use cloverhollow_platform::early_releases::{EarlyReleases, MAX_EARLY_RELEASES, RETENTION};
use cloverhollow_session::{AttemptId, SessionId};
use std::net::SocketAddr;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const CAUSE: i64 = 16;

fn process(port: u16) -> SocketAddr {
    ([10, 1, 0, 9], port).into()
}

fn attempt(number: u32) -> AttemptId {
    AttemptId { request: 1, number }
}

fn with_one_release() -> EarlyReleases {
    let mut releases = EarlyReleases::default();
    releases.insert(NOW, "a".into(), process(1), Some(attempt(0)), CAUSE);
    releases
}

#[test]
fn a_release_is_returned_once_to_its_process_within_the_retention_time() {
    assert_eq!(with_one_release().take(NOW, "a", process(1)), Some(CAUSE));
    assert_eq!(with_one_release().take(NOW, "b", process(1)), None);
    assert_eq!(with_one_release().take(NOW, "a", process(2)), None, "another process");
    assert_eq!(with_one_release().take(NOW + RETENTION, "a", process(1)), None, "expired");
    let mut releases = with_one_release();
    releases.take(NOW, "a", process(1));
    assert_eq!(releases.take(NOW, "a", process(1)), None, "already taken");
}

#[test]
fn a_release_of_a_failed_attempt_does_not_end_the_next_session() {
    let mut releases = with_one_release();
    releases.attempt_ended(attempt(1));
    releases.attempt_ended(attempt(0));
    assert_eq!(releases.take(NOW, "a", process(1)), None);
}

#[test]
fn the_oldest_release_is_evicted_at_the_limit() {
    let mut releases = EarlyReleases::default();
    let sid = |n: usize| SessionId::from(format!("{n:016x}"));
    for n in 0..=MAX_EARLY_RELEASES {
        releases.insert(NOW + Duration::from_micros(n as u64), sid(n), process(1), None, CAUSE);
    }
    let later = NOW + Duration::from_secs(1);
    assert_eq!(releases.take(later, &sid(0), process(1)), None);
    assert_eq!(releases.take(later, &sid(1), process(1)), Some(CAUSE));
    assert_eq!(releases.take(later, &sid(MAX_EARLY_RELEASES), process(1)), Some(CAUSE));
}
