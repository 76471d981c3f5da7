//! What others say, and health.

mod common;

use cloverhollow::*;
use common::*;
use std::collections::BTreeSet;

#[test]
fn a_peers_word_makes_a_front_more_careful_and_never_less() {
    let heard = |h: Heard| Event::Heard(h);
    let calls = |n: u64| (0..n).map(|r| Event::Call(call(r, 1, START))).collect::<Vec<_>>();
    // A drain: nothing new, until the own list says otherwise.
    let mut brain = front(settings(), 1);
    brain.step(START, &[heard(Heard { server: 0, state: Listed::Draining, ..Heard::default() })]);
    assert!(sends(&brain.step(START + ms(1), &calls(1))).is_empty());
    brain.step(START + ms(2), &[heard(Heard { server: 0, ..Heard::default() })]);
    assert!(
        sends(&brain.step(START + ms(3), &[Event::Call(call(9, 1, START))])).is_empty(),
        "serving opens nothing"
    );
    brain.step(START + ms(4), &[whole(1)]);
    assert_eq!(sends(&brain.step(START + ms(5), &[Event::Call(call(10, 1, START))])).len(), 1);
    // A start: cold.
    let mut brain = front(settings(), 1);
    brain.step(START, &[heard(Heard { server: 0, started: START - ms(100), ..Heard::default() })]);
    assert!(sends(&brain.step(START + ms(1), &calls(10))).len() <= 1);
    // A failure: rested, unless the front's own sessions play there.
    let failed = Heard { server: 0, failed: true, lost: true, ..Heard::default() };
    let mut brain = front(settings(), 1);
    brain.step(START, &[heard(failed)]);
    assert!(sends(&brain.step(START + ms(1), &calls(1))).is_empty());
    let mut brain = front(settings(), 1);
    play(&mut brain, 50, 1, START);
    brain.step(START + ms(200), &[heard(failed)]);
    assert_eq!(sends(&brain.step(START + ms(201), &calls(1))).len(), 1);
}

#[test]
fn a_peers_reading_counts_by_its_age_and_an_own_later_one_goes_before() {
    let full =
        |age| Heard { server: 0, report: Report { link: Some(1.2), rack: None }, age, ..Heard::default() };
    let sent = |brain: &mut Brain, now| sends(&brain.step(now, &[Event::Call(call(1, 1, now))])).len();
    let mut brain = front(settings(), 1);
    brain.step(START, &[Event::Heard(full(ms(1000)))]);
    assert_eq!(sent(&mut brain, START + ms(1)), 0);
    // It has faded by its whole age: after 20 s more it is 21 s old of 30.
    assert_eq!(sent(&mut brain, START + ms(20_000)), 1);
    let mut brain = front(settings(), 1);
    brain.step(START, &[Event::Heard(full(ms(29_500)))]);
    assert_eq!(sent(&mut brain, START + ms(1)), 1, "too old to count");
    let mut brain = front(settings(), 1);
    let server = play(&mut brain, 60, 1, START);
    brain.step(START + ms(150), &[Event::Note(60, server, Note::Link(0.3))]);
    brain.step(START + ms(200), &[Event::Heard(full(ms(5000)))]);
    assert_eq!(sent(&mut brain, START + ms(201)), 1, "its own reading is later");
    // A server that the own list never named is never sent to.
    brain.step(START + ms(300), &[Event::Heard(Heard { server: 77, ..full(ms(0)) })]);
}

/// Seen live: a front spent its ration, was killed, came back two seconds later and spent it again (rule 6).

#[test]
fn servers_that_are_gone_for_good_are_let_go() {
    let mut brain = Brain::new(settings(), 1);
    let state = |server, state| Event::List(ListMode::Patch, vec![Entry { state, ..entry(server) }]);
    for n in 1..500u64 {
        let now = START + ms(n * 1000);
        brain.step(now, &[state(n, Listed::Serving), state(n.saturating_sub(2), Listed::Gone)]);
    }
    assert_eq!(brain.servers(), 2);
    // One where a session is stays until that has ended.
    let request = Call { cells: 4, ..call(1, 1, START + ms(600_000)) };
    let out = brain.step(START + ms(600_000), &[Event::Call(request)]);
    let server = out.iter().find_map(|a| match a {
        Action::Send(_, server, _) => Some(*server),
        _ => None,
    });
    let server = server.expect("there is room");
    brain.step(START + ms(600_010), &[state(498, Listed::Gone), state(499, Listed::Gone)]);
    assert_eq!(brain.servers(), 1);
    let ended = Event::Ended(1, 0, server, Outcome::Reset, true, Report::default());
    brain.step(START + ms(600_020), &[ended, state(700, Listed::Serving)]);
    assert_eq!(brain.servers(), 1, "the new one alone");
}

/// Seen on sockets: a client's set-ups that no server can serve had every server rest, one after the other.
#[test]
fn a_set_up_that_no_server_can_serve_rests_none() {
    let mut brain = Brain::new(settings(), 3);
    brain.step(START, &[whole(4)]);
    let mut at = Vec::new();
    for n in 1..=20 {
        let mut out = brain.step(START + ms(n * 10), &[Event::Call(call(n, 1, START))]);
        let mut own = Vec::new();
        for attempt in 0.. {
            let Some((_, server)) = sends(&out).first().copied() else { break };
            own.push(server);
            out = brain.step(START + ms(n * 10), &[ended(n, attempt, server, Outcome::Error)]);
        }
        assert!(own.windows(2).all(|w| w[0] != w[1]), "not sent again to where it got an error: {own:?}");
        at.extend(own);
        // Others are served meanwhile, at all servers.
        for good in n * 100..n * 100 + 16 {
            let out = brain.step(START + ms(n * 10 + 5), &[Event::Call(call(good, 0, START))]);
            let (_, server) = sends(&out)[0];
            brain.step(START + ms(n * 10 + 6), &[Event::Playing(good, 0, server, ms(1))]);
            let done = Event::Ended(good, 0, server, Outcome::Ok, true, Report::default());
            brain.step(START + ms(n * 10 + 7), &[done]);
        }
    }
    let everywhere: BTreeSet<_> = at[30..].iter().collect();
    assert!(at.len() > 40 && everywhere.len() == 4, "none rests: {at:?}");
}

#[test]
fn a_server_that_errs_at_one_request_after_the_other_rests() {
    let mut brain = Brain::new(settings(), 3);
    brain.step(START, &[whole(1)]);
    for n in 1..=2 {
        let out = brain.step(START + ms(n), &[Event::Call(call(n, 0, START))]);
        let (_, server) = sends(&out)[0];
        brain.step(START + ms(n), &[ended(n, 0, server, Outcome::Error)]);
    }
    let out = brain.step(START + ms(3), &[Event::Call(call(3, 1, START))]);
    assert!(sends(&out).is_empty(), "two in a row, by two requests");
}

#[test]
fn of_servers_alike_one_in_the_own_zone_is_picked_and_a_fuller_one_is_not() {
    for seed in 0..20 {
        let mut brain = Brain::new(settings(), seed);
        let far = |server| Entry { far: server != 2, ..entry(server) };
        brain.step(START, &[Event::List(ListMode::Stale, (0..4).map(far).collect())]);
        let out = brain.step(START + ms(1), &[Event::Call(call(1, 1, START))]);
        assert_eq!(sends(&out), [(1, 2)]);
        let out = brain.step(START + ms(2), &[Event::Call(call(2, 1, START))]);
        assert_ne!(sends(&out), [(2, 2)], "it has a session by now");
    }
}
