//! When the command channel is asked again: by one session manager, and by a fleet that lost one channel.

use cloverhollow_platform::backoff::{Backoff, MAX_DELAY};
use std::time::Duration;

const NONE: Duration = Duration::ZERO;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How many of them fall into each eighth of the span.
fn spread(waits: &[Duration], span: Duration) -> [usize; 8] {
    let mut out = [0; 8];
    for wait in waits {
        assert!(*wait < span, "{wait:?} of {span:?}");
        out[(wait.as_secs_f64() / span.as_secs_f64() * 8.0) as usize] += 1;
    }
    out
}

#[test]
fn a_fleet_that_lost_one_channel_comes_back_spread_over_the_whole_wait() {
    let mut fleet: Vec<_> = (0..300).map(|n| Backoff::new(0x8c1f_30d2 + n)).collect();
    for span in [200, 400, 800, 800] {
        let waits: Vec<_> = fleet.iter_mut().map(|b| b.next_delay(NONE, false)).collect();
        let by_eighth = spread(&waits, ms(span));
        // 37.5 on the mean, with a deviation of 5.7.
        assert!(by_eighth.iter().all(|n| (15..=60).contains(n)), "{span} ms: {by_eighth:?}");
    }
}

#[test]
fn only_what_was_of_use_or_lasted_brings_the_first_wait_back() {
    let longest = |useful, lasted| {
        // Of many, each asked in vain three times before: the bound of the next wait.
        let after = |seed| {
            let mut b = Backoff::new(seed);
            (0..3).for_each(|_| _ = b.next_delay(NONE, false));
            b.next_delay(lasted, useful)
        };
        (0..300).map(after).max().unwrap()
    };
    assert!(longest(false, NONE) > ms(700), "in vain");
    assert!(longest(false, MAX_DELAY - ms(1)) > ms(700), "in vain, and soon over");
    assert!(longest(true, NONE) < ms(200), "an event was taken");
    assert!(longest(false, MAX_DELAY) < ms(200), "it lasted");
    assert!(longest(false, NONE) <= MAX_DELAY);
}

#[test]
fn the_same_seed_waits_alike() {
    let waits = |seed| {
        let mut b = Backoff::new(seed);
        [(); 5].map(|()| b.next_delay(NONE, false))
    };
    assert_eq!(waits(7), waits(7));
    assert_ne!(waits(7), waits(8));
}
