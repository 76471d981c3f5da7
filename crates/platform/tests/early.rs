//! Releases that come before their sessions stand.

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

fn kept() -> EarlyReleases {
    let mut early = EarlyReleases::default();
    early.insert(NOW, "a".into(), process(1), Some(attempt(0)), CAUSE);
    early
}

#[test]
fn one_counts_once_for_the_process_that_said_it_and_for_so_long() {
    assert_eq!(kept().take(NOW, "a", process(1)), Some(CAUSE));
    assert_eq!(kept().take(NOW, "b", process(1)), None);
    assert_eq!(kept().take(NOW, "a", process(2)), None, "another process");
    assert_eq!(kept().take(NOW + RETENTION, "a", process(1)), None, "too old");
    let mut early = kept();
    early.take(NOW, "a", process(1));
    assert_eq!(early.take(NOW, "a", process(1)), None, "once");
}

#[test]
fn one_of_an_attempt_that_failed_does_not_end_the_session_of_the_next() {
    let mut early = kept();
    early.attempt_ended(attempt(1));
    early.attempt_ended(attempt(0));
    assert_eq!(early.take(NOW, "a", process(1)), None);
}

#[test]
fn past_the_bound_the_oldest_goes() {
    let mut early = EarlyReleases::default();
    let sid = |n: usize| SessionId::from(format!("{n:016x}"));
    for n in 0..=MAX_EARLY_RELEASES {
        early.insert(NOW + Duration::from_micros(n as u64), sid(n), process(1), None, CAUSE);
    }
    let later = NOW + Duration::from_secs(1);
    assert_eq!(early.take(later, &sid(0), process(1)), None);
    assert_eq!(early.take(later, &sid(1), process(1)), Some(CAUSE));
    assert_eq!(early.take(later, &sid(MAX_EARLY_RELEASES), process(1)), Some(CAUSE));
}
