//! What strangers and repeats can do: nothing.

use cloverhollow_members::*;
use proptest::prelude::*;

fn key(id: u32) -> Key {
    Key { id, secret: vec![id as u8 + 7; 32] }
}

fn pair() -> (Sealer, Keys) {
    (Sealer::new(key(1), 42), Keys::new(&[key(1)]))
}

#[test]
fn what_is_sealed_opens_once() {
    let (mut sealer, mut keys) = pair();
    let datagram = sealer.seal(b"word");
    assert_eq!(keys.open(&datagram), Ok((42, &b"word"[..])));
    assert_eq!(keys.open(&datagram), Err(ReceiveError::Replayed));
}

#[test]
fn numbers_may_come_out_of_order_within_the_window_and_no_later() {
    let (mut sealer, mut keys) = pair();
    let all: Vec<_> = (0..300).map(|_| sealer.seal(b"x")).collect();
    assert!(keys.open(&all[200]).is_ok());
    assert!(keys.open(&all[73]).is_ok(), "127 behind");
    assert_eq!(keys.open(&all[72]), Err(ReceiveError::Replayed), "128 behind: nobody can tell any more");
    assert!(keys.open(&all[299]).is_ok() && keys.open(&all[201]).is_ok());
    assert_eq!(keys.open(&all[200]), Err(ReceiveError::Replayed));
}

#[test]
fn another_key_or_a_changed_byte_is_refused_and_moves_no_window() {
    let (mut sealer, mut keys) = pair();
    assert_eq!(keys.open(&Sealer::new(key(2), 42).seal(b"x")), Err(ReceiveError::UnknownKey));
    let forged = Sealer::new(Key { id: 1, secret: vec![9; 32] }, 42).seal(b"x");
    assert_eq!(keys.open(&forged), Err(ReceiveError::InvalidMac));
    assert_eq!(keys.sources(), 0);
    let good = sealer.seal(b"x");
    for i in 0..good.len() {
        let mut bad = good.clone();
        bad[i] ^= 1;
        assert!(keys.open(&bad).is_err(), "byte {i}");
    }
    assert!(keys.open(&good).is_ok(), "none of them used its number up");
}

#[test]
fn two_keys_are_taken_while_one_follows_the_other() {
    let mut keys = Keys::new(&[key(2), key(1)]);
    assert!(keys.open(&Sealer::new(key(1), 1).seal(b"old")).is_ok());
    assert!(keys.open(&Sealer::new(key(2), 2).seal(b"new")).is_ok());
}

#[test]
fn senders_are_bounded_the_one_heard_longest_ago_goes() {
    let mut keys = Keys::new(&[key(1)]);
    for source in 0..=MAX_SENDERS as u64 {
        assert!(keys.open(&Sealer::new(key(1), source).seal(b"x")).is_ok());
    }
    assert_eq!(keys.sources(), MAX_SENDERS);
}

proptest! {
    #[test]
    fn noise_never_opens(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        let (_, mut keys) = pair();
        prop_assert!(keys.open(&bytes).is_err());
    }
}
