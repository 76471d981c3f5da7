//! Gossip of loads between session managers: a reading arrives once, unchanged and with its age, and invalid datagrams
//! are ignored.

use cloverhollow::ServerId;
use cloverhollow_platform::gossip::{Gossip, GossipConfig, GossipServer, MAX_DATAGRAM_BYTES};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const START: Duration = Duration::from_secs(100);

/// A listed server that started long ago.
fn listed(server: ServerId, key: u64) -> GossipServer {
    GossipServer { server, key, started_at: Duration::ZERO }
}

/// Gossip state with `servers` listed servers, whose ids begin at `first_id`; ids differ between session managers.
fn gossip(servers: u64, first_id: u64, seed: u64) -> Gossip {
    let mut gossip = Gossip::new(GossipConfig::default(), 9, seed);
    gossip.set_servers(
        (0..servers).map(|i| listed(first_id + i, 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(i + 1))),
    );
    gossip
}

/// The next datagram within a second from `now`, and the time at which it is sent.
fn next_datagram(gossip: &mut Gossip, now: Duration) -> Option<(Duration, Vec<u8>)> {
    (0..20).find_map(|i| {
        let now = now + ms(50 * i);
        gossip.poll(now).map(|(to, bytes)| {
            assert!(to < 9);
            (now, bytes)
        })
    })
}

#[test]
fn a_reading_arrives_with_its_age_under_the_receivers_server_id() {
    let (mut a, mut b) = (gossip(40, 0, 1), gossip(40, 1000, 2));
    a.record_reading(START, 7, Some(0.42), None);
    a.record_reading(START + ms(5), 7, None, Some(1.3));
    let (at, bytes) = next_datagram(&mut a, START + ms(200)).unwrap();
    let received = b.handle_datagram(at + ms(30), &bytes);
    assert_eq!(received.len(), 1);
    assert_eq!(
        (received[0].server, received[0].load.link_load, received[0].load.uplink_load),
        (1007, Some(0.42), Some(1.3))
    );
    let true_age = at - START - ms(5);
    assert!(
        received[0].load_age <= true_age && received[0].load_age + ms(40) > true_age,
        "{:?}",
        received[0].load_age
    );
    assert_eq!(received[0].started_at, Duration::ZERO, "gossip carries no state and no start time");
    assert!(b.handle_datagram(at + ms(60), &bytes).is_empty(), "a duplicate is ignored");
}

#[test]
fn received_readings_are_forwarded_and_do_not_replace_newer_ones() {
    let (mut a, mut b, mut c) = (gossip(40, 0, 1), gossip(40, 0, 2), gossip(40, 0, 3));
    a.record_reading(START, 7, Some(0.5), None);
    let (at, bytes) = next_datagram(&mut a, START).unwrap();
    assert_eq!(b.handle_datagram(at, &bytes).len(), 1);
    let (at, forwarded) = next_datagram(&mut b, at).unwrap();
    assert_eq!(c.handle_datagram(at, &forwarded)[0].load.link_load, Some(0.5));
    let mut d = gossip(40, 0, 4);
    d.record_reading(at, 7, Some(0.9), None);
    assert!(d.handle_datagram(at + ms(10), &forwarded).is_empty(), "its own reading is newer");
}

#[test]
fn a_reading_is_sent_a_limited_number_of_times_and_not_when_old() {
    let config = GossipConfig::default();
    let mut a = gossip(40, 0, 1);
    a.record_reading(START, 7, Some(0.5), None);
    let n = (0..200).filter(|i| a.poll(START + ms(50 * i)).is_some()).count();
    assert_eq!(n, usize::from(config.max_sends));
    a.record_reading(START, 8, Some(0.5), None);
    assert!((0..40).all(|i| a.poll(START + config.max_age + ms(50 * i)).is_none()), "too old");
}

#[test]
fn datagrams_are_bounded_and_hold_the_newest_readings() {
    let mut a = gossip(300, 0, 1);
    (0..300).for_each(|i| a.record_reading(START + ms(200 * (i / 100)), i, Some(0.5), Some(0.5)));
    let (at, bytes) = next_datagram(&mut a, START + ms(600)).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    let mut b = gossip(300, 0, 2);
    let received = b.handle_datagram(at, &bytes);
    assert!(received.len() >= 40, "{}", received.len());
    assert!(received.iter().all(|report| report.server >= 200), "only the newest readings");
}

#[test]
fn corrupt_truncated_and_oversized_datagrams_are_ignored() {
    let mut a = gossip(40, 0, 1);
    (0..9).for_each(|i| a.record_reading(START, i, Some(0.5), None));
    let (at, bytes) = next_datagram(&mut a, START).unwrap();
    let mut b = gossip(40, 0, 2);
    for i in 0..bytes.len() {
        for bit in 0..8 {
            let mut bad = bytes.clone();
            bad[i] ^= 1 << bit;
            assert!(b.handle_datagram(at, &bad).is_empty(), "byte {i}, bit {bit}");
        }
        assert!(b.handle_datagram(at, &bytes[..i]).is_empty(), "truncated to {i} bytes");
    }
    let long: Vec<u8> = bytes.iter().copied().cycle().take(2 * MAX_DATAGRAM_BYTES).collect();
    assert!(b.handle_datagram(at, &long).is_empty());
    assert_eq!(b.handle_datagram(at, &bytes).len(), 9);
}

#[test]
fn readings_of_a_server_with_another_key_are_dropped() {
    let (mut a, mut b) = (gossip(40, 0, 1), gossip(40, 0, 2));
    a.record_reading(START, 7, Some(0.1), None);
    b.set_servers((0..40).map(|i| listed(i, 0x51ed_270b_0a1b_39e1u64.wrapping_mul(i + 77))));
    let (at, bytes) = next_datagram(&mut a, START).unwrap();
    assert!(b.handle_datagram(at, &bytes).is_empty());
    a.set_servers((0..40).map(|i| listed(i, 0x51ed_270b_0a1b_39e1u64.wrapping_mul(i + 77))));
    assert!(next_datagram(&mut a, at).is_none(), "readings under the former key are not sent");
}

/// Guards against loads of a former process that are taken for those of its successor under the same name: own ones, those
/// of peers, and those of peers that have not been told of the new process yet.
#[test]
fn readings_of_a_former_process_are_dropped() {
    let restarted = || GossipServer { server: 1, key: 5, started_at: START + ms(1_000) };
    let new = |seed| {
        let mut gossip = Gossip::new(GossipConfig::default(), 9, seed);
        gossip.set_servers([listed(1, 5)].into_iter());
        gossip
    };
    let (mut a, mut b, mut not_told) = (new(1), new(2), new(3));
    not_told.record_reading(START, 1, Some(0.9), None);
    a.record_reading(START, 1, Some(0.9), None);
    a.set_servers([restarted()].into_iter());
    assert!(next_datagram(&mut a, START + ms(1_000)).is_none(), "the own reading is not sent any more");
    a.record_reading(START + ms(500), 1, Some(0.9), None);
    assert!(next_datagram(&mut a, START + ms(2_000)).is_none(), "a late report of the former process");
    b.set_servers([restarted()].into_iter());
    let (at, bytes) = next_datagram(&mut not_told, START + ms(1_500)).unwrap();
    assert!(b.handle_datagram(at, &bytes).is_empty(), "a peer's reading of the former process");
    a.record_reading(START + ms(2_500), 1, Some(0.2), None);
    let (at, bytes) = next_datagram(&mut a, START + ms(3_500)).unwrap();
    assert_eq!(b.handle_datagram(at, &bytes).len(), 1, "a reading of the new process");
}

/// Readings of two servers with the same digest are ambiguous, so neither is sent.
#[test]
fn servers_with_the_same_digest_are_left_out() {
    let keys = [listed(1, 5), listed(2, 5), listed(3, 6)];
    let (mut a, mut b) =
        (Gossip::new(GossipConfig::default(), 9, 1), Gossip::new(GossipConfig::default(), 9, 2));
    a.set_servers(keys.into_iter());
    b.set_servers(keys.into_iter());
    (1..4).for_each(|i| a.record_reading(START, i, Some(0.5), None));
    let (at, bytes) = next_datagram(&mut a, START).unwrap();
    assert_eq!(b.handle_datagram(at, &bytes).iter().map(|report| report.server).collect::<Vec<_>>(), [3]);
}

/// Of 300 session managers, each with sessions at a few servers, all know the loads of most servers after five seconds,
/// at a bounded number of bytes.
#[test]
fn readings_spread_to_most_session_managers_within_seconds() {
    let (n, servers) = (300, 100);
    let mut all: Vec<_> = (0..n).map(|i| Gossip::new(GossipConfig::default(), n - 1, i as u64)).collect();
    let keys = |i: u64| 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(i + 1);
    all.iter_mut().for_each(|gossip| gossip.set_servers((0..servers).map(|i| listed(i, keys(i)))));
    let mut known = vec![std::collections::BTreeSet::new(); n];
    let mut bytes = 0;
    for step in 0..100u64 {
        let now = START + ms(50 * step);
        for i in 0..n {
            // Each has sessions at three servers, one of which reports its load every 2.5 s.
            if (step + i as u64).is_multiple_of(50) {
                let s = (i as u64 * 7 + step / 50) % servers;
                all[i].record_reading(now, s, Some(0.5), Some(0.5));
                known[i].insert(s);
            }
            if let Some((to, datagram)) = all[i].poll(now) {
                bytes += datagram.len();
                let to = if to >= i { to + 1 } else { to };
                known[to].extend(all[to].handle_datagram(now, &datagram).iter().map(|report| report.server));
            }
        }
    }
    let mean = known.iter().map(|k| k.len()).sum::<usize>() as f64 / n as f64;
    assert!(mean > 0.7 * servers as f64, "{mean} of {servers} servers after five seconds");
    assert!(bytes / n <= 12 * MAX_DATAGRAM_BYTES, "{} bytes from each in five seconds", bytes / n);
}
