//! Loads told between session managers: what arrives is what was read, once, with its age; what can't be trusted changes nothing.

use cloverhollow_platform::gossip::{Gossip, GossipConfig, MAX_DATAGRAM_BYTES};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const START: Duration = Duration::from_secs(100);

/// One that knows `servers` servers, whose numbers begin at `first`: each session manager has its own.
fn gossip(servers: u64, first: u64, seed: u64) -> Gossip {
    let mut w = Gossip::new(GossipConfig::default(), 9, seed);
    w.set_servers((0..servers).map(|i| (first + i, 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(i + 1))));
    w
}

/// The next datagram within a second from `now`, and when it went.
fn told(w: &mut Gossip, now: Duration) -> Option<(Duration, Vec<u8>)> {
    (0..20).find_map(|i| {
        let now = now + ms(50 * i);
        w.poll(now).map(|(to, bytes)| {
            assert!(to < 9);
            (now, bytes)
        })
    })
}

#[test]
fn a_reading_arrives_with_its_age_under_the_hearers_own_number() {
    let (mut a, mut b) = (gossip(40, 0, 1), gossip(40, 1000, 2));
    a.record_reading(START, 7, Some(0.42), None);
    a.record_reading(START + ms(5), 7, None, Some(1.3));
    let (at, bytes) = told(&mut a, START + ms(200)).unwrap();
    let heard = b.handle_datagram(at + ms(30), &bytes);
    assert_eq!(heard.len(), 1);
    assert_eq!(
        (heard[0].server, heard[0].load.link_load, heard[0].load.uplink_load),
        (1007, Some(0.42), Some(1.3))
    );
    let true_age = at - START - ms(5);
    assert!(
        heard[0].load_age <= true_age && heard[0].load_age + ms(40) > true_age,
        "{:?}",
        heard[0].load_age
    );
    assert_eq!(heard[0].started_at, Duration::ZERO, "it says nothing of states and starts");
    assert!(b.handle_datagram(at + ms(60), &bytes).is_empty(), "the same once more is no news");
}

#[test]
fn what_was_heard_is_passed_on_and_a_younger_reading_stays() {
    let (mut a, mut b, mut c) = (gossip(40, 0, 1), gossip(40, 0, 2), gossip(40, 0, 3));
    a.record_reading(START, 7, Some(0.5), None);
    let (at, bytes) = told(&mut a, START).unwrap();
    assert_eq!(b.handle_datagram(at, &bytes).len(), 1);
    let (at, passed) = told(&mut b, at).unwrap();
    assert_eq!(c.handle_datagram(at, &passed)[0].load.link_load, Some(0.5));
    let mut d = gossip(40, 0, 4);
    d.record_reading(at, 7, Some(0.9), None);
    assert!(d.handle_datagram(at + ms(10), &passed).is_empty(), "its own is younger");
}

#[test]
fn each_reading_is_told_so_often_and_no_more_when_it_is_old() {
    let set = GossipConfig::default();
    let mut a = gossip(40, 0, 1);
    a.record_reading(START, 7, Some(0.5), None);
    let n = (0..200).filter(|i| a.poll(START + ms(50 * i)).is_some()).count();
    assert_eq!(n, usize::from(set.max_sends));
    a.record_reading(START, 8, Some(0.5), None);
    assert!((0..40).all(|i| a.poll(START + set.max_age + ms(50 * i)).is_none()), "too old");
}

#[test]
fn a_datagram_is_no_longer_than_the_platform_allows_and_the_youngest_go_first() {
    let mut a = gossip(300, 0, 1);
    (0..300).for_each(|i| a.record_reading(START + ms(200 * (i / 100)), i, Some(0.5), Some(0.5)));
    let (at, bytes) = told(&mut a, START + ms(600)).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    let mut b = gossip(300, 0, 2);
    let heard = b.handle_datagram(at, &bytes);
    assert!(heard.len() >= 40, "{}", heard.len());
    assert!(heard.iter().all(|h| h.server >= 200), "the youngest");
}

#[test]
fn garbled_cut_and_foreign_ones_change_nothing() {
    let mut a = gossip(40, 0, 1);
    (0..9).for_each(|i| a.record_reading(START, i, Some(0.5), None));
    let (at, bytes) = told(&mut a, START).unwrap();
    let mut b = gossip(40, 0, 2);
    for i in 0..bytes.len() {
        for bit in 0..8 {
            let mut bad = bytes.clone();
            bad[i] ^= 1 << bit;
            assert!(b.handle_datagram(at, &bad).is_empty(), "octet {i}, bit {bit}");
        }
        assert!(b.handle_datagram(at, &bytes[..i]).is_empty(), "cut at {i}");
    }
    let long: Vec<u8> = bytes.iter().copied().cycle().take(2 * MAX_DATAGRAM_BYTES).collect();
    assert!(b.handle_datagram(at, &long).is_empty());
    assert_eq!(b.handle_datagram(at, &bytes).len(), 9);
}

#[test]
fn another_process_of_a_name_is_not_taken_for_the_one_before() {
    let (mut a, mut b) = (gossip(40, 0, 1), gossip(40, 0, 2));
    a.record_reading(START, 7, Some(0.1), None);
    b.set_servers((0..40).map(|i| (i, 0x51ed_270b_0a1b_39e1u64.wrapping_mul(i + 77))));
    let (at, bytes) = told(&mut a, START).unwrap();
    assert!(b.handle_datagram(at, &bytes).is_empty());
    a.set_servers((0..40).map(|i| (i, 0x51ed_270b_0a1b_39e1u64.wrapping_mul(i + 77))));
    assert!(told(&mut a, at).is_none(), "what was read of the one before is not told");
}

/// Two servers with one digest: nobody can say which is meant, so neither is spoken of.
#[test]
fn servers_that_can_not_be_told_apart_are_not_spoken_of() {
    let keys = [(1, 5), (2, 5), (3, 6)];
    let (mut a, mut b) =
        (Gossip::new(GossipConfig::default(), 9, 1), Gossip::new(GossipConfig::default(), 9, 2));
    a.set_servers(keys.into_iter());
    b.set_servers(keys.into_iter());
    (1..4).for_each(|i| a.record_reading(START, i, Some(0.5), None));
    let (at, bytes) = told(&mut a, START).unwrap();
    assert_eq!(b.handle_datagram(at, &bytes).iter().map(|h| h.server).collect::<Vec<_>>(), [3]);
}

/// Three hundred, each of which reads a few servers: all know most of them after some seconds, and no byte too many.
#[test]
fn what_few_read_most_know_after_some_seconds() {
    let (n, servers) = (300, 100);
    let mut all: Vec<_> = (0..n).map(|i| Gossip::new(GossipConfig::default(), n - 1, i as u64)).collect();
    let keys = |i: u64| 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(i + 1);
    all.iter_mut().for_each(|w| w.set_servers((0..servers).map(|i| (i, keys(i)))));
    let mut known = vec![std::collections::BTreeSet::new(); n];
    let mut bytes = 0;
    for step in 0..100u64 {
        let now = START + ms(50 * step);
        for i in 0..n {
            // Each has sessions at three servers, of which one tells its load each 2.5 s.
            if (step + i as u64).is_multiple_of(50) {
                let s = (i as u64 * 7 + step / 50) % servers;
                all[i].record_reading(now, s, Some(0.5), Some(0.5));
                known[i].insert(s);
            }
            if let Some((to, datagram)) = all[i].poll(now) {
                bytes += datagram.len();
                let to = if to >= i { to + 1 } else { to };
                known[to].extend(all[to].handle_datagram(now, &datagram).iter().map(|h| h.server));
            }
        }
    }
    let mean = known.iter().map(|k| k.len()).sum::<usize>() as f64 / n as f64;
    assert!(mean > 0.7 * servers as f64, "{mean} of {servers} servers after five seconds");
    assert!(bytes / n <= 12 * MAX_DATAGRAM_BYTES, "{} bytes each in five seconds", bytes / n);
}
