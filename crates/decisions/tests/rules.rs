//! The rules, one small test for each, and one for each failure found.

mod common;

use cloverhollow::*;
use common::*;
use std::time::Duration;

#[test]
fn a_paid_set_up_that_may_have_run_is_failed_never_resent_or_refused() {
    for outcome in [Outcome::Timeout, Outcome::Error, Outcome::Reset, Outcome::Cancelled] {
        let mut brain = front(settings(), 4);
        let server = sends(&brain.step(START, &[Event::Call(call(1, 0, START))]))[0].1;
        let actions = brain.step(START + ms(50), &[ended(1, 0, server, outcome)]);
        let answers: Vec<_> = actions.iter().filter(|a| !matches!(a, Action::Log(_))).collect();
        assert_eq!(answers, [&Action::Fail(1)], "{outcome:?}");
    }
    for outcome in [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot] {
        let mut brain = front(settings(), 4);
        let server = sends(&brain.step(START, &[Event::Call(call(1, 0, START))]))[0].1;
        let actions = brain.step(START + ms(50), &[ended(1, 0, server, outcome)]);
        assert_eq!(sends(&actions).len(), 1, "{outcome:?}");
    }
}

#[test]
fn attempts_stay_within_their_number_and_then_the_answer_comes_at_once() {
    let mut brain = front(settings(), 4);
    let mut server = sends(&brain.step(START, &[Event::Call(call(1, 1, START))]))[0].1;
    for attempt in 0..3 {
        let actions = brain.step(START + ms(50), &[ended(1, attempt, server, Outcome::Error)]);
        match sends(&actions)[..] {
            [(1, next)] if attempt < 2 => {
                assert_ne!(next, server, "a server that just failed rests");
                server = next;
            }
            [] if attempt == 2 => assert!(actions.contains(&Action::Refuse(1, ms(800)))),
            _ => panic!("attempt {attempt}: {actions:?}"),
        }
    }
}

#[test]
fn further_attempts_stay_within_the_ration() {
    let mut set = settings();
    set.rules.ration = Some(Ration { free: 1.0, share: 0.2, span: ms(10_000) });
    let mut brain = front(set, 4);
    let mut further = 0;
    for r in 0..10 {
        let server = sends(&brain.step(START, &[Event::Call(call(r, 1, START))]))[0].1;
        let actions = brain.step(START, &[ended(r, 0, server, Outcome::Moot)]);
        further += sends(&actions).len();
        assert!(further as f64 <= 1.0 + 0.2 * (r + 1) as f64);
    }
    assert_eq!(further, 3);
}

#[test]
fn nothing_goes_to_draining_gone_or_unlisted_servers() {
    for state in [Listed::Draining, Listed::Gone] {
        let mut brain = front(settings(), 2);
        let news = Event::List(ListMode::Patch, vec![Entry { state, ..entry(0) }]);
        // Told in the same instant, after the call.
        let mut events: Vec<_> = (0..6).map(|r| Event::Call(call(r, 1, START))).collect();
        events.push(news);
        assert!(sends(&brain.step(START, &events)).iter().all(|s| s.1 == 1));
    }
    let mut brain = front(settings(), 2);
    let t = START + ms(10);
    let whole = Event::List(ListMode::Whole, vec![entry(1)]);
    let actions = brain.step(t, &[whole, Event::Call(call(1, 1, t)), Event::Call(call(2, 1, t))]);
    assert!(sends(&actions).iter().all(|s| s.1 == 1));
}

#[test]
fn seats_count_adopted_sessions_and_those_in_set_up() {
    let mut brain = front(settings(), 4);
    brain.step(START, &[Event::Adopted(call(1, 0, START), 0)]);
    let actions = brain.step(START + ms(1), &[2, 3].map(|r| Event::Call(call(r, 0, START))));
    assert_eq!(sends(&actions).len(), 1);
    assert!(actions.contains(&Action::Refuse(3, ms(800))));
}

#[test]
fn a_floor_above_the_viewers_top_is_refused_and_floors_hold_under_pressure() {
    let mut brain = front(settings(), 1);
    let small = Call { top: 0, ..call(1, 2, START) };
    assert_eq!(brain.step(START, &[Event::Call(small)]), [Action::Refuse(1, ms(800))]);
    let calls: Vec<_> = (2..30).map(|r| Event::Call(call(r, 2, START))).collect();
    let actions = brain.step(START, &calls);
    let low = actions.iter().any(|a| matches!(a, Action::Rung(_, 0)));
    assert!(!low && actions.iter().any(|a| matches!(a, Action::Rung(_, 1))));
}

/// Incident i05b4e6: sick servers made their racks look full and half the fleet was refused.

#[test]
fn a_tenants_small_screens_and_settings_without_sense_do_no_harm() {
    for set in [
        Settings::default(),
        Settings { ladder: vec![], ..settings() },
        Settings { link_unit: 0.0, ..settings() },
    ] {
        let mut brain = front(set, 2);
        let t = START + ms(5);
        let adopted = Event::Adopted(call(8, 0, t), 1);
        let actions = brain.step(t, &[adopted, Event::Call(Call { tenant: Some(9), ..call(1, 1, t) })]);
        assert_eq!(actions.iter().filter(|a| matches!(a, Action::Refuse(1, _))).count(), 1, "{actions:?}");
    }
    let mut brain = Brain::new(settings(), 1);
    assert_eq!(brain.step(START, &[Event::Call(call(1, 1, START))]), [Action::Refuse(1, ms(800))]);
}

#[test]
fn events_for_what_is_over_or_unknown_are_ignored() {
    let mut brain = front(settings(), 2);
    let stray = [
        ended(77, 0, 1, Outcome::Timeout),
        Event::Playing(77, 0, 1, ms(5)),
        Event::Note(77, 1, Note::Share(0.1)),
        Event::Gone(77),
        Event::Timer(99),
        Event::Ended(77, 3, 999, Outcome::Ok, true, Report { link: Some(2.0), rack: Some(2.0) }),
    ];
    assert_eq!(brain.step(START, &stray), []);
    let gone = [Event::Call(call(1, 1, START)), Event::Gone(1)];
    assert_eq!(brain.step(START, &gone), [], "no answer is owed to one who left in the same instant");
}

#[test]
fn what_earlier_lives_spent_of_the_ration_is_spent() {
    let ration = Ration { free: 2.0, share: 0.0, span: ms(10_000) };
    let further = |before: Option<Before>, at: Duration| {
        let mut set = settings();
        set.rules.ration = Some(ration);
        let mut brain = Brain::new(set, 1);
        let first = before.map(Event::Before).into_iter().chain([whole(4)]);
        brain.step(START, &first.collect::<Vec<_>>());
        let mut n = 0;
        for r in 0..6 {
            let server = sends(&brain.step(at, &[Event::Call(call(r, 1, at))]))[0].1;
            n += sends(&brain.step(at, &[ended(r, 0, server, Outcome::Moot)])).len();
        }
        n
    };
    let known = |ages: &[u64], known| Before {
        further: ages.iter().map(|a| ms(*a)).collect(),
        known,
        ran: Some(Duration::ZERO),
        late: Duration::ZERO,
    };
    assert_eq!(further(None, START), 2, "a first life has it all");
    assert_eq!(further(Some(known(&[3000, 9000], Duration::MAX)), START), 0);
    assert_eq!(
        further(Some(known(&[3000, 9000], Duration::MAX)), START + ms(1500)),
        1,
        "one is out of the span"
    );
    assert_eq!(further(Some(known(&[11_000], Duration::MAX)), START), 2, "long ago");
    // Nothing is proven: all of it counts as spent for a span, then it is whole.
    assert_eq!(further(Some(known(&[], Duration::ZERO)), START), 0);
    assert_eq!(further(Some(known(&[], Duration::ZERO)), START + ms(9999)), 0);
    assert_eq!(further(Some(known(&[], Duration::ZERO)), START + ms(10_000)), 2);
    assert_eq!(further(Some(known(&[], ms(6000))), START + ms(3999)), 0);
    assert_eq!(further(Some(known(&[], ms(6000))), START + ms(4000)), 2);
}
