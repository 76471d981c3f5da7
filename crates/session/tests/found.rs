//! What the check found under random load, each by itself.

mod common;

use cloverhollow::{Action, Event};
use cloverhollow_session::*;
use common::*;
use std::time::Duration;

fn looked(core: &TestCore) {
    assert_eq!(core.check(), Ok(()));
}

/// An adopted paid session was not remembered: once it was over, its name could be set up again (rule 2).
#[test]
fn a_paid_session_that_was_handed_over_is_not_set_up_again() {
    let mut core = core();
    let s = settings(SETTINGS);
    let arrival = arrival(&s, 1, "/club/paid/t1/0", "sid=\"s\",su");
    core.step(DAY, [serving(2), Input::Adopted { arrival, server: 1 }]);
    looked(&core);
    core.step(
        DAY + ms(10),
        [Input::SessionEnded { sid: "s".into(), reason: EndReason::Ended, load: Load::default() }],
    );
    assert_eq!(words(&core.step(DAY + ms(20), [call(2, "s", "paid")])), ["2 failed set-up-before"]);
}

/// A viewer hung up after its attempt's time was up, and before the word on that: the session was held for nobody, for
/// ever, and a later request of its name waited without an answer (rule 1).
#[test]
fn a_viewer_who_hangs_up_after_the_time_out_leaves_no_session_behind() {
    let mut core = core();
    let setup = sent(&core.step(DAY, [serving(3), call(1, "s", "clip")]));
    let due = core.next_deadline().unwrap();
    assert_eq!(words(&core.step(due, [])), [format!("cancel {} TimedOut", setup.attempt)]);
    let left = Input::Disconnected { viewer: ViewerId(1), sid: "s".into() };
    let out = core.step(due, [left, ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(words(&out), ["release s"]);
    looked(&core);
    assert_eq!(core.session_count(), 0);
    sent(&core.step(due + ms(20), [call(2, "s", "clip")]));
}

/// The first viewer hung up and a further one's own time was up: the attempt went on for nobody, and what it set up had
/// a seat until it was idle.
#[test]
fn when_the_last_who_waits_runs_out_of_time_the_attempt_is_recalled() {
    let mut core = core();
    let setup = sent(&core.step(DAY, [serving(3), call(1, "s", "clip")]));
    let hasty = arrival(&settings(SETTINGS), 2, "/club/clip/t1/0", "sid=\"s\",su,dl=300");
    let left = Input::Disconnected { viewer: ViewerId(1), sid: "s".into() };
    assert!(core.step(DAY + ms(10), [Input::Arrived(hasty), left]).is_empty());
    let out = words(&core.step(DAY + ms(260), []));
    assert_eq!(out, ["2 failed time-up".to_string(), format!("cancel {} Disconnected", setup.attempt)]);
    looked(&core);
    core.step(DAY + ms(261), [ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(core.session_count(), 0);
}

/// A player that closes its connection and asks again at once, as at a reload: its second request joined the session that
/// was given up, and was dropped with it (rule 1).
#[test]
fn a_viewer_who_hangs_up_and_asks_again_at_once_gets_its_answer() {
    let again = |class: &str, end: AttemptEnd| {
        let mut core = core();
        let setup = sent(&core.step(DAY, [serving(3), call(1, "s", class)]));
        let left = Input::Disconnected { viewer: ViewerId(1), sid: "s".into() };
        let out = core.step(DAY + ms(10), [left, call(2, "s", class)]);
        assert_eq!(words(&out), [format!("cancel {} Disconnected", setup.attempt)]);
        looked(&core);
        let out = core.step(DAY + ms(11), [ended(setup.attempt, end)]);
        looked(&core);
        (core, out)
    };
    let (mut core, out) = again("clip", AttemptEnd::Unanswered);
    let setup = sent(&out);
    assert_eq!(setup.payload, 2, "the second request is the one that is sent");
    assert_eq!(words(&core.step(DAY + ms(30), [playing(setup.attempt)])), ["2 stream body"]);
    let (_, out) = again("paid", AttemptEnd::NeverSent);
    sent(&out);
    let (core, out) = again("paid", AttemptEnd::Unanswered);
    assert_eq!(words(&out), ["release s", "2 failed set-up-before"], "it may have run");
    assert_eq!(core.session_count(), 0);
}

/// Sends each call twice, then refuses it.
struct Hasty;

impl Policy for Hasty {
    fn step(&mut self, _: Duration, events: &[Event]) -> Vec<Action> {
        let calls = events.iter().filter_map(|e| match e {
            Event::Request(call) => Some(call.id),
            _ => None,
        });
        let all = |r| [Action::Send(r, 1, ms(500)), Action::Send(r, 2, ms(500)), Action::Refuse(r, ms(500))];
        calls.flat_map(all).collect()
    }
}

/// The core took such words for granted: two attempts out for one session, and one that nobody ended.
#[test]
fn a_session_that_is_out_is_not_sent_again_nor_refused() {
    let mut core = Core::new(Hasty, settings(SETTINGS), 1);
    let out = core.step(DAY, [serving(2), call(1, "s", "clip")]);
    assert_eq!(core.check(), Ok(()));
    assert_eq!(words(&out), ["send s 1.0"]);
    core.step(DAY + ms(10), [playing(sent(&out).attempt)]);
    assert_eq!((core.check(), core.session_count()), (Ok(()), 1));
}

/// Sends to a server that nobody knows, whenever it is told that this never ran.
struct Stubborn;

impl Policy for Stubborn {
    fn step(&mut self, _: Duration, events: &[Event]) -> Vec<Action> {
        let again = |e: &Event| match e {
            Event::Request(call) => Some(call.id),
            Event::AttemptEnded(request, ..) => Some(*request),
            _ => None,
        };
        events.iter().filter_map(again).map(|r| Action::Send(r, 99, ms(500))).collect()
    }
}

/// The check names whoever decides beyond what settings can allow.
#[test]
fn more_attempts_than_any_settings_allow_are_named() {
    let mut core = Core::new(Stubborn, settings(SETTINGS), 1);
    core.step(DAY, [serving(2), call(1, "s", "clip")]);
    assert_eq!(core.check(), Err(InvariantViolation::AttemptBound { sid: "s".into(), begun: 20 }));
}
