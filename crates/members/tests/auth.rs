//! Forged and replayed datagrams are rejected.

use cloverhollow_members::*;
use proptest::prelude::*;

fn key(id: u32) -> Key {
    Key { id, secret: vec![id as u8 + 7; 32] }
}

fn pair() -> (Signer, Verifier) {
    (Signer::new(key(1), 42), Verifier::new(&[key(1)]))
}

#[test]
fn a_signed_datagram_is_accepted_once() {
    let (mut signer, mut verifier) = pair();
    let datagram = signer.sign(b"payload");
    assert_eq!(verifier.verify(&datagram), Ok((42, &b"payload"[..])));
    assert_eq!(verifier.verify(&datagram), Err(ReceiveError::Replayed));
}

#[test]
fn reordered_datagrams_are_accepted_within_the_replay_window_only() {
    let (mut signer, mut verifier) = pair();
    let all: Vec<_> = (0..300).map(|_| signer.sign(b"x")).collect();
    assert!(verifier.verify(&all[200]).is_ok());
    assert!(verifier.verify(&all[73]).is_ok(), "127 behind");
    assert_eq!(verifier.verify(&all[72]), Err(ReceiveError::Replayed), "128 behind: outside the window");
    assert!(verifier.verify(&all[299]).is_ok() && verifier.verify(&all[201]).is_ok());
    assert_eq!(verifier.verify(&all[200]), Err(ReceiveError::Replayed));
}

#[test]
fn another_key_or_a_changed_byte_is_rejected_and_changes_no_window() {
    let (mut signer, mut verifier) = pair();
    let unknown_key = Signer::new(key(2), 42).sign(b"x");
    assert_eq!(verifier.verify(&unknown_key), Err(ReceiveError::UnknownKey));
    let forged = Signer::new(Key { id: 1, secret: vec![9; 32] }, 42).sign(b"x");
    assert_eq!(verifier.verify(&forged), Err(ReceiveError::InvalidMac));
    assert_eq!(verifier.sender_count(), 0);
    let valid = signer.sign(b"x");
    for i in 0..valid.len() {
        let mut corrupt = valid.clone();
        corrupt[i] ^= 1;
        assert!(verifier.verify(&corrupt).is_err(), "byte {i}");
    }
    assert!(verifier.verify(&valid).is_ok(), "a rejected datagram used up the sequence number");
}

#[test]
fn both_keys_are_accepted_during_a_rotation() {
    let mut verifier = Verifier::new(&[key(2), key(1)]);
    assert!(verifier.verify(&Signer::new(key(1), 1).sign(b"old")).is_ok());
    assert!(verifier.verify(&Signer::new(key(2), 2).sign(b"new")).is_ok());
}

#[test]
fn senders_are_bounded_and_the_one_silent_for_longest_is_dropped() {
    let mut verifier = Verifier::new(&[key(1)]);
    for sender in 0..=MAX_SENDERS as u64 {
        assert!(verifier.verify(&Signer::new(key(1), sender).sign(b"x")).is_ok());
    }
    assert_eq!(verifier.sender_count(), MAX_SENDERS);
}

proptest! {
    #[test]
    fn random_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        let (_, mut verifier) = pair();
        prop_assert!(verifier.verify(&bytes).is_err());
    }
}
