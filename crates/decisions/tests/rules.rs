//! The placement rules, with a small test for each.

mod common;

use cloverhollow::*;
use common::*;
use std::time::Duration;

#[test]
fn an_at_most_once_set_up_that_may_have_been_executed_fails_and_is_neither_retried_nor_refused() {
    for outcome in
        [AttemptOutcome::Timeout, AttemptOutcome::Error, AttemptOutcome::Reset, AttemptOutcome::Cancelled]
    {
        let mut policy = policy_with_servers(settings(), 4);
        let server = setups(&policy.step(START, &[Event::Request(request(1, 0, START))]))[0].1;
        let actions = policy.step(START + ms(50), &[attempt_ended(1, 0, server, outcome)]);
        let answers: Vec<_> = actions.iter().filter(|a| !matches!(a, Action::Log(_))).collect();
        assert_eq!(answers, [&Action::Fail(1)], "{outcome:?}");
    }
    for outcome in [AttemptOutcome::Full, AttemptOutcome::ConnectFailed, AttemptOutcome::NotSent] {
        let mut policy = policy_with_servers(settings(), 4);
        let server = setups(&policy.step(START, &[Event::Request(request(1, 0, START))]))[0].1;
        let actions = policy.step(START + ms(50), &[attempt_ended(1, 0, server, outcome)]);
        assert_eq!(setups(&actions).len(), 1, "{outcome:?}");
    }
}

#[test]
fn a_request_is_answered_as_soon_as_its_attempts_are_exhausted() {
    let mut policy = policy_with_servers(settings(), 4);
    let mut server = setups(&policy.step(START, &[Event::Request(request(1, 1, START))]))[0].1;
    for attempt in 0..3 {
        let actions =
            policy.step(START + ms(50), &[attempt_ended(1, attempt, server, AttemptOutcome::Error)]);
        match setups(&actions)[..] {
            [(1, next)] if attempt < 2 => {
                assert_ne!(next, server, "a server that has just failed is suspended");
                server = next;
            }
            [] if attempt == 2 => assert!(actions.contains(&Action::Refuse(1, ms(800)))),
            _ => panic!("attempt {attempt}: {actions:?}"),
        }
    }
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut set = settings();
    set.rules.retry_budget = Some(RetryBudget { base: 1.0, per_request: 0.2, window: ms(10_000) });
    let mut policy = policy_with_servers(set, 4);
    let mut retries = 0;
    for r in 0..10 {
        let server = setups(&policy.step(START, &[Event::Request(request(r, 1, START))]))[0].1;
        let actions = policy.step(START, &[attempt_ended(r, 0, server, AttemptOutcome::NotSent)]);
        retries += setups(&actions).len();
        assert!(retries as f64 <= 1.0 + 0.2 * (r + 1) as f64);
    }
    assert_eq!(retries, 3);
}

#[test]
fn draining_removed_and_unlisted_servers_get_no_set_ups() {
    for state in [ServerState::Draining, ServerState::Removed] {
        let mut policy = policy_with_servers(settings(), 2);
        let update = Event::ListUpdate(ListMode::Patch, vec![ListEntry { state, ..entry(0) }]);
        // The update comes in the same instant, after the requests.
        let mut events: Vec<_> = (0..6).map(|r| Event::Request(request(r, 1, START))).collect();
        events.push(update);
        assert!(setups(&policy.step(START, &events)).iter().all(|s| s.1 == 1));
    }
    let mut policy = policy_with_servers(settings(), 2);
    let t = START + ms(10);
    let full_list = Event::ListUpdate(ListMode::Full, vec![entry(1)]);
    let actions =
        policy.step(t, &[full_list, Event::Request(request(1, 1, t)), Event::Request(request(2, 1, t))]);
    assert!(setups(&actions).iter().all(|s| s.1 == 1));
}

#[test]
fn the_limit_of_sessions_per_title_includes_adopted_sessions_and_those_in_set_up() {
    let mut policy = policy_with_servers(settings(), 4);
    policy.step(START, &[Event::Adopted(request(1, 0, START), 0)]);
    let actions = policy.step(START + ms(1), &[2, 3].map(|r| Event::Request(request(r, 0, START))));
    assert_eq!(setups(&actions).len(), 1);
    assert!(actions.contains(&Action::Refuse(3, ms(800))));
}

#[test]
fn a_request_whose_viewer_cannot_play_the_lowest_rung_is_refused_and_no_session_gets_less_under_load() {
    let mut policy = policy_with_servers(settings(), 1);
    let small_screen = SessionRequest { max_rung: 0, ..request(1, 2, START) };
    assert_eq!(policy.step(START, &[Event::Request(small_screen)]), [Action::Refuse(1, ms(800))]);
    let requests: Vec<_> = (2..30).map(|r| Event::Request(request(r, 2, START))).collect();
    let actions = policy.step(START, &requests);
    let below_min = actions.iter().any(|a| matches!(a, Action::SetRung(_, 0)));
    assert!(!below_min && actions.iter().any(|a| matches!(a, Action::SetRung(_, 1))));
}

#[test]
fn degenerate_settings_and_unknown_tenants_lead_to_refusals() {
    for set in [
        Settings::default(),
        Settings { ladder: vec![], ..settings() },
        Settings { link_unit_kb_per_s: 0.0, ..settings() },
    ] {
        let mut policy = policy_with_servers(set, 2);
        let t = START + ms(5);
        let adopted = Event::Adopted(request(8, 0, t), 1);
        let actions = policy
            .step(t, &[adopted, Event::Request(SessionRequest { tenant: Some(9), ..request(1, 1, t) })]);
        assert_eq!(actions.iter().filter(|a| matches!(a, Action::Refuse(1, _))).count(), 1, "{actions:?}");
    }
    let mut policy = SessionPolicy::new(settings(), 1);
    assert_eq!(policy.step(START, &[Event::Request(request(1, 1, START))]), [Action::Refuse(1, ms(800))]);
}

#[test]
fn events_of_unknown_and_finished_requests_are_ignored() {
    let mut policy = policy_with_servers(settings(), 2);
    let unknown = [
        attempt_ended(77, 0, 1, AttemptOutcome::Timeout),
        Event::Playing(77, 0, 1, ms(5)),
        Event::SessionReport(77, 1, SessionReport::DeliveredShare(0.1)),
        Event::ViewerLeft(77),
        Event::Timer(99),
        Event::AttemptEnded(
            77,
            3,
            999,
            AttemptOutcome::Ok,
            true,
            LoadReport { link_load: Some(2.0), uplink_load: Some(2.0) },
        ),
    ];
    assert_eq!(policy.step(START, &unknown), []);
    let cancelled = [Event::Request(request(1, 1, START)), Event::ViewerLeft(1)];
    assert_eq!(policy.step(START, &cancelled), [], "a viewer who left in the same instant gets no answer");
}

/// Guards against a front that is killed after it has used up its retry budget and, restarted within the
/// window, uses it up again.
#[test]
fn retries_of_previous_incarnations_count_against_the_retry_budget() {
    let budget = RetryBudget { base: 2.0, per_request: 0.0, window: ms(10_000) };
    let retries = |history: Option<RecoveredHistory>, at: Duration| {
        let mut set = settings();
        set.rules.retry_budget = Some(budget);
        let mut policy = SessionPolicy::new(set, 1);
        let first = history.map(Event::RecoveredHistory).into_iter().chain([stale_list(4)]);
        policy.step(START, &first.collect::<Vec<_>>());
        let mut n = 0;
        for r in 0..6 {
            let server = setups(&policy.step(at, &[Event::Request(request(r, 1, at))]))[0].1;
            n += setups(&policy.step(at, &[attempt_ended(r, 0, server, AttemptOutcome::NotSent)])).len();
        }
        n
    };
    let history = |ages: &[u64], complete_for| RecoveredHistory {
        retry_ages: ages.iter().map(|a| ms(*a)).collect(),
        complete_for,
        last_setup_age: Some(Duration::ZERO),
        list_delay: Duration::ZERO,
    };
    assert_eq!(retries(None, START), 2, "the first incarnation has the whole budget");
    assert_eq!(retries(Some(history(&[3000, 9000], Duration::MAX)), START), 0);
    assert_eq!(
        retries(Some(history(&[3000, 9000], Duration::MAX)), START + ms(1500)),
        1,
        "one retry has left the window"
    );
    assert_eq!(retries(Some(history(&[11_000], Duration::MAX)), START), 2, "the retry was before the window");
    // Nothing is proven, so the budget counts as used up for one window and is then available in full.
    assert_eq!(retries(Some(history(&[], Duration::ZERO)), START), 0);
    assert_eq!(retries(Some(history(&[], Duration::ZERO)), START + ms(9999)), 0);
    assert_eq!(retries(Some(history(&[], Duration::ZERO)), START + ms(10_000)), 2);
    assert_eq!(retries(Some(history(&[], ms(6000))), START + ms(3999)), 0);
    assert_eq!(retries(Some(history(&[], ms(6000))), START + ms(4000)), 2);
}
