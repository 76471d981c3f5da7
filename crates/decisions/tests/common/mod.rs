//! Settings, servers, requests and helpers shared by the tests.
#![allow(dead_code)] // each test file uses only some of them

use cloverhollow::*;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub const START: Duration = Duration::from_secs(1000);

/// Settings for servers in two racks. Class 0 is executed at most once and allows two sessions per title;
/// class 1 may be repeated; class 2 may be repeated and plays at rung 1 or above.
pub fn settings() -> Settings {
    let class = |at_most_once, max_sessions_per_title, min_rung| Class {
        target_setup_time: ms(1000),
        at_most_once,
        worth: 1.0,
        rate_scale: 1.0,
        min_rung,
        max_rung: 2,
        live: false,
        max_sessions_per_title,
    };
    Settings {
        front_count: 1,
        classes: vec![class(true, 2, 0), class(false, 0, 0), class(false, 0, 1)],
        ladder: vec![
            Rung { rate_kb_per_s: 200.0, worth: 0.3 },
            Rung { rate_kb_per_s: 500.0, worth: 0.7 },
            Rung { rate_kb_per_s: 1000.0, worth: 1.0 },
        ],
        max_streams_by_kind: vec![20.0],
        link_unit_kb_per_s: 4000.0,
        rack_uplink_kb_per_s: 6000.0,
        cell_count: 4,
        rack_count: 2,
        join_cost_fraction: 1.0,
        report_delay: ms(1000),
        report_interval: ms(3000),
        limits: Limits { max_attempts: 3, max_retry_after: ms(800) },
        rules: Rules {
            warm_up: ms(10_000),
            cold_capacity_fraction: 0.4,
            overload_multiple: 2.0,
            overload_window: ms(1000),
            retry_budget: None,
            overload_margin: 1.0,
            overload_margin_root: 0.0,
            list_refresh_interval: ms(10_000),
        },
        list_pushed: true,
        ..Settings::default()
    }
}

/// A serving server, in the cell of the same number.
pub fn entry(server: ServerId) -> ListEntry {
    ListEntry {
        server,
        cell: server,
        kind: 0,
        weight: 1.0,
        state: ServerState::Serving,
        ..ListEntry::default()
    }
}

/// A stale list of servers `0..servers`, all serving.
pub fn stale_list(servers: u64) -> Event {
    Event::ListUpdate(ListMode::Stale, (0..servers).map(entry).collect())
}

pub fn request(id: RequestId, class: usize, now: Duration) -> SessionRequest {
    let deadline = now + ms(3000);
    SessionRequest { id, title: 7, class, max_rung: 2, cell_count: 4, deadline, ..SessionRequest::default() }
}

/// The set-ups among the actions: request and server of each.
pub fn setups(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let setup = |a: &Action| match a {
        Action::Send(r, s, _) => Some((*r, *s)),
        _ => None,
    };
    actions.iter().filter_map(setup).collect()
}

pub fn attempt_ended(id: RequestId, attempt: u32, server: ServerId, outcome: AttemptOutcome) -> Event {
    Event::AttemptEnded(id, attempt, server, outcome, false, LoadReport::default())
}

/// A policy that knows `n` servers and has received no request yet.
pub fn policy_with_servers(settings: Settings, n: u64) -> SessionPolicy {
    let mut policy = SessionPolicy::new(settings, 1);
    policy.step(START, &[stale_list(n)]);
    policy
}

/// Sets up one session and starts it playing; returns its server.
pub fn start_session(policy: &mut SessionPolicy, id: RequestId, class: usize, now: Duration) -> ServerId {
    let server = setups(&policy.step(now, &[Event::Request(request(id, class, now))]))[0].1;
    policy.step(now + ms(100), &[Event::Playing(id, 0, server, ms(100))]);
    server
}

/// Number of set-ups by which a cold server is overloaded if they arrive within one window.
pub fn overload_limit(settings: &Settings) -> f64 {
    let r = &settings.rules;
    let n = r.overload_multiple * settings.max_streams_by_kind[0] / r.warm_up.as_secs_f64()
        * r.cold_capacity_fraction;
    n * r.overload_window.as_secs_f64()
        + r.overload_margin
        + r.overload_margin_root * (n * r.overload_window.as_secs_f64()).sqrt()
}

/// A policy that knows servers `0..servers`, all of which have just started.
pub fn policy_with_cold_servers(
    settings: &Settings,
    front_index: Option<usize>,
    seed: u64,
    servers: u64,
) -> SessionPolicy {
    let mut policy = SessionPolicy::new(Settings { front_index, ..settings.clone() }, seed);
    let cold =
        |s: u64| ListEntry { started_at: START - ms(100), shared_key: s.wrapping_mul(7919), ..entry(s) };
    policy.step(START, &[Event::ListUpdate(ListMode::Stale, (0..servers).map(cold).collect())]);
    policy
}

/// Makes a request at each of these times (in ms after `START`) and ends each attempt as not sent, so that
/// the policy sends as many set-ups as it may. Returns the times of the set-ups.
pub fn saturate(policy: &mut SessionPolicy, times: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut sent = Vec::new();
    for k in times {
        let t = START + ms(k);
        let attempts = setups(&policy.step(t, &[Event::Request(request(k, 1, t))]));
        sent.extend(attempts.iter().map(|_| k));
        let not_sent = |s: &(u64, u64)| {
            Event::AttemptEnded(s.0, 0, s.1, AttemptOutcome::NotSent, true, LoadReport::default())
        };
        policy.step(t, &attempts.iter().map(not_sent).collect::<Vec<_>>());
    }
    sent
}

/// Highest number of arrivals (times in ms) within any window of one second.
pub fn max_per_window(mut arrivals: Vec<u64>) -> usize {
    arrivals.sort_unstable();
    (0..arrivals.len())
        .map(|i| arrivals[i..].iter().take_while(|t| **t < arrivals[i] + 1000).count())
        .max()
        .unwrap_or(0)
}
