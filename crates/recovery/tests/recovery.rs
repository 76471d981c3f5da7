//! What lives leave behind, what of it is believed, and what a later life makes of it.

use cloverhollow_recovery::frame::{self, encode, FrameError, MAGIC};
use cloverhollow_recovery::*;
use proptest::prelude::*;
use std::time::Duration;

const BOOT: Boot = Boot(7);

fn at(ms: u64) -> Stamp {
    Stamp { boot_ms: ms, wall_ms: 1_700_000_000_000 + ms }
}

fn out(sid: &str, paid: bool, further: bool) -> Deed {
    Deed::Out { sid: sid.into(), server: 3, paid, further }
}

fn file(deeds: &[(u64, Deed)]) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    for (ms, deed) in deeds {
        encode(at(*ms), deed, &mut bytes).unwrap();
    }
    bytes
}

fn found(bytes: &[u8], changed: u64) -> Found<'_> {
    Found { bytes: Some(bytes), changed_ms: at(changed).wall_ms, ran_before: true }
}

fn life() -> Vec<(u64, Deed)> {
    vec![
        (1_000, Deed::Began { boot: BOOT }),
        (1_100, out("a", true, false)),
        (1_200, out("b", false, true)),
        (1_300, out("c", true, true)),
        (1_400, Deed::Unrun { sid: digest("a") }),
        (1_500, Deed::Listed { server: 9, serves: false }),
        (1_600, Deed::Listed { server: 8, serves: false }),
        (1_700, Deed::Listed { server: 8, serves: true }),
    ]
}

#[test]
fn a_life_that_was_killed_is_known_whole() {
    let bytes = file(&life());
    let (ledger, r) = recover(found(&bytes, 1_700), BOOT, at(4_000), &Bounds::default());
    assert_eq!(r.trust, Trust::Proven);
    assert_eq!(r.paid.iter().collect::<Vec<_>>(), [digest("c")], "a is proven never to have run");
    assert_eq!(r.further, [Duration::from_millis(2_800), Duration::from_millis(2_700)]);
    assert_eq!(r.known, Duration::MAX);
    assert_eq!(r.stopped.into_iter().collect::<Vec<_>>(), [9]);
    assert_eq!(r.held.iter().map(|h| h.sid.as_str()).collect::<Vec<_>>(), ["c"]);
    // Written anew in one frame it says the same.
    let anew = file(&[(1_700, Deed::Whole(Box::new(ledger)))]);
    let (_, again) = recover(found(&anew, 1_700), BOOT, at(4_000), &Bounds::default());
    assert_eq!((again.trust, again.paid.iter().collect()), (Trust::Proven, vec![digest("c")]));
}

#[test]
fn a_first_life_and_one_whose_file_is_gone_are_told_apart() {
    let none = |ran_before| Found { bytes: None, changed_ms: 0, ran_before };
    let (_, first) = recover(none(false), BOOT, at(5), &Bounds::default());
    assert_eq!((first.trust, first.known), (Trust::First, Duration::MAX));
    let (ledger, gone) = recover(none(true), BOOT, at(5), &Bounds::default());
    assert_eq!((gone.trust, gone.known), (Trust::Unproven(Why::Gone), Duration::ZERO));
    // And the life after that one knows from there on only.
    assert_eq!(ledger.known_from(), Some(at(5)));
}

#[test]
fn what_is_not_what_was_written_last_is_not_believed() {
    let bytes = file(&life());
    let trust = |f: Found<'_>, now| recover(f, BOOT, at(now), &Bounds::default()).1.trust;
    // An older copy put back has a younger time of change than its last deed.
    assert_eq!(trust(found(&bytes, 60_000), 61_000), Trust::Unproven(Why::Strayed { by_ms: 58_300 }));
    assert_eq!(trust(found(&bytes, 1_700), 1_000), Trust::Unproven(Why::Ahead));
    assert_eq!(
        trust(found(b"something else", 1_700), 2_000),
        Trust::Unproven(Why::Frames(FrameError::Magic))
    );
    assert_eq!(trust(found(&MAGIC, 1_700), 2_000), Trust::Unproven(Why::Empty));
    let mut garbled = bytes.clone();
    garbled[40] ^= 1;
    assert!(matches!(trust(found(&garbled, 1_700), 2_000), Trust::Unproven(Why::Frames(_))));
}

#[test]
fn after_a_reboot_paid_sessions_are_known_and_times_are_not() {
    let mut deeds = life();
    let bytes = file(&deeds);
    let (_, r) = recover(found(&bytes, 1_700), Boot(8), at(300), &Bounds::default());
    assert_eq!((r.trust, r.known), (Trust::Rebooted, Duration::ZERO));
    assert_eq!((r.paid.iter().len(), r.further.len()), (1, 0));
    // A life of the new boot that is killed in turn: what is known begins with it.
    deeds.push((400, Deed::Began { boot: Boot(8) }));
    deeds.push((450, out("d", false, true)));
    let bytes = file(&deeds);
    let (_, r) = recover(found(&bytes, 450), Boot(8), at(900), &Bounds::default());
    assert_eq!((r.trust, r.known), (Trust::Proven, Duration::from_millis(500)));
    assert_eq!(r.further, [Duration::from_millis(450)]);
}

#[test]
fn a_longer_span_than_was_kept_is_told_as_not_known() {
    let mut ledger = Ledger::default();
    let bounds = Bounds::default();
    for ms in [1_000, 2_000, 9_000] {
        ledger.apply(at(ms), &out("x", false, true), &bounds);
    }
    ledger.forget_further(at(11_500), Duration::from_secs(10));
    assert_eq!(ledger.further().collect::<Vec<_>>(), [at(2_000), at(9_000)]);
    assert_eq!(ledger.known_from(), Some(at(1_000)));
}

#[test]
fn bounds_hold_and_what_falls_off_is_said() {
    let bounds = Bounds { paid: 3, further: 2, stopped: 1, held: 2, starts: 2 };
    let mut ledger = Ledger::default();
    for i in 0..6u64 {
        ledger.apply(at(i), &Deed::Began { boot: BOOT }, &bounds);
        ledger.apply(at(i), &out(&format!("s{i}"), true, true), &bounds);
        ledger.apply(at(i), &Deed::Listed { server: i, serves: false }, &bounds);
    }
    assert_eq!(ledger.paid().iter().collect::<Vec<_>>(), ["s3", "s4", "s5"].map(digest));
    assert_eq!(ledger.further().count(), 2);
    assert_eq!(ledger.known_from(), Some(at(3)), "the ration's past is short");
    assert_eq!((ledger.stopped().len(), ledger.starts().count(), ledger.held().count()), (1, 2, 1));
}

#[test]
fn a_front_that_dies_again_and_again_waits_longer_and_one_that_ends_in_order_never() {
    let backoff = Backoff {
        window: Duration::from_secs(60),
        free: 2,
        first: Duration::from_millis(500),
        most: Duration::from_secs(10),
    };
    let mut ledger = Ledger::default();
    let mut holds = Vec::new();
    for life in 0..10 {
        let now = at(life * 1_000);
        holds.push(backoff.wait(&ledger, BOOT, now).hold.as_millis());
        ledger.apply(now, &Deed::Began { boot: BOOT }, &Bounds::default());
    }
    assert_eq!(holds, [0, 0, 0, 500, 1_000, 2_000, 4_000, 8_000, 10_000, 10_000]);
    assert_eq!(backoff.wait(&ledger, BOOT, at(69_500)).deaths, 0, "long ago");
    assert_eq!(backoff.wait(&ledger, Boot(8), at(500)).deaths, 0, "before a reboot");
    let mut ledger = Ledger::default();
    for life in 0..10 {
        ledger.apply(at(life), &Deed::Began { boot: BOOT }, &Bounds::default());
        ledger.apply(at(life), &Deed::Ended, &Bounds::default());
    }
    assert_eq!(backoff.wait(&ledger, BOOT, at(20)), backoff::Wait::default());
}

fn any_deed() -> impl Strategy<Value = Deed> {
    let sid = 0..12u8;
    prop_oneof![
        1 => any::<bool>().prop_map(|b| Deed::Began { boot: Boot(u128::from(b)) }),
        6 => (sid.clone(), any::<bool>(), any::<bool>())
            .prop_map(|(s, paid, further)| out(&format!("s{s}"), paid, further)),
        2 => sid.clone().prop_map(|s| Deed::Unrun { sid: digest(&format!("s{s}")) }),
        2 => (0..5u64, any::<bool>()).prop_map(|(server, serves)| Deed::Listed { server, serves }),
        2 => (0..5u64, any::<bool>()).prop_map(|(server, failed)| Deed::Failed { server, failed }),
        1 => Just(Deed::Ended),
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
        let read = frame::read(&bytes[..cut]).unwrap();
        let whole = ends.iter().filter(|e| **e <= cut).count().saturating_sub(1);
        prop_assert_eq!(read.deeds.len(), whole);
        prop_assert_eq!(read.torn, cut > 0 && !ends.contains(&cut));
    }

    /// A garbled byte never gives a deed that was not written.
    #[test]
    fn a_garbled_byte_gives_no_other_deed(deeds in prop::collection::vec(any_deed(), 1..20), which in any::<prop::sample::Index>(), flip in 1..=255u8) {
        let stamped: Vec<_> = deeds.iter().enumerate().map(|(i, d)| (i as u64, d.clone())).collect();
        let mut bytes = file(&stamped);
        let i = which.index(bytes.len());
        bytes[i] ^= flip;
        if let Ok(read) = frame::read(&bytes) {
            for ((_, read), written) in read.deeds.iter().zip(&deeds) {
                prop_assert_eq!(read, written);
            }
        }
    }

    /// A file written anew between any two deeds leads to the same ledger as one that was only appended to.
    #[test]
    fn written_anew_it_is_the_same(deeds in prop::collection::vec(any_deed(), 0..40), at_deed in 0..40usize) {
        let bounds = Bounds { paid: 5, further: 4, stopped: 3, held: 3, starts: 3 };
        let (mut plain, mut anew) = (Ledger::default(), Ledger::default());
        for (i, deed) in deeds.iter().enumerate() {
            if i == at_deed {
                let whole = anew.clone();
                anew = Ledger::default();
                anew.apply(at(i as u64 - u64::from(i > 0)), &Deed::Whole(Box::new(whole)), &bounds);
            }
            plain.apply(at(i as u64), deed, &bounds);
            anew.apply(at(i as u64), deed, &bounds);
        }
        prop_assert_eq!(plain, anew);
    }
}
