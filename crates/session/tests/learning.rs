//! What a core learns from peers, and what it does with it.

mod common;

use cloverhollow::{ListMode, SessionPolicy};
use cloverhollow_knowledge::Level;
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

/// Passes what `from` knows to `to`, whose clock says `now`.
fn tell(from: &TestCore, from_now: Duration, to: &mut TestCore, now: Duration) -> Vec<String> {
    let message = from.knowledge_snapshot().latest().message(from_now, 9, None, Level::Warm, Vec::new());
    let peer = ([127, 0, 0, 1], 1).into();
    let told = Input::PeerMessage { peer, requested_at: now, nonce: 9, message: Box::new(message) };
    words(&to.step(now, [told]))
}

fn all(n: u64, state: WireState) -> Vec<ServerEntry> {
    (1..=n).map(|id| server(id, state)).collect()
}

#[test]
fn nothing_new_goes_to_a_server_that_a_peers_newer_list_has_draining() {
    let (mut old, mut new) = (core_named("front-1", 1), core_named("front-2", 1));
    let mut servers = all(2, WireState::Serving);
    servers[0].state = WireState::Draining;
    old.step(DAY, [versioned(8, servers)]);
    new.step(DAY, [versioned(5, all(2, WireState::Serving))]);
    assert_eq!(tell(&old, DAY, &mut new, DAY + ms(10)), ["merged true"]);
    for i in 0..6 {
        let out = new.step(DAY + ms(20 + i), [call(i, &format!("s{i}"), "clip")]);
        assert_eq!(sent(&out).server, 2);
    }
    // Its own stream is behind and says once more that it serves: still not.
    new.step(DAY + ms(50), [versioned(6, all(2, WireState::Serving))]);
    assert_eq!(sent(&new.step(DAY + ms(51), [call(20, "a", "clip")])).server, 2);
    // Its own newer word takes it back.
    new.step(DAY + ms(60), [versioned(9, all(1, WireState::Serving))]);
    assert_eq!(sent(&new.step(DAY + ms(61), [call(21, "b", "clip")])).server, 1);
}

#[test]
fn an_old_rumour_of_serving_opens_nothing() {
    let (mut stale, mut new) = (core_named("front-1", 1), core_named("front-2", 1));
    stale.step(DAY, [versioned(4, all(1, WireState::Serving))]);
    new.step(DAY, [versioned(5, all(1, WireState::Draining))]);
    tell(&stale, DAY, &mut new, DAY + ms(10));
    assert_eq!(words(&new.step(DAY + ms(20), [call(1, "s", "clip")])), ["1 refused no-servers"]);
}

#[test]
fn a_server_that_restarted_while_the_front_was_down_is_cold_by_a_peers_word() {
    let (mut old, mut new) = (core_named("front-1", 1), core_named("front-2", 1));
    let mut fresh = server(1, WireState::Serving);
    (fresh.incarnation, fresh.started_ms_ago) = (2, Some(200));
    old.step(DAY, [versioned(8, vec![fresh])]);
    new.step(DAY, [versioned(5, all(1, WireState::Serving))]);
    tell(&old, DAY, &mut new, DAY + ms(10));
    let burst: Vec<_> = (0..20).map(|i| call(i, &format!("c{i}"), "clip")).collect();
    let out = words(&new.step(DAY + ms(20), burst));
    let sent = out.iter().filter(|w| w.starts_with("send")).count();
    assert!(sent <= 2, "{sent} set-ups at once to a server that has just started");
}

#[test]
fn a_full_link_is_known_from_a_peer_and_what_the_front_heard_itself_goes_before() {
    let (mut old, mut new) = (core_named("front-1", 1), core_named("front-2", 1));
    old.step(DAY, [versioned(5, all(2, WireState::Serving))]);
    new.step(DAY, [versioned(5, all(2, WireState::Serving))]);
    // The old one has a session on each server; server 1 tells that it is full.
    let out = old.step(DAY, [call(0, "o0", "clip"), call(1, "o1", "clip")]);
    let setups = out.iter().filter_map(|c| if let Command::Send(s) = c { Some(s) } else { None });
    let playing = setups.map(|s| {
        let load = Load { link: Some(if s.server == 1 { 1.4 } else { 0.1 }), ..Load::default() };
        Input::Playing { attempt: s.attempt, load, response: "" }
    });
    old.step(DAY + ms(1), playing.collect::<Vec<_>>());
    tell(&old, DAY + ms(100), &mut new, DAY + ms(100));
    for i in 0..3 {
        let s = sent(&new.step(DAY + ms(110 + i), [call(i, &format!("n{i}"), "clip")]));
        assert_eq!(s.server, 2, "the full one is left alone");
    }
}

#[test]
fn a_server_that_fails_peers_is_rested_and_an_own_success_goes_before() {
    let (mut old, mut new) = (core_named("front-1", 1), core_named("front-2", 1));
    old.step(DAY, [versioned(5, all(1, WireState::Serving))]);
    let s = sent(&old.step(DAY, [call(1, "o", "clip")]));
    old.step(DAY + ms(5), [ended(s.attempt, AttemptEnd::NotConnected)]);
    new.step(DAY, [versioned(5, all(1, WireState::Serving))]);
    tell(&old, DAY + ms(10), &mut new, DAY + ms(10));
    assert_eq!(words(&new.step(DAY + ms(20), [call(1, "n", "clip")])), ["1 refused no-room"]);
    let mut lucky = core_named("front-3", 1);
    lucky.step(DAY, [versioned(5, all(1, WireState::Serving))]);
    let s = sent(&lucky.step(DAY, [call(1, "l", "clip")]));
    lucky.step(DAY + ms(5), [playing(s.attempt)]);
    tell(&old, DAY + ms(10), &mut lucky, DAY + ms(10));
    sent(&lucky.step(DAY + ms(20), [call(2, "m", "clip")]));
}

#[test]
fn what_was_kept_over_a_stop_counts_only_as_far_as_versions_go() {
    let mut old = core_named("front-1", 1);
    let mut servers = all(2, WireState::Serving);
    servers[0].state = WireState::Draining;
    old.step(DAY, [versioned(8, servers)]);
    let s = sent(&old.step(DAY, [call(1, "o", "clip")]));
    old.step(DAY + ms(5), [ended(s.attempt, AttemptEnd::NotConnected)]);
    let kept = old.knowledge_snapshot().latest().message(DAY + ms(9), 0, None, Level::Warm, Vec::new());
    // The same front, started again with an older list, its clock a year on: the drain counts, the failure
    // of who knows when does not.
    let mut new = core_named("front-1", 2);
    let later = DAY * 366;
    new.step(later, [versioned(5, all(2, WireState::Serving)), Input::PersistedKnowledge(Box::new(kept))]);
    assert_eq!(sent(&new.step(later + ms(5), [call(1, "n", "clip")])).server, 2);
}

#[test]
fn words_of_another_fleet_or_another_question_change_nothing() {
    let (mut old, mut new) = (core_named("front-1", 1), core_named("front-2", 1));
    old.step(DAY, [versioned(8, all(1, WireState::Gone))]);
    new.step(DAY, [versioned(5, all(1, WireState::Serving))]);
    let message = old.knowledge_snapshot().latest().message(DAY, 9, None, Level::Warm, Vec::new());
    let told = |nonce, message| Input::PeerMessage {
        peer: ([127, 0, 0, 1], 1).into(),
        requested_at: DAY,
        nonce,
        message,
    };
    assert_eq!(words(&new.step(DAY, [told(8, Box::new(message.clone()))])), ["merged false"]);
    let other = cloverhollow_knowledge::wire::Message { fleet: 1, ..message };
    assert_eq!(words(&new.step(DAY, [told(9, Box::new(other))])), ["merged false"]);
    sent(&new.step(DAY + ms(5), [call(1, "n", "clip")]));
}
