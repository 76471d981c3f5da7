//! The rules hold over event orders that nobody would expect.

mod common;

use cloverhollow::*;
use common::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The rules over odd but legal event orders, with fixed seeds.
#[test]
fn the_rules_hold_over_odd_event_orders() {
    let sent: usize = (0..60).map(odd_day).sum();
    assert!(sent > 60 * 25, "the days exercise the front: {sent} requests sent");
}

/// A world that answers sends with whatever is legal, and checks each action against the rules.
fn odd_day(seed: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut set = settings();
    (set.fronts, set.number) = (rng.usize(1..4), Some(0));
    set.join = if rng.bool() { 1.0 } else { 0.2 };
    set.classes[1].live = rng.bool();
    set.cells = 4;
    set.rules.ration = rng.bool().then_some(Ration { free: 2.0, share: 0.2, span: ms(5000) });
    let mut brain = Brain::new(set.clone(), seed);
    let mut twin = Brain::new(set.clone(), seed);
    let (mut now, mut next) = (START, 0u64);
    let mut listed = BTreeMap::new();
    let mut owed: BTreeMap<RequestId, Call> = BTreeMap::new();
    let mut may_have_run = BTreeSet::new();
    let mut tries: BTreeMap<RequestId, u32> = BTreeMap::new();
    let mut out: BTreeMap<RequestId, ServerId> = BTreeMap::new(); // in set-up
    let mut on: BTreeMap<RequestId, (ServerId, Call)> = BTreeMap::new(); // playing
    let (mut taken, mut extra) = (Vec::new(), Vec::new());
    let mut calls: BTreeMap<RequestId, Call> = BTreeMap::new();
    let mut events = vec![whole(4)];
    listed.extend((0..4).map(|s| (s, Listed::Serving)));
    for _ in 0..400 {
        now += ms(rng.u64(1..400));
        for _ in 0..rng.usize(0..4) {
            next += 1;
            let c = Call {
                title: rng.u64(0..3),
                top: rng.usize(0..5),
                first_cell: rng.u64(0..4),
                cells: rng.u64(1..5),
                ..call(next, rng.usize(0..3), now)
            };
            taken.push(now);
            owed.insert(next, c.clone());
            calls.insert(next, c.clone());
            events.push(Event::Call(c));
        }
        if rng.u8(0..20) == 0 {
            let state = [Listed::Draining, Listed::Gone, Listed::Serving][rng.usize(0..6).min(2)];
            let started = if rng.bool() { now } else { Duration::ZERO };
            let e = Entry { state, started, ..entry(rng.u64(0..4)) };
            listed.insert(e.server, state);
            events.push(Event::List(ListMode::Patch, vec![e]));
        }
        for (r, s) in out.clone() {
            let deadline = calls[&r].deadline;
            let hop = tries[&r] - 1;
            let outcome = match rng.u8(0..24) {
                _ if now > deadline => Outcome::Timeout,
                0 => Outcome::Error,
                1 => Outcome::Full,
                2 => Outcome::ConnectFailed,
                3 => Outcome::Reset,
                4 => Outcome::Timeout,
                5..=18 => {
                    out.remove(&r);
                    owed.remove(&r);
                    on.insert(r, (s, calls[&r].clone()));
                    events.push(Event::Playing(r, hop, s, ms(50)));
                    continue;
                }
                _ => continue,
            };
            out.remove(&r);
            if !outcome.never_ran() {
                may_have_run.insert(r);
            }
            let report = Report { link: Some(rng.f64() * 2.0), rack: rng.bool().then(|| rng.f64()) };
            events.push(Event::Ended(r, hop, s, outcome, false, report));
        }
        for (r, (s, _)) in on.clone() {
            let note = match rng.u8(0..30) {
                0 => Note::Share(rng.f64()),
                1 => Note::Link(rng.f64() * 1.5),
                2 => Note::Rack(rng.f64() * 2.0),
                3 => {
                    on.remove(&r);
                    let how = if rng.bool() { Outcome::Ok } else { Outcome::Reset };
                    events.push(Event::Ended(r, tries[&r] - 1, s, how, true, Report::default()));
                    continue;
                }
                _ => continue,
            };
            events.push(Event::Note(r, s, note));
        }
        let actions = brain.step(now, &events);
        assert_eq!(actions, twin.step(now, &events), "same events and seed, same actions");
        events.clear();
        for a in &actions {
            match a {
                Action::Send(r, s, within) => {
                    let c = owed.get(r).expect("sent for one that is owed nothing");
                    assert!(!out.contains_key(r), "two attempts out");
                    assert_eq!(listed[s], Listed::Serving);
                    assert!((s + 4 - c.first_cell) % 4 < c.cells, "no holder");
                    assert!(*within > Duration::ZERO && now + *within <= c.deadline);
                    let paid = set.classes[c.class].at_most_once;
                    assert!(!(paid && may_have_run.contains(r)), "a paid set-up sent again");
                    let n = tries.entry(*r).or_default();
                    *n += 1;
                    assert!(*n <= set.limits.attempts);
                    if let (Some(ration), true) = (set.rules.ration, *n > 1) {
                        extra.push(now);
                        let recent =
                            |l: &[Duration]| l.iter().filter(|t| **t + ration.span > now).count() as f64;
                        assert!(recent(&extra) <= ration.free + ration.share * recent(&taken));
                    }
                    out.insert(*r, *s);
                    let seats = set.classes[c.class].seats;
                    let same = |o: &Call| o.class == c.class && o.title == c.title;
                    let held = out.keys().filter(|r| same(&calls[r])).count()
                        + on.values().filter(|(_, o)| same(o)).count();
                    assert!(seats == 0 || held <= seats, "seats");
                }
                Action::Rung(r, rung) => {
                    let c = &calls[r];
                    let class = &set.classes[c.class];
                    assert!(*rung >= class.floor && *rung <= class.top.min(c.top), "terms");
                }
                Action::Refuse(r, _) => {
                    let c = owed.remove(r).expect("answered twice");
                    assert!(!out.contains_key(r));
                    assert!(!(set.classes[c.class].at_most_once && may_have_run.contains(r)));
                }
                Action::Fail(r) => {
                    owed.remove(r).expect("answered twice");
                    assert!(!out.contains_key(r));
                }
                _ => {}
            }
        }
        // What is not out has its answer: nothing is held back.
        assert!(owed.keys().all(|r| out.contains_key(r)), "a request was held back");
    }
    tries.len()
}
