//! Limit of the set-ups that all fronts together send to a cold server.

mod common;

use cloverhollow::*;
use common::*;
use std::time::Duration;

#[test]
fn a_front_sends_a_cold_server_no_more_than_its_share() {
    let mut set = settings();
    set.front_count = 2;
    // 2 x 20 streams / 10 s x 0.4 = 1.6 a second over both fronts, and one more: one a window for this front.
    let sent = saturate(&mut policy_with_cold_servers(&set, None, 1, 1), (0..500).map(|k| 10 * k));
    assert_eq!(sent, [0, 1250, 2500, 3750]);
}

/// Time slots rotate: each front has one in each round at each server, at times that differ between servers.
#[test]
fn each_front_has_time_slots_at_each_server() {
    let mut set = settings();
    set.front_count = 5;
    let mut first_setups = std::collections::BTreeSet::new();
    for front in 0..5 {
        for server in 0..4 {
            let mut policy = policy_with_cold_servers(&set, Some(front), 1, server + 1);
            let removed: Vec<_> =
                (0..server).map(|s| ListEntry { state: ServerState::Removed, ..entry(s) }).collect();
            policy.step(START, &[Event::ListUpdate(ListMode::Patch, removed)]);
            // A round is five intervals of 1.625 s: 3.25 s for the two set-ups of a window.
            let sent = saturate(&mut policy, (0..190).map(|k| 50 * k));
            assert!((1..=2).contains(&sent.len()), "front {front}, server {server}: {sent:?}");
            first_setups.insert((server, sent[0] / 100));
        }
    }
    assert!(first_setups.len() > 12, "{first_setups:?}");
}

/// With a bound of the fleet's size, the shares of all fronts stay within the limit while their number
/// changes. A front sends nothing without a bound, or if its share is less than one set-up.
#[test]
fn fronts_stay_within_a_cold_servers_limit_while_the_size_of_the_fleet_changes() {
    let mut set = settings();
    set.max_streams_by_kind = vec![80.0];
    let limit = overload_limit(&set);
    // Number of fronts and its known bound, by tenths of a second.
    let fronts = |k: u64| if k < 20 { 3u64 } else { 7 };
    let max_fronts = |k: u64| (!(5..8).contains(&k) && !(30..40).contains(&k)).then_some(fronts(k) as usize);
    let mut sent = Vec::new();
    for front in 0..7 {
        let mut policy = policy_with_cold_servers(&set, Some(front as usize), front, 1);
        for k in (0..95).filter(|k| front < fronts(*k)) {
            let t = START + ms(100 * k);
            let events = [Event::FleetSize { max_fronts: max_fronts(k) }, Event::Request(request(k, 1, t))];
            let attempts = setups(&policy.step(t, &events));
            assert!(max_fronts(k).is_some() || attempts.is_empty(), "nothing is sent without a bound");
            sent.extend(attempts.iter().map(|_| 100 * k));
            policy.step(
                t,
                &attempts
                    .iter()
                    .map(|s| attempt_ended(s.0, 0, 0, AttemptOutcome::NotSent))
                    .collect::<Vec<_>>(),
            );
        }
    }
    assert!(max_per_window(sent.clone()) as f64 <= limit, "{} in a window of {limit}", max_per_window(sent));
    assert!(sent.iter().any(|t| *t > 5000), "the server is used again when the bound is known");
    let mut policy = policy_with_cold_servers(&set, Some(0), 1, 1);
    policy.step(START, &[Event::FleetSize { max_fronts: Some(8) }]);
    assert!(
        saturate(&mut policy, (0..190).map(|k| 50 * k)).is_empty(),
        "with a bound alone, fronts have no indices for time slots"
    );
}

#[test]
fn a_server_that_was_seen_to_fail_is_cold_when_it_works_again() {
    let mut policy = policy_with_servers(settings(), 1);
    start_session(&mut policy, 1, 1, START);
    let reset = Event::AttemptEnded(1, 0, 0, AttemptOutcome::Reset, true, LoadReport::default());
    policy.step(START + ms(1000), &[reset]);
    let t = START + ms(6000);
    let burst: Vec<_> = (10..30).map(|r| Event::Request(request(r, 1, t))).collect();
    let first = setups(&policy.step(t, &burst));
    assert_eq!(first.len(), 1, "one set-up finds out whether the server works");
    policy.step(t + ms(100), &[Event::Playing(first[0].0, 0, 0, ms(100))]);
    let t = t + ms(200);
    let burst: Vec<_> = (30..50).map(|r| Event::Request(request(r, 1, t))).collect();
    assert!(setups(&policy.step(t, &burst)).len() <= 1);
}

/// Guards against fronts that are killed and restarted, and send to a cold server again what their previous
/// incarnations have just sent.
#[test]
fn a_front_that_restarts_repeatedly_sends_a_cold_server_no_more_than_its_share() {
    // Each front restarts every 400 ms. Two fronts have a share each, three have time slots; a window of one
    // second holds 2 x 20 / 10 x 0.4 = 1.6 set-ups, and one more.
    let max_in_a_window = |fronts: usize, recovered: bool| {
        let mut sent = Vec::new();
        let mut set = settings();
        set.front_count = fronts;
        for front_index in 0..fronts {
            for incarnation in 0..20u64 {
                let t = START + ms(400 * incarnation);
                let mut policy = SessionPolicy::new(
                    Settings { front_index: Some(front_index), ..set.clone() },
                    incarnation,
                );
                let history = RecoveredHistory {
                    complete_for: Duration::MAX,
                    last_setup_age: Some(Duration::ZERO),
                    ..RecoveredHistory::default()
                };
                let mut events = vec![Event::ListUpdate(
                    ListMode::Stale,
                    vec![ListEntry { started_at: START, ..entry(0) }],
                )];
                if recovered && incarnation > 0 {
                    events.insert(0, Event::RecoveredHistory(history));
                }
                policy.step(t, &events);
                sent.extend(saturate(&mut policy, (0..40).map(|k| 400 * incarnation + 10 * k)));
            }
        }
        max_per_window(sent)
    };
    for fronts in [2, 3] {
        let (with_history, without) = (max_in_a_window(fronts, true), max_in_a_window(fronts, false));
        assert!(
            with_history as f64 <= overload_limit(&settings()),
            "{with_history} in a window of {fronts} fronts"
        );
        assert!(
            without > with_history,
            "the test must detect fronts without history: {without} and {with_history} of {fronts} fronts"
        );
    }
}

/// Guards against the overload of a server that restarts while all fronts are down, when they come back
/// together with lists that do not show that restart yet (it was overloaded within 60 ms).
#[test]
fn a_restarted_front_treats_all_servers_as_cold_until_its_list_is_current() {
    let mut set = settings();
    set.front_count = 3;
    let sent = |list_delay: Duration, at: Duration| {
        let mut n = 0;
        for i in 0..30 {
            let mut policy =
                SessionPolicy::new(Settings { front_index: Some(i % 3), ..set.clone() }, i as u64);
            let history = RecoveredHistory {
                complete_for: Duration::MAX,
                last_setup_age: Some(Duration::ZERO),
                list_delay,
                ..RecoveredHistory::default()
            };
            policy.step(START, &[Event::RecoveredHistory(history), stale_list(1)]);
            // A full list without changes does not end the caution.
            policy.step(START + ms(20), &[Event::ListUpdate(ListMode::Full, vec![entry(0)])]);
            let requests: Vec<_> = (0..5).map(|r| Event::Request(request(r, 1, START + at))).collect();
            n += setups(&policy.step(START + at, &requests)).len();
        }
        n
    };
    assert_eq!(sent(ms(3000), ms(50)), 0, "a previous incarnation may have sent set-ups");
    assert!(
        (1..=20).contains(&sent(ms(3000), ms(2900))),
        "at most two of three fronts send, one set-up each"
    );
    assert!(sent(ms(3000), ms(3000)) > 30, "the list is current by now");
    assert!(sent(ms(0), ms(50)) > 30);
}
