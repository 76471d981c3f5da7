//! Each hard case of hearsay, caused.

use cloverhollow_knowledge::observations::*;
use cloverhollow_knowledge::wire::{Message, MessageError};
use cloverhollow_knowledge::*;
use std::time::Duration;

const HORIZON: Duration = Duration::from_secs(30);

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn book(instance: u64) -> KnowledgeStore {
    KnowledgeStore::new(Observer { instance, incarnation: 1 }, 42, HORIZON)
}

fn tell(from: &KnowledgeStore, now: Duration) -> Message {
    from.view().message(now, 7, None, KnowledgeLevel::Warm, Vec::new())
}

/// Passes all that `from` knows to `to`; both clocks say the same here.
fn pass(from: &KnowledgeStore, to: &mut KnowledgeStore, now: Duration) -> MergeOutcome {
    to.merge(now, now, 7, &tell(from, now)).unwrap()
}

fn serving(version: u64) -> ListedState {
    ListedState { version, status: ServerStatus::Serving }
}

fn draining(version: u64) -> ListedState {
    ListedState { version, status: ServerStatus::Draining }
}

#[test]
fn a_reading_travels_with_its_age_and_fades() {
    let (mut a, mut b) = (book(1), book(2));
    a.record_load(s(100), 5, Some(0.8), Some(0.4), None);
    // b's clock says something else altogether: only the age counts.
    let m = tell(&a, s(110));
    let updates = b.merge(s(9_000), s(9_000), 7, &m).unwrap().updates;
    let link_load = updates[0].observations.link_load.unwrap();
    assert_eq!(
        (link_load.value.ratio(), link_load.provenance.age(s(9_000)), link_load.provenance.hops),
        (0.8, s(10), 1)
    );
    assert!((link_load.provenance.confidence(s(9_000), HORIZON) - 2.0 / 3.0).abs() < 1e-9);
    assert!(b.peer_observations(s(9_019), 5).link_load.is_some());
    assert!(b.peer_observations(s(9_020), 5).link_load.is_none(), "past the horizon");
}

#[test]
fn a_slow_answer_makes_pieces_older_never_younger() {
    let (mut a, mut b) = (book(1), book(2));
    a.record_load(s(100), 5, Some(0.8), None, None);
    let m = tell(&a, s(100));
    let updates = b.merge(s(204), s(200), 7, &m).unwrap().updates; // asked at 200, answered at 204
    assert_eq!(updates[0].observations.link_load.unwrap().provenance.age(s(204)), s(4));
}

#[test]
fn hearsay_never_outlives_its_origin_over_any_number_of_fronts() {
    let mut books: Vec<KnowledgeStore> = (1..=8).map(book).collect();
    books[0].record_load(s(100), 5, Some(0.8), None, None);
    let mut reached = 0;
    for i in 0..7 {
        let now = s(102 + i as u64 * 2);
        let m = tell(&books[i], now);
        books[i + 1].merge(now, now, 7, &m).unwrap();
        if let Some(p) = books[i + 1].peer_observations(now, 5).link_load {
            assert_eq!(p.provenance.age(now), now - s(100), "as old as at its origin");
            reached = i + 1;
        }
    }
    assert_eq!(reached, usize::from(MAX_HOPS), "and comes only so far");
    // Told round and round among those who have it, it still ends at its horizon.
    for now in (110..140).map(s) {
        let m = tell(&books[1], now);
        let _ = books[2].merge(now, now, 7, &m);
        let m = tell(&books[2], now);
        let _ = books[1].merge(now, now, 7, &m);
    }
    assert!(
        books[1].peer_observations(s(131), 5).link_load.is_none()
            && books[2].peer_observations(s(131), 5).link_load.is_none()
    );
}

#[test]
fn a_drain_goes_before_an_older_rumour_of_serving_whichever_comes_first() {
    for flip in [false, true] {
        let (mut stale, mut fresh, mut new) = (book(1), book(2), book(3));
        stale.record_state(s(100), 5, serving(40)); // its discovery has been away since
        fresh.record_state(s(125), 5, draining(41));
        new.record_state(s(130), 5, serving(39)); // the last list
        let now = s(130);
        let (one, two) = if flip { (&stale, &fresh) } else { (&fresh, &stale) };
        pass(one, &mut new, now);
        pass(two, &mut new, now);
        assert_eq!(new.peer_observations(now, 5).state.unwrap().value, draining(41));
        // Its own list says it newer: nothing more is heard.
        new.record_state(s(131), 5, serving(42));
        assert!(new.peer_observations(s(131), 5).state.is_none());
    }
}

#[test]
fn of_two_words_on_one_version_the_more_careful_counts() {
    let (mut a, mut b, mut new) = (book(1), book(2), book(3));
    a.record_state(s(100), 5, serving(41));
    b.record_state(s(90), 5, draining(41));
    pass(&a, &mut new, s(101));
    pass(&b, &mut new, s(101));
    assert_eq!(new.peer_observations(s(101), 5).state.unwrap().value, draining(41));
}

#[test]
fn of_two_readings_the_later_counts_and_of_two_uplinks_too() {
    let (mut a, mut b, mut new) = (book(1), book(2), book(3));
    a.record_load(s(100), 5, Some(0.9), Some(0.2), None);
    b.record_load(s(98), 5, None, Some(0.7), None);
    b.record_load(s(104), 5, Some(0.3), None, None);
    pass(&a, &mut new, s(105));
    pass(&b, &mut new, s(105));
    let f = new.peer_observations(s(105), 5);
    assert_eq!((f.link_load.unwrap().value.ratio(), f.uplink_load.unwrap().value.ratio()), (0.3, 0.2));
}

#[test]
fn what_the_front_heard_itself_goes_before_all() {
    let (mut a, mut new) = (book(1), book(3));
    new.record_load(s(100), 5, Some(0.1), None, None);
    new.record_outcome(s(100), 5, true, false);
    a.record_load(s(110), 5, Some(0.9), Some(0.5), None);
    a.record_outcome(s(110), 5, false, true);
    let updates = pass(&a, &mut new, s(111)).updates;
    assert_eq!(updates.len(), 1);
    let f = updates[0].observations;
    assert!(f.link_load.is_none() && f.health.is_none(), "its own");
    assert_eq!(f.uplink_load.unwrap().value.ratio(), 0.5, "what it does not know itself");
    // Until its own is past the horizon.
    assert!(new.peer_observations(s(131), 5).link_load.is_some());
}

#[test]
fn a_server_restarted_meanwhile_is_cold_and_rid_of_its_old_health_and_load() {
    let (mut old, mut fresh, mut new) = (book(1), book(2), book(3));
    old.record_start(s(90), 5, ProcessStart { incarnation: 1, uptime_ms: None });
    old.record_outcome(s(100), 5, false, true);
    old.record_load(s(100), 5, Some(2.0), None, None);
    fresh.record_start(s(110), 5, ProcessStart { incarnation: 2, uptime_ms: Some(500) });
    pass(&old, &mut new, s(112));
    assert!(new.peer_observations(s(112), 5).health.is_some());
    pass(&fresh, &mut new, s(112));
    let f = new.peer_observations(s(112), 5);
    assert_eq!(f.start.unwrap().value.incarnation, 2);
    assert!(f.health.is_none() && f.link_load.is_none(), "of the process that is gone: {f:?}");
    // The own book does the same when its own list tells of a start.
    old.record_start(s(113), 5, ProcessStart { incarnation: 2, uptime_ms: Some(3000) });
    assert!(old.view().message(s(113), 0, None, KnowledgeLevel::Warm, vec![]).servers.len() == 1);
    pass(&old, &mut fresh, s(113));
    assert!(fresh.peer_observations(s(113), 5).health.is_none());
}

#[test]
fn replays_other_fleets_own_words_and_impossible_ages_are_refused_whole() {
    let (mut a, mut new) = (book(1), book(3));
    a.record_load(s(100), 5, Some(0.9), None, None);
    let m = tell(&a, s(101));
    assert_eq!(
        new.merge(s(101), s(101), 8, &m),
        Err(MergeError::NonceMismatch),
        "an old answer to another question"
    );
    let other = Message { fleet_id: 43, ..m.clone() };
    assert_eq!(new.merge(s(101), s(101), 7, &other), Err(MergeError::OtherFleet));
    let mut me = KnowledgeStore::new(Observer { instance: 1, incarnation: 2 }, 42, HORIZON);
    assert_eq!(me.merge(s(101), s(101), 7, &m), Err(MergeError::OwnMessage));
    a.record_load(s(110), 6, Some(0.5), None, None);
    let later = tell(&a, s(111));
    new.merge(s(111), s(111), 7, &later).unwrap();
    assert_eq!(new.merge(s(112), s(112), 7, &m), Err(MergeError::StaleSequence));
    // A liar who makes an old observation young: then a later one of the same observer is older than it.
    let mut lie = later.clone();
    let (young, old) = (lie.servers[0].1, lie.servers[1].1);
    lie.servers = vec![(5, old), (6, young)];
    assert_eq!(
        new.merge(s(112), s(112), 7, &lie).map(|_| ()),
        Ok(()),
        "the same ages on other servers are no lie"
    );
    let mut b = book(4);
    b.record_load(s(100), 5, Some(0.9), None, None);
    b.record_load(s(110), 6, Some(0.5), None, None);
    let first = b.view().message(s(125), 7, None, KnowledgeLevel::Warm, vec![]);
    let young = b.view().message(s(110), 7, None, KnowledgeLevel::Warm, vec![]);
    let mixed = Message { servers: vec![young.servers[0], first.servers[1]], ..first };
    assert_eq!(new.merge(s(125), s(125), 7, &mixed), Err(MergeError::InconsistentAges));
    assert!(new.peer_observations(s(112), 6).link_load.is_some(), "what was merged before stays");
}

#[test]
fn deltas_hold_what_changed_and_wholes_all() {
    let (mut a, mut b) = (book(1), book(2));
    for server in 0..10 {
        a.record_load(s(100), server, Some(0.5), None, None);
    }
    pass(&a, &mut b, s(100));
    let seq = a.view().seq();
    a.record_load(s(101), 3, Some(0.6), None, None);
    let delta = a.view().message(s(101), 7, Some(seq), KnowledgeLevel::Warm, vec![]);
    assert_eq!(delta.servers.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [3]);
    b.merge(s(101), s(101), 7, &delta).unwrap();
    assert_eq!(b.peer_observations(s(101), 3).link_load.unwrap().value.ratio(), 0.6);
    assert_eq!(b.peer_observations(s(101), 4).link_load.unwrap().value.ratio(), 0.5);
}

#[test]
fn snapshots_are_taken_without_stopping_the_book() {
    let mut a = book(1);
    for server in 0..10_000 {
        a.record_load(s(100), server, Some(0.5), None, None);
    }
    let before = a.view();
    a.record_load(s(101), 3, Some(0.9), None, None);
    let of = |v: &KnowledgeView| v.message(s(101), 0, None, KnowledgeLevel::Warm, vec![]).servers.len();
    assert_eq!((of(&before), of(&a.view())), (10_000, 10_000));
    assert_ne!(before.seq(), a.view().seq());
}

#[test]
fn garbled_cut_foreign_and_other_formats_are_refused() {
    let mut a = book(1);
    for server in 0..50 {
        a.record_load(s(100), server, Some(0.5), Some(0.2), None);
        a.record_state(s(100), server, serving(3));
    }
    let bytes = tell(&a, s(101)).encode().unwrap();
    assert_eq!(Message::decode(&bytes).unwrap(), tell(&a, s(101)));
    for cut in [0, 3, 9, 10, 40, bytes.len() - 1] {
        assert!(Message::decode(&bytes[..cut]).is_err(), "cut at {cut}");
    }
    for at in 0..bytes.len() {
        let mut bad = bytes.clone();
        bad[at] ^= 1 << (at % 8);
        assert!(Message::decode(&bad).is_err(), "bit flipped at {at}");
    }
    let mut newer = bytes.clone();
    newer[4] = 9;
    assert_eq!(Message::decode(&newer), Err(MessageError::UnsupportedFormat(9)));
    assert_eq!(Message::decode(b"HTTP/1.1 200 OK\r\n\r\n"), Err(MessageError::InvalidHeader));
    assert_eq!(Message::decode(&vec![0; wire::MAX_MESSAGE_BYTES + 1]), Err(MessageError::TooLong));
}

#[test]
fn memory_is_bounded_whatever_peers_say() {
    let (mut a, mut new) = (book(1), book(3));
    a.record_load(s(100), 5, Some(0.5), None, None);
    let one = tell(&a, s(100));
    let servers: Vec<_> = (0..MAX_SERVERS as u64 + 10).map(|id| (id, one.servers[0].1)).collect();
    let flood = Message { servers, ..one.clone() };
    assert_eq!(new.merge(s(100), s(100), 7, &flood), Err(MergeError::TooManyServers));
    for i in 0..4u64 {
        let servers = (0..MAX_SERVERS as u64).map(|id| (id + i * 50_000, one.servers[0].1)).collect();
        let m = Message { servers, seq: 100 + i, ..one.clone() };
        new.merge(s(100), s(100), 7, &m).unwrap();
    }
    assert!(new.servers_from_peers().len() <= MAX_SERVERS);
    new.remove_expired(s(200));
    assert!(new.servers_from_peers().is_empty());
}
