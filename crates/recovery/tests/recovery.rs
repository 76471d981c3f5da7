//! What lives leave behind, what of it is believed, and what a later life makes of it.

use cloverhollow_recovery::frame::{self, encode, FrameError, MAGIC};
use cloverhollow_recovery::*;
use proptest::prelude::*;
use std::time::Duration;

const BOOT: BootId = BootId(7);

fn at(ms: u64) -> Timestamp {
    Timestamp { boot_ms: ms, wall_ms: 1_700_000_000_000 + ms }
}

fn out(sid: &str, paid: bool, further: bool) -> LogRecord {
    LogRecord::AttemptStarted { sid: sid.into(), server: 3, paid, is_retry: further }
}

fn file(deeds: &[(u64, LogRecord)]) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    for (ms, deed) in deeds {
        encode(at(*ms), deed, &mut bytes).unwrap();
    }
    bytes
}

fn found(bytes: &[u8], changed: u64) -> FoundLog<'_> {
    FoundLog { bytes: Some(bytes), changed_unix_ms: at(changed).wall_ms, ran_before: true }
}

fn life() -> Vec<(u64, LogRecord)> {
    vec![
        (1_000, LogRecord::IncarnationStarted { boot: BOOT }),
        (1_100, out("a", true, false)),
        (1_200, out("b", false, true)),
        (1_300, out("c", true, true)),
        (1_400, LogRecord::AttemptNotExecuted { sid: session_digest("a") }),
        (1_500, LogRecord::ServerListed { server: 9, accepts_sessions: false }),
        (1_600, LogRecord::ServerListed { server: 8, accepts_sessions: false }),
        (1_700, LogRecord::ServerListed { server: 8, accepts_sessions: true }),
    ]
}

#[test]
fn a_life_that_was_killed_is_known_whole() {
    let bytes = file(&life());
    let (ledger, r) = recover(found(&bytes, 1_700), BOOT, at(4_000), &LedgerLimits::default());
    assert_eq!(r.trust, Trust::Complete);
    assert_eq!(
        r.paid_sessions.iter().collect::<Vec<_>>(),
        [session_digest("c")],
        "a is proven never to have run"
    );
    assert_eq!(r.retry_ages, [Duration::from_millis(2_800), Duration::from_millis(2_700)]);
    assert_eq!(r.retries_complete_for, Duration::MAX);
    assert_eq!(r.stopped.into_iter().collect::<Vec<_>>(), [9]);
    assert_eq!(r.unreleased.iter().map(|h| h.sid.as_str()).collect::<Vec<_>>(), ["c"]);
    // Written anew in one frame it says the same.
    let anew = file(&[(1_700, LogRecord::Snapshot(Box::new(ledger)))]);
    let (_, again) = recover(found(&anew, 1_700), BOOT, at(4_000), &LedgerLimits::default());
    assert_eq!(
        (again.trust, again.paid_sessions.iter().collect()),
        (Trust::Complete, vec![session_digest("c")])
    );
}

#[test]
fn a_first_life_and_one_whose_file_is_gone_are_told_apart() {
    let none = |ran_before| FoundLog { bytes: None, changed_unix_ms: 0, ran_before };
    let (_, first) = recover(none(false), BOOT, at(5), &LedgerLimits::default());
    assert_eq!((first.trust, first.retries_complete_for), (Trust::FirstStart, Duration::MAX));
    let (ledger, gone) = recover(none(true), BOOT, at(5), &LedgerLimits::default());
    assert_eq!(
        (gone.trust, gone.retries_complete_for),
        (Trust::Unproven(DistrustReason::Missing), Duration::ZERO)
    );
    // And the life after that one knows from there on only.
    assert_eq!(ledger.retries_complete_since(), Some(at(5)));
}

#[test]
fn what_is_not_what_was_written_last_is_not_believed() {
    let bytes = file(&life());
    let trust = |f: FoundLog<'_>, now| recover(f, BOOT, at(now), &LedgerLimits::default()).1.trust;
    // An older copy put back has a younger time of change than its last deed.
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
    let mut garbled = bytes.clone();
    garbled[40] ^= 1;
    assert!(matches!(
        trust(found(&garbled, 1_700), 2_000),
        Trust::Unproven(DistrustReason::InvalidFrames(_))
    ));
}

#[test]
fn after_a_reboot_paid_sessions_are_known_and_times_are_not() {
    let mut deeds = life();
    let bytes = file(&deeds);
    let (_, r) = recover(found(&bytes, 1_700), BootId(8), at(300), &LedgerLimits::default());
    assert_eq!((r.trust, r.retries_complete_for), (Trust::Rebooted, Duration::ZERO));
    assert_eq!((r.paid_sessions.iter().len(), r.retry_ages.len()), (1, 0));
    // A life of the new boot that is killed in turn: what is known begins with it.
    deeds.push((400, LogRecord::IncarnationStarted { boot: BootId(8) }));
    deeds.push((450, out("d", false, true)));
    let bytes = file(&deeds);
    let (_, r) = recover(found(&bytes, 450), BootId(8), at(900), &LedgerLimits::default());
    assert_eq!((r.trust, r.retries_complete_for), (Trust::Complete, Duration::from_millis(500)));
    assert_eq!(r.retry_ages, [Duration::from_millis(450)]);
}

#[test]
fn a_longer_span_than_was_kept_is_told_as_not_known() {
    let mut ledger = Ledger::default();
    let bounds = LedgerLimits::default();
    for ms in [1_000, 2_000, 9_000] {
        ledger.apply(at(ms), &out("x", false, true), &bounds);
    }
    ledger.forget_retries(at(11_500), Duration::from_secs(10));
    assert_eq!(ledger.retries().collect::<Vec<_>>(), [at(2_000), at(9_000)]);
    assert_eq!(ledger.retries_complete_since(), Some(at(1_000)));
}

#[test]
fn bounds_hold_and_what_falls_off_is_said() {
    let bounds = LedgerLimits { paid_sessions: 3, retries: 2, servers: 1, unreleased: 2, incarnations: 2 };
    let mut ledger = Ledger::default();
    for i in 0..6u64 {
        ledger.apply(at(i), &LogRecord::IncarnationStarted { boot: BOOT }, &bounds);
        ledger.apply(at(i), &out(&format!("s{i}"), true, true), &bounds);
        ledger.apply(at(i), &LogRecord::ServerListed { server: i, accepts_sessions: false }, &bounds);
    }
    assert_eq!(ledger.paid_sessions().iter().collect::<Vec<_>>(), ["s3", "s4", "s5"].map(session_digest));
    assert_eq!(ledger.retries().count(), 2);
    assert_eq!(ledger.retries_complete_since(), Some(at(3)), "the ration's past is short");
    assert_eq!(
        (ledger.stopped().len(), ledger.incarnations().count(), ledger.unreleased().count()),
        (1, 2, 1)
    );
}

#[test]
fn a_front_that_dies_again_and_again_waits_longer_and_one_that_ends_in_order_never() {
    let backoff = RestartBackoff {
        window: Duration::from_secs(60),
        free_crashes: 2,
        initial_delay: Duration::from_millis(500),
        max_delay: Duration::from_secs(10),
    };
    let mut ledger = Ledger::default();
    let mut holds = Vec::new();
    for life in 0..10 {
        let now = at(life * 1_000);
        holds.push(backoff.start_delay(&ledger, BOOT, now).delay.as_millis());
        ledger.apply(now, &LogRecord::IncarnationStarted { boot: BOOT }, &LedgerLimits::default());
    }
    assert_eq!(holds, [0, 0, 0, 500, 1_000, 2_000, 4_000, 8_000, 10_000, 10_000]);
    assert_eq!(backoff.start_delay(&ledger, BOOT, at(69_500)).crashes, 0, "long ago");
    assert_eq!(backoff.start_delay(&ledger, BootId(8), at(500)).crashes, 0, "before a reboot");
    let mut ledger = Ledger::default();
    for life in 0..10 {
        ledger.apply(at(life), &LogRecord::IncarnationStarted { boot: BOOT }, &LedgerLimits::default());
        ledger.apply(at(life), &LogRecord::CleanShutdown, &LedgerLimits::default());
    }
    assert_eq!(backoff.start_delay(&ledger, BOOT, at(20)), backoff::StartDelay::default());
}

fn any_deed() -> impl Strategy<Value = LogRecord> {
    let sid = 0..12u8;
    prop_oneof![
        1 => any::<bool>().prop_map(|b| LogRecord::IncarnationStarted { boot: BootId(u128::from(b)) }),
        6 => (sid.clone(), any::<bool>(), any::<bool>())
            .prop_map(|(s, paid, further)| out(&format!("s{s}"), paid, further)),
        2 => sid.clone().prop_map(|s| LogRecord::AttemptNotExecuted { sid: session_digest(&format!("s{s}")) }),
        2 => (0..5u64, any::<bool>()).prop_map(|(server, serves)| LogRecord::ServerListed { server, accepts_sessions: serves }),
        2 => (0..5u64, any::<bool>()).prop_map(|(server, failed)| LogRecord::ServerFailure { server, failed }),
        1 => Just(LogRecord::CleanShutdown),
    ]
}

proptest! {
    /// Cut anywhere, a file gives the state of the whole frames before the cut: nothing that was on the paper
    /// is missing and nothing that was not is there.
    #[test]
    fn a_cut_loses_nothing_that_was_whole(deeds in prop::collection::vec(any_deed(), 0..30), cut in 0.0..1.0f64) {
        let mut ends = vec![MAGIC.len()];
        let mut bytes = MAGIC.to_vec();
        for (i, deed) in deeds.iter().enumerate() {
            encode(at(i as u64), deed, &mut bytes).unwrap();
            ends.push(bytes.len());
        }
        let cut = (bytes.len() as f64 * cut) as usize;
        let read = frame::decode(&bytes[..cut]).unwrap();
        let whole = ends.iter().filter(|e| **e <= cut).count().saturating_sub(1);
        prop_assert_eq!(read.records.len(), whole);
        prop_assert_eq!(read.torn_tail, cut > 0 && !ends.contains(&cut));
    }

    /// A garbled byte never gives a deed that was not written.
    #[test]
    fn a_garbled_byte_gives_no_other_deed(deeds in prop::collection::vec(any_deed(), 1..20), which in any::<prop::sample::Index>(), flip in 1..=255u8) {
        let stamped: Vec<_> = deeds.iter().enumerate().map(|(i, d)| (i as u64, d.clone())).collect();
        let mut bytes = file(&stamped);
        let i = which.index(bytes.len());
        bytes[i] ^= flip;
        if let Ok(read) = frame::decode(&bytes) {
            for ((_, read), written) in read.records.iter().zip(&deeds) {
                prop_assert_eq!(read, written);
            }
        }
    }

    /// A file written anew between any two deeds leads to the same ledger as one that was only appended to.
    #[test]
    fn written_anew_it_is_the_same(deeds in prop::collection::vec(any_deed(), 0..40), at_deed in 0..40usize) {
        let bounds = LedgerLimits { paid_sessions: 5, retries: 4, servers: 3, unreleased: 3, incarnations: 3 };
        let (mut plain, mut anew) = (Ledger::default(), Ledger::default());
        for (i, deed) in deeds.iter().enumerate() {
            if i == at_deed {
                let whole = anew.clone();
                anew = Ledger::default();
                anew.apply(at(i as u64 - u64::from(i > 0)), &LogRecord::Snapshot(Box::new(whole)), &bounds);
            }
            plain.apply(at(i as u64), deed, &bounds);
            anew.apply(at(i as u64), deed, &bounds);
        }
        prop_assert_eq!(plain, anew);
    }
}
