//! Properties of the lattice, over random observations of a fixed seed: the join is associative, commutative and
//! idempotent, and stores that merge the same messages in any order converge.

use cloverhollow_knowledge::observations::*;
use cloverhollow_knowledge::{KnowledgeLevel, KnowledgeStore};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::Duration;

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

fn provenance() -> impl Strategy<Value = Provenance> {
    // Few distinct values, so that ties are common.
    (0u64..4, 0u64..3, 0u64..4, 0u8..3).prop_map(|(at, instance, seq, hops)| Provenance {
        observed_at: Duration::from_secs(100 + at),
        origin: Origin { observer: Observer { instance, incarnation: 1 }, seq },
        hops,
    })
}

fn status() -> impl Strategy<Value = ServerStatus> {
    prop_oneof![Just(ServerStatus::Serving), Just(ServerStatus::Draining), Just(ServerStatus::Removed)]
}

fn versioned<T: std::fmt::Debug>(
    value: impl Strategy<Value = T>,
) -> impl Strategy<Value = Option<Versioned<T>>> {
    proptest::option::of(
        (value, provenance()).prop_map(|(value, provenance)| Versioned { value, provenance }),
    )
}

fn observations() -> impl Strategy<Value = ServerObservations> {
    let reading = || versioned((0u32..4).prop_map(Reading));
    (
        versioned((0u64..3, status()).prop_map(|(version, status)| ListedState { version, status })),
        versioned(
            (0u64..3, proptest::option::of(0u32..3000))
                .prop_map(|(incarnation, uptime_ms)| ProcessStart { incarnation, uptime_ms }),
        ),
        versioned((0u64..3, 0u32..3, any::<bool>()).prop_map(
            |(incarnation, consecutive_failures, may_have_restarted)| Health {
                incarnation,
                consecutive_failures,
                may_have_restarted,
            },
        )),
        reading(),
        reading(),
        reading(),
    )
        .prop_map(|(state, start, health, link_load, uplink_load, delivered_share)| ServerObservations {
            state,
            start,
            health,
            link_load,
            uplink_load,
            delivered_share,
        })
}

fn joined(a: ServerObservations, b: ServerObservations) -> ServerObservations {
    let mut out = a;
    out.join(&b);
    out
}

#[test]
fn join_is_associative_commutative_and_idempotent() {
    runner(20_000)
        .run(&(observations(), observations(), observations()), |(a, b, c)| {
            prop_assert_eq!(joined(joined(a, b), c), joined(a, joined(b, c)));
            prop_assert_eq!(joined(a, b), joined(b, a));
            prop_assert_eq!(joined(a, a), a);
            let mut twice = joined(a, b);
            prop_assert!(!twice.join(&b), "joining an observation again changes nothing");
            Ok(())
        })
        .unwrap();
}

#[test]
fn newer_version_or_incarnation_wins_regardless_of_age() {
    runner(5_000)
        .run(&(observations(), observations()), |(a, b)| {
            let both = joined(a, b);
            for observations in [a, b] {
                if let (Some(input), Some(result)) = (observations.state, both.state) {
                    prop_assert!(result.value >= input.value, "an older state never overrides a drain");
                }
                if let (Some(input), Some(result)) = (observations.start, both.start) {
                    prop_assert!(result.value.incarnation >= input.value.incarnation);
                }
                if let (Some(input), Some(result)) = (observations.link_load, both.link_load) {
                    prop_assert!(result.provenance.observed_at >= input.provenance.observed_at);
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn stores_converge_in_any_order_of_messages() {
    let now = Duration::from_secs(200);
    let order = Just(vec![0usize, 1, 2, 3, 4, 5]).prop_shuffle();
    let loads = proptest::collection::vec((0u64..4, 0u64..3, 0u64..100), 6..7);
    runner(300)
        .run(&(loads, order), |(loads, order)| {
            // Three senders make two observations each; a receiver merges the six messages in some order.
            let mut senders: Vec<KnowledgeStore> = (1..=3).map(store).collect();
            let mut messages = Vec::new();
            for (i, (server, _, load)) in loads.iter().enumerate() {
                let at = Duration::from_secs(180 + i as u64);
                senders[i % 3].record_load(at, *server, Some(*load as f64 / 100.0), None, None);
                messages.push(senders[i % 3].view().message(now, 5, None, KnowledgeLevel::Warm, Vec::new()));
            }
            let merge_in_order = |order: &[usize]| {
                let mut receiver = store(9);
                for i in order {
                    let _ = receiver.merge(now, now, 5, &messages[*i]);
                }
                (0..4)
                    .map(|s| {
                        receiver
                            .peer_observations(now, s)
                            .link_load
                            .map(|p| (p.value, p.provenance.observed_at))
                    })
                    .collect::<Vec<_>>()
            };
            prop_assert_eq!(merge_in_order(&order), merge_in_order(&[0, 1, 2, 3, 4, 5]));
            Ok(())
        })
        .unwrap();
}

fn store(instance: u64) -> KnowledgeStore {
    KnowledgeStore::new(Observer { instance, incarnation: 1 }, 42, Duration::from_secs(30))
}
