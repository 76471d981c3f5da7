//! Rule 4: what all fronts together send a cold server.

mod common;

use cloverhollow::*;
use common::*;
use std::time::Duration;

#[test]
fn a_cold_server_gets_no_more_than_this_fronts_share() {
    let mut set = settings();
    set.fronts = 2;
    // 2 x 20 streams / 10 s x 0.4 warm = 1.6 a second over both fronts, and one more: one a window for this one.
    let sent = all_it_may(&mut cold_front(&set, None, 1, 1), (0..500).map(|k| 10 * k));
    assert_eq!(sent, [0, 1250, 2500, 3750]);
}

/// Turns go round: each front has one in each round, whichever the server, and at no two servers all alike.
#[test]
fn each_front_has_its_turn_at_each_server() {
    let mut set = settings();
    set.fronts = 5;
    let mut begins = std::collections::BTreeSet::new();
    for front in 0..5 {
        for server in 0..4 {
            let mut brain = cold_front(&set, Some(front), 1, server + 1);
            let off: Vec<_> = (0..server).map(|s| Entry { state: Listed::Gone, ..entry(s) }).collect();
            brain.step(START, &[Event::List(ListMode::Patch, off)]);
            // A round is five steps of 1.625 s: 3.25 s for the two set-ups of a window.
            let sent = all_it_may(&mut brain, (0..190).map(|k| 50 * k));
            assert!((1..=2).contains(&sent.len()), "front {front}, server {server}: {sent:?}");
            begins.insert((server, sent[0] / 100));
        }
    }
    assert!(begins.len() > 12, "{begins:?}");
}

/// Fronts are counted: their parts sum up to no more than a window holds while their number changes; without a count,
/// and where a part is under one set-up, there is none.
#[test]
fn fronts_that_are_counted_stay_within_a_cold_servers_budget_while_their_number_changes() {
    let mut set = settings();
    set.streams_by_kind = vec![80.0];
    let line = line(&set);
    // By tenths of a second: how many there are, and whether anybody can count.
    let there = |k: u64| if k < 20 { 3u64 } else { 7 };
    let counted = |k: u64| (!(5..8).contains(&k) && !(30..40).contains(&k)).then_some(there(k) as usize);
    let mut sent = Vec::new();
    for front in 0..7 {
        let mut brain = cold_front(&set, Some(front as usize), front, 1);
        for k in (0..95).filter(|k| front < there(*k)) {
            let t = START + ms(100 * k);
            let events = [Event::Counted { fronts: counted(k) }, Event::Call(call(k, 1, t))];
            let went = sends(&brain.step(t, &events));
            assert!(counted(k).is_some() || went.is_empty(), "no count, no part");
            sent.extend(went.iter().map(|_| 100 * k));
            brain.step(t, &went.iter().map(|s| ended(s.0, 0, 0, Outcome::Moot)).collect::<Vec<_>>());
        }
    }
    assert!(fullest(sent.clone()) as f64 <= line, "{} in a window of {line}", fullest(sent));
    assert!(sent.iter().any(|t| *t > 5000), "it is used again");
    let mut brain = cold_front(&set, Some(0), 1, 1);
    brain.step(START, &[Event::Counted { fronts: Some(8) }]);
    assert!(all_it_may(&mut brain, (0..190).map(|k| 50 * k)).is_empty(), "a count tells no numbers");
}

#[test]
fn a_server_seen_to_fail_is_cold_when_it_is_back_listed_or_not() {
    let mut brain = front(settings(), 1);
    play(&mut brain, 1, 1, START);
    let reset = Event::Ended(1, 0, 0, Outcome::Reset, true, Report::default());
    brain.step(START + ms(1000), &[reset]);
    let t = START + ms(6000);
    let burst: Vec<_> = (10..30).map(|r| Event::Call(call(r, 1, t))).collect();
    let first = sends(&brain.step(t, &burst));
    assert_eq!(first.len(), 1, "one set-up shows whether it is back");
    brain.step(t + ms(100), &[Event::Playing(first[0].0, 0, 0, ms(100))]);
    let t = t + ms(200);
    let burst: Vec<_> = (30..50).map(|r| Event::Call(call(r, 1, t))).collect();
    assert!(sends(&brain.step(t, &burst)).len() <= 1);
}

/// Seen live: fronts that died and came back sent a cold server anew what their last lives had just sent (rule 4).
#[test]
fn a_front_killed_again_and_again_sends_a_cold_server_no_more_than_one_that_lives() {
    // One life each 400 ms, of two fronts with a part each, and of three that take turns; a window of one second takes
    // 2 x 20 / 10 x 0.4 = 1.6, and one more.
    let most_in_a_window = |fronts: usize, told: bool| {
        let mut sent = Vec::new();
        let mut set = settings();
        set.fronts = fronts;
        for number in 0..fronts {
            for life in 0..20u64 {
                let t = START + ms(400 * life);
                let mut brain = Brain::new(Settings { number: Some(number), ..set.clone() }, life);
                let before = Before { known: Duration::MAX, ran: Some(Duration::ZERO), ..Before::default() };
                let mut events =
                    vec![Event::List(ListMode::Stale, vec![Entry { started: START, ..entry(0) }])];
                if told && life > 0 {
                    events.insert(0, Event::Before(before));
                }
                brain.step(t, &events);
                sent.extend(all_it_may(&mut brain, (0..40).map(|k| 400 * life + 10 * k)));
            }
        }
        fullest(sent)
    };
    for fronts in [2, 3] {
        let (told, untold) = (most_in_a_window(fronts, true), most_in_a_window(fronts, false));
        assert!(told as f64 <= line(&settings()), "{told} in a window of {fronts} fronts");
        assert!(untold > told, "one that forgets is found: {untold} and {told} of {fronts} fronts");
    }
}

/// Found by a hunt: all fronts died, a server started anew meanwhile, and all came back together with lists that
/// did not tell of it yet: it fell over within 60 ms (rule 4).
#[test]
fn a_front_that_came_back_takes_any_server_for_a_cold_one_until_the_list_must_have_told() {
    let mut set = settings();
    set.fronts = 3;
    let sent = |late: Duration, at: Duration| {
        let mut n = 0;
        for i in 0..30 {
            let mut brain = Brain::new(Settings { number: Some(i % 3), ..set.clone() }, i as u64);
            let before =
                Before { known: Duration::MAX, ran: Some(Duration::ZERO), late, ..Before::default() };
            brain.step(START, &[Event::Before(before), whole(1)]);
            // A whole list that tells nothing new lifts no doubt.
            brain.step(START + ms(20), &[Event::List(ListMode::Whole, vec![entry(0)])]);
            let calls: Vec<_> = (0..5).map(|r| Event::Call(call(r, 1, START + at))).collect();
            n += sends(&brain.step(START + at, &calls)).len();
        }
        n
    };
    assert_eq!(sent(ms(3000), ms(50)), 0, "what an earlier life sent is not known");
    assert!((1..=20).contains(&sent(ms(3000), ms(2900))), "two of three at the most, one each");
    assert!(sent(ms(3000), ms(3000)) > 30, "the list must have told by now");
    assert!(sent(ms(0), ms(50)) > 30);
}
