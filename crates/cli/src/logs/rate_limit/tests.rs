//! Which lines of a call site are written.

use super::*;

const NOISY: &str = "noisy";
const QUIET: &str = "quiet";

/// Logs `count` lines at one instant and returns how many are written.
fn count_written(rate_limit: &mut RateLimit<&'static str>, now: Instant, count: u64) -> u64 {
    let admitted = (0..count).filter(|_| rate_limit.admit(NOISY, now) != Admission::Suppress);
    admitted.count() as u64
}

#[test]
fn lines_beyond_the_share_of_a_call_site_are_suppressed_and_counted_in_the_next_window() {
    let (mut rate_limit, start) = (RateLimit::new(), Instant::now());
    assert_eq!(count_written(&mut rate_limit, start, MAX_LINES_PER_WINDOW + 70), MAX_LINES_PER_WINDOW);
    assert_eq!(rate_limit.admit(QUIET, start), Admission::Write { suppressed: 0 }, "another call site");
    let just_before = start + WINDOW - Duration::from_millis(1);
    assert_eq!(rate_limit.admit(NOISY, just_before), Admission::Suppress);
    assert_eq!(rate_limit.admit(NOISY, start + WINDOW), Admission::Write { suppressed: 71 });
    assert_eq!(rate_limit.admit(NOISY, start + WINDOW), Admission::Write { suppressed: 0 }, "told once");
}

#[test]
fn the_share_of_a_call_site_is_written_in_each_window() {
    let (mut rate_limit, start) = (RateLimit::new(), Instant::now());
    for n in 0..3 {
        let now = start + WINDOW * n;
        assert_eq!(count_written(&mut rate_limit, now, MAX_LINES_PER_WINDOW), MAX_LINES_PER_WINDOW);
        assert_eq!(rate_limit.admit(QUIET, now), Admission::Write { suppressed: 0 });
    }
}
