//! What a life tells the next one, and what the next one makes of it.

mod common;

use cloverhollow::{ListMode, SessionPolicy};
use cloverhollow_recovery::{
    frame, recover, session_digest, BootId, DistrustReason, FoundLog, LedgerLimits, LogRecord,
    RecoveredState, Timestamp, Trust,
};
use cloverhollow_session::*;
use common::*;
use std::time::Duration;

/// Deeds of a life, as a killed process leaves them, read by the next one `gone_ms` after the last of them.
fn next_life(deeds: &[LogRecord], gone_ms: u64) -> RecoveredState {
    let stamp = |ms: u64| Timestamp { boot_ms: ms, wall_ms: 1_000_000 + ms };
    let mut bytes = frame::MAGIC.to_vec();
    frame::encode(stamp(0), &LogRecord::IncarnationStarted { boot: BootId(1) }, &mut bytes).unwrap();
    deeds.iter().for_each(|d| frame::encode(stamp(1), d, &mut bytes).unwrap());
    let found = FoundLog { bytes: Some(&bytes), changed_unix_ms: stamp(1).wall_ms, ran_before: true };
    recover(found, BootId(1), stamp(1 + gone_ms), &LedgerLimits::default()).1
}

fn unproven() -> RecoveredState {
    let found = FoundLog { bytes: None, changed_unix_ms: 0, ran_before: true };
    recover(found, BootId(1), Timestamp::default(), &LedgerLimits::default()).1
}

fn with_ration(seed: u64) -> TestCore {
    let s = settings(
        &format!("{SETTINGS}  ration: {{free: 1, share: 0, span_ms: 10000}}\n")
            .replace("rules: {cold_ms: 10000, fall_ms: 1000}\n", "")
            .replace("  ration:", "rules:\n  cold_ms: 10000\n  fall_ms: 1000\n  ration:"),
    );
    Core::new(SessionPolicy::new(s.decisions(), seed), s, 1)
}

#[test]
fn a_paid_set_up_is_taken_down_before_it_goes_out_and_taken_back_when_it_never_ran() {
    let mut core = core();
    core.step(DAY, [serving(2)]);
    let setup = sent(&core.step(DAY, [call(1, "one", "paid")]));
    let server = setup.server;
    assert_eq!(
        setup.log_record,
        Some(LogRecord::AttemptStarted { sid: "one".into(), server, paid: true, is_retry: false })
    );
    let commands = core.step(DAY + ms(5), [ended(setup.attempt, AttemptEnd::NotConnected)]);
    assert_eq!(
        kept(&commands),
        [
            LogRecord::ServerFailure { server, failed: true },
            LogRecord::AttemptNotExecuted { sid: session_digest("one") }
        ]
    );
    // The next attempt is taken down again, after that.
    assert!(sent(&commands).log_record.is_some());
    let free = sent(&core.step(DAY + ms(9), [call(2, "two", "clip")]));
    assert_eq!(free.log_record, None, "what no rule counts waits for no disk");
}

#[test]
fn a_paid_session_that_may_have_run_in_an_earlier_life_is_never_set_up_again() {
    let out =
        |sid: &str| LogRecord::AttemptStarted { sid: sid.into(), server: 1, paid: true, is_retry: false };
    let deeds = [out("ran"), out("never"), LogRecord::AttemptNotExecuted { sid: session_digest("never") }];
    let mut core = core();
    core.step(DAY, [Input::Recovered(Box::new(next_life(&deeds, 50))), serving(2)]);
    // Its player asks again with the same session, as at its start.
    let again = core.step(DAY + ms(1), [call(1, "ran", "paid")]);
    assert_eq!(words(&again), ["1 failed set-up-before"]);
    for (viewer, sid) in [(2, "never"), (3, "new")] {
        assert_eq!(&*sent(&core.step(DAY + ms(2), [call(viewer, sid, "paid")])).sid, sid);
    }
}

#[test]
fn what_a_dead_life_left_at_servers_is_let_go_of() {
    let out = LogRecord::AttemptStarted { sid: "left".into(), server: 2, paid: true, is_retry: false };
    let mut core = core();
    let commands = core.step(DAY, [Input::Recovered(Box::new(next_life(&[out], 50)))]);
    assert!(commands.is_empty(), "no address is known yet");
    assert_eq!(words(&core.step(DAY + ms(1), [serving(2)])), ["release left"]);
    assert!(words(&core.step(DAY + ms(2), [serving(2)])).is_empty(), "once");
}

#[test]
fn a_drain_heard_after_the_list_was_kept_is_kept_to() {
    let mut core = core();
    core.step(DAY, [serving(2)]);
    let drain = list(ListMode::Patch, vec![server(1, WireState::Draining)]);
    let deeds = kept(&core.step(DAY + ms(1), [drain]));
    assert_eq!(deeds, [LogRecord::ServerListed { server: 1, accepts_sessions: false }]);
    let back = list(ListMode::Patch, vec![server(1, WireState::Serving)]);
    let told_back = kept(&core.step(DAY + ms(2), [back]));
    assert_eq!(told_back, [LogRecord::ServerListed { server: 1, accepts_sessions: true }]);
    // Killed before the list with the drain was kept: the next life has the list from before it.
    let stale = || list(ListMode::Stale, vec![server(1, WireState::Serving), server(2, WireState::Serving)]);
    let sends_to = |deeds: &[LogRecord]| {
        let mut core = common::core();
        core.step(DAY, [Input::Recovered(Box::new(next_life(deeds, 50))), stale()]);
        let calls = (1..9).map(|v| call(v, &format!("s{v}"), "clip"));
        let commands = core.step(DAY + ms(1), calls);
        let servers = commands.iter().filter_map(|c| match c {
            Command::Send(s) => Some(s.server),
            _ => None,
        });
        servers.collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(sends_to(&deeds).into_iter().collect::<Vec<_>>(), [2]);
    assert_eq!(sends_to(&[deeds, told_back].concat()).len(), 2);
}

#[test]
fn a_further_attempt_of_an_earlier_life_counts_and_one_too_old_to_send_is_marked() {
    let further = LogRecord::AttemptStarted { sid: "x".into(), server: 1, paid: false, is_retry: true };
    let tries = |recovered: Option<RecoveredState>| {
        let mut core = with_ration(3);
        // After an earlier life any server may be cold until the list must have told: a set-up goes by turn, and soon.
        let usual = if recovered.is_some() { ms(200) } else { ms(1_000) };
        core.step(DAY, recovered.map(|r| Input::Recovered(Box::new(r))).into_iter().chain([serving(3)]));
        let setup = sent(&core.step(DAY, [call(1, "one", "clip")]));
        assert_eq!(setup.send_deadline, DAY + usual);
        let commands = core.step(DAY + ms(5), [ended(setup.attempt, AttemptEnd::NotConnected)]);
        let second = commands.iter().find_map(|c| match c {
            Command::Send(s) => Some((s.log_record.clone(), s.send_deadline)),
            _ => None,
        });
        if let Some((deed, until)) = &second {
            assert!(matches!(deed, Some(LogRecord::AttemptStarted { is_retry: true, .. })));
            assert_eq!(*until, DAY + ms(105));
        }
        second.is_some()
    };
    assert!(tries(None), "a first life");
    assert!(!tries(Some(next_life(std::slice::from_ref(&further), 4_000))), "spent 4 s ago");
    assert!(tries(Some(next_life(&[further], 11_000))), "spent 11 s ago");
    assert!(!tries(Some(unproven())), "nobody knows");
}

#[test]
fn after_a_start_that_proves_nothing_paid_viewers_fail_for_a_deadline_and_others_play() {
    let mut core = core();
    let r = unproven();
    assert_eq!(r.trust, Trust::Unproven(DistrustReason::Missing));
    core.step(DAY, [Input::Recovered(Box::new(r)), serving(2)]);
    assert_eq!(words(&core.step(DAY + ms(1), [call(1, "one", "paid")])), ["1 failed unproven"]);
    let other = sent(&core.step(DAY + ms(1), [call(2, "two", "clip")]));
    core.step(DAY + ms(2), [playing(other.attempt)]);
    // The class's deadline is 3 s: whoever waited for an answer of the last life has given up.
    assert_eq!(words(&core.step(DAY + ms(2_999), [call(3, "three", "paid")])), ["3 failed unproven"]);
    sent(&core.step(DAY + ms(3_000), [call(4, "four", "paid")]));
}

#[test]
fn what_cannot_be_taken_down_does_not_go_out_and_the_viewer_is_told_why() {
    let mut core = core();
    core.step(DAY, [serving(4)]);
    let mut commands = core.step(DAY, [call(1, "one", "paid")]);
    let mut rounds = 0;
    while let Some(attempt) = commands.iter().find_map(|c| match c {
        Command::Send(s) => Some(s.attempt),
        _ => None,
    }) {
        rounds += 1;
        commands = core.step(DAY + ms(rounds), [ended(attempt, AttemptEnd::NotPersisted)]);
        assert!(kept(&commands).is_empty(), "there is nothing to take back");
    }
    assert_eq!((rounds, words(&commands)), (3, vec!["1 refused not-kept".to_string()]));
}

/// Found by a hunt: a front saw a server vanish, died, came back and sent five set-ups at once to the server, which
/// had just come back cold (rule 4).
#[test]
fn a_server_that_the_last_life_saw_fail_is_cold_for_the_next() {
    let mut core = core();
    core.step(DAY, [serving(1)]);
    let setup = sent(&core.step(DAY, [call(1, "one", "clip")]));
    let commands = core.step(DAY + ms(5), [ended(setup.attempt, AttemptEnd::Unanswered)]);
    let deeds = kept(&commands);
    assert_eq!(deeds, [LogRecord::ServerFailure { server: 1, failed: true }]);
    let sent_at_once = |deeds: &[LogRecord]| {
        let mut core = common::core();
        core.step(DAY, [Input::Recovered(Box::new(next_life(deeds, 50))), serving(1)]);
        // Past the rest after a failure and the doubt after a return: what remains is that it may be cold.
        let calls = (1..9).map(|v| call(v, &format!("s{v}"), "clip"));
        let commands = core.step(DAY + ms(6_000), calls);
        commands.iter().filter(|c| matches!(c, Command::Send(_))).count()
    };
    assert_eq!(sent_at_once(&[]), 8);
    assert!(sent_at_once(&deeds) <= 1);
    let worked = LogRecord::ServerFailure { server: 1, failed: false };
    assert_eq!(sent_at_once(&[deeds, vec![worked]].concat()), 8);
}

/// As after a machine's suspend: the clock goes on, and what comes in finds every span past.
#[test]
fn a_clock_that_jumped_an_hour_ends_what_waited_once_and_opens_no_budget_twice() {
    let mut core = core();
    core.step(DAY, [serving(2)]);
    let setup = sent(&core.step(DAY, [call(1, "one", "paid")]));
    let later = DAY + Duration::from_secs(3_600);
    let commands = core.step(later, []);
    assert_eq!(words(&commands), [format!("cancel {} TimedOut", setup.attempt)]);
    let commands = core.step(later, [ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(words(&commands), ["release one", "1 failed unanswered"]);
    // What was decided before the jump is too old to be sent.
    assert!(setup.send_deadline < later);
    let again = core.step(later + ms(1), [call(2, "one", "paid")]);
    assert_eq!(words(&again), ["2 failed set-up-before"]);
    assert!(core.step(later + ms(2), []).is_empty());
}
