//! Short delivery: links and uplinks that deliver less than the demand of their sessions.

mod common;

use cloverhollow::*;
use common::*;

/// Guards against impaired servers that make their whole racks look full, so that half the fleet refuses
/// requests.
#[test]
fn a_single_short_server_does_not_mark_its_rack_as_full() {
    let mut policy = policy_with_servers(settings(), 4);
    let short_server = start_session(&mut policy, 1, 1, START);
    let at_cell = |r, cell| SessionRequest { first_cell: cell, cell_count: 1, ..request(r, 1, START) };
    let neighbour = (short_server + 2) % 4;
    policy.step(START + ms(200), &[Event::Request(at_cell(2, neighbour))]);
    policy.step(START + ms(300), &[Event::Playing(2, 0, neighbour, ms(100))]);
    for k in 0..4 {
        policy.step(
            START + ms(3000 + 1000 * k),
            &[Event::SessionReport(1, short_server, SessionReport::DeliveredShare(0.5))],
        );
    }
    let t = START + ms(6100);
    let actions =
        policy.step(t, &[Event::Request(SessionRequest { deadline: t + ms(3000), ..at_cell(3, neighbour) })]);
    assert_eq!(setups(&actions), [(3, neighbour)]);
    let actions = policy
        .step(t, &[Event::Request(SessionRequest { deadline: t + ms(3000), ..at_cell(4, short_server) })]);
    assert!(setups(&actions).is_empty(), "the short server itself counts as full");
}

#[test]
fn a_session_on_a_short_link_steps_down_at_most_once_in_thirty_seconds() {
    let mut policy = policy_with_servers(settings(), 1);
    start_session(&mut policy, 1, 1, START);
    let mut steps = Vec::new();
    for k in 0..40 {
        let t = START + ms(2000 + 1000 * k);
        let actions = policy.step(
            t,
            &[
                Event::SessionReport(1, 0, SessionReport::DeliveredShare(0.7)),
                Event::SessionReport(1, 0, SessionReport::LinkLoad(1.4)),
            ],
        );
        steps.extend(actions.iter().filter(|a| matches!(a, Action::SetRung(1, _))).map(|_| t));
    }
    assert_eq!(steps.len(), 2);
    assert!(steps[1] - steps[0] >= ms(30_000));
}

/// Guards against links that stay empty for 20 s after 6 s of short delivery because its report only fades.
#[test]
fn a_load_reading_one_round_after_the_last_short_delivery_makes_the_link_available_again() {
    let mut policy = policy_with_servers(settings(), 1);
    start_session(&mut policy, 1, 1, START);
    policy.step(START + ms(2000), &[Event::SessionReport(1, 0, SessionReport::DeliveredShare(0.8))]);
    let soon = START + ms(3000);
    let read = Event::SessionReport(1, 0, SessionReport::LinkLoad(0.25));
    let actions = policy.step(soon, &[read.clone(), Event::Request(request(2, 1, soon))]);
    assert!(setups(&actions).is_empty(), "the link may be intermittent, with low readings in between");
    let later = START + ms(6500);
    let actions = policy.step(later, &[read, Event::Request(request(3, 1, later))]);
    assert_eq!(actions[0], Action::SetRung(3, 2));
}

/// Guards against a rack that is overfilled again and again because its uplink has less capacity than the
/// configured mean.
#[test]
fn the_capacity_of_an_uplink_without_readings_follows_from_demand_and_delivered_share() {
    let mut policy = policy_with_servers(settings(), 4);
    let at_cell = |id, cell, now| SessionRequest {
        first_cell: cell,
        cell_count: 1,
        deadline: now + ms(3000),
        ..request(id, 1, START)
    };
    for (r, cell) in [(1, 0), (2, 2)] {
        policy.step(START, &[Event::Request(at_cell(r, cell, START))]);
        policy.step(START + ms(100), &[Event::Playing(r, 0, cell, ms(100))]);
    }
    // Both servers of the rack demand 0.5 of links of 4000 and get 0.75 of that: the uplink has 3000.
    for (k, share) in [(0, 0.75), (1, 0.75), (2, 0.99)] {
        let t = START + ms(3000 + 1000 * k);
        let sessions = [(1, 0), (2, 2)];
        let events = sessions.iter().flat_map(|(r, s)| {
            [SessionReport::LinkLoad(0.5), SessionReport::DeliveredShare(share)]
                .map(|n| Event::SessionReport(*r, *s, n))
        });
        policy.step(t, &events.collect::<Vec<_>>());
    }
    // The links now read 0.35 (2800 in all, 0.93 of 3000): neither the middle rung nor the lowest fits.
    let t = START + ms(10_000);
    let events = [
        Event::SessionReport(1, 0, SessionReport::LinkLoad(0.35)),
        Event::SessionReport(2, 2, SessionReport::LinkLoad(0.35)),
    ];
    let mut events = events.to_vec();
    events.push(Event::Request(at_cell(9, 0, t)));
    let actions = policy.step(t, &events);
    assert!(!actions.iter().any(|a| matches!(a, Action::SetRung(9, r) if *r > 0)), "{actions:?}");
}

#[test]
fn fronts_with_one_session_each_step_down_about_as_many_as_needed() {
    let mut stepped = 0;
    for seed in 0..200 {
        let mut policy = SessionPolicy::new(settings(), seed);
        policy.step(START, &[stale_list(1)]);
        start_session(&mut policy, 1, 1, START);
        let t = START + ms(3000);
        let actions = policy.step(t, &[Event::SessionReport(1, 0, SessionReport::DeliveredShare(0.9))]);
        stepped += actions.iter().filter(|a| matches!(a, Action::SetRung(1, 1))).count();
    }
    // A tenth of 1000 is missing and a step down frees 500, so a fifth of the fronts steps down.
    assert!((20..=60).contains(&stepped), "{stepped} of 200");
}
