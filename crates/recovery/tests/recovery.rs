//! Records written by one incarnation, how far a found log is trusted, and the state that a later incarnation recovers.

use cloverhollow_recovery::frame::{self, encode, FrameError, MAGIC};
use cloverhollow_recovery::*;
use proptest::prelude::*;
use std::time::Duration;

const BOOT: BootId = BootId(7);

fn at(ms: u64) -> Timestamp {
    Timestamp { boot_ms: ms, wall_ms: 1_700_000_000_000 + ms }
}

fn attempt(sid: &str, paid: bool, is_retry: bool) -> LogRecord {
    LogRecord::AttemptStarted { sid: sid.into(), server: 3, paid, is_retry }
}

fn encode_log(records: &[(u64, LogRecord)]) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    for (ms, record) in records {
        encode(at(*ms), record, &mut bytes).unwrap();
    }
    bytes
}

fn found(bytes: &[u8], changed_ms: u64) -> FoundLog<'_> {
    FoundLog { bytes: Some(bytes), changed_unix_ms: at(changed_ms).wall_ms, ran_before: true }
}

/// Records of an incarnation that was killed.
fn killed_incarnation() -> Vec<(u64, LogRecord)> {
    vec![
        (1_000, LogRecord::IncarnationStarted { boot: BOOT }),
        (1_100, attempt("a", true, false)),
        (1_200, attempt("b", false, true)),
        (1_300, attempt("c", true, true)),
        (1_400, LogRecord::AttemptNotExecuted { sid: session_digest("a") }),
        (1_500, LogRecord::ServerListed { server: 9, accepts_sessions: false }),
        (1_600, LogRecord::ServerListed { server: 8, accepts_sessions: false }),
        (1_700, LogRecord::ServerListed { server: 8, accepts_sessions: true }),
    ]
}

#[test]
fn the_state_of_a_killed_incarnation_is_recovered() {
    let bytes = encode_log(&killed_incarnation());
    let (ledger, state) = recover(found(&bytes, 1_700), BOOT, at(4_000), &LedgerLimits::default());
    assert_eq!(state.trust, Trust::Complete);
    assert_eq!(
        state.paid_sessions.iter().collect::<Vec<_>>(),
        [session_digest("c")],
        "session a was not executed"
    );
    assert_eq!(state.retry_ages, [Duration::from_millis(2_800), Duration::from_millis(2_700)]);
    assert_eq!(state.retries_complete_for, Duration::MAX);
    assert_eq!(state.stopped.into_iter().collect::<Vec<_>>(), [9]);
    assert_eq!(state.unreleased.iter().map(|s| s.sid.as_str()).collect::<Vec<_>>(), ["c"]);
    // A log compacted to one snapshot gives the same state.
    let compacted = encode_log(&[(1_700, LogRecord::Snapshot(Box::new(ledger)))]);
    let (_, state) = recover(found(&compacted, 1_700), BOOT, at(4_000), &LedgerLimits::default());
    assert_eq!(
        (state.trust, state.paid_sessions.iter().collect()),
        (Trust::Complete, vec![session_digest("c")])
    );
}

#[test]
fn a_missing_log_is_trusted_only_at_the_first_start() {
    let no_file = |ran_before| FoundLog { bytes: None, changed_unix_ms: 0, ran_before };
    let (_, first) = recover(no_file(false), BOOT, at(5), &LedgerLimits::default());
    assert_eq!((first.trust, first.retries_complete_for), (Trust::FirstStart, Duration::MAX));
    let (ledger, missing) = recover(no_file(true), BOOT, at(5), &LedgerLimits::default());
    assert_eq!(
        (missing.trust, missing.retries_complete_for),
        (Trust::Unproven(DistrustReason::Missing), Duration::ZERO)
    );
    // The next incarnation knows of retries from this start on only.
    assert_eq!(ledger.retries_complete_since(), Some(at(5)));
}

#[test]
fn a_log_other_than_the_one_written_last_is_not_trusted() {
    let bytes = encode_log(&killed_incarnation());
    let trust = |f: FoundLog<'_>, now| recover(f, BOOT, at(now), &LedgerLimits::default()).1.trust;
    // A restored older copy has a change time later than its last record.
    assert_eq!(
        trust(found(&bytes, 60_000), 61_000),
        Trust::Unproven(DistrustReason::ChangeTimeMismatch { difference_ms: 58_300 })
    );
    assert_eq!(trust(found(&bytes, 1_700), 1_000), Trust::Unproven(DistrustReason::ClockBehind));
    assert_eq!(
        trust(found(b"something else", 1_700), 2_000),
        Trust::Unproven(DistrustReason::InvalidFrames(FrameError::InvalidMagic))
    );
    assert_eq!(trust(found(&MAGIC, 1_700), 2_000), Trust::Unproven(DistrustReason::Empty));
    let mut corrupt = bytes.clone();
    corrupt[40] ^= 1;
    assert!(matches!(
        trust(found(&corrupt, 1_700), 2_000),
        Trust::Unproven(DistrustReason::InvalidFrames(_))
    ));
}

#[test]
fn paid_sessions_survive_a_reboot_and_retry_ages_do_not() {
    let mut records = killed_incarnation();
    let bytes = encode_log(&records);
    let (_, state) = recover(found(&bytes, 1_700), BootId(8), at(300), &LedgerLimits::default());
    assert_eq!((state.trust, state.retries_complete_for), (Trust::Rebooted, Duration::ZERO));
    assert_eq!((state.paid_sessions.iter().len(), state.retry_ages.len()), (1, 0));
    // After an incarnation of the new boot is killed, retries are known since its start.
    records.push((400, LogRecord::IncarnationStarted { boot: BootId(8) }));
    records.push((450, attempt("d", false, true)));
    let bytes = encode_log(&records);
    let (_, state) = recover(found(&bytes, 450), BootId(8), at(900), &LedgerLimits::default());
    assert_eq!((state.trust, state.retries_complete_for), (Trust::Complete, Duration::from_millis(500)));
    assert_eq!(state.retry_ages, [Duration::from_millis(450)]);
}

#[test]
fn forgotten_retries_are_reported_as_unknown() {
    let mut ledger = Ledger::default();
    let limits = LedgerLimits::default();
    for ms in [1_000, 2_000, 9_000] {
        ledger.apply(at(ms), &attempt("x", false, true), &limits);
    }
    ledger.forget_retries(at(11_500), Duration::from_secs(10));
    assert_eq!(ledger.retries().collect::<Vec<_>>(), [at(2_000), at(9_000)]);
    assert_eq!(ledger.retries_complete_since(), Some(at(1_000)));
}

#[test]
fn limits_hold_and_dropped_retries_are_reported() {
    let limits = LedgerLimits { paid_sessions: 3, retries: 2, servers: 1, unreleased: 2, incarnations: 2 };
    let mut ledger = Ledger::default();
    for i in 0..6u64 {
        ledger.apply(at(i), &LogRecord::IncarnationStarted { boot: BOOT }, &limits);
        ledger.apply(at(i), &attempt(&format!("s{i}"), true, true), &limits);
        ledger.apply(at(i), &LogRecord::ServerListed { server: i, accepts_sessions: false }, &limits);
    }
    assert_eq!(ledger.paid_sessions().iter().collect::<Vec<_>>(), ["s3", "s4", "s5"].map(session_digest));
    assert_eq!(ledger.retries().count(), 2);
    assert_eq!(ledger.retries_complete_since(), Some(at(3)), "the time of the last dropped retry");
    assert_eq!(
        (ledger.stopped().len(), ledger.incarnations().count(), ledger.unreleased().count()),
        (1, 2, 1)
    );
}

#[test]
fn the_start_delay_grows_with_crashes_and_is_zero_after_clean_shutdowns() {
    let backoff = RestartBackoff {
        window: Duration::from_secs(60),
        free_crashes: 2,
        initial_delay: Duration::from_millis(500),
        max_delay: Duration::from_secs(10),
    };
    let mut ledger = Ledger::default();
    let mut delays_ms = Vec::new();
    for incarnation in 0..10 {
        let now = at(incarnation * 1_000);
        delays_ms.push(backoff.start_delay(&ledger, BOOT, now).delay.as_millis());
        ledger.apply(now, &LogRecord::IncarnationStarted { boot: BOOT }, &LedgerLimits::default());
    }
    assert_eq!(delays_ms, [0, 0, 0, 500, 1_000, 2_000, 4_000, 8_000, 10_000, 10_000]);
    assert_eq!(backoff.start_delay(&ledger, BOOT, at(69_500)).crashes, 0, "before the window");
    assert_eq!(backoff.start_delay(&ledger, BootId(8), at(500)).crashes, 0, "before a reboot");
    let mut ledger = Ledger::default();
    for incarnation in 0..10 {
        ledger.apply(
            at(incarnation),
            &LogRecord::IncarnationStarted { boot: BOOT },
            &LedgerLimits::default(),
        );
        ledger.apply(at(incarnation), &LogRecord::CleanShutdown, &LedgerLimits::default());
    }
    assert_eq!(backoff.start_delay(&ledger, BOOT, at(20)), backoff::StartDelay::default());
}

fn any_record() -> impl Strategy<Value = LogRecord> {
    let sid = 0..12u8;
    prop_oneof![
        1 => any::<bool>().prop_map(|b| LogRecord::IncarnationStarted { boot: BootId(u128::from(b)) }),
        6 => (sid.clone(), any::<bool>(), any::<bool>())
            .prop_map(|(s, paid, is_retry)| attempt(&format!("s{s}"), paid, is_retry)),
        2 => sid.clone().prop_map(|s| LogRecord::AttemptNotExecuted { sid: session_digest(&format!("s{s}")) }),
        2 => (0..5u64, any::<bool>()).prop_map(|(server, accepts_sessions)| LogRecord::ServerListed { server, accepts_sessions }),
        2 => (0..5u64, any::<bool>()).prop_map(|(server, failed)| LogRecord::ServerFailure { server, failed }),
        1 => Just(LogRecord::CleanShutdown),
    ]
}

proptest! {
    /// A log truncated at any byte decodes to exactly the records whose frames are complete.
    #[test]
    fn a_truncated_log_keeps_all_complete_frames(records in prop::collection::vec(any_record(), 0..30), cut in 0.0..1.0f64) {
        let mut ends = vec![MAGIC.len()];
        let mut bytes = MAGIC.to_vec();
        for (i, record) in records.iter().enumerate() {
            encode(at(i as u64), record, &mut bytes).unwrap();
            ends.push(bytes.len());
        }
        let cut = (bytes.len() as f64 * cut) as usize;
        let log = frame::decode(&bytes[..cut]).unwrap();
        let complete = ends.iter().filter(|e| **e <= cut).count().saturating_sub(1);
        prop_assert_eq!(log.records.len(), complete);
        prop_assert_eq!(log.torn_tail, cut > 0 && !ends.contains(&cut));
    }

    /// A log with one corrupt byte never decodes to a record that was not written.
    #[test]
    fn a_corrupt_byte_gives_no_other_record(records in prop::collection::vec(any_record(), 1..20), position in any::<prop::sample::Index>(), flip in 1..=255u8) {
        let timed: Vec<_> = records.iter().enumerate().map(|(i, r)| (i as u64, r.clone())).collect();
        let mut bytes = encode_log(&timed);
        let i = position.index(bytes.len());
        bytes[i] ^= flip;
        if let Ok(log) = frame::decode(&bytes) {
            for ((_, read), written) in log.records.iter().zip(&records) {
                prop_assert_eq!(read, written);
            }
        }
    }

    /// A log compacted between any two records leads to the same ledger as one that was only appended to.
    #[test]
    fn a_compacted_log_gives_the_same_ledger(records in prop::collection::vec(any_record(), 0..40), compact_at in 0..40usize) {
        let limits = LedgerLimits { paid_sessions: 5, retries: 4, servers: 3, unreleased: 3, incarnations: 3 };
        let (mut appended, mut compacted) = (Ledger::default(), Ledger::default());
        for (i, record) in records.iter().enumerate() {
            if i == compact_at {
                let snapshot = compacted.clone();
                compacted = Ledger::default();
                compacted.apply(at(i as u64 - u64::from(i > 0)), &LogRecord::Snapshot(Box::new(snapshot)), &limits);
            }
            appended.apply(at(i as u64), record, &limits);
            compacted.apply(at(i as u64), record, &limits);
        }
        prop_assert_eq!(appended, compacted);
    }
}
