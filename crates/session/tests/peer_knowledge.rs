//! Knowledge received from peers, and its effect on decisions.

mod common;

use cloverhollow::{ListMode, SessionPolicy};
use cloverhollow_knowledge::KnowledgeLevel;
use cloverhollow_session::*;
use common::*;
use std::time::Duration;

fn core_named(name: &str, incarnation: u64) -> TestCore {
    let s =
        settings(&SETTINGS.replace("instance: {seed: 7}", &format!("instance: {{seed: 7, name: {name}}}")));
    Core::new(SessionPolicy::new(s.decisions(), 7), s, incarnation)
}

fn versioned(version: u64, servers: Vec<ServerEntry>) -> Input<u32, &'static str> {
    Input::ListUpdate(ListUpdate { mode: ListMode::Full, version, entries: servers })
}

/// Merges the knowledge of `from` into `to`, whose clock shows `now`.
fn share(from: &TestCore, from_now: Duration, to: &mut TestCore, now: Duration) -> Vec<String> {
    let message =
        from.knowledge_snapshot().latest().message(from_now, 9, None, KnowledgeLevel::Warm, Vec::new());
    let peer = ([127, 0, 0, 1], 1).into();
    let input = Input::PeerMessage { peer, requested_at: now, nonce: 9, message: Box::new(message) };
    summaries(&to.step(now, [input]))
}

fn entries(n: u64, state: WireState) -> Vec<ServerEntry> {
    (1..=n).map(|id| server(id, state)).collect()
}

#[test]
fn no_set_up_goes_to_a_server_that_drains_on_a_peers_newer_list() {
    let (mut old, mut new) = (core_named("front-1", 1), core_named("front-2", 1));
    let mut servers = entries(2, WireState::Serving);
    servers[0].state = WireState::Draining;
    old.step(START, [versioned(8, servers)]);
    new.step(START, [versioned(5, entries(2, WireState::Serving))]);
    assert_eq!(share(&old, START, &mut new, START + ms(10)), ["merged true"]);
    for i in 0..6 {
        let out = new.step(START + ms(20 + i), [arrived(i, &format!("s{i}"), "clip")]);
        assert_eq!(sent_setup(&out).server, 2);
    }
    // The front's own stream is behind and lists it as serving once more: it is still not used.
    new.step(START + ms(50), [versioned(6, entries(2, WireState::Serving))]);
    assert_eq!(sent_setup(&new.step(START + ms(51), [arrived(20, "a", "clip")])).server, 2);
    // A newer list of the front's own stream ends the drain.
    new.step(START + ms(60), [versioned(9, entries(1, WireState::Serving))]);
    assert_eq!(sent_setup(&new.step(START + ms(61), [arrived(21, "b", "clip")])).server, 1);
}

#[test]
fn a_peers_older_list_does_not_end_a_drain() {
    let (mut stale, mut new) = (core_named("front-1", 1), core_named("front-2", 1));
    stale.step(START, [versioned(4, entries(1, WireState::Serving))]);
    new.step(START, [versioned(5, entries(1, WireState::Draining))]);
    share(&stale, START, &mut new, START + ms(10));
    assert_eq!(summaries(&new.step(START + ms(20), [arrived(1, "s", "clip")])), ["1 refused no-servers"]);
}

#[test]
fn a_server_that_restarted_while_the_front_was_down_is_cold_by_a_peers_report() {
    let (mut old, mut new) = (core_named("front-1", 1), core_named("front-2", 1));
    let mut fresh = server(1, WireState::Serving);
    (fresh.incarnation, fresh.started_ms_ago) = (2, Some(200));
    old.step(START, [versioned(8, vec![fresh])]);
    new.step(START, [versioned(5, entries(1, WireState::Serving))]);
    share(&old, START, &mut new, START + ms(10));
    let burst: Vec<_> = (0..20).map(|i| arrived(i, &format!("c{i}"), "clip")).collect();
    let out = summaries(&new.step(START + ms(20), burst));
    let sent = out.iter().filter(|w| w.starts_with("send")).count();
    assert!(sent <= 2, "{sent} set-ups at once to a server that has just started");
}

#[test]
fn a_peers_report_of_a_full_link_is_used() {
    let (mut old, mut new) = (core_named("front-1", 1), core_named("front-2", 1));
    old.step(START, [versioned(5, entries(2, WireState::Serving))]);
    new.step(START, [versioned(5, entries(2, WireState::Serving))]);
    // The old front has a session on each server; server 1 reports that it is full.
    let out = old.step(START, [arrived(0, "o0", "clip"), arrived(1, "o1", "clip")]);
    let setups = out.iter().filter_map(|c| if let Command::Send(s) = c { Some(s) } else { None });
    let playing = setups.map(|s| {
        let load = Load { link: Some(if s.server == 1 { 1.4 } else { 0.1 }), ..Load::default() };
        Input::Playing { attempt: s.attempt, load, response: "" }
    });
    old.step(START + ms(1), playing.collect::<Vec<_>>());
    share(&old, START + ms(100), &mut new, START + ms(100));
    for i in 0..3 {
        let s = sent_setup(&new.step(START + ms(110 + i), [arrived(i, &format!("n{i}"), "clip")]));
        assert_eq!(s.server, 2, "the server with the full link is not used");
    }
}

#[test]
fn a_server_that_failed_a_peer_is_suspended_unless_it_worked_for_this_front() {
    let (mut old, mut new) = (core_named("front-1", 1), core_named("front-2", 1));
    old.step(START, [versioned(5, entries(1, WireState::Serving))]);
    let s = sent_setup(&old.step(START, [arrived(1, "o", "clip")]));
    old.step(START + ms(5), [attempt_ended(s.attempt, AttemptEnd::NotConnected)]);
    new.step(START, [versioned(5, entries(1, WireState::Serving))]);
    share(&old, START + ms(10), &mut new, START + ms(10));
    assert_eq!(summaries(&new.step(START + ms(20), [arrived(1, "n", "clip")])), ["1 refused no-room"]);
    let mut other = core_named("front-3", 1);
    other.step(START, [versioned(5, entries(1, WireState::Serving))]);
    let s = sent_setup(&other.step(START, [arrived(1, "l", "clip")]));
    other.step(START + ms(5), [playing(s.attempt)]);
    share(&old, START + ms(10), &mut other, START + ms(10));
    sent_setup(&other.step(START + ms(20), [arrived(2, "m", "clip")]));
}

#[test]
fn only_versioned_observations_of_persisted_knowledge_are_restored() {
    let mut old = core_named("front-1", 1);
    let mut servers = entries(2, WireState::Serving);
    servers[0].state = WireState::Draining;
    old.step(START, [versioned(8, servers)]);
    let s = sent_setup(&old.step(START, [arrived(1, "o", "clip")]));
    old.step(START + ms(5), [attempt_ended(s.attempt, AttemptEnd::NotConnected)]);
    let persisted =
        old.knowledge_snapshot().latest().message(START + ms(9), 0, None, KnowledgeLevel::Warm, Vec::new());
    // The same front after a restart, with an older list and a clock that is a year ahead: the drain counts, the
    // failure of unknown age does not.
    let mut new = core_named("front-1", 2);
    let later = START * 366;
    new.step(
        later,
        [versioned(5, entries(2, WireState::Serving)), Input::PersistedKnowledge(Box::new(persisted))],
    );
    assert_eq!(sent_setup(&new.step(later + ms(5), [arrived(1, "n", "clip")])).server, 2);
}

#[test]
fn messages_of_another_fleet_or_for_another_request_are_rejected() {
    let (mut old, mut new) = (core_named("front-1", 1), core_named("front-2", 1));
    old.step(START, [versioned(8, entries(1, WireState::Gone))]);
    new.step(START, [versioned(5, entries(1, WireState::Serving))]);
    let message = old.knowledge_snapshot().latest().message(START, 9, None, KnowledgeLevel::Warm, Vec::new());
    let input = |nonce, message| Input::PeerMessage {
        peer: ([127, 0, 0, 1], 1).into(),
        requested_at: START,
        nonce,
        message,
    };
    assert_eq!(summaries(&new.step(START, [input(8, Box::new(message.clone()))])), ["merged false"]);
    let other = cloverhollow_knowledge::wire::Message { fleet_id: 1, ..message };
    assert_eq!(summaries(&new.step(START, [input(9, Box::new(other))])), ["merged false"]);
    sent_setup(&new.step(START + ms(5), [arrived(1, "n", "clip")]));
}
