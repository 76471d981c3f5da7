//! Reports of peers, and health of servers.

mod common;

use cloverhollow::*;
use common::*;
use std::collections::BTreeSet;

#[test]
fn a_peer_report_can_only_make_a_front_more_cautious() {
    let peer_report = |report: PeerReport| Event::PeerReport(report);
    let requests = |n: u64| (0..n).map(|r| Event::Request(request(r, 1, START))).collect::<Vec<_>>();
    // A drain: no set-ups until this front's own list shows the server serving.
    let mut policy = policy_with_servers(settings(), 1);
    policy.step(
        START,
        &[peer_report(PeerReport { server: 0, state: ServerState::Draining, ..PeerReport::default() })],
    );
    assert!(setups(&policy.step(START + ms(1), &requests(1))).is_empty());
    policy.step(START + ms(2), &[peer_report(PeerReport { server: 0, ..PeerReport::default() })]);
    assert!(
        setups(&policy.step(START + ms(3), &[Event::Request(request(9, 1, START))])).is_empty(),
        "a peer's report of a serving server does not end the drain"
    );
    policy.step(START + ms(4), &[stale_list(1)]);
    assert_eq!(setups(&policy.step(START + ms(5), &[Event::Request(request(10, 1, START))])).len(), 1);
    // A start: the server is cold.
    let mut policy = policy_with_servers(settings(), 1);
    policy.step(
        START,
        &[peer_report(PeerReport { server: 0, started_at: START - ms(100), ..PeerReport::default() })],
    );
    assert!(setups(&policy.step(START + ms(1), &requests(10))).len() <= 1);
    // A failure: the server is suspended, unless sessions of this front play there.
    let failed = PeerReport { server: 0, failed: true, may_have_restarted: true, ..PeerReport::default() };
    let mut policy = policy_with_servers(settings(), 1);
    policy.step(START, &[peer_report(failed)]);
    assert!(setups(&policy.step(START + ms(1), &requests(1))).is_empty());
    let mut policy = policy_with_servers(settings(), 1);
    start_session(&mut policy, 50, 1, START);
    policy.step(START + ms(200), &[peer_report(failed)]);
    assert_eq!(setups(&policy.step(START + ms(201), &requests(1))).len(), 1);
}

#[test]
fn a_peers_load_reading_fades_with_its_age_and_yields_to_a_newer_own_reading() {
    let full = |load_age| PeerReport {
        server: 0,
        load: LoadReport { link_load: Some(1.2), uplink_load: None },
        load_age,
        ..PeerReport::default()
    };
    let sent = |policy: &mut SessionPolicy, now| {
        setups(&policy.step(now, &[Event::Request(request(1, 1, now))])).len()
    };
    let mut policy = policy_with_servers(settings(), 1);
    policy.step(START, &[Event::PeerReport(full(ms(1000)))]);
    assert_eq!(sent(&mut policy, START + ms(1)), 0);
    // The reading fades from the time it was taken: after 20 s it is 21 s old, of 30 s.
    assert_eq!(sent(&mut policy, START + ms(20_000)), 1);
    let mut policy = policy_with_servers(settings(), 1);
    policy.step(START, &[Event::PeerReport(full(ms(29_500)))]);
    assert_eq!(sent(&mut policy, START + ms(1)), 1, "the reading is too old");
    let mut policy = policy_with_servers(settings(), 1);
    let server = start_session(&mut policy, 60, 1, START);
    policy.step(START + ms(150), &[Event::SessionReport(60, server, SessionReport::LinkLoad(0.3))]);
    policy.step(START + ms(200), &[Event::PeerReport(full(ms(5000)))]);
    assert_eq!(sent(&mut policy, START + ms(201)), 1, "this front's own reading is newer");
    // A server that is not on this front's own list gets no set-ups.
    policy.step(START + ms(300), &[Event::PeerReport(PeerReport { server: 77, ..full(ms(0)) })]);
}

#[test]
fn removed_servers_are_forgotten_once_their_sessions_have_ended() {
    let mut policy = SessionPolicy::new(settings(), 1);
    let state =
        |server, state| Event::ListUpdate(ListMode::Patch, vec![ListEntry { state, ..entry(server) }]);
    for n in 1..500u64 {
        let now = START + ms(n * 1000);
        policy.step(now, &[state(n, ServerState::Serving), state(n.saturating_sub(2), ServerState::Removed)]);
    }
    assert_eq!(policy.server_count(), 2);
    // A server with a session stays until the session has ended.
    let request = SessionRequest { cell_count: 4, ..request(1, 1, START + ms(600_000)) };
    let out = policy.step(START + ms(600_000), &[Event::Request(request)]);
    let server = out.iter().find_map(|a| match a {
        Action::Send(_, server, _) => Some(*server),
        _ => None,
    });
    let server = server.expect("a server has room");
    policy.step(START + ms(600_010), &[state(498, ServerState::Removed), state(499, ServerState::Removed)]);
    assert_eq!(policy.server_count(), 1);
    let ended = Event::AttemptEnded(1, 0, server, AttemptOutcome::Reset, true, LoadReport::default());
    policy.step(START + ms(600_020), &[ended, state(700, ServerState::Serving)]);
    assert_eq!(policy.server_count(), 1, "only the new server is left");
}

/// Guards against a client whose set-ups no server can serve and which gets all servers suspended one after
/// the other.
#[test]
fn a_set_up_that_no_server_can_serve_suspends_no_server() {
    let mut policy = SessionPolicy::new(settings(), 3);
    policy.step(START, &[stale_list(4)]);
    let mut error_servers = Vec::new();
    for n in 1..=20 {
        let mut out = policy.step(START + ms(n * 10), &[Event::Request(request(n, 1, START))]);
        let mut of_request = Vec::new();
        for attempt in 0.. {
            let Some((_, server)) = setups(&out).first().copied() else { break };
            of_request.push(server);
            out =
                policy.step(START + ms(n * 10), &[attempt_ended(n, attempt, server, AttemptOutcome::Error)]);
        }
        assert!(
            of_request.windows(2).all(|w| w[0] != w[1]),
            "a retry goes to another server than the one that replied with an error: {of_request:?}"
        );
        error_servers.extend(of_request);
        // Other requests are served meanwhile, at all servers.
        for served in n * 100..n * 100 + 16 {
            let out = policy.step(START + ms(n * 10 + 5), &[Event::Request(request(served, 0, START))]);
            let (_, server) = setups(&out)[0];
            policy.step(START + ms(n * 10 + 6), &[Event::Playing(served, 0, server, ms(1))]);
            let done =
                Event::AttemptEnded(served, 0, server, AttemptOutcome::Ok, true, LoadReport::default());
            policy.step(START + ms(n * 10 + 7), &[done]);
        }
    }
    let late_error_servers: BTreeSet<_> = error_servers[30..].iter().collect();
    assert!(
        error_servers.len() > 40 && late_error_servers.len() == 4,
        "none is suspended: {error_servers:?}"
    );
}

#[test]
fn a_server_that_replies_with_errors_to_two_requests_in_a_row_is_suspended() {
    let mut policy = SessionPolicy::new(settings(), 3);
    policy.step(START, &[stale_list(1)]);
    for n in 1..=2 {
        let out = policy.step(START + ms(n), &[Event::Request(request(n, 0, START))]);
        let (_, server) = setups(&out)[0];
        policy.step(START + ms(n), &[attempt_ended(n, 0, server, AttemptOutcome::Error)]);
    }
    let out = policy.step(START + ms(3), &[Event::Request(request(3, 1, START))]);
    assert!(setups(&out).is_empty(), "two errors in a row, of two requests");
}

#[test]
fn a_server_in_the_same_zone_is_preferred_unless_it_is_more_utilized() {
    for seed in 0..20 {
        let mut policy = SessionPolicy::new(settings(), seed);
        let entry_in_zone = |server| ListEntry { in_other_zone: server != 2, ..entry(server) };
        policy.step(START, &[Event::ListUpdate(ListMode::Stale, (0..4).map(entry_in_zone).collect())]);
        let out = policy.step(START + ms(1), &[Event::Request(request(1, 1, START))]);
        assert_eq!(setups(&out), [(1, 2)]);
        let out = policy.step(START + ms(2), &[Event::Request(request(2, 1, START))]);
        assert_ne!(setups(&out), [(2, 2)], "the server in the same zone has a session by now");
    }
}
