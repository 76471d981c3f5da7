//! What the tests of the module share: settings, servers, calls.
#![allow(dead_code)] // each test file uses a part

use cloverhollow::*;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub const START: Duration = Duration::from_secs(1000);

/// Four servers in two racks; class 0 is paid for at set-up, class 1 is not.
pub fn settings() -> Settings {
    let class = |at_most_once, seats, floor| Class {
        aim: ms(1000),
        at_most_once,
        worth: 1.0,
        scale: 1.0,
        floor,
        top: 2,
        live: false,
        seats,
    };
    Settings {
        fronts: 1,
        classes: vec![class(true, 2, 0), class(false, 0, 0), class(false, 0, 1)],
        ladder: vec![
            Rung { rate: 200.0, worth: 0.3 },
            Rung { rate: 500.0, worth: 0.7 },
            Rung { rate: 1000.0, worth: 1.0 },
        ],
        streams_by_kind: vec![20.0],
        link_unit: 4000.0,
        rack_uplink: 6000.0,
        cells: 4,
        racks: 2,
        join: 1.0,
        told_late: ms(1000),
        told_every: ms(3000),
        limits: Limits { attempts: 3, hold_off: ms(800) },
        rules: Rules {
            cold: ms(10_000),
            cold_from: 0.4,
            fall_multiple: 2.0,
            fall_span: ms(1000),
            ration: None,
            fall_free: 1.0,
            fall_root: 0.0,
            ask_within: ms(10_000),
        },
        list_pushed: true,
        ..Settings::default()
    }
}

pub fn entry(server: ServerId) -> Entry {
    Entry { server, cell: server, kind: 0, weight: 1.0, state: Listed::Serving, ..Entry::default() }
}

pub fn whole(servers: u64) -> Event {
    Event::List(ListMode::Stale, (0..servers).map(entry).collect())
}

pub fn call(request: RequestId, class: usize, now: Duration) -> Call {
    let deadline = now + ms(3000);
    Call { request, title: 7, class, top: 2, cells: 4, deadline, ..Call::default() }
}

pub fn sends(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let send = |a: &Action| match a {
        Action::Send(r, s, _) => Some((*r, *s)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn ended(request: RequestId, attempt: u32, server: ServerId, outcome: Outcome) -> Event {
    Event::Ended(request, attempt, server, outcome, false, Report::default())
}

/// A front with `n` servers that has answered nothing yet.
pub fn front(set: Settings, n: u64) -> Brain {
    let mut brain = Brain::new(set, 1);
    brain.step(START, &[whole(n)]);
    brain
}

/// Sets one session up and lets it play; returns its server.
pub fn play(brain: &mut Brain, request: RequestId, class: usize, now: Duration) -> ServerId {
    let server = sends(&brain.step(now, &[Event::Call(call(request, class, now))]))[0].1;
    brain.step(now + ms(100), &[Event::Playing(request, 0, server, ms(100))]);
    server
}

/// What a window holds under the line at which a cold server falls, by the settings.
pub fn line(set: &Settings) -> f64 {
    let r = &set.rules;
    let n = r.fall_multiple * set.streams_by_kind[0] / r.cold.as_secs_f64() * r.cold_from;
    n * r.fall_span.as_secs_f64() + r.fall_free + r.fall_root * (n * r.fall_span.as_secs_f64()).sqrt()
}

/// A front that is told of servers `0..servers`, all of which started just now.
pub fn cold_front(set: &Settings, number: Option<usize>, seed: u64, servers: u64) -> Brain {
    let mut brain = Brain::new(Settings { number, ..set.clone() }, seed);
    let cold = |s: u64| Entry { started: START - ms(100), key: s.wrapping_mul(7919), ..entry(s) };
    brain.step(START, &[Event::List(ListMode::Stale, (0..servers).map(cold).collect())]);
    brain
}

/// Sends as much as it may: a call at each of these times, each called off at once. When, ms after the start.
pub fn all_it_may(brain: &mut Brain, times: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut sent = Vec::new();
    for k in times {
        let t = START + ms(k);
        let went = sends(&brain.step(t, &[Event::Call(call(k, 1, t))]));
        sent.extend(went.iter().map(|_| k));
        let off = |s: &(u64, u64)| Event::Ended(s.0, 0, s.1, Outcome::Moot, true, Report::default());
        brain.step(t, &went.iter().map(off).collect::<Vec<_>>());
    }
    sent
}

/// The fullest window of one second, by when set-ups came.
pub fn fullest(mut came: Vec<u64>) -> usize {
    came.sort_unstable();
    (0..came.len()).map(|i| came[i..].iter().take_while(|t| **t < came[i] + 1000).count()).max().unwrap_or(0)
}
