//! Settings that are zero, absent or shorter than a round trip: each request gets one answer in time, the decision module
//! never asks for a timer that keeps the front busy, and each attempt has an end.

use cloverhollow::{ListMode, SessionPolicy};
use cloverhollow_platform::settings::{self, SiteSettings};
use cloverhollow_session::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;

/// As `cloverhollow node` answers before a viewer's time is up.
const MARGIN: Duration = Duration::from_millis(20);
const DAY: Duration = Duration::from_secs(86_400);
/// Steps within one instant that are taken for a circle.
const CIRCLE: usize = 100;

fn whole() -> Value {
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

/// The places of all numbers.
fn numbers(value: &Value, at: &str, out: &mut Vec<String>) {
    match value {
        Value::Number(_) => out.push(at.to_owned()),
        Value::Array(of) => of.iter().enumerate().for_each(|(i, v)| numbers(v, &format!("{at}/{i}"), out)),
        Value::Object(of) => of.iter().for_each(|(name, v)| numbers(v, &format!("{at}/{name}"), out)),
        _ => {}
    }
}

fn core(site: &SiteSettings) -> Core<SessionPolicy, (), ()> {
    let s = &site.settings;
    let deadline = |i: usize| site.deadlines.get(i).copied().unwrap_or_default();
    let class =
        |(i, c): (usize, &cloverhollow::Class)| ClassConfig { paid: c.at_most_once, deadline: deadline(i) };
    let terms = CoreConfig {
        classes: s.classes.iter().enumerate().map(class).collect(),
        rates_kbps: s.classes.iter().map(|_| [].into()).collect(),
        server_kinds: site.names.kinds.clone(),
        zone: site.names.zone.clone(),
        retry_after: s.limits.max_retry_after,
        answer_margin: MARGIN,
        max_sessions: 100,
        max_waiting: 1,
        idle_timeout: None,
        persistence: None,
    };
    Core::new(SessionPolicy::new(s.clone(), 7), terms, 1)
}

fn entry(id: u64) -> ServerEntry {
    let address = ([127, 0, 0, 1], 9_000 + id as u16).into();
    let (hall, kind) = ("east".into(), "std".into());
    let state = WireState::Serving;
    ServerEntry {
        id,
        key: None,
        address,
        zone: hall,
        kind,
        cell: id,
        weight: 4.0,
        state,
        incarnation: 1,
        started_ms_ago: None,
    }
}

fn arrival(class: usize, viewer: u64, patience: Duration) -> Input<(), ()> {
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
        max_wait: patience,
        already_playing: false,
        hint_faults: Default::default(),
        hint_contradictions: Default::default(),
        payload: (),
    })
}

/// What its servers do with a set-up.
#[derive(Clone, Copy, Debug)]
enum Servers {
    Answer,
    Full,
    Refuse,
    Silent,
    None,
}

/// A request of each class; each is owed one answer by its time.
fn day(case: &str, site: &SiteSettings, servers: Servers, patience: Duration) {
    let case = format!("{case}, {servers:?}, waits {patience:?}");
    let mut core = core(site);
    let mut now = DAY;
    let listed = if matches!(servers, Servers::None) { 0 } else { 4 };
    let entries = (1..=listed).map(entry).collect();
    let mut inputs = vec![
        Input::ClockOffset(DAY),
        Input::ListUpdate(ListUpdate { mode: ListMode::Full, version: 1, entries }),
    ];
    inputs.extend((0..site.settings.classes.len()).map(|c| arrival(c, c as u64 + 1, patience)));
    let (mut answers, mut open, mut circle) = (BTreeMap::new(), BTreeMap::new(), 0);
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
                    let out = open.remove(&attempt);
                    inputs.extend(out.map(|_| end(attempt, AttemptEnd::Unanswered)));
                }
                Command::Answer { viewer, .. } => {
                    assert!(answers.insert(viewer, now).is_none(), "{case}: two answers");
                }
                _ => {}
            }
        }
        if inputs.is_empty() {
            match core.next_deadline() {
                Some(due) if due > DAY + Duration::from_secs(5) => break,
                Some(due) if due > now => (now, circle) = (due, 0),
                Some(_) => {}
                None => break,
            }
        }
        circle += 1;
        assert!(circle < CIRCLE, "{case}: it goes round in one instant");
    }
    assert_eq!(answers.len(), site.settings.classes.len(), "{case}: unanswered");
    // What the margin leaves of its time; nothing is left where that is more: then at once.
    let by = DAY + patience.saturating_sub(MARGIN);
    assert!(answers.values().all(|at| *at <= by), "{case}: {answers:?} past {by:?}");
    assert!(open.is_empty(), "{case}: attempts without an end");
}

/// Plays days by these settings. What they refuse is named, and ends the process before any request: `part` stands in it.
fn days(case: &str, settings: &Value, part: &str) -> bool {
    let site = match settings::read(settings.clone()) {
        Ok(site) => site,
        Err(e) => {
            assert!(!part.is_empty() && e.contains(part), "{case}: {e}");
            return false;
        }
    };
    for servers in [Servers::Answer, Servers::Full, Servers::Refuse, Servers::Silent, Servers::None] {
        for wait in [0, 1, 19, 20, 21, 40, 1_500] {
            day(case, &site, servers, Duration::from_millis(wait));
        }
    }
    true
}

#[test]
fn any_setting_that_is_zero_absent_or_tiny_leaves_one_answer_in_time() {
    let whole = whole();
    assert!(days("as they are", &whole, ""));
    let (mut played, mut refused) = (0, 0);
    let mut count = |was_played: bool| if was_played { played += 1 } else { refused += 1 };
    let mut places = Vec::new();
    numbers(&whole, "", &mut places);
    assert!(places.len() > 30, "{places:?}");
    for place in places {
        let part = place.split('/').nth(1).unwrap().to_owned();
        for value in [0.0, 1e-3, 1.0] {
            let mut changed = whole.clone();
            *changed.pointer_mut(&place).unwrap() = value.into();
            count(days(&format!("{place} {value}"), &changed, &part));
        }
        let (of, name) = place.rsplit_once('/').unwrap();
        let mut without = whole.clone();
        if let Some(Value::Object(of)) = without.pointer_mut(of) {
            of.remove(name);
            count(days(&format!("without {place}"), &without, &part));
        }
    }
    assert!(played > 100 && refused < played / 4, "{played} played, {refused} refused");
}

#[test]
fn all_limits_and_rules_at_zero_leave_one_answer_in_time() {
    for part in ["/limits", "/invariants", "/domain"] {
        let mut changed = whole();
        let mut places = Vec::new();
        numbers(changed.pointer(part).unwrap(), part, &mut places);
        // Those that have no zero stay: they are refused by name.
        for place in &places {
            let was = changed.clone();
            *changed.pointer_mut(place).unwrap() = 0.0.into();
            if settings::read(changed.clone()).is_err() {
                changed = was;
            }
        }
        assert!(days(&format!("{part} at zero"), &changed, ""));
    }
}
