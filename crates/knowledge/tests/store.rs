//! Knowledge received from peers: age, hops, conflicting observations, restarts, deltas and snapshots.

use cloverhollow_knowledge::observations::*;
use cloverhollow_knowledge::wire::Message;
use cloverhollow_knowledge::*;
use std::time::Duration;

const HORIZON: Duration = Duration::from_secs(30);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn store(instance: u64) -> KnowledgeStore {
    KnowledgeStore::new(Observer { instance, incarnation: 1 }, 42, HORIZON)
}

fn full_message(from: &KnowledgeStore, now: Duration) -> Message {
    from.view().message(now, 7, None, KnowledgeLevel::Warm, Vec::new())
}

/// Sends all of `from`'s knowledge to `to`; both use the same clock.
fn transfer(from: &KnowledgeStore, to: &mut KnowledgeStore, now: Duration) -> MergeOutcome {
    to.merge(now, now, 7, &full_message(from, now)).unwrap()
}

fn serving(version: u64) -> ListedState {
    ListedState { version, status: ServerStatus::Serving }
}

fn draining(version: u64) -> ListedState {
    ListedState { version, status: ServerStatus::Draining }
}

#[test]
fn readings_are_sent_with_their_age_and_expire_at_the_horizon() {
    let (mut a, mut b) = (store(1), store(2));
    a.record_load(secs(100), 5, Some(0.8), Some(0.4), None);
    // The receiver's clock differs widely from the sender's: only the age counts.
    let message = full_message(&a, secs(110));
    let updates = b.merge(secs(9_000), secs(9_000), 7, &message).unwrap().updates;
    let link_load = updates[0].observations.link_load.unwrap();
    assert_eq!(
        (link_load.value.ratio(), link_load.provenance.age(secs(9_000)), link_load.provenance.hops),
        (0.8, secs(10), 1)
    );
    assert!((link_load.provenance.confidence(secs(9_000), HORIZON) - 2.0 / 3.0).abs() < 1e-9);
    assert!(b.peer_observations(secs(9_019), 5).link_load.is_some());
    assert!(b.peer_observations(secs(9_020), 5).link_load.is_none(), "past the horizon");
}

#[test]
fn slow_answers_make_observations_older_never_younger() {
    let (mut a, mut b) = (store(1), store(2));
    a.record_load(secs(100), 5, Some(0.8), None, None);
    let message = full_message(&a, secs(100));
    let updates = b.merge(secs(204), secs(200), 7, &message).unwrap().updates; // requested at 200, answered at 204
    assert_eq!(updates[0].observations.link_load.unwrap().provenance.age(secs(204)), secs(4));
}

#[test]
fn observations_keep_their_original_age_and_stop_at_the_hop_limit() {
    let mut stores: Vec<KnowledgeStore> = (1..=8).map(store).collect();
    stores[0].record_load(secs(100), 5, Some(0.8), None, None);
    let mut reached = 0;
    for i in 0..7 {
        let now = secs(102 + i as u64 * 2);
        let message = full_message(&stores[i], now);
        stores[i + 1].merge(now, now, 7, &message).unwrap();
        if let Some(p) = stores[i + 1].peer_observations(now, 5).link_load {
            assert_eq!(
                p.provenance.age(now),
                now - secs(100),
                "the age counts from the original observation"
            );
            reached = i + 1;
        }
    }
    assert_eq!(reached, usize::from(MAX_HOPS), "an observation stops at the hop limit");
    // Exchanged repeatedly between two fronts that have it, the observation still expires at its horizon.
    for now in (110..140).map(secs) {
        let message = full_message(&stores[1], now);
        let _ = stores[2].merge(now, now, 7, &message);
        let message = full_message(&stores[2], now);
        let _ = stores[1].merge(now, now, 7, &message);
    }
    assert!(
        stores[1].peer_observations(secs(131), 5).link_load.is_none()
            && stores[2].peer_observations(secs(131), 5).link_load.is_none()
    );
}

#[test]
fn newer_drain_overrides_older_serving_state_in_any_order_of_arrival() {
    for flip in [false, true] {
        let (mut stale, mut fresh, mut new) = (store(1), store(2), store(3));
        stale.record_state(secs(100), 5, serving(40)); // no discovery updates since then
        fresh.record_state(secs(125), 5, draining(41));
        new.record_state(secs(130), 5, serving(39)); // the persisted list
        let now = secs(130);
        let (first, second) = if flip { (&stale, &fresh) } else { (&fresh, &stale) };
        transfer(first, &mut new, now);
        transfer(second, &mut new, now);
        assert_eq!(new.peer_observations(now, 5).state.unwrap().value, draining(41));
        // Its own list is newer: the peers' states no longer apply.
        new.record_state(secs(131), 5, serving(42));
        assert!(new.peer_observations(secs(131), 5).state.is_none());
    }
}

#[test]
fn more_careful_state_wins_within_one_list_version() {
    let (mut a, mut b, mut new) = (store(1), store(2), store(3));
    a.record_state(secs(100), 5, serving(41));
    b.record_state(secs(90), 5, draining(41));
    transfer(&a, &mut new, secs(101));
    transfer(&b, &mut new, secs(101));
    assert_eq!(new.peer_observations(secs(101), 5).state.unwrap().value, draining(41));
}

#[test]
fn later_reading_wins_for_links_and_uplinks() {
    let (mut a, mut b, mut new) = (store(1), store(2), store(3));
    a.record_load(secs(100), 5, Some(0.9), Some(0.2), None);
    b.record_load(secs(98), 5, None, Some(0.7), None);
    b.record_load(secs(104), 5, Some(0.3), None, None);
    transfer(&a, &mut new, secs(105));
    transfer(&b, &mut new, secs(105));
    let observations = new.peer_observations(secs(105), 5);
    assert_eq!(
        (observations.link_load.unwrap().value.ratio(), observations.uplink_load.unwrap().value.ratio()),
        (0.3, 0.2)
    );
}

#[test]
fn own_observations_take_precedence_until_they_expire() {
    let (mut a, mut new) = (store(1), store(3));
    new.record_load(secs(100), 5, Some(0.1), None, None);
    new.record_outcome(secs(100), 5, true, false);
    a.record_load(secs(110), 5, Some(0.9), Some(0.5), None);
    a.record_outcome(secs(110), 5, false, true);
    let updates = transfer(&a, &mut new, secs(111)).updates;
    assert_eq!(updates.len(), 1);
    let observations = updates[0].observations;
    assert!(
        observations.link_load.is_none() && observations.health.is_none(),
        "the front has its own observations"
    );
    assert_eq!(
        observations.uplink_load.unwrap().value.ratio(),
        0.5,
        "the front has no observation of the uplink"
    );
    // Its own observation has expired.
    assert!(new.peer_observations(secs(131), 5).link_load.is_some());
}

#[test]
fn server_restart_discards_health_and_load_of_the_earlier_incarnation() {
    let (mut old, mut fresh, mut new) = (store(1), store(2), store(3));
    old.record_start(secs(90), 5, ProcessStart { incarnation: 1, uptime_ms: None });
    old.record_outcome(secs(100), 5, false, true);
    old.record_load(secs(100), 5, Some(2.0), None, None);
    fresh.record_start(secs(110), 5, ProcessStart { incarnation: 2, uptime_ms: Some(500) });
    transfer(&old, &mut new, secs(112));
    assert!(new.peer_observations(secs(112), 5).health.is_some());
    transfer(&fresh, &mut new, secs(112));
    let observations = new.peer_observations(secs(112), 5);
    assert_eq!(observations.start.unwrap().value.incarnation, 2);
    assert!(
        observations.health.is_none() && observations.link_load.is_none(),
        "observed of the earlier incarnation: {observations:?}"
    );
    // The same happens when a front's own list reports the start.
    old.record_start(secs(113), 5, ProcessStart { incarnation: 2, uptime_ms: Some(3000) });
    assert!(old.view().message(secs(113), 0, None, KnowledgeLevel::Warm, vec![]).servers.len() == 1);
    transfer(&old, &mut fresh, secs(113));
    assert!(fresh.peer_observations(secs(113), 5).health.is_none());
}

#[test]
fn deltas_contain_only_changed_servers() {
    let (mut a, mut b) = (store(1), store(2));
    for server in 0..10 {
        a.record_load(secs(100), server, Some(0.5), None, None);
    }
    transfer(&a, &mut b, secs(100));
    let seq = a.view().seq();
    a.record_load(secs(101), 3, Some(0.6), None, None);
    let delta = a.view().message(secs(101), 7, Some(seq), KnowledgeLevel::Warm, vec![]);
    assert_eq!(delta.servers.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [3]);
    b.merge(secs(101), secs(101), 7, &delta).unwrap();
    assert_eq!(b.peer_observations(secs(101), 3).link_load.unwrap().value.ratio(), 0.6);
    assert_eq!(b.peer_observations(secs(101), 4).link_load.unwrap().value.ratio(), 0.5);
}

#[test]
fn snapshots_are_independent_of_later_changes() {
    let mut a = store(1);
    for server in 0..10_000 {
        a.record_load(secs(100), server, Some(0.5), None, None);
    }
    let before = a.view();
    a.record_load(secs(101), 3, Some(0.9), None, None);
    let server_count =
        |view: &KnowledgeView| view.message(secs(101), 0, None, KnowledgeLevel::Warm, vec![]).servers.len();
    assert_eq!((server_count(&before), server_count(&a.view())), (10_000, 10_000));
    assert_ne!(before.seq(), a.view().seq());
}
