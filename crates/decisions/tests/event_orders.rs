//! The placement rules under unusual but legal orders of events.

mod common;

use cloverhollow::*;
use common::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[test]
fn the_rules_hold_for_unusual_event_orders() {
    let sent: usize = (0..60).map(unusual_run).sum();
    assert!(sent > 60 * 25, "too few requests were sent to exercise the policy: {sent}");
}

/// Simulates servers and viewers that respond to set-ups in any legal way, and checks each action against the
/// rules. Returns the number of requests that were sent to a server.
fn unusual_run(seed: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut set = settings();
    (set.front_count, set.front_index) = (rng.usize(1..4), Some(0));
    set.join_cost_fraction = if rng.bool() { 1.0 } else { 0.2 };
    set.classes[1].live = rng.bool();
    set.cell_count = 4;
    set.rules.retry_budget =
        rng.bool().then_some(RetryBudget { base: 2.0, per_request: 0.2, window: ms(5000) });
    let mut policy = SessionPolicy::new(set.clone(), seed);
    let mut twin = SessionPolicy::new(set.clone(), seed);
    let (mut now, mut last_id) = (START, 0u64);
    let mut listed = BTreeMap::new();
    let mut unanswered: BTreeMap<RequestId, SessionRequest> = BTreeMap::new();
    let mut possibly_executed = BTreeSet::new();
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    let mut in_setup: BTreeMap<RequestId, ServerId> = BTreeMap::new();
    let mut playing: BTreeMap<RequestId, (ServerId, SessionRequest)> = BTreeMap::new();
    let (mut request_times, mut retry_times) = (Vec::new(), Vec::new());
    let mut requests: BTreeMap<RequestId, SessionRequest> = BTreeMap::new();
    let mut events = vec![stale_list(4)];
    listed.extend((0..4).map(|s| (s, ServerState::Serving)));
    for _ in 0..400 {
        now += ms(rng.u64(1..400));
        for _ in 0..rng.usize(0..4) {
            last_id += 1;
            let new_request = SessionRequest {
                title: rng.u64(0..3),
                max_rung: rng.usize(0..5),
                first_cell: rng.u64(0..4),
                cell_count: rng.u64(1..5),
                ..request(last_id, rng.usize(0..3), now)
            };
            request_times.push(now);
            unanswered.insert(last_id, new_request.clone());
            requests.insert(last_id, new_request.clone());
            events.push(Event::Request(new_request));
        }
        if rng.u8(0..20) == 0 {
            let state =
                [ServerState::Draining, ServerState::Removed, ServerState::Serving][rng.usize(0..6).min(2)];
            let started_at = if rng.bool() { now } else { Duration::ZERO };
            let changed = ListEntry { state, started_at, ..entry(rng.u64(0..4)) };
            listed.insert(changed.server, state);
            events.push(Event::ListUpdate(ListMode::Patch, vec![changed]));
        }
        for (id, server) in in_setup.clone() {
            let deadline = requests[&id].deadline;
            let attempt = attempts[&id] - 1;
            let outcome = match rng.u8(0..24) {
                _ if now > deadline => AttemptOutcome::Timeout,
                0 => AttemptOutcome::Error,
                1 => AttemptOutcome::Full,
                2 => AttemptOutcome::ConnectFailed,
                3 => AttemptOutcome::Reset,
                4 => AttemptOutcome::Timeout,
                5..=18 => {
                    in_setup.remove(&id);
                    unanswered.remove(&id);
                    playing.insert(id, (server, requests[&id].clone()));
                    events.push(Event::Playing(id, attempt, server, ms(50)));
                    continue;
                }
                _ => continue,
            };
            in_setup.remove(&id);
            if !outcome.never_executed() {
                possibly_executed.insert(id);
            }
            let load =
                LoadReport { link_load: Some(rng.f64() * 2.0), uplink_load: rng.bool().then(|| rng.f64()) };
            events.push(Event::AttemptEnded(id, attempt, server, outcome, false, load));
        }
        for (id, (server, _)) in playing.clone() {
            let report = match rng.u8(0..30) {
                0 => SessionReport::DeliveredShare(rng.f64()),
                1 => SessionReport::LinkLoad(rng.f64() * 1.5),
                2 => SessionReport::UplinkLoad(rng.f64() * 2.0),
                3 => {
                    playing.remove(&id);
                    let outcome = if rng.bool() { AttemptOutcome::Ok } else { AttemptOutcome::Reset };
                    events.push(Event::AttemptEnded(
                        id,
                        attempts[&id] - 1,
                        server,
                        outcome,
                        true,
                        LoadReport::default(),
                    ));
                    continue;
                }
                _ => continue,
            };
            events.push(Event::SessionReport(id, server, report));
        }
        let actions = policy.step(now, &events);
        assert_eq!(actions, twin.step(now, &events), "same events and seed, same actions");
        events.clear();
        for action in &actions {
            match action {
                Action::Send(id, server, timeout) => {
                    let sent =
                        unanswered.get(id).expect("a set-up was sent for a request that needs no answer");
                    assert!(!in_setup.contains_key(id), "two attempts of one request are in flight");
                    assert_eq!(listed[server], ServerState::Serving);
                    assert!(
                        (server + 4 - sent.first_cell) % 4 < sent.cell_count,
                        "the server does not hold the title"
                    );
                    assert!(*timeout > Duration::ZERO && now + *timeout <= sent.deadline);
                    let at_most_once = set.classes[sent.class].at_most_once;
                    assert!(
                        !(at_most_once && possibly_executed.contains(id)),
                        "an at-most-once set-up that may have been executed was sent again"
                    );
                    let count = attempts.entry(*id).or_default();
                    *count += 1;
                    assert!(*count <= set.limits.max_attempts);
                    if let (Some(budget), true) = (set.rules.retry_budget, *count > 1) {
                        retry_times.push(now);
                        let recent = |times: &[Duration]| {
                            times.iter().filter(|t| **t + budget.window > now).count() as f64
                        };
                        assert!(
                            recent(&retry_times) <= budget.base + budget.per_request * recent(&request_times)
                        );
                    }
                    in_setup.insert(*id, *server);
                    let max_sessions = set.classes[sent.class].max_sessions_per_title;
                    let same = |o: &SessionRequest| o.class == sent.class && o.title == sent.title;
                    let held = in_setup.keys().filter(|r| same(&requests[r])).count()
                        + playing.values().filter(|(_, o)| same(o)).count();
                    assert!(
                        max_sessions == 0 || held <= max_sessions,
                        "more sessions of a title than allowed"
                    );
                }
                Action::SetRung(id, rung) => {
                    let limited = &requests[id];
                    let class = &set.classes[limited.class];
                    assert!(
                        *rung >= class.min_rung && *rung <= class.max_rung.min(limited.max_rung),
                        "the rung is outside the limits of viewer and class"
                    );
                }
                Action::Refuse(id, _) => {
                    let refused = unanswered.remove(id).expect("a request was answered twice");
                    assert!(!in_setup.contains_key(id));
                    assert!(!(set.classes[refused.class].at_most_once && possibly_executed.contains(id)));
                }
                Action::Fail(id) => {
                    unanswered.remove(id).expect("a request was answered twice");
                    assert!(!in_setup.contains_key(id));
                }
                _ => {}
            }
        }
        // A request without an attempt in flight has its answer.
        assert!(
            unanswered.keys().all(|id| in_setup.contains_key(id)),
            "a request has neither an answer nor an attempt in flight"
        );
    }
    attempts.len()
}
