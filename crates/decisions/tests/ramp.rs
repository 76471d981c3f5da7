//! Rule 4 over the whole fleet, drawn: no window at a cold server holds more than the line.

mod common;

use cloverhollow::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24, failure_persistence: None, rng_seed: RngSeed::Fixed(4), ..ProptestConfig::default()
    })]

    /// No window is over, whatever the fleet's size, the server's, the slack, and how late set-ups come: no drawing of
    /// lots, so no bad luck. And it is used.
    #[test]
    fn no_window_goes_over(
        fronts in prop_oneof![2usize..12, 12usize..60, 60usize..=300],
        streams in 5u32..120,
        slack in prop_oneof![Just((1.0, 0.0)), Just((0.0, 0.0)), Just((2.0, 2.0)), Just((3.0, 3.0))],
        late in prop::collection::vec(0u64..250, 64),
    ) {
        let mut set = settings();
        (set.fronts, set.streams_by_kind) = (fronts, vec![f64::from(streams)]);
        (set.rules.fall_free, set.rules.fall_root) = slack;
        let mut came = Vec::new();
        for front in 0..fronts {
            let mut brain = cold_front(&set, Some(front), front as u64, 1);
            let times = (0..64).map(|i| 125 * i + (front as u64 * 37 + i * 11) % 125);
            let sent = all_it_may(&mut brain, times);
            came.extend(sent.iter().map(|t| t + late[(front + *t as usize) % late.len()]));
        }
        let line = line(&set);
        prop_assert!(fullest(came.clone()) as f64 <= line, "{} in a window of {line}", fullest(came));
        prop_assert!(line < 1.0 || fronts > 60 || !came.is_empty(), "never used");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default()
    })]

    /// The platform's line, in its own words: N + 2 x root of N + 2. It holds while fronts are told late of the start,
    /// each at a time of its own, while they die and start anew at any time, and while set-ups come late.
    #[test]
    fn no_window_goes_over_while_fronts_restart_and_are_told_late(
        fronts in prop_oneof![2usize..20, 20usize..=30, 60usize..=300],
        streams in 5u32..400,
        lives in prop::collection::vec((0u64..4000, 0u64..2000), 64),
        late in prop::collection::vec(0u64..250, 64),
    ) {
        let mut set = settings();
        (set.fronts, set.streams_by_kind) = (fronts, vec![f64::from(streams)]);
        (set.rules.fall_free, set.rules.fall_root) = (2.0, 2.0);
        let n = 2.0 * f64::from(streams) / 10.0 * 0.4;
        let mut came = Vec::new();
        for front in 0..fronts {
            let (mut died, told) = lives[front % lives.len()];
            let start = |life: u64| {
                let mut brain = Brain::new(Settings { number: Some(front), ..set.clone() }, life);
                let ran = Some(Duration::ZERO);
                let before = Before { known: Duration::MAX, ran, ..Before::default() };
                brain.step(START + ms(life), &[Event::Before(before)]);
                brain
            };
            let mut brain = start(0);
            let mut listed = false;
            for i in 0..64 {
                let k = 125 * i + (front as u64 * 37 + i * 11) % 125;
                if k > died {
                    died += 150 + lives[(front + i as usize) % lives.len()].1;
                    (brain, listed) = (start(k), false);
                }
                if k >= told && !std::mem::replace(&mut listed, true) {
                    let cold = Entry { started: START, key: 7919, ..entry(1) };
                    brain.step(START + ms(k), &[Event::List(ListMode::Stale, vec![cold])]);
                }
                let sent = all_it_may(&mut brain, std::iter::once(k));
                came.extend(sent.iter().map(|t| t + late[(front + *t as usize) % late.len()]));
            }
        }
        let line = n + 2.0 * n.sqrt() + 2.0;
        prop_assert!(fullest(came.clone()) as f64 <= line, "{} in a window of {line}", fullest(came));
        prop_assert!(fronts > 60 || !came.is_empty(), "never used");
    }
}
