//! The ledger: choice of rungs, load readings and rushes of requests.

mod common;

use cloverhollow::*;
use common::*;

#[test]
fn requests_get_the_highest_rung_that_fits_and_are_refused_when_none_does() {
    let mut policy = policy_with_servers(settings(), 1);
    let mut rungs = Vec::new();
    for r in 0..40 {
        let actions = policy.step(START + ms(r), &[Event::Request(request(r, 1, START))]);
        match actions[..] {
            [Action::SetRung(_, rung), Action::Send(..)] => rungs.push(rung),
            [Action::Refuse(id, after)] => {
                assert_eq!((id, after), (r, ms(800)));
                break;
            }
            _ => panic!("{actions:?}"),
        }
    }
    assert_eq!(rungs[0], 2);
    assert_eq!(*rungs.last().unwrap(), 0);
    assert!(rungs.is_sorted_by(|a, b| a >= b), "{rungs:?}");
    let rate: f64 = rungs.iter().map(|r| settings().ladder[*r].rate_kb_per_s).sum();
    assert!(rate <= 0.95 * 4000.0 && rate > 0.85 * 4000.0, "{rate}");
}

#[test]
fn the_server_with_the_lowest_utilization_of_link_and_uplink_is_selected() {
    let mut policy = policy_with_servers(settings(), 4);
    let first = start_session(&mut policy, 1, 1, START);
    // The other server of its rack shares the uplink, so the other rack has more room.
    let second = start_session(&mut policy, 2, 1, START + ms(200));
    assert_ne!(first % 2, second % 2);
    // Only servers that hold the title are considered: here that of cell 3.
    let only = SessionRequest { first_cell: 3, cell_count: 1, ..request(3, 1, START + ms(400)) };
    assert_eq!(setups(&policy.step(START + ms(400), &[Event::Request(only)])), [(3, 3)]);
}

#[test]
fn capacity_of_ended_sessions_is_available_to_requests_of_the_same_instant() {
    let mut policy = policy_with_servers(settings(), 1);
    let mut r = 0;
    while !setups(&policy.step(START, &[Event::Request(request(r, 1, START))])).is_empty() {
        r += 1;
    }
    let end = Event::AttemptEnded(0, 0, 0, AttemptOutcome::Ok, true, LoadReport::default());
    // The request precedes the end in the batch and still gets the capacity.
    let actions = policy.step(START + ms(10), &[Event::Request(request(99, 1, START)), end]);
    assert_eq!(setups(&actions), [(99, 0)]);
}

#[test]
fn a_load_reading_raises_and_lowers_the_estimate_and_fades() {
    let mut policy = policy_with_servers(settings(), 1);
    let server = start_session(&mut policy, 1, 1, START);
    let full = Event::SessionReport(1, server, SessionReport::LinkLoad(1.2));
    let refused = policy.step(START + ms(2000), &[full, Event::Request(request(2, 1, START + ms(2000)))]);
    assert_eq!(refused, [Action::Refuse(2, ms(800))]);
    let t = START + ms(28_000); // most of the reading has faded
    assert_eq!(setups(&policy.step(t, &[Event::Request(request(3, 1, t))])).len(), 1);
    let mut policy = policy_with_servers(settings(), 1);
    let server = start_session(&mut policy, 1, 1, START);
    policy.step(START + ms(2000), &[Event::SessionReport(1, server, SessionReport::LinkLoad(1.2))]);
    let t = START + ms(5000);
    let empty = Event::SessionReport(1, server, SessionReport::LinkLoad(0.25));
    assert_eq!(setups(&policy.step(t, &[empty, Event::Request(request(2, 1, t))])).len(), 1);
}

#[test]
fn a_load_reading_is_compared_with_the_demand_at_the_time_it_refers_to() {
    let mut policy = policy_with_servers(settings(), 1);
    let server = start_session(&mut policy, 1, 1, START);
    // After a second session has started, a reading of a second ago arrives (0.25: the first session).
    let t = START + ms(5000);
    start_session(&mut policy, 2, 1, t);
    let t = t + ms(600);
    let late = Event::SessionReport(1, server, SessionReport::LinkLoad(0.25));
    let requests = [late, Event::Request(request(3, 1, t)), Event::Request(request(4, 1, t))];
    let actions = policy.step(t, &requests);
    let rung = |id| actions.iter().find(|a| matches!(a, Action::SetRung(r, _) if *r == id));
    // Other fronts demand 0 and this front's sessions 0.5: the highest rung fits once more, but not twice.
    assert_eq!(rung(3), Some(&Action::SetRung(3, 2)));
    assert_ne!(rung(4), Some(&Action::SetRung(4, 2)));
}

/// Guards against sessions that are handed over and play at the lowest rung until they end.
#[test]
fn an_adopted_session_is_raised_once_to_the_rung_of_an_admission() {
    let mut policy = policy_with_servers(settings(), 1);
    let link_load = |x| Event::SessionReport(1, 0, SessionReport::LinkLoad(x));
    policy.step(
        START,
        &[Event::Adopted(request(1, 1, START), 0), Event::SessionReport(1, 0, SessionReport::Rung(0))],
    );
    assert_eq!(policy.step(START + ms(1500), &[link_load(0.97)]), [], "no room");
    assert_eq!(policy.step(START + ms(4500), &[link_load(0.05)]), [Action::SetRung(1, 2)]);
    assert_eq!(policy.step(START + ms(7500), &[link_load(0.25)]), []);
}

/// Guards against servers that look empty for want of a reading and are filled beyond their links.
#[test]
fn a_server_without_readings_is_assumed_to_be_loaded_like_those_with_readings() {
    let mut set = settings();
    (set.front_count, set.rack_count) = (100, 0);
    let mut policy = policy_with_servers(set, 4);
    for r in 0..3 {
        policy.step(START, &[Event::Adopted(request(r, 1, START), r)]);
    }
    let t = START + ms(2000);
    let reports: Vec<_> = (0..3).map(|r| Event::SessionReport(r, r, SessionReport::LinkLoad(0.9))).collect();
    policy.step(t, &reports);
    let only = SessionRequest { first_cell: 3, cell_count: 1, ..request(9, 1, t) };
    let actions = policy.step(t + ms(10), &[Event::Request(only)]);
    assert_eq!(actions, [Action::Refuse(9, ms(800))]);
    // If they read empty, it is assumed to be emptier (the demand assumed for other fronts is a reading).
    let t = START + ms(20_000);
    policy.step(
        t,
        &(0..3).map(|r| Event::SessionReport(r, r, SessionReport::LinkLoad(0.05))).collect::<Vec<_>>(),
    );
    let only = SessionRequest { first_cell: 3, cell_count: 1, ..request(10, 1, t) };
    let actions = policy.step(t + ms(10), &[Event::Request(only)]);
    assert_eq!(setups(&actions), [(10, 3)]);
}

/// Guards against a rush in which all fronts fill servers by readings taken before it.
#[test]
fn a_rush_at_this_front_is_assumed_at_all_fronts_until_the_next_reading() {
    let refused = |fronts: usize| {
        let mut set = settings();
        (set.front_count, set.rack_count) = (fronts, 0);
        let mut policy = policy_with_servers(set, 4);
        policy.step(START, &(0..4).map(|r| Event::Adopted(request(r, 1, START), r)).collect::<Vec<_>>());
        policy.step(
            START + ms(1000),
            &(0..4).map(|r| Event::SessionReport(r, r, SessionReport::LinkLoad(0.5))).collect::<Vec<_>>(),
        );
        let requests: Vec<_> = (10..18).map(|r| Event::Request(request(r, 1, START))).collect();
        let actions = policy.step(START + ms(1500), &requests);
        actions.iter().filter(|a| matches!(a, Action::Refuse(..))).count()
    };
    assert_eq!(refused(1), 0, "with one front there is room for eight");
    assert!(refused(100) >= 4, "a hundred fronts with eight requests each have too little room");
}

/// Guards against one session of this front counting as a hundred in a fleet of a hundred fronts, so that
/// none is raised.
#[test]
fn a_hundred_fronts_raise_as_many_adopted_sessions_as_have_room() {
    let raised = |reading: f64| {
        let mut rate = 0.0;
        for seed in 0..100 {
            let mut set = settings();
            (set.front_count, set.rack_count) = (100, 0);
            let mut policy = SessionPolicy::new(set.clone(), seed);
            policy.step(START, &[stale_list(1), Event::Adopted(request(1, 1, START), 0)]);
            let actions = policy
                .step(START + ms(1500), &[Event::SessionReport(1, 0, SessionReport::LinkLoad(reading))]);
            let rung =
                actions.iter().find_map(|a| if let Action::SetRung(1, r) = a { Some(*r) } else { None });
            rate += set.ladder[rung.unwrap_or(0)].rate_kb_per_s / 100.0;
        }
        rate * reading / 200.0 // utilization of the link when all fronts have raised their sessions
    };
    let half_full_afterwards = raised(0.5);
    assert!((0.6..=0.95).contains(&half_full_afterwards), "{half_full_afterwards}");
    assert!(raised(0.1) > 0.4);
}
