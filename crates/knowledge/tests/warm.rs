//! Warm starts in virtual time: hedged requests, retry-after delays, deadlines, and half a fleet that starts at once.

use cloverhollow_knowledge::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn peer(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + n).into()
}

fn config() -> WarmStartConfig {
    WarmStartConfig {
        max_parallel: 2,
        required_warm_answers: 2,
        hedge_delay: ms(200),
        deadline: ms(2000),
        max_jitter: ms(300),
        horizon: ms(30_000),
    }
}

fn new_warm_start(seed: u64, peers: u16) -> WarmStart {
    let all: Vec<_> = (0..peers).map(peer).collect();
    WarmStart::new(ms(0), config(), seed, Some(peer(999)), &all)
}

#[test]
fn warm_start_ends_after_enough_warm_answers_but_not_after_cold_ones() {
    let mut warm_start = new_warm_start(1, 5);
    assert_eq!(warm_start.level().0, KnowledgeLevel::Warming);
    let requests = warm_start.poll(ms(300));
    assert_eq!(requests.len(), 2);
    assert!(requests[0].peer != requests[1].peer && requests[0].nonce != requests[1].nonce);
    warm_start.on_answer(requests[0].peer, KnowledgeLevel::Cold);
    let replacement = warm_start.poll(ms(301));
    assert_eq!(replacement.len(), 1, "another request replaces the one with a cold answer");
    warm_start.on_answer(requests[1].peer, KnowledgeLevel::Warm);
    warm_start.on_answer(replacement[0].peer, KnowledgeLevel::Warm);
    assert_eq!(warm_start.level(), (KnowledgeLevel::Warm, LevelReason::EnoughWarmPeers));
    assert!(warm_start.poll(ms(400)).is_empty() && warm_start.next_poll().is_none());
}

#[test]
fn silent_peers_are_hedged_and_failed_ones_are_replaced_at_once() {
    let mut warm_start = new_warm_start(2, 5);
    assert_eq!(warm_start.poll(ms(300)).len(), 2);
    assert!(warm_start.poll(ms(400)).is_empty());
    assert_eq!(warm_start.next_poll(), Some(ms(500)));
    let hedged = warm_start.poll(ms(500));
    assert_eq!(hedged.len(), 1);
    warm_start.on_failure(hedged[0].peer);
    assert!(warm_start.poll(ms(510)).is_empty(), "two requests are pending again");
}

#[test]
fn level_reasons_distinguish_how_a_warm_start_ended() {
    let mut warm_start = new_warm_start(3, 2);
    let requests = warm_start.poll(ms(300));
    warm_start.poll(ms(2000));
    assert_eq!(warm_start.level(), (KnowledgeLevel::Cold, LevelReason::NoAnswerInTime));
    assert_eq!(warm_start.next_poll(), Some(ms(30_000)));
    warm_start.poll(ms(30_000));
    assert_eq!(warm_start.level(), (KnowledgeLevel::Warm, LevelReason::HorizonElapsed));
    let mut warm_start = new_warm_start(3, 2);
    warm_start.poll(ms(300));
    requests.iter().for_each(|r| warm_start.on_answer(r.peer, KnowledgeLevel::Warming));
    assert_eq!(
        warm_start.level(),
        (KnowledgeLevel::Cold, LevelReason::AllPeersCold),
        "the whole fleet restarted"
    );
    let mut warm_start = new_warm_start(3, 3);
    let requests = warm_start.poll(ms(300));
    warm_start.on_answer(requests[0].peer, KnowledgeLevel::Warm);
    warm_start.poll(ms(2000));
    assert_eq!(warm_start.level(), (KnowledgeLevel::Warm, LevelReason::FewWarmPeers));
    assert_eq!(new_warm_start(3, 0).level(), (KnowledgeLevel::Cold, LevelReason::NoPeers));
    let alone = WarmStart::new(ms(0), config(), 1, Some(peer(1)), &[peer(1)]);
    assert_eq!(
        alone.level(),
        (KnowledgeLevel::Cold, LevelReason::NoPeers),
        "a front never sends requests to itself"
    );
}

#[test]
fn busy_peer_is_retried_no_earlier_than_its_retry_after_delay() {
    let mut warm_start = new_warm_start(4, 1);
    let request = warm_start.poll(ms(300))[0];
    warm_start.on_busy(ms(310), request.peer, ms(400));
    assert!(warm_start.poll(ms(700)).is_empty());
    let next = warm_start.next_poll().unwrap();
    assert!((ms(710)..=ms(910)).contains(&next), "{next:?}");
    assert_eq!(warm_start.poll(next)[0].peer, request.peer);
}

#[test]
fn addresses_learned_from_peers_get_requests_too() {
    let mut warm_start = new_warm_start(5, 1);
    let request = warm_start.poll(ms(300))[0];
    warm_start.add_peers(&[peer(7), peer(8), peer(999)]);
    warm_start.on_failure(request.peer);
    assert_eq!(warm_start.poll(ms(310)).len(), 2, "two new peers, not the front itself");
}

/// 45 of 100 fronts start at the same time; each running front serves two transfers at a time, 30 ms each.
#[test]
fn half_a_fleet_starting_together_spreads_its_requests() {
    let (fronts, starting) = (100u16, 45u16);
    let all: Vec<_> = (0..fronts).map(peer).collect();
    let mut warm_starts: Vec<WarmStart> =
        (0..starting).map(|i| WarmStart::new(ms(0), config(), u64::from(i), Some(peer(i)), &all)).collect();
    let mut transfers: BTreeMap<SocketAddr, KnowledgeTransfers> =
        all.iter().map(|a| (*a, KnowledgeTransfers::new(2, ms(100)))).collect();
    let mut answers: Vec<(Duration, usize, SocketAddr)> = Vec::new();
    let mut request_counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let mut requests_per_50_ms: BTreeMap<(SocketAddr, u128), u32> = BTreeMap::new();
    for now in (0..2500).map(ms) {
        for (_, i, from) in answers.extract_if(.., |(at, ..)| *at <= now) {
            transfers.get_mut(&from).unwrap().end();
            let cold = from < peer(starting);
            warm_starts[i].on_answer(from, if cold { KnowledgeLevel::Warming } else { KnowledgeLevel::Warm });
        }
        for (i, warm_start) in warm_starts.iter_mut().enumerate() {
            for request in warm_start.poll(now) {
                *request_counts.entry(request.peer).or_default() += 1;
                *requests_per_50_ms.entry((request.peer, now.as_millis() / 50)).or_default() += 1;
                match transfers.get_mut(&request.peer).unwrap().begin() {
                    Ok(()) => answers.push((now + ms(30), i, request.peer)),
                    Err(refused) => warm_start.on_busy(now, request.peer, refused.retry_after),
                }
            }
        }
    }
    let warm = warm_starts.iter().filter(|w| w.level().0 == KnowledgeLevel::Warm).count();
    assert_eq!(warm, usize::from(starting), "all fronts are warm within the deadline");
    let max_requests = request_counts.values().max().unwrap();
    let max_in_50_ms = requests_per_50_ms.values().max().unwrap();
    assert!(
        *max_requests <= 12 && *max_in_50_ms <= 5,
        "{max_requests} requests to one peer, {max_in_50_ms} within 50 ms"
    );
}

#[test]
fn retained_messages_expire_and_are_bounded() {
    let mut transfers = KnowledgeTransfers::new(1, ms(50));
    assert!(transfers.begin().is_ok());
    assert_eq!(transfers.begin(), Err(TransferRefused { retry_after: ms(50) }));
    transfers.end();
    assert!(transfers.begin().is_ok());
    let retained = transfers.retain_message(ms(0), vec![1, 2, 3]);
    assert_eq!(*transfers.retained_message(ms(9_999), retained.etag).unwrap().bytes, [1, 2, 3]);
    assert!(transfers.retained_message(ms(10_000), retained.etag).is_none());
    let etags: Vec<_> = (0..40).map(|_| transfers.retain_message(ms(1), vec![0; 10]).etag).collect();
    assert!(
        transfers.retained_message(ms(2), etags[0]).is_none()
            && transfers.retained_message(ms(2), etags[39]).is_some()
    );
}

#[test]
fn cold_fleet_sends_a_bounded_number_of_requests() {
    let mut warm_start = new_warm_start(6, 300);
    let mut request_count = 0;
    for now in (300..2500).map(ms) {
        for request in warm_start.poll(now) {
            request_count += 1;
            warm_start.on_answer(request.peer, KnowledgeLevel::Warming);
        }
    }
    assert_eq!(request_count, 8, "four requests for each required answer");
    assert_eq!(warm_start.level(), (KnowledgeLevel::Cold, LevelReason::AllPeersCold));
}
