//! Regression tests for faults that the invariant check found under random load.

mod common;

use cloverhollow::{Action, Event};
use cloverhollow_session::*;
use common::*;
use std::time::Duration;

fn assert_invariants(core: &TestCore) {
    assert_eq!(core.check(), Ok(()));
}

/// An adopted paid session was not remembered: after its end the same session could be set up again (rule 2).
#[test]
fn an_adopted_paid_session_is_not_set_up_again() {
    let mut core = core();
    let s = settings(SETTINGS);
    let arrival = arrival(&s, 1, "/club/paid/t1/0", "sid=\"s\",su");
    core.step(START, [serving_list(2), Input::Adopted { arrival, server: 1 }]);
    assert_invariants(&core);
    core.step(
        START + ms(10),
        [Input::SessionEnded { sid: "s".into(), reason: EndReason::Ended, load: Load::default() }],
    );
    assert_eq!(summaries(&core.step(START + ms(20), [arrived(2, "s", "paid")])), ["2 failed set-up-before"]);
}

/// A viewer disconnected after its attempt had timed out and before the end of the attempt was reported: the session was
/// held forever, and a later request for it waited without an answer (rule 1).
#[test]
fn a_viewer_that_disconnects_after_the_time_out_leaves_no_session_behind() {
    let mut core = core();
    let setup = sent_setup(&core.step(START, [serving_list(3), arrived(1, "s", "clip")]));
    let due = core.next_deadline().unwrap();
    assert_eq!(summaries(&core.step(due, [])), [format!("cancel {} TimedOut", setup.attempt)]);
    let disconnected = Input::Disconnected { viewer: ViewerId(1), sid: "s".into() };
    let out = core.step(due, [disconnected, attempt_ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(summaries(&out), ["release s"]);
    assert_invariants(&core);
    assert_eq!(core.session_count(), 0);
    sent_setup(&core.step(due + ms(20), [arrived(2, "s", "clip")]));
}

/// The first viewer disconnected and the deadline of a second one passed: the attempt went on although nobody waited for
/// it, and the session it set up took a place until it was idle.
#[test]
fn the_attempt_is_cancelled_when_the_last_waiting_viewers_deadline_passes() {
    let mut core = core();
    let setup = sent_setup(&core.step(START, [serving_list(3), arrived(1, "s", "clip")]));
    let impatient = arrival(&settings(SETTINGS), 2, "/club/clip/t1/0", "sid=\"s\",su,dl=300");
    let disconnected = Input::Disconnected { viewer: ViewerId(1), sid: "s".into() };
    assert!(core.step(START + ms(10), [Input::Arrived(impatient), disconnected]).is_empty());
    let out = summaries(&core.step(START + ms(260), []));
    assert_eq!(out, ["2 failed time-up".to_string(), format!("cancel {} Disconnected", setup.attempt)]);
    assert_invariants(&core);
    core.step(START + ms(261), [attempt_ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(core.session_count(), 0);
}

/// A player that reloads closes its connection and requests the session again at once: the second request joined the
/// session that was being given up, and was dropped with it (rule 1).
#[test]
fn a_viewer_that_disconnects_and_requests_again_at_once_gets_an_answer() {
    let reload = |class: &str, end: AttemptEnd| {
        let mut core = core();
        let setup = sent_setup(&core.step(START, [serving_list(3), arrived(1, "s", class)]));
        let disconnected = Input::Disconnected { viewer: ViewerId(1), sid: "s".into() };
        let out = core.step(START + ms(10), [disconnected, arrived(2, "s", class)]);
        assert_eq!(summaries(&out), [format!("cancel {} Disconnected", setup.attempt)]);
        assert_invariants(&core);
        let out = core.step(START + ms(11), [attempt_ended(setup.attempt, end)]);
        assert_invariants(&core);
        (core, out)
    };
    let (mut core, out) = reload("clip", AttemptEnd::Unanswered);
    let setup = sent_setup(&out);
    assert_eq!(setup.payload, 2, "the set-up is sent with the second request");
    assert_eq!(summaries(&core.step(START + ms(30), [playing(setup.attempt)])), ["2 stream body"]);
    let (_, out) = reload("paid", AttemptEnd::NeverSent);
    sent_setup(&out);
    let (core, out) = reload("paid", AttemptEnd::Unanswered);
    assert_eq!(
        summaries(&out),
        ["release s", "2 failed set-up-before"],
        "the first attempt may have been executed"
    );
    assert_eq!(core.session_count(), 0);
}

/// Policy that sends each request twice, then refuses it.
struct RepeatingPolicy;

impl Policy for RepeatingPolicy {
    fn step(&mut self, _: Duration, events: &[Event]) -> Vec<Action> {
        let requests = events.iter().filter_map(|e| match e {
            Event::Request(request) => Some(request.id),
            _ => None,
        });
        let all = |r| [Action::Send(r, 1, ms(500)), Action::Send(r, 2, ms(500)), Action::Refuse(r, ms(500))];
        requests.flat_map(all).collect()
    }
}

/// The core obeyed such actions: two attempts were pending for one session, and one of them was never ended.
#[test]
fn a_session_with_a_pending_attempt_is_neither_sent_again_nor_refused() {
    let mut core = Core::new(RepeatingPolicy, settings(SETTINGS), 1);
    let out = core.step(START, [serving_list(2), arrived(1, "s", "clip")]);
    assert_eq!(core.check(), Ok(()));
    assert_eq!(summaries(&out), ["send s 1.0"]);
    core.step(START + ms(10), [playing(sent_setup(&out).attempt)]);
    assert_eq!((core.check(), core.session_count()), (Ok(()), 1));
}

/// Policy that sends to an unknown server again and again, whenever an attempt is reported as not sent.
struct RetryingPolicy;

impl Policy for RetryingPolicy {
    fn step(&mut self, _: Duration, events: &[Event]) -> Vec<Action> {
        let request_to_send = |e: &Event| match e {
            Event::Request(request) => Some(request.id),
            Event::AttemptEnded(request, ..) => Some(*request),
            _ => None,
        };
        events.iter().filter_map(request_to_send).map(|r| Action::Send(r, 99, ms(500))).collect()
    }
}

#[test]
fn the_check_reports_more_attempts_than_any_settings_allow() {
    let mut core = Core::new(RetryingPolicy, settings(SETTINGS), 1);
    core.step(START, [serving_list(2), arrived(1, "s", "clip")]);
    assert_eq!(core.check(), Err(InvariantViolation::AttemptBound { sid: "s".into(), begun: 20 }));
}
