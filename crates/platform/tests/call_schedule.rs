//! Calls at a command channel that is slow, silent, refuses some of them, or comes back.

use cloverhollow_platform::backoff::MAX_DELAY;
use cloverhollow_platform::call_schedule::{
    CallSchedule, MAX_OPEN_CALLS, MAX_PATIENCE, MIN_PATIENCE, SILENCE_JITTER, SILENCE_TIMEOUT,
};
use std::time::Duration;

/// Makes the next call when it is due; returns its number and its time.
fn next_call(schedule: &mut CallSchedule) -> (u64, Duration) {
    let at = schedule.next_call_at();
    (schedule.call(at), at)
}

#[test]
fn the_oldest_call_stays_open_while_later_ones_are_replaced() {
    let mut schedule = CallSchedule::new(7);
    let calls: Vec<_> = (0..10).map(|_| next_call(&mut schedule)).collect();
    assert_eq!(schedule.open_calls(), MAX_OPEN_CALLS);
    assert!(schedule.is_open(calls[0].0) && schedule.is_open(calls[8].0) && schedule.is_open(calls[9].0));
    let gaps: Vec<_> = calls.windows(2).map(|pair| pair[1].1 - pair[0].1).collect();
    assert!(gaps[0] >= MIN_PATIENCE && gaps[0] <= MIN_PATIENCE * 5 / 4, "{gaps:?}");
    assert!(gaps[3..].iter().all(|gap| *gap >= MAX_PATIENCE && *gap <= MAX_PATIENCE * 5 / 4), "{gaps:?}");
}

/// A channel that took 1.5 s is given 3 s the next time, so that it is not called twice each time.
#[test]
fn a_slow_channel_is_given_more_time_by_the_next_call() {
    let mut schedule = CallSchedule::new(7);
    let (number, at) = next_call(&mut schedule);
    let answered_at = at + Duration::from_millis(1_500);
    schedule.answered(answered_at, number);
    schedule.received(answered_at, number, true);
    assert!(schedule.next_call_at() >= answered_at + SILENCE_TIMEOUT);
    assert!(schedule.next_call_at() <= answered_at + SILENCE_TIMEOUT + SILENCE_JITTER);
    schedule.ended(answered_at, number, true);
    let (_, at) = next_call(&mut schedule);
    assert!(schedule.next_call_at() >= at + Duration::from_secs(3));
}

/// The channel refuses the second call while the first one waits: the third one does not come sooner. With no call waiting,
/// it comes after the back-off.
#[test]
fn a_refused_call_is_repeated_soon_only_if_no_other_waits_for_its_response() {
    let mut schedule = CallSchedule::new(7);
    let (first, _) = next_call(&mut schedule);
    let (second, at) = next_call(&mut schedule);
    let due = schedule.next_call_at();
    schedule.ended(at, second, false);
    assert_eq!(schedule.next_call_at(), due);
    schedule.ended(at, first, false);
    assert!(schedule.next_call_at() <= at + MAX_DELAY);
}

/// A crowded channel that refuses each call after 2 s is called after growing delays, as if it refused at once.
#[test]
fn waiting_for_a_refusal_does_not_reset_the_back_off() {
    let longest_delay = |seed| {
        let mut schedule = CallSchedule::new(seed);
        let delays = (0..8).map(|_| {
            let (number, at) = next_call(&mut schedule);
            let refused_at = at + Duration::from_secs(2);
            schedule.ended(refused_at, number, false);
            schedule.next_call_at() - refused_at
        });
        delays.max().unwrap()
    };
    assert!((0..50).map(longest_delay).all(|delay| delay > MAX_DELAY / 4 && delay <= MAX_DELAY));
}
