//! History that one incarnation of a front logs for the next one, and its use after a restart.

mod common;

use cloverhollow::{ListMode, SessionPolicy};
use cloverhollow_recovery::{
    frame, recover, session_digest, BootId, DistrustReason, FoundLog, LedgerLimits, LogRecord,
    RecoveredState, Timestamp, Trust,
};
use cloverhollow_session::*;
use common::*;
use std::time::Duration;

/// Recovers the log of a killed process, `down_ms` after its last record.
fn recover_after(records: &[LogRecord], down_ms: u64) -> RecoveredState {
    let stamp = |ms: u64| Timestamp { boot_ms: ms, wall_ms: 1_000_000 + ms };
    let mut bytes = frame::MAGIC.to_vec();
    frame::encode(stamp(0), &LogRecord::IncarnationStarted { boot: BootId(1) }, &mut bytes).unwrap();
    records.iter().for_each(|r| frame::encode(stamp(1), r, &mut bytes).unwrap());
    let found = FoundLog { bytes: Some(&bytes), changed_unix_ms: stamp(1).wall_ms, ran_before: true };
    recover(found, BootId(1), stamp(1 + down_ms), &LedgerLimits::default()).1
}

/// Recovers without a log, though the front ran before.
fn recover_without_log() -> RecoveredState {
    let found = FoundLog { bytes: None, changed_unix_ms: 0, ran_before: true };
    recover(found, BootId(1), Timestamp::default(), &LedgerLimits::default()).1
}

fn core_with_retry_budget(seed: u64) -> TestCore {
    let s = settings(
        &format!("{SETTINGS}  ration: {{free: 1, share: 0, span_ms: 10000}}\n")
            .replace("rules: {cold_ms: 10000, fall_ms: 1000}\n", "")
            .replace("  ration:", "rules:\n  cold_ms: 10000\n  fall_ms: 1000\n  ration:"),
    );
    Core::new(SessionPolicy::new(s.decisions(), seed), s, 1)
}

#[test]
fn a_paid_set_up_is_logged_before_it_is_sent_and_withdrawn_if_it_was_not_executed() {
    let mut core = core();
    core.step(START, [serving_list(2)]);
    let setup = sent_setup(&core.step(START, [arrived(1, "one", "paid")]));
    let server = setup.server;
    assert_eq!(
        setup.log_record,
        Some(LogRecord::AttemptStarted { sid: "one".into(), server, paid: true, is_retry: false })
    );
    let commands = core.step(START + ms(5), [attempt_ended(setup.attempt, AttemptEnd::NotConnected)]);
    assert_eq!(
        persisted_records(&commands),
        [
            LogRecord::ServerFailure { server, failed: true },
            LogRecord::AttemptNotExecuted { sid: session_digest("one") }
        ]
    );
    // The next attempt is logged again, after that.
    assert!(sent_setup(&commands).log_record.is_some());
    let free = sent_setup(&core.step(START + ms(9), [arrived(2, "two", "clip")]));
    assert_eq!(free.log_record, None, "a set-up that need not be known after a restart is not logged");
}

#[test]
fn a_paid_session_that_an_earlier_incarnation_may_have_executed_is_never_set_up_again() {
    let started =
        |sid: &str| LogRecord::AttemptStarted { sid: sid.into(), server: 1, paid: true, is_retry: false };
    let records = [
        started("executed"),
        started("never"),
        LogRecord::AttemptNotExecuted { sid: session_digest("never") },
    ];
    let mut core = core();
    core.step(START, [Input::Recovered(Box::new(recover_after(&records, 50))), serving_list(2)]);
    // The player requests the same session again, as at its start.
    let again = core.step(START + ms(1), [arrived(1, "executed", "paid")]);
    assert_eq!(summaries(&again), ["1 failed set-up-before"]);
    for (viewer, sid) in [(2, "never"), (3, "new")] {
        assert_eq!(&*sent_setup(&core.step(START + ms(2), [arrived(viewer, sid, "paid")])).sid, sid);
    }
}

#[test]
fn sessions_of_the_previous_incarnation_are_released_once() {
    let started = LogRecord::AttemptStarted { sid: "left".into(), server: 2, paid: true, is_retry: false };
    let mut core = core();
    let commands = core.step(START, [Input::Recovered(Box::new(recover_after(&[started], 50)))]);
    assert!(commands.is_empty(), "the server's address is not known yet");
    assert_eq!(summaries(&core.step(START + ms(1), [serving_list(2)])), ["release left"]);
    assert!(summaries(&core.step(START + ms(2), [serving_list(2)])).is_empty(), "the release is sent once");
}

#[test]
fn a_drain_logged_after_the_list_was_persisted_is_respected() {
    let mut core = core();
    core.step(START, [serving_list(2)]);
    let drain = list_update(ListMode::Patch, vec![server(1, WireState::Draining)]);
    let records = persisted_records(&core.step(START + ms(1), [drain]));
    assert_eq!(records, [LogRecord::ServerListed { server: 1, accepts_sessions: false }]);
    let back = list_update(ListMode::Patch, vec![server(1, WireState::Serving)]);
    let resumed = persisted_records(&core.step(START + ms(2), [back]));
    assert_eq!(resumed, [LogRecord::ServerListed { server: 1, accepts_sessions: true }]);
    // The front is killed before it persists the list with the drain, so it restarts with the list from before.
    let stale =
        || list_update(ListMode::Stale, vec![server(1, WireState::Serving), server(2, WireState::Serving)]);
    let used_servers = |records: &[LogRecord]| {
        let mut core = common::core();
        core.step(START, [Input::Recovered(Box::new(recover_after(records, 50))), stale()]);
        let requests = (1..9).map(|v| arrived(v, &format!("s{v}"), "clip"));
        let commands = core.step(START + ms(1), requests);
        let servers = commands.iter().filter_map(|c| match c {
            Command::Send(s) => Some(s.server),
            _ => None,
        });
        servers.collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(used_servers(&records).into_iter().collect::<Vec<_>>(), [2]);
    assert_eq!(used_servers(&[records, resumed].concat()).len(), 2);
}

#[test]
fn retries_of_an_earlier_incarnation_count_and_set_ups_have_a_send_deadline() {
    let retry = LogRecord::AttemptStarted { sid: "x".into(), server: 1, paid: false, is_retry: true };
    let is_retried = |recovered: Option<RecoveredState>| {
        let mut core = core_with_retry_budget(3);
        // After a restart any server may be cold until the list must have shown its start: a set-up is sent in its
        // time slot or not at all.
        let send_delay = if recovered.is_some() { ms(200) } else { ms(1_000) };
        core.step(
            START,
            recovered.map(|r| Input::Recovered(Box::new(r))).into_iter().chain([serving_list(3)]),
        );
        let setup = sent_setup(&core.step(START, [arrived(1, "one", "clip")]));
        assert_eq!(setup.send_deadline, START + send_delay);
        let commands = core.step(START + ms(5), [attempt_ended(setup.attempt, AttemptEnd::NotConnected)]);
        let second = commands.iter().find_map(|c| match c {
            Command::Send(s) => Some((s.log_record.clone(), s.send_deadline)),
            _ => None,
        });
        if let Some((record, send_deadline)) = &second {
            assert!(matches!(record, Some(LogRecord::AttemptStarted { is_retry: true, .. })));
            assert_eq!(*send_deadline, START + ms(105));
        }
        second.is_some()
    };
    assert!(is_retried(None), "first incarnation");
    assert!(!is_retried(Some(recover_after(std::slice::from_ref(&retry), 4_000))), "budget used 4 s ago");
    assert!(is_retried(Some(recover_after(&[retry], 11_000))), "budget used 11 s ago");
    assert!(!is_retried(Some(recover_without_log())), "unknown whether the budget was used");
}

#[test]
fn after_a_restart_without_history_paid_viewers_fail_for_one_deadline() {
    let mut core = core();
    let r = recover_without_log();
    assert_eq!(r.trust, Trust::Unproven(DistrustReason::Missing));
    core.step(START, [Input::Recovered(Box::new(r)), serving_list(2)]);
    assert_eq!(summaries(&core.step(START + ms(1), [arrived(1, "one", "paid")])), ["1 failed unproven"]);
    let other = sent_setup(&core.step(START + ms(1), [arrived(2, "two", "clip")]));
    core.step(START + ms(2), [playing(other.attempt)]);
    // The class's deadline is 3 s: by then every viewer of the previous incarnation has given up.
    assert_eq!(
        summaries(&core.step(START + ms(2_999), [arrived(3, "three", "paid")])),
        ["3 failed unproven"]
    );
    sent_setup(&core.step(START + ms(3_000), [arrived(4, "four", "paid")]));
}

#[test]
fn a_set_up_that_cannot_be_logged_is_not_sent_and_the_viewer_gets_the_reason() {
    let mut core = core();
    core.step(START, [serving_list(4)]);
    let mut commands = core.step(START, [arrived(1, "one", "paid")]);
    let mut rounds = 0;
    while let Some(attempt) = commands.iter().find_map(|c| match c {
        Command::Send(s) => Some(s.attempt),
        _ => None,
    }) {
        rounds += 1;
        commands = core.step(START + ms(rounds), [attempt_ended(attempt, AttemptEnd::NotPersisted)]);
        assert!(persisted_records(&commands).is_empty(), "there is no record to withdraw");
    }
    assert_eq!((rounds, summaries(&commands)), (3, vec!["1 refused not-kept".to_string()]));
}

/// A front that saw a server vanish and then restarted itself sent five set-ups at once to the server, which had just
/// come back cold (rule 4).
#[test]
fn a_server_that_failed_before_a_restart_counts_as_cold_after_it() {
    let mut core = core();
    core.step(START, [serving_list(1)]);
    let setup = sent_setup(&core.step(START, [arrived(1, "one", "clip")]));
    let commands = core.step(START + ms(5), [attempt_ended(setup.attempt, AttemptEnd::Unanswered)]);
    let records = persisted_records(&commands);
    assert_eq!(records, [LogRecord::ServerFailure { server: 1, failed: true }]);
    let sent_at_once = |records: &[LogRecord]| {
        let mut core = common::core();
        core.step(START, [Input::Recovered(Box::new(recover_after(records, 50))), serving_list(1)]);
        // Past the suspension after a failure and the check after a return: only the cold start still limits set-ups.
        let requests = (1..9).map(|v| arrived(v, &format!("s{v}"), "clip"));
        let commands = core.step(START + ms(6_000), requests);
        commands.iter().filter(|c| matches!(c, Command::Send(_))).count()
    };
    assert_eq!(sent_at_once(&[]), 8);
    assert!(sent_at_once(&records) <= 1);
    let worked = LogRecord::ServerFailure { server: 1, failed: false };
    assert_eq!(sent_at_once(&[records, vec![worked]].concat()), 8);
}

/// After a machine's suspend the clock has jumped, and every deadline has passed when the next input arrives.
#[test]
fn after_a_clock_jump_waiting_viewers_are_answered_once() {
    let mut core = core();
    core.step(START, [serving_list(2)]);
    let setup = sent_setup(&core.step(START, [arrived(1, "one", "paid")]));
    let later = START + Duration::from_secs(3_600);
    let commands = core.step(later, []);
    assert_eq!(summaries(&commands), [format!("cancel {} TimedOut", setup.attempt)]);
    let commands = core.step(later, [attempt_ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(summaries(&commands), ["release one", "1 failed unanswered"]);
    // A set-up decided before the jump is past its send deadline.
    assert!(setup.send_deadline < later);
    let again = core.step(later + ms(1), [arrived(2, "one", "paid")]);
    assert_eq!(summaries(&again), ["2 failed set-up-before"]);
    assert!(core.step(later + ms(2), []).is_empty());
}
