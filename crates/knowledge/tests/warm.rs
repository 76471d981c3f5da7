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

fn set() -> WarmSettings {
    WarmSettings {
        parallel: 2,
        enough: 2,
        hedge: ms(200),
        deadline: ms(2000),
        jitter: ms(300),
        horizon: ms(30_000),
    }
}

fn warmer(seed: u64, peers: u16) -> Warmer {
    let all: Vec<_> = (0..peers).map(peer).collect();
    Warmer::new(ms(0), set(), seed, Some(peer(999)), &all)
}

#[test]
fn enough_warm_answers_end_it_and_cold_ones_do_not() {
    let mut w = warmer(1, 5);
    assert_eq!(w.level().0, Level::Warming);
    let asks = w.due(ms(300));
    assert_eq!(asks.len(), 2);
    assert!(asks[0].peer != asks[1].peer && asks[0].nonce != asks[1].nonce);
    w.answered(asks[0].peer, Level::Cold);
    let more = w.due(ms(301));
    assert_eq!(more.len(), 1, "another in place of the cold one");
    w.answered(asks[1].peer, Level::Warm);
    w.answered(more[0].peer, Level::Warm);
    assert_eq!(w.level(), (Level::Warm, Why::Enough));
    assert!(w.due(ms(400)).is_empty() && w.next_due().is_none());
}

#[test]
fn a_silent_peer_is_hedged_and_a_failed_one_replaced_at_once() {
    let mut w = warmer(2, 5);
    assert_eq!(w.due(ms(300)).len(), 2);
    assert!(w.due(ms(400)).is_empty());
    assert_eq!(w.next_due(), Some(ms(500)));
    let hedge = w.due(ms(500));
    assert_eq!(hedge.len(), 1);
    w.failed(hedge[0].peer);
    assert!(w.due(ms(510)).is_empty(), "two are out again");
}

#[test]
fn nobody_in_time_all_cold_none_to_ask_and_own_ears_are_told_apart() {
    let mut w = warmer(3, 2);
    let asks = w.due(ms(300));
    w.due(ms(2000));
    assert_eq!(w.level(), (Level::Cold, Why::NoneInTime));
    assert_eq!(w.next_due(), Some(ms(30_000)));
    w.due(ms(30_000));
    assert_eq!(w.level(), (Level::Warm, Why::OwnEars));
    let mut w = warmer(3, 2);
    w.due(ms(300));
    asks.iter().for_each(|a| w.answered(a.peer, Level::Warming));
    assert_eq!(w.level(), (Level::Cold, Why::PeersCold), "100% of the fleet restarted");
    let mut w = warmer(3, 3);
    let asks = w.due(ms(300));
    w.answered(asks[0].peer, Level::Warm);
    w.due(ms(2000));
    assert_eq!(w.level(), (Level::Warm, Why::SomeInTime));
    assert_eq!(warmer(3, 0).level(), (Level::Cold, Why::NoPeers));
    let me = Warmer::new(ms(0), set(), 1, Some(peer(1)), &[peer(1)]);
    assert_eq!(me.level(), (Level::Cold, Why::NoPeers), "never asks itself");
}

#[test]
fn a_busy_peer_is_asked_again_not_before_it_said() {
    let mut w = warmer(4, 1);
    let ask = w.due(ms(300))[0];
    w.busy(ms(310), ask.peer, ms(400));
    assert!(w.due(ms(700)).is_empty());
    let next = w.next_due().unwrap();
    assert!((ms(710)..=ms(910)).contains(&next), "{next:?}");
    assert_eq!(w.due(next)[0].peer, ask.peer);
}

#[test]
fn addresses_heard_of_are_asked_too() {
    let mut w = warmer(5, 1);
    let ask = w.due(ms(300))[0];
    w.learn(&[peer(7), peer(8), peer(999)]);
    w.failed(ask.peer);
    assert_eq!(w.due(ms(310)).len(), 2, "not itself");
}

/// 45 of 100 fronts start in one instant; each running one feeds two at a time and takes 30 ms for it.
#[test]
fn half_a_fleet_starting_together_does_not_fall_on_one_peer() {
    let (fronts, starting) = (100u16, 45u16);
    let all: Vec<_> = (0..fronts).map(peer).collect();
    let mut warmers: Vec<Warmer> =
        (0..starting).map(|i| Warmer::new(ms(0), set(), u64::from(i), Some(peer(i)), &all)).collect();
    let mut feeds: BTreeMap<SocketAddr, Feeds> = all.iter().map(|a| (*a, Feeds::new(2, ms(100)))).collect();
    let mut answers: Vec<(Duration, usize, SocketAddr)> = Vec::new();
    let mut asked: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let mut burst: BTreeMap<(SocketAddr, u128), u32> = BTreeMap::new();
    for t in (0..2500).map(ms) {
        for (_, i, from) in answers.extract_if(.., |(at, ..)| *at <= t) {
            feeds.get_mut(&from).unwrap().end();
            let cold = from < peer(starting);
            warmers[i].answered(from, if cold { Level::Warming } else { Level::Warm });
        }
        for (i, w) in warmers.iter_mut().enumerate() {
            for ask in w.due(t) {
                *asked.entry(ask.peer).or_default() += 1;
                *burst.entry((ask.peer, t.as_millis() / 50)).or_default() += 1;
                match feeds.get_mut(&ask.peer).unwrap().begin() {
                    Ok(()) => answers.push((t + ms(30), i, ask.peer)),
                    Err(refused) => w.busy(t, ask.peer, refused.after),
                }
            }
        }
    }
    let warm = warmers.iter().filter(|w| w.level().0 == Level::Warm).count();
    assert_eq!(warm, usize::from(starting), "all are warm within the deadline");
    let most = asked.values().max().unwrap();
    let in_50_ms = burst.values().max().unwrap();
    assert!(*most <= 12 && *in_50_ms <= 5, "{most} questions to one peer, {in_50_ms} within 50 ms");
}

#[test]
fn kept_messages_are_resumed_for_a_while_and_bounded() {
    let mut f = Feeds::new(1, ms(50));
    assert!(f.begin().is_ok());
    assert_eq!(f.begin(), Err(Refused { after: ms(50) }));
    f.end();
    assert!(f.begin().is_ok());
    let kept = f.keep(ms(0), vec![1, 2, 3]);
    assert_eq!(*f.kept(ms(9_999), kept.tag).unwrap().bytes, [1, 2, 3]);
    assert!(f.kept(ms(10_000), kept.tag).is_none());
    let tags: Vec<_> = (0..40).map(|_| f.keep(ms(1), vec![0; 10]).tag).collect();
    assert!(f.kept(ms(2), tags[0]).is_none() && f.kept(ms(2), tags[39]).is_some());
}

#[test]
fn a_whole_fleet_that_is_cold_asks_a_bounded_number_of_questions() {
    let mut w = warmer(6, 300);
    let mut asked = 0;
    for t in (300..2500).map(ms) {
        for ask in w.due(t) {
            asked += 1;
            w.answered(ask.peer, Level::Warming);
        }
    }
    assert_eq!(asked, 8, "four for each answer wanted");
    assert_eq!(w.level(), (Level::Cold, Why::PeersCold));
}
