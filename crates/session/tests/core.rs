//! The core through its interface: one test for each hard case of a session's life.

mod common;

use cloverhollow::ListMode;
use cloverhollow_session::*;
use common::*;

/// A core with servers, and one set-up of that class out.
fn one_out(class: &str) -> (TestCore, Setup<u32>) {
    let mut core = core();
    let out = core.step(DAY, [serving(3), call(1, "s", class)]);
    let setup = sent(&out);
    (core, setup)
}

#[test]
fn a_call_is_set_up_answered_and_routed_and_ends_at_its_idle_time() {
    let (mut core, setup) = one_out("clip");
    assert_eq!((setup.attempt.number, setup.rung, setup.kbps), (0, 3, 16_000));
    let out = core.step(DAY + ms(20), [playing(setup.attempt)]);
    assert_eq!(words(&out), ["1 stream body"]);
    let route = core.routes().get("s").expect("routed");
    assert_eq!((route.server, route.kbps()), (setup.server, 16_000));
    // A later request of the same session that raced its route follows.
    assert_eq!(words(&core.step(DAY + ms(30), [call(2, "s", "clip")])), ["2 follow"]);
    route.record_activity(DAY + ms(4000));
    assert!(core.step(DAY + ms(5100), []).is_empty(), "heard of 1.1 s ago");
    assert_eq!(words(&core.step(DAY + ms(9001), [])), ["release s"]);
    assert!(core.routes().is_empty() && core.session_count() == 0);
}

/// Found by a hunt with wires between fronts and servers cut: a player that waited for an object of a silent server was
/// taken for idle, and its seat given to another (rule 5).
#[test]
fn a_session_whose_player_waits_for_an_object_is_not_idle() {
    let (mut core, setup) = one_out("clip");
    core.step(DAY + ms(20), [playing(setup.attempt)]);
    let route = core.routes().get("s").expect("routed").clone();
    let fetching = route.begin_fetch();
    for s in 1..=20 {
        assert!(core.step(DAY + ms(s * 1_000), []).is_empty(), "an object is under way");
    }
    drop(fetching);
    assert_eq!(words(&core.step(DAY + ms(26_000), [])), ["release s"]);
}

#[test]
fn the_players_word_ends_its_session() {
    let (mut core, setup) = one_out("clip");
    core.step(DAY + ms(20), [playing(setup.attempt)]);
    let out = core.step(
        DAY + ms(40),
        [Input::SessionEnded { sid: "s".into(), reason: EndReason::Quit, load: Load::default() }],
    );
    assert_eq!(words(&out), ["release s"]);
    assert_eq!(core.session_count(), 0);
}

#[test]
fn an_answer_in_the_same_instant_as_its_time_out_counts() {
    let (mut core, setup) = one_out("clip");
    let due = core.next_deadline().unwrap();
    let out = core.step(due, [playing(setup.attempt)]);
    assert_eq!(words(&out), ["1 stream body"]);
}

#[test]
fn an_answer_between_recall_and_its_word_counts_and_the_word_does_not() {
    let (mut core, setup) = one_out("clip");
    let due = core.next_deadline().unwrap();
    assert_eq!(words(&core.step(due, [])), [format!("cancel {} TimedOut", setup.attempt)]);
    let out = core.step(due, [playing(setup.attempt), ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(words(&out), ["1 stream body"]);
    assert_eq!(core.session_count(), 1);
}

#[test]
fn a_late_answer_after_its_end_is_dropped_and_the_server_told() {
    let (mut core, setup) = one_out("clip");
    let due = core.next_deadline().unwrap();
    core.step(due, []);
    let out = core.step(due, [ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(words(&out)[0], "release s");
    let again = sent(&out);
    assert_ne!(again.server, setup.server);
    assert!(core.step(due, [playing(setup.attempt)]).is_empty(), "the old attempt's answer changes nothing");
    assert_eq!(words(&core.step(due, [playing(again.attempt)])), ["1 stream body"]);
}

#[test]
fn a_paid_set_up_that_may_have_run_fails_and_is_never_set_up_again() {
    for end in [AttemptEnd::Reset, AttemptEnd::Error { status: 500 }, AttemptEnd::Unanswered] {
        let (mut core, setup) = one_out("paid");
        let out = words(&core.step(DAY + ms(10), [ended(setup.attempt, end)]));
        assert_eq!(out[0], "release s");
        assert!(out[1].starts_with("1 failed"), "{out:?}");
        // The same sid again, under any class: still not.
        assert_eq!(words(&core.step(DAY + ms(20), [call(2, "s", "paid")])), ["2 failed set-up-before"]);
        assert_eq!(words(&core.step(DAY + ms(20), [call(3, "s", "clip")])), ["3 failed set-up-before"]);
    }
}

#[test]
fn a_paid_set_up_that_proves_not_to_have_run_is_sent_again_or_refused() {
    for end in [AttemptEnd::NotConnected, AttemptEnd::Full] {
        let (mut core, setup) = one_out("paid");
        let out = core.step(DAY + ms(10), [ended(setup.attempt, end)]);
        let second = sent(&out);
        assert_eq!(second.attempt.number, 1);
        let third = sent(&core.step(DAY + ms(20), [ended(second.attempt, end)]));
        let out = core.step(DAY + ms(30), [ended(third.attempt, end)]);
        assert_eq!(words(&out), ["1 refused no-room"]);
        // Nothing ran: the same sid may come again, and is the module's to decide anew.
        let out = words(&core.step(DAY + ms(9000), [call(2, "s", "paid")]));
        assert_ne!(out, ["2 failed set-up-before"]);
    }
}

#[test]
fn a_paid_session_that_played_is_not_set_up_again_after_its_end() {
    let (mut core, setup) = one_out("paid");
    core.step(DAY + ms(10), [playing(setup.attempt)]);
    core.step(DAY + ms(20), [Input::SessionLost { request: setup.attempt.request }]);
    assert_eq!(words(&core.step(DAY + ms(30), [call(2, "s", "paid")])), ["2 failed set-up-before"]);
}

#[test]
fn a_paid_session_that_plays_already_elsewhere_is_not_set_up_here() {
    let mut core = core();
    core.step(DAY, [serving(3)]);
    let s = settings(SETTINGS);
    let under_way = arrival(&s, 1, "/club/paid/t1/7", "sid=\"old\",bl=4000,sta=p");
    assert_eq!(words(&core.step(DAY, [Input::Arrived(under_way)])), ["1 failed set-up-before"]);
    // An unpaid one does no harm.
    let clip = arrival(&s, 2, "/club/clip/t1/7", "sid=\"old\",bl=4000,sta=p");
    sent(&core.step(DAY, [Input::Arrived(clip)]));
    // Contradictory hints prove nothing, and cost nothing.
    let odd = arrival(&s, 3, "/club/paid/t1/0", "sid=\"new\",su,bl=4000,d=2000");
    sent(&core.step(DAY, [Input::Arrived(odd)]));
}

#[test]
fn a_viewer_who_hangs_up_has_its_attempt_recalled_and_gets_nothing() {
    let (mut core, setup) = one_out("paid");
    let out = core.step(DAY + ms(10), [Input::Disconnected { viewer: ViewerId(1), sid: "s".into() }]);
    assert_eq!(words(&out), [format!("cancel {} Disconnected", setup.attempt)]);
    let out = core.step(DAY + ms(11), [ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(words(&out), ["release s"], "closed at the server, no answer, no further attempt");
    assert_eq!(core.session_count(), 0);
    // Never sent: nothing is to be closed, and the sid may come again.
    let (mut core, setup) = one_out("paid");
    core.step(DAY + ms(10), [Input::Disconnected { viewer: ViewerId(1), sid: "s".into() }]);
    assert!(words(&core.step(DAY + ms(11), [ended(setup.attempt, AttemptEnd::NeverSent)])).is_empty());
    sent(&core.step(DAY + ms(20), [call(2, "s", "paid")]));
}

#[test]
fn a_viewer_who_hangs_up_as_it_begins_to_play_leaves_no_session_behind() {
    let (mut core, setup) = one_out("paid");
    core.step(DAY + ms(10), [Input::Disconnected { viewer: ViewerId(1), sid: "s".into() }]);
    let out = core.step(DAY + ms(11), [playing(setup.attempt), ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(words(&out), ["release s"]);
    assert_eq!((core.session_count(), core.routes().len()), (0, 0));
}

#[test]
fn two_requests_of_one_new_session_at_once_are_one_set_up_and_two_answers() {
    let mut core = core();
    let out = core.step(DAY, [serving(3), call(1, "s", "paid"), call(2, "s", "paid")]);
    assert_eq!(words(&out).iter().filter(|w| w.starts_with("send")).count(), 1);
    let setup = sent(&out);
    // The first one hangs up: the second still wants it, on the same attempt.
    let out = core.step(DAY + ms(5), [Input::Disconnected { viewer: ViewerId(1), sid: "s".into() }]);
    assert!(out.is_empty(), "{:?}", words(&out));
    assert_eq!(words(&core.step(DAY + ms(9), [playing(setup.attempt)])), ["2 follow"]);
}

#[test]
fn waiting_requests_of_one_session_are_bounded_and_keep_their_own_time() {
    let mut core = core();
    core.step(DAY, [serving(3), call(1, "s", "paid"), call(2, "s", "paid")]);
    let s = settings(SETTINGS);
    let hasty = arrival(&s, 3, "/club/paid/t1/0", "sid=\"s\",su,dl=500");
    core.step(DAY, [Input::Arrived(hasty)]);
    assert_eq!(words(&core.step(DAY, [call(4, "s", "paid")])), ["4 refused too-many-waiting"]);
    assert_eq!(words(&core.step(DAY + ms(450), [])), ["3 failed time-up"]);
}

#[test]
fn a_drain_between_choice_and_send_calls_back_what_is_not_sent() {
    let (mut core, setup) = one_out("paid");
    let drains = list(ListMode::Patch, vec![server(setup.server, WireState::Draining)]);
    let out = core.step(DAY + ms(5), [drains]);
    assert_eq!(words(&out), [format!("cancel {} Drained", setup.attempt)]);
    let out = core.step(DAY + ms(6), [ended(setup.attempt, AttemptEnd::NeverSent)]);
    let again = sent(&out);
    assert_ne!(again.server, setup.server, "and is set up elsewhere, though paid: it never ran");
    // One that had gone out is left alone: its answer counts.
    let drains = list(ListMode::Patch, vec![server(again.server, WireState::Gone)]);
    core.step(DAY + ms(7), [drains]);
    assert_eq!(words(&core.step(DAY + ms(8), [playing(again.attempt)])), ["1 stream body"]);
}
