//! Tests of the core through its public interface, one for each edge case of a session.

mod common;

use cloverhollow::ListMode;
use cloverhollow_session::*;
use common::*;

/// A core with three servers and one pending attempt for a session of a class.
fn core_with_pending_attempt(class: &str) -> (TestCore, Setup<u32>) {
    let mut core = core();
    let out = core.step(START, [serving_list(3), arrived(1, "s", class)]);
    let setup = sent_setup(&out);
    (core, setup)
}

#[test]
fn a_session_is_set_up_answered_and_routed_and_ends_when_idle() {
    let (mut core, setup) = core_with_pending_attempt("clip");
    assert_eq!((setup.attempt.number, setup.rung, setup.kbps), (0, 3, 16_000));
    let out = core.step(START + ms(20), [playing(setup.attempt)]);
    assert_eq!(summaries(&out), ["1 stream body"]);
    let route = core.routes().get("s").expect("a route");
    assert_eq!((route.server, route.kbps()), (setup.server, 16_000));
    // A later request for the same session that arrives before its route is seen follows the route.
    assert_eq!(summaries(&core.step(START + ms(30), [arrived(2, "s", "clip")])), ["2 follow"]);
    route.record_activity(START + ms(4000));
    assert!(core.step(START + ms(5100), []).is_empty(), "the player was active 1.1 s ago");
    assert_eq!(summaries(&core.step(START + ms(9001), [])), ["release s"]);
    assert!(core.routes().is_empty() && core.session_count() == 0);
}

/// With a cut connection to the server, a player that waited for an object counted as idle, and its place was given to
/// another session (rule 5).
#[test]
fn a_session_is_not_idle_while_its_player_waits_for_an_object() {
    let (mut core, setup) = core_with_pending_attempt("clip");
    core.step(START + ms(20), [playing(setup.attempt)]);
    let route = core.routes().get("s").expect("a route").clone();
    let fetch_guard = route.begin_fetch();
    for s in 1..=20 {
        assert!(core.step(START + ms(s * 1_000), []).is_empty(), "an object is in transfer");
    }
    drop(fetch_guard);
    assert_eq!(summaries(&core.step(START + ms(26_000), [])), ["release s"]);
}

#[test]
fn a_players_report_ends_its_session() {
    let (mut core, setup) = core_with_pending_attempt("clip");
    core.step(START + ms(20), [playing(setup.attempt)]);
    let out = core.step(
        START + ms(40),
        [Input::SessionEnded { sid: "s".into(), reason: EndReason::Quit, load: Load::default() }],
    );
    assert_eq!(summaries(&out), ["release s"]);
    assert_eq!(core.session_count(), 0);
}

#[test]
fn an_answer_in_the_same_instant_as_its_time_out_counts() {
    let (mut core, setup) = core_with_pending_attempt("clip");
    let due = core.next_deadline().unwrap();
    let out = core.step(due, [playing(setup.attempt)]);
    assert_eq!(summaries(&out), ["1 stream body"]);
}

#[test]
fn an_answer_between_a_cancellation_and_its_report_counts() {
    let (mut core, setup) = core_with_pending_attempt("clip");
    let due = core.next_deadline().unwrap();
    assert_eq!(summaries(&core.step(due, [])), [format!("cancel {} TimedOut", setup.attempt)]);
    let out = core.step(due, [playing(setup.attempt), attempt_ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(summaries(&out), ["1 stream body"]);
    assert_eq!(core.session_count(), 1);
}

#[test]
fn an_answer_after_the_attempts_end_is_dropped_and_the_server_released() {
    let (mut core, setup) = core_with_pending_attempt("clip");
    let due = core.next_deadline().unwrap();
    core.step(due, []);
    let out = core.step(due, [attempt_ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(summaries(&out)[0], "release s");
    let again = sent_setup(&out);
    assert_ne!(again.server, setup.server);
    assert!(
        core.step(due, [playing(setup.attempt)]).is_empty(),
        "the first attempt's answer changes nothing"
    );
    assert_eq!(summaries(&core.step(due, [playing(again.attempt)])), ["1 stream body"]);
}

#[test]
fn a_paid_set_up_that_may_have_been_executed_fails_and_is_never_repeated() {
    for end in [AttemptEnd::Reset, AttemptEnd::Error { status: 500 }, AttemptEnd::Unanswered] {
        let (mut core, setup) = core_with_pending_attempt("paid");
        let out = summaries(&core.step(START + ms(10), [attempt_ended(setup.attempt, end)]));
        assert_eq!(out[0], "release s");
        assert!(out[1].starts_with("1 failed"), "{out:?}");
        // The same session is not set up again under any class.
        assert_eq!(
            summaries(&core.step(START + ms(20), [arrived(2, "s", "paid")])),
            ["2 failed set-up-before"]
        );
        assert_eq!(
            summaries(&core.step(START + ms(20), [arrived(3, "s", "clip")])),
            ["3 failed set-up-before"]
        );
    }
}

#[test]
fn a_paid_set_up_that_was_provably_not_executed_is_retried_or_refused() {
    for end in [AttemptEnd::NotConnected, AttemptEnd::Full] {
        let (mut core, setup) = core_with_pending_attempt("paid");
        let out = core.step(START + ms(10), [attempt_ended(setup.attempt, end)]);
        let second = sent_setup(&out);
        assert_eq!(second.attempt.number, 1);
        let third = sent_setup(&core.step(START + ms(20), [attempt_ended(second.attempt, end)]));
        let out = core.step(START + ms(30), [attempt_ended(third.attempt, end)]);
        assert_eq!(summaries(&out), ["1 refused no-room"]);
        // Nothing was executed, so the same session may be requested again and the policy decides on it.
        let out = summaries(&core.step(START + ms(9000), [arrived(2, "s", "paid")]));
        assert_ne!(out, ["2 failed set-up-before"]);
    }
}

#[test]
fn a_paid_session_that_played_is_not_set_up_again_after_its_end() {
    let (mut core, setup) = core_with_pending_attempt("paid");
    core.step(START + ms(10), [playing(setup.attempt)]);
    core.step(START + ms(20), [Input::SessionLost { request: setup.attempt.request }]);
    assert_eq!(summaries(&core.step(START + ms(30), [arrived(2, "s", "paid")])), ["2 failed set-up-before"]);
}

#[test]
fn a_paid_session_that_plays_elsewhere_is_not_set_up_here() {
    let mut core = core();
    core.step(START, [serving_list(3)]);
    let s = settings(SETTINGS);
    let playing_elsewhere = arrival(&s, 1, "/club/paid/t1/7", "sid=\"old\",bl=4000,sta=p");
    assert_eq!(summaries(&core.step(START, [Input::Arrived(playing_elsewhere)])), ["1 failed set-up-before"]);
    // A session that is not paid may be set up twice.
    let clip = arrival(&s, 2, "/club/clip/t1/7", "sid=\"old\",bl=4000,sta=p");
    sent_setup(&core.step(START, [Input::Arrived(clip)]));
    // Contradictory hints prove nothing and do not cost the viewer its session.
    let contradictory = arrival(&s, 3, "/club/paid/t1/0", "sid=\"new\",su,bl=4000,d=2000");
    sent_setup(&core.step(START, [Input::Arrived(contradictory)]));
}

#[test]
fn the_attempt_of_a_viewer_that_disconnects_is_cancelled() {
    let (mut core, setup) = core_with_pending_attempt("paid");
    let out = core.step(START + ms(10), [Input::Disconnected { viewer: ViewerId(1), sid: "s".into() }]);
    assert_eq!(summaries(&out), [format!("cancel {} Disconnected", setup.attempt)]);
    let out = core.step(START + ms(11), [attempt_ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(summaries(&out), ["release s"], "the server is released; there is no answer and no retry");
    assert_eq!(core.session_count(), 0);
    // Never sent: there is nothing to release, and the session may be requested again.
    let (mut core, setup) = core_with_pending_attempt("paid");
    core.step(START + ms(10), [Input::Disconnected { viewer: ViewerId(1), sid: "s".into() }]);
    assert!(summaries(&core.step(START + ms(11), [attempt_ended(setup.attempt, AttemptEnd::NeverSent)]))
        .is_empty());
    sent_setup(&core.step(START + ms(20), [arrived(2, "s", "paid")]));
}

#[test]
fn a_viewer_that_disconnects_as_its_session_begins_to_play_leaves_no_session_behind() {
    let (mut core, setup) = core_with_pending_attempt("paid");
    core.step(START + ms(10), [Input::Disconnected { viewer: ViewerId(1), sid: "s".into() }]);
    let out = core
        .step(START + ms(11), [playing(setup.attempt), attempt_ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(summaries(&out), ["release s"]);
    assert_eq!((core.session_count(), core.routes().len()), (0, 0));
}

#[test]
fn two_simultaneous_requests_for_a_new_session_share_one_set_up() {
    let mut core = core();
    let out = core.step(START, [serving_list(3), arrived(1, "s", "paid"), arrived(2, "s", "paid")]);
    assert_eq!(summaries(&out).iter().filter(|w| w.starts_with("send")).count(), 1);
    let setup = sent_setup(&out);
    // The first viewer disconnects; the second one still waits for the same attempt.
    let out = core.step(START + ms(5), [Input::Disconnected { viewer: ViewerId(1), sid: "s".into() }]);
    assert!(out.is_empty(), "{:?}", summaries(&out));
    assert_eq!(summaries(&core.step(START + ms(9), [playing(setup.attempt)])), ["2 follow"]);
}

#[test]
fn waiting_requests_for_one_session_are_bounded_and_keep_their_own_deadlines() {
    let mut core = core();
    core.step(START, [serving_list(3), arrived(1, "s", "paid"), arrived(2, "s", "paid")]);
    let s = settings(SETTINGS);
    let impatient = arrival(&s, 3, "/club/paid/t1/0", "sid=\"s\",su,dl=500");
    core.step(START, [Input::Arrived(impatient)]);
    assert_eq!(summaries(&core.step(START, [arrived(4, "s", "paid")])), ["4 refused too-many-waiting"]);
    assert_eq!(summaries(&core.step(START + ms(450), [])), ["3 failed time-up"]);
}

#[test]
fn a_drain_between_decision_and_first_byte_cancels_the_set_up() {
    let (mut core, setup) = core_with_pending_attempt("paid");
    let drain = list_update(ListMode::Patch, vec![server(setup.server, WireState::Draining)]);
    let out = core.step(START + ms(5), [drain]);
    assert_eq!(summaries(&out), [format!("cancel {} Drained", setup.attempt)]);
    let out = core.step(START + ms(6), [attempt_ended(setup.attempt, AttemptEnd::NeverSent)]);
    let again = sent_setup(&out);
    assert_ne!(again.server, setup.server, "a paid session that was not executed is set up elsewhere");
    // A set-up that has been sent is left alone: its answer counts.
    let drain = list_update(ListMode::Patch, vec![server(again.server, WireState::Gone)]);
    core.step(START + ms(7), [drain]);
    assert_eq!(summaries(&core.step(START + ms(8), [playing(again.attempt)])), ["1 stream body"]);
}
