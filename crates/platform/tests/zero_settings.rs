//! Settings that are zero, absent or shorter than a round trip. Each request must get one response in time, timers must not
//! make the front busy-loop, and each attempt must end.

use cloverhollow::{ListMode, SessionPolicy};
use cloverhollow_platform::settings::{self, SiteSettings};
use cloverhollow_session::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time before the end of the viewer's waiting time at which `cloverhollow node` responds.
const MARGIN: Duration = Duration::from_millis(20);
const DAY: Duration = Duration::from_secs(86_400);
/// Number of steps without progress in time that counts as a busy loop.
const MAX_STEPS_AT_ONCE: usize = 100;

fn full_settings() -> Value {
    json!({
        "balancers": 3, "index": 0, "zone": "east", "kinds": ["std"], "discovery": "pushed",
        "grades": [
            {"name": "clip", "aim": 800.0, "deadline": 2000.0, "effect": "idempotent", "importance": 1.0},
            {"name": "paid", "aim": 1000.0, "deadline": 3000.0, "effect": "at_most_once", "importance": 3.0},
        ],
        "domain": {"level-kb": [200.0, 800.0], "ladder-worth": [0.3, 1.0], "link-unit-kb": 100_000.0,
            "places-by-kind": [500.0], "told-every": 3000.0, "told-late": 1000.0, "seats": [4.0, 4.0],
            "scale-by-class": [1.0, 1.0], "rack-link-kb": 400_000.0, "places": 8.0, "shelves": 4.0, "join": 1.0},
        "invariants": {"ask-within": 100.0, "budget-free": 5.0, "budget-span": 1000.0, "cold": 5000.0,
            "cold-from": 0.5, "extra-share": 0.1, "fall": 1000.0, "fall-multiple": 2.0},
        "limits": {"retry-after": true, "max-retry-after": 700.0, "most-tries": 3, "connect-timeout": 250.0,
            "idle-close": 15_000.0},
    })
}

/// Collects the JSON pointers of all numbers.
fn number_paths(value: &Value, path: &str, paths: &mut Vec<String>) {
    match value {
        Value::Number(_) => paths.push(path.to_owned()),
        Value::Array(items) => {
            items.iter().enumerate().for_each(|(i, v)| number_paths(v, &format!("{path}/{i}"), paths))
        }
        Value::Object(fields) => {
            fields.iter().for_each(|(name, v)| number_paths(v, &format!("{path}/{name}"), paths))
        }
        _ => {}
    }
}

fn core(site: &SiteSettings) -> Core<SessionPolicy, (), ()> {
    let s = &site.settings;
    let deadline = |i: usize| site.deadlines.get(i).copied().unwrap_or_default();
    let class =
        |(i, c): (usize, &cloverhollow::Class)| ClassConfig { paid: c.at_most_once, deadline: deadline(i) };
    let config = CoreConfig {
        classes: s.classes.iter().enumerate().map(class).collect(),
        rates_kbps: s.classes.iter().map(|_| [].into()).collect(),
        server_kinds: site.names.kinds.clone(),
        zone: site.names.zone.clone(),
        retry_after: s.limits.max_retry_after,
        answer_margin: MARGIN,
        max_sessions: 100,
        max_waiting: 1,
        max_paid_sessions: 8,
        idle_timeout: None,
        persistence: None,
    };
    Core::new(SessionPolicy::new(s.clone(), 7), config, 1)
}

fn entry(id: u64) -> ServerEntry {
    let address = ([127, 0, 0, 1], 9_000 + id as u16).into();
    let (zone, kind) = ("east".into(), "std".into());
    let state = WireState::Serving;
    ServerEntry {
        id,
        key: None,
        address,
        zone,
        kind,
        cell: id,
        weight: 4.0,
        state,
        incarnation: 1,
        started_ms_ago: None,
    }
}

fn arrival(class: usize, viewer: u64, max_wait: Duration) -> Input<(), ()> {
    Input::Arrived(Arrival {
        viewer: ViewerId(viewer),
        sid: format!("{viewer:016x}").into(),
        title: viewer,
        class,
        tenant: None,
        max_rung: 1,
        first_cell: 0,
        cell_count: 9,
        repeated: false,
        max_wait,
        already_playing: false,
        hint_faults: Default::default(),
        hint_contradictions: Default::default(),
        payload: (),
    })
}

/// Reaction of all servers to a set-up.
#[derive(Clone, Copy, Debug)]
enum Servers {
    Answer,
    Full,
    Refuse,
    Silent,
    None,
}

/// Simulates one request of each class; each must get one response in time.
fn simulate(case: &str, site: &SiteSettings, servers: Servers, max_wait: Duration) {
    let case = format!("{case}, {servers:?}, waiting time {max_wait:?}");
    let mut core = core(site);
    let mut now = DAY;
    let listed = if matches!(servers, Servers::None) { 0 } else { 4 };
    let entries = (1..=listed).map(entry).collect();
    let mut inputs = vec![
        Input::ClockOffset(DAY),
        Input::ListUpdate(ListUpdate { mode: ListMode::Full, version: 1, entries }),
    ];
    inputs.extend((0..site.settings.classes.len()).map(|c| arrival(c, c as u64 + 1, max_wait)));
    let (mut answers, mut open, mut steps_at_once) = (BTreeMap::new(), BTreeMap::new(), 0);
    loop {
        let commands = core.step(now, std::mem::take(&mut inputs));
        assert_eq!(core.check(), Ok(()), "{case}");
        for command in commands {
            let end = |attempt, end| Input::AttemptEnded { attempt, end, load: Load::default() };
            match command {
                Command::Send(s) => match servers {
                    Servers::Answer => inputs.push(Input::Playing {
                        attempt: s.attempt,
                        load: Load::default(),
                        response: (),
                    }),
                    Servers::Full => inputs.push(end(s.attempt, AttemptEnd::Full)),
                    Servers::Refuse => inputs.push(end(s.attempt, AttemptEnd::NotConnected)),
                    Servers::Silent | Servers::None => _ = open.insert(s.attempt, s.sid),
                },
                Command::Cancel { attempt, .. } => {
                    let cancelled = open.remove(&attempt);
                    inputs.extend(cancelled.map(|_| end(attempt, AttemptEnd::Unanswered)));
                }
                Command::Answer { viewer, .. } => {
                    assert!(answers.insert(viewer, now).is_none(), "{case}: two responses");
                }
                _ => {}
            }
        }
        if inputs.is_empty() {
            match core.next_deadline() {
                Some(due) if due > DAY + Duration::from_secs(5) => break,
                Some(due) if due > now => (now, steps_at_once) = (due, 0),
                Some(_) => {}
                None => break,
            }
        }
        steps_at_once += 1;
        assert!(steps_at_once < MAX_STEPS_AT_ONCE, "{case}: busy loop");
    }
    assert_eq!(answers.len(), site.settings.classes.len(), "{case}: responses are missing");
    // The waiting time less the margin; if that is nothing, the response is due at once.
    let latest = DAY + max_wait.saturating_sub(MARGIN);
    assert!(answers.values().all(|at| *at <= latest), "{case}: {answers:?} after {latest:?}");
    assert!(open.is_empty(), "{case}: attempts that never ended");
}

/// Simulates requests under these settings, and returns whether the settings were accepted. If they are rejected, which
/// ends the process before any request, the error must contain `field`.
fn simulate_all(case: &str, settings: &Value, field: &str) -> bool {
    let site = match settings::read(settings.clone()) {
        Ok(site) => site,
        Err(e) => {
            assert!(!field.is_empty() && e.contains(field), "{case}: {e}");
            return false;
        }
    };
    for servers in [Servers::Answer, Servers::Full, Servers::Refuse, Servers::Silent, Servers::None] {
        for wait in [0, 1, 19, 20, 21, 40, 1_500] {
            simulate(case, &site, servers, Duration::from_millis(wait));
        }
    }
    true
}

#[test]
fn zero_absent_or_tiny_settings_still_give_one_response_in_time() {
    let full = full_settings();
    assert!(simulate_all("unchanged", &full, ""));
    let (mut accepted, mut rejected) = (0, 0);
    let mut count = |is_accepted: bool| if is_accepted { accepted += 1 } else { rejected += 1 };
    let mut paths = Vec::new();
    number_paths(&full, "", &mut paths);
    assert!(paths.len() > 30, "{paths:?}");
    for path in paths {
        let field = path.split('/').nth(1).unwrap().to_owned();
        for value in [0.0, 1e-3, 1.0] {
            let mut changed = full.clone();
            *changed.pointer_mut(&path).unwrap() = value.into();
            count(simulate_all(&format!("{path} {value}"), &changed, &field));
        }
        let (parent, name) = path.rsplit_once('/').unwrap();
        let mut without = full.clone();
        if let Some(Value::Object(fields)) = without.pointer_mut(parent) {
            fields.remove(name);
            count(simulate_all(&format!("without {path}"), &without, &field));
        }
    }
    assert!(accepted > 100 && rejected < accepted / 4, "{accepted} accepted, {rejected} rejected");
}

#[test]
fn settings_groups_at_zero_still_give_one_response_in_time() {
    for group in ["/limits", "/invariants", "/domain"] {
        let mut changed = full_settings();
        let mut paths = Vec::new();
        number_paths(changed.pointer(group).unwrap(), group, &mut paths);
        // A field that may not be zero keeps its value.
        for path in &paths {
            let previous = changed.clone();
            *changed.pointer_mut(path).unwrap() = 0.0.into();
            if settings::read(changed.clone()).is_err() {
                changed = previous;
            }
        }
        assert!(simulate_all(&format!("{group} at zero"), &changed, ""));
    }
}
