//! Warm starts in virtual time: hedges, hold-offs, deadlines, and half a fleet that asks at once.

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

fn set() -> WarmStartConfig {
    WarmStartConfig {
        max_parallel: 2,
        required_warm_answers: 2,
        hedge_delay: ms(200),
        deadline: ms(2000),
        max_jitter: ms(300),
        horizon: ms(30_000),
    }
}

fn warmer(seed: u64, peers: u16) -> WarmStart {
    let all: Vec<_> = (0..peers).map(peer).collect();
    WarmStart::new(ms(0), set(), seed, Some(peer(999)), &all)
}

#[test]
fn enough_warm_answers_end_it_and_cold_ones_do_not() {
    let mut w = warmer(1, 5);
    assert_eq!(w.level().0, KnowledgeLevel::Warming);
    let asks = w.poll(ms(300));
    assert_eq!(asks.len(), 2);
    assert!(asks[0].peer != asks[1].peer && asks[0].nonce != asks[1].nonce);
    w.on_answer(asks[0].peer, KnowledgeLevel::Cold);
    let more = w.poll(ms(301));
    assert_eq!(more.len(), 1, "another in place of the cold one");
    w.on_answer(asks[1].peer, KnowledgeLevel::Warm);
    w.on_answer(more[0].peer, KnowledgeLevel::Warm);
    assert_eq!(w.level(), (KnowledgeLevel::Warm, LevelReason::EnoughWarmPeers));
    assert!(w.poll(ms(400)).is_empty() && w.next_poll().is_none());
}

#[test]
fn a_silent_peer_is_hedged_and_a_failed_one_replaced_at_once() {
    let mut w = warmer(2, 5);
    assert_eq!(w.poll(ms(300)).len(), 2);
    assert!(w.poll(ms(400)).is_empty());
    assert_eq!(w.next_poll(), Some(ms(500)));
    let hedge = w.poll(ms(500));
    assert_eq!(hedge.len(), 1);
    w.on_failure(hedge[0].peer);
    assert!(w.poll(ms(510)).is_empty(), "two are out again");
}

#[test]
fn nobody_in_time_all_cold_none_to_ask_and_own_ears_are_told_apart() {
    let mut w = warmer(3, 2);
    let asks = w.poll(ms(300));
    w.poll(ms(2000));
    assert_eq!(w.level(), (KnowledgeLevel::Cold, LevelReason::NoAnswerInTime));
    assert_eq!(w.next_poll(), Some(ms(30_000)));
    w.poll(ms(30_000));
    assert_eq!(w.level(), (KnowledgeLevel::Warm, LevelReason::HorizonElapsed));
    let mut w = warmer(3, 2);
    w.poll(ms(300));
    asks.iter().for_each(|a| w.on_answer(a.peer, KnowledgeLevel::Warming));
    assert_eq!(w.level(), (KnowledgeLevel::Cold, LevelReason::AllPeersCold), "100% of the fleet restarted");
    let mut w = warmer(3, 3);
    let asks = w.poll(ms(300));
    w.on_answer(asks[0].peer, KnowledgeLevel::Warm);
    w.poll(ms(2000));
    assert_eq!(w.level(), (KnowledgeLevel::Warm, LevelReason::FewWarmPeers));
    assert_eq!(warmer(3, 0).level(), (KnowledgeLevel::Cold, LevelReason::NoPeers));
    let me = WarmStart::new(ms(0), set(), 1, Some(peer(1)), &[peer(1)]);
    assert_eq!(me.level(), (KnowledgeLevel::Cold, LevelReason::NoPeers), "never asks itself");
}

#[test]
fn a_busy_peer_is_asked_again_not_before_it_said() {
    let mut w = warmer(4, 1);
    let ask = w.poll(ms(300))[0];
    w.on_busy(ms(310), ask.peer, ms(400));
    assert!(w.poll(ms(700)).is_empty());
    let next = w.next_poll().unwrap();
    assert!((ms(710)..=ms(910)).contains(&next), "{next:?}");
    assert_eq!(w.poll(next)[0].peer, ask.peer);
}

#[test]
fn addresses_heard_of_are_asked_too() {
    let mut w = warmer(5, 1);
    let ask = w.poll(ms(300))[0];
    w.add_peers(&[peer(7), peer(8), peer(999)]);
    w.on_failure(ask.peer);
    assert_eq!(w.poll(ms(310)).len(), 2, "not itself");
}

/// 45 of 100 fronts start in one instant; each running one feeds two at a time and takes 30 ms for it.
#[test]
fn half_a_fleet_starting_together_does_not_fall_on_one_peer() {
    let (fronts, starting) = (100u16, 45u16);
    let all: Vec<_> = (0..fronts).map(peer).collect();
    let mut warmers: Vec<WarmStart> =
        (0..starting).map(|i| WarmStart::new(ms(0), set(), u64::from(i), Some(peer(i)), &all)).collect();
    let mut feeds: BTreeMap<SocketAddr, KnowledgeTransfers> =
        all.iter().map(|a| (*a, KnowledgeTransfers::new(2, ms(100)))).collect();
    let mut answers: Vec<(Duration, usize, SocketAddr)> = Vec::new();
    let mut asked: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let mut burst: BTreeMap<(SocketAddr, u128), u32> = BTreeMap::new();
    for t in (0..2500).map(ms) {
        for (_, i, from) in answers.extract_if(.., |(at, ..)| *at <= t) {
            feeds.get_mut(&from).unwrap().end();
            let cold = from < peer(starting);
            warmers[i].on_answer(from, if cold { KnowledgeLevel::Warming } else { KnowledgeLevel::Warm });
        }
        for (i, w) in warmers.iter_mut().enumerate() {
            for ask in w.poll(t) {
                *asked.entry(ask.peer).or_default() += 1;
                *burst.entry((ask.peer, t.as_millis() / 50)).or_default() += 1;
                match feeds.get_mut(&ask.peer).unwrap().begin() {
                    Ok(()) => answers.push((t + ms(30), i, ask.peer)),
                    Err(refused) => w.on_busy(t, ask.peer, refused.retry_after),
                }
            }
        }
    }
    let warm = warmers.iter().filter(|w| w.level().0 == KnowledgeLevel::Warm).count();
    assert_eq!(warm, usize::from(starting), "all are warm within the deadline");
    let most = asked.values().max().unwrap();
    let in_50_ms = burst.values().max().unwrap();
    assert!(*most <= 12 && *in_50_ms <= 5, "{most} questions to one peer, {in_50_ms} within 50 ms");
}

#[test]
fn kept_messages_are_resumed_for_a_while_and_bounded() {
    let mut f = KnowledgeTransfers::new(1, ms(50));
    assert!(f.begin().is_ok());
    assert_eq!(f.begin(), Err(TransferRefused { retry_after: ms(50) }));
    f.end();
    assert!(f.begin().is_ok());
    let kept = f.retain_message(ms(0), vec![1, 2, 3]);
    assert_eq!(*f.retained_message(ms(9_999), kept.etag).unwrap().bytes, [1, 2, 3]);
    assert!(f.retained_message(ms(10_000), kept.etag).is_none());
    let tags: Vec<_> = (0..40).map(|_| f.retain_message(ms(1), vec![0; 10]).etag).collect();
    assert!(f.retained_message(ms(2), tags[0]).is_none() && f.retained_message(ms(2), tags[39]).is_some());
}

#[test]
fn a_whole_fleet_that_is_cold_asks_a_bounded_number_of_questions() {
    let mut w = warmer(6, 300);
    let mut asked = 0;
    for t in (300..2500).map(ms) {
        for ask in w.poll(t) {
            asked += 1;
            w.on_answer(ask.peer, KnowledgeLevel::Warming);
        }
    }
    assert_eq!(asked, 8, "four for each answer wanted");
    assert_eq!(w.level(), (KnowledgeLevel::Cold, LevelReason::AllPeersCold));
}
