//! Each hard case of hearsay, caused.

use cloverhollow_knowledge::facts::*;
use cloverhollow_knowledge::wire::{Message, WireError};
use cloverhollow_knowledge::*;
use std::time::Duration;

const HORIZON: Duration = Duration::from_secs(30);

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn book(instance: u64) -> Book {
    Book::new(Observer { instance, incarnation: 1 }, 42, HORIZON)
}

fn tell(from: &Book, now: Duration) -> Message {
    from.view().message(now, 7, None, Level::Warm, Vec::new())
}

/// Passes all that `from` knows to `to`; both clocks say the same here.
fn pass(from: &Book, to: &mut Book, now: Duration) -> Merged {
    to.merge(now, now, 7, &tell(from, now)).unwrap()
}

fn serving(version: u64) -> State {
    State { version, standing: Standing::Serving }
}

fn draining(version: u64) -> State {
    State { version, standing: Standing::Draining }
}

#[test]
fn a_reading_travels_with_its_age_and_fades() {
    let (mut a, mut b) = (book(1), book(2));
    a.read(s(100), 5, Some(0.8), Some(0.4), None);
    // b's clock says something else altogether: only the age counts.
    let m = tell(&a, s(110));
    let learned = b.merge(s(9_000), s(9_000), 7, &m).unwrap().learned;
    let link = learned[0].facts.link.unwrap();
    assert_eq!((link.fact.share(), link.seen.age(s(9_000)), link.seen.hops), (0.8, s(10), 1));
    assert!((link.seen.confidence(s(9_000), HORIZON) - 2.0 / 3.0).abs() < 1e-9);
    assert!(b.heard(s(9_019), 5).link.is_some());
    assert!(b.heard(s(9_020), 5).link.is_none(), "past the horizon");
}

#[test]
fn a_slow_answer_makes_pieces_older_never_younger() {
    let (mut a, mut b) = (book(1), book(2));
    a.read(s(100), 5, Some(0.8), None, None);
    let m = tell(&a, s(100));
    let learned = b.merge(s(204), s(200), 7, &m).unwrap().learned; // asked at 200, answered at 204
    assert_eq!(learned[0].facts.link.unwrap().seen.age(s(204)), s(4));
}

#[test]
fn hearsay_never_outlives_its_origin_over_any_number_of_fronts() {
    let mut books: Vec<Book> = (1..=8).map(book).collect();
    books[0].read(s(100), 5, Some(0.8), None, None);
    let mut reached = 0;
    for i in 0..7 {
        let now = s(102 + i as u64 * 2);
        let m = tell(&books[i], now);
        books[i + 1].merge(now, now, 7, &m).unwrap();
        if let Some(p) = books[i + 1].heard(now, 5).link {
            assert_eq!(p.seen.age(now), now - s(100), "as old as at its origin");
            reached = i + 1;
        }
    }
    assert_eq!(reached, usize::from(MOST_HOPS), "and comes only so far");
    // Told round and round among those who have it, it still ends at its horizon.
    for now in (110..140).map(s) {
        let m = tell(&books[1], now);
        let _ = books[2].merge(now, now, 7, &m);
        let m = tell(&books[2], now);
        let _ = books[1].merge(now, now, 7, &m);
    }
    assert!(books[1].heard(s(131), 5).link.is_none() && books[2].heard(s(131), 5).link.is_none());
}

#[test]
fn a_drain_goes_before_an_older_rumour_of_serving_whichever_comes_first() {
    for flip in [false, true] {
        let (mut stale, mut fresh, mut new) = (book(1), book(2), book(3));
        stale.listed(s(100), 5, serving(40)); // its discovery has been away since
        fresh.listed(s(125), 5, draining(41));
        new.listed(s(130), 5, serving(39)); // the last list
        let now = s(130);
        let (one, two) = if flip { (&stale, &fresh) } else { (&fresh, &stale) };
        pass(one, &mut new, now);
        pass(two, &mut new, now);
        assert_eq!(new.heard(now, 5).state.unwrap().fact, draining(41));
        // Its own list says it newer: nothing more is heard.
        new.listed(s(131), 5, serving(42));
        assert!(new.heard(s(131), 5).state.is_none());
    }
}

#[test]
fn of_two_words_on_one_version_the_more_careful_counts() {
    let (mut a, mut b, mut new) = (book(1), book(2), book(3));
    a.listed(s(100), 5, serving(41));
    b.listed(s(90), 5, draining(41));
    pass(&a, &mut new, s(101));
    pass(&b, &mut new, s(101));
    assert_eq!(new.heard(s(101), 5).state.unwrap().fact, draining(41));
}

#[test]
fn of_two_readings_the_later_counts_and_of_two_uplinks_too() {
    let (mut a, mut b, mut new) = (book(1), book(2), book(3));
    a.read(s(100), 5, Some(0.9), Some(0.2), None);
    b.read(s(98), 5, None, Some(0.7), None);
    b.read(s(104), 5, Some(0.3), None, None);
    pass(&a, &mut new, s(105));
    pass(&b, &mut new, s(105));
    let f = new.heard(s(105), 5);
    assert_eq!((f.link.unwrap().fact.share(), f.rack.unwrap().fact.share()), (0.3, 0.2));
}

#[test]
fn what_the_front_heard_itself_goes_before_all() {
    let (mut a, mut new) = (book(1), book(3));
    new.read(s(100), 5, Some(0.1), None, None);
    new.behaved(s(100), 5, true, false);
    a.read(s(110), 5, Some(0.9), Some(0.5), None);
    a.behaved(s(110), 5, false, true);
    let learned = pass(&a, &mut new, s(111)).learned;
    assert_eq!(learned.len(), 1);
    let f = learned[0].facts;
    assert!(f.link.is_none() && f.health.is_none(), "its own");
    assert_eq!(f.rack.unwrap().fact.share(), 0.5, "what it does not know itself");
    // Until its own is past the horizon.
    assert!(new.heard(s(131), 5).link.is_some());
}

#[test]
fn a_server_restarted_meanwhile_is_cold_and_rid_of_its_old_health_and_load() {
    let (mut old, mut fresh, mut new) = (book(1), book(2), book(3));
    old.started(s(90), 5, Start { incarnation: 1, before_ms: None });
    old.behaved(s(100), 5, false, true);
    old.read(s(100), 5, Some(2.0), None, None);
    fresh.started(s(110), 5, Start { incarnation: 2, before_ms: Some(500) });
    pass(&old, &mut new, s(112));
    assert!(new.heard(s(112), 5).health.is_some());
    pass(&fresh, &mut new, s(112));
    let f = new.heard(s(112), 5);
    assert_eq!(f.start.unwrap().fact.incarnation, 2);
    assert!(f.health.is_none() && f.link.is_none(), "of the process that is gone: {f:?}");
    // The own book does the same when its own list tells of a start.
    old.started(s(113), 5, Start { incarnation: 2, before_ms: Some(3000) });
    assert!(old.view().message(s(113), 0, None, Level::Warm, vec![]).servers.len() == 1);
    pass(&old, &mut fresh, s(113));
    assert!(fresh.heard(s(113), 5).health.is_none());
}

#[test]
fn replays_other_fleets_own_words_and_impossible_ages_are_refused_whole() {
    let (mut a, mut new) = (book(1), book(3));
    a.read(s(100), 5, Some(0.9), None, None);
    let m = tell(&a, s(101));
    assert_eq!(new.merge(s(101), s(101), 8, &m), Err(MergeError::Nonce), "an old answer to another question");
    let other = Message { fleet: 43, ..m.clone() };
    assert_eq!(new.merge(s(101), s(101), 7, &other), Err(MergeError::Fleet));
    let mut me = Book::new(Observer { instance: 1, incarnation: 2 }, 42, HORIZON);
    assert_eq!(me.merge(s(101), s(101), 7, &m), Err(MergeError::Own));
    a.read(s(110), 6, Some(0.5), None, None);
    let later = tell(&a, s(111));
    new.merge(s(111), s(111), 7, &later).unwrap();
    assert_eq!(new.merge(s(112), s(112), 7, &m), Err(MergeError::Old));
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
    b.read(s(100), 5, Some(0.9), None, None);
    b.read(s(110), 6, Some(0.5), None, None);
    let first = b.view().message(s(125), 7, None, Level::Warm, vec![]);
    let young = b.view().message(s(110), 7, None, Level::Warm, vec![]);
    let mixed = Message { servers: vec![young.servers[0], first.servers[1]], ..first };
    assert_eq!(new.merge(s(125), s(125), 7, &mixed), Err(MergeError::Ages));
    assert!(new.heard(s(112), 6).link.is_some(), "what was merged before stays");
}

#[test]
fn deltas_hold_what_changed_and_wholes_all() {
    let (mut a, mut b) = (book(1), book(2));
    for server in 0..10 {
        a.read(s(100), server, Some(0.5), None, None);
    }
    pass(&a, &mut b, s(100));
    let seq = a.view().seq();
    a.read(s(101), 3, Some(0.6), None, None);
    let delta = a.view().message(s(101), 7, Some(seq), Level::Warm, vec![]);
    assert_eq!(delta.servers.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [3]);
    b.merge(s(101), s(101), 7, &delta).unwrap();
    assert_eq!(b.heard(s(101), 3).link.unwrap().fact.share(), 0.6);
    assert_eq!(b.heard(s(101), 4).link.unwrap().fact.share(), 0.5);
}

#[test]
fn snapshots_are_taken_without_stopping_the_book() {
    let mut a = book(1);
    for server in 0..10_000 {
        a.read(s(100), server, Some(0.5), None, None);
    }
    let before = a.view();
    a.read(s(101), 3, Some(0.9), None, None);
    let of = |v: &BookView| v.message(s(101), 0, None, Level::Warm, vec![]).servers.len();
    assert_eq!((of(&before), of(&a.view())), (10_000, 10_000));
    assert_ne!(before.seq(), a.view().seq());
}

#[test]
fn garbled_cut_foreign_and_other_formats_are_refused() {
    let mut a = book(1);
    for server in 0..50 {
        a.read(s(100), server, Some(0.5), Some(0.2), None);
        a.listed(s(100), server, serving(3));
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
    assert_eq!(Message::decode(&newer), Err(WireError::Format(9)));
    assert_eq!(Message::decode(b"HTTP/1.1 200 OK\r\n\r\n"), Err(WireError::Foreign));
    assert_eq!(Message::decode(&vec![0; wire::MOST_BYTES + 1]), Err(WireError::TooLong));
}

#[test]
fn memory_is_bounded_whatever_peers_say() {
    let (mut a, mut new) = (book(1), book(3));
    a.read(s(100), 5, Some(0.5), None, None);
    let one = tell(&a, s(100));
    let servers: Vec<_> = (0..MOST_SERVERS as u64 + 10).map(|id| (id, one.servers[0].1)).collect();
    let flood = Message { servers, ..one.clone() };
    assert_eq!(new.merge(s(100), s(100), 7, &flood), Err(MergeError::TooMany));
    for i in 0..4u64 {
        let servers = (0..MOST_SERVERS as u64).map(|id| (id + i * 50_000, one.servers[0].1)).collect();
        let m = Message { servers, seq: 100 + i, ..one.clone() };
        new.merge(s(100), s(100), 7, &m).unwrap();
    }
    assert!(new.heard_of().len() <= MOST_SERVERS);
    new.forget_old(s(200));
    assert!(new.heard_of().is_empty());
}
