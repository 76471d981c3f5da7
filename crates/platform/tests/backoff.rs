//! Back-off before the command channel is requested again, for one session manager and for a fleet that lost its
//! channel.

use cloverhollow_platform::backoff::{Backoff, MAX_DELAY};
use std::time::Duration;

const NONE: Duration = Duration::ZERO;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Number of delays in each eighth of the span.
fn histogram(delays: &[Duration], span: Duration) -> [usize; 8] {
    let mut counts = [0; 8];
    for delay in delays {
        assert!(*delay < span, "{delay:?} of {span:?}");
        counts[(delay.as_secs_f64() / span.as_secs_f64() * 8.0) as usize] += 1;
    }
    counts
}

#[test]
fn a_fleet_reconnects_spread_over_the_whole_back_off() {
    let mut fleet: Vec<_> = (0..300).map(|n| Backoff::new(0x8c1f_30d2 + n)).collect();
    for span in [200, 400, 800, 800] {
        let delays: Vec<_> = fleet.iter_mut().map(|b| b.next_delay(NONE, false)).collect();
        let by_eighth = histogram(&delays, ms(span));
        // The expected count is 37.5, with a standard deviation of 5.7.
        assert!(by_eighth.iter().all(|n| (15..=60).contains(n)), "{span} ms: {by_eighth:?}");
    }
}

#[test]
fn only_a_useful_or_long_stream_resets_the_back_off() {
    let longest = |useful, lasted| {
        // The longest of many delays, each after three useless streams, approximates the bound.
        let delay = |seed| {
            let mut b = Backoff::new(seed);
            (0..3).for_each(|_| _ = b.next_delay(NONE, false));
            b.next_delay(lasted, useful)
        };
        (0..300).map(delay).max().unwrap()
    };
    assert!(longest(false, NONE) > ms(700), "useless");
    assert!(longest(false, MAX_DELAY - ms(1)) > ms(700), "useless and too short");
    assert!(longest(true, NONE) < ms(200), "an event was applied");
    assert!(longest(false, MAX_DELAY) < ms(200), "the stream lasted");
    assert!(longest(false, NONE) <= MAX_DELAY);
}

#[test]
fn delays_depend_only_on_the_seed() {
    let delays = |seed| {
        let mut b = Backoff::new(seed);
        [(); 5].map(|()| b.next_delay(NONE, false))
    };
    assert_eq!(delays(7), delays(7));
    assert_ne!(delays(7), delays(8));
}
