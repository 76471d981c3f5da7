//! Property tests over whole fleets: no window at a cold server holds more set-ups than the limit.

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

    /// The limit holds for any size of fleet and server, any margin, and any delay of set-ups, since time
    /// slots are not drawn at random. The server also gets set-ups.
    #[test]
    fn windows_stay_within_the_limit(
        fronts in prop_oneof![2usize..12, 12usize..60, 60usize..=300],
        streams in 5u32..120,
        margin in prop_oneof![Just((1.0, 0.0)), Just((0.0, 0.0)), Just((2.0, 2.0)), Just((3.0, 3.0))],
        delays in prop::collection::vec(0u64..250, 64),
    ) {
        let mut set = settings();
        (set.front_count, set.max_streams_by_kind) = (fronts, vec![f64::from(streams)]);
        (set.rules.overload_margin, set.rules.overload_margin_root) = margin;
        let mut arrivals = Vec::new();
        for front in 0..fronts {
            let mut policy = policy_with_cold_servers(&set, Some(front), front as u64, 1);
            let times = (0..64).map(|i| 125 * i + (front as u64 * 37 + i * 11) % 125);
            let sent = saturate(&mut policy, times);
            arrivals.extend(sent.iter().map(|t| t + delays[(front + *t as usize) % delays.len()]));
        }
        let limit = overload_limit(&set);
        prop_assert!(
            max_per_window(arrivals.clone()) as f64 <= limit,
            "{} in a window of {limit}",
            max_per_window(arrivals)
        );
        prop_assert!(limit < 1.0 || fronts > 60 || !arrivals.is_empty(), "the server gets no set-ups");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default()
    })]

    /// The platform's limit, N + 2 x root of N + 2, holds while each front learns of the server's start at
    /// another time, while fronts restart at any time, and while set-ups are delayed.
    #[test]
    fn windows_stay_within_the_limit_while_fronts_restart_and_lists_are_late(
        fronts in prop_oneof![2usize..20, 20usize..=30, 60usize..=300],
        streams in 5u32..400,
        incarnations in prop::collection::vec((0u64..4000, 0u64..2000), 64),
        delays in prop::collection::vec(0u64..250, 64),
    ) {
        let mut set = settings();
        (set.front_count, set.max_streams_by_kind) = (fronts, vec![f64::from(streams)]);
        (set.rules.overload_margin, set.rules.overload_margin_root) = (2.0, 2.0);
        let n = 2.0 * f64::from(streams) / 10.0 * 0.4;
        let mut arrivals = Vec::new();
        for front in 0..fronts {
            let (mut killed_at, listed_at) = incarnations[front % incarnations.len()];
            let start = |at: u64| {
                let mut policy = SessionPolicy::new(Settings { front_index: Some(front), ..set.clone() }, at);
                let last_setup_age = Some(Duration::ZERO);
                let history = RecoveredHistory {
                    complete_for: Duration::MAX,
                    last_setup_age,
                    ..RecoveredHistory::default()
                };
                policy.step(START + ms(at), &[Event::RecoveredHistory(history)]);
                policy
            };
            let mut policy = start(0);
            let mut listed = false;
            for i in 0..64 {
                let time = 125 * i + (front as u64 * 37 + i * 11) % 125;
                if time > killed_at {
                    killed_at += 150 + incarnations[(front + i as usize) % incarnations.len()].1;
                    (policy, listed) = (start(time), false);
                }
                if time >= listed_at && !std::mem::replace(&mut listed, true) {
                    let cold = ListEntry { started_at: START, shared_key: 7919, ..entry(1) };
                    policy.step(START + ms(time), &[Event::ListUpdate(ListMode::Stale, vec![cold])]);
                }
                let sent = saturate(&mut policy, std::iter::once(time));
                arrivals.extend(sent.iter().map(|t| t + delays[(front + *t as usize) % delays.len()]));
            }
        }
        let limit = n + 2.0 * n.sqrt() + 2.0;
        prop_assert!(
            max_per_window(arrivals.clone()) as f64 <= limit,
            "{} in a window of {limit}",
            max_per_window(arrivals)
        );
        prop_assert!(fronts > 60 || !arrivals.is_empty(), "the server gets no set-ups");
    }
}
