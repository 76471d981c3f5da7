//! Messages of peers: replayed, forged, foreign, corrupt and oversized ones.

use cloverhollow_knowledge::observations::*;
use cloverhollow_knowledge::wire::{Message, MessageError};
use cloverhollow_knowledge::*;
use std::time::Duration;

const HORIZON: Duration = Duration::from_secs(30);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn store(instance: u64) -> KnowledgeStore {
    KnowledgeStore::new(Observer { instance, incarnation: 1 }, 42, HORIZON)
}

fn full_message(from: &KnowledgeStore, now: Duration) -> Message {
    from.view().message(now, 7, None, KnowledgeLevel::Warm, Vec::new())
}

fn serving(version: u64) -> ListedState {
    ListedState { version, status: ServerStatus::Serving }
}

#[test]
fn replayed_foreign_own_and_inconsistent_messages_are_rejected_whole() {
    let (mut a, mut new) = (store(1), store(3));
    a.record_load(secs(100), 5, Some(0.9), None, None);
    let message = full_message(&a, secs(101));
    assert_eq!(
        new.merge(secs(101), secs(101), 8, &message),
        Err(MergeError::NonceMismatch),
        "an answer to another request"
    );
    let foreign = Message { fleet_id: 43, ..message.clone() };
    assert_eq!(new.merge(secs(101), secs(101), 7, &foreign), Err(MergeError::OtherFleet));
    let mut restarted = KnowledgeStore::new(Observer { instance: 1, incarnation: 2 }, 42, HORIZON);
    assert_eq!(restarted.merge(secs(101), secs(101), 7, &message), Err(MergeError::OwnMessage));
    a.record_load(secs(110), 6, Some(0.5), None, None);
    let later = full_message(&a, secs(111));
    new.merge(secs(111), secs(111), 7, &later).unwrap();
    assert_eq!(new.merge(secs(112), secs(112), 7, &message), Err(MergeError::StaleSequence));
    // Swapping two servers' observations keeps the ages consistent.
    let mut swapped = later.clone();
    let (later_load, earlier_load) = (swapped.servers[0].1, swapped.servers[1].1);
    swapped.servers = vec![(5, earlier_load), (6, later_load)];
    assert_eq!(
        new.merge(secs(112), secs(112), 7, &swapped).map(|_| ()),
        Ok(()),
        "the same ages on other servers are consistent"
    );
    // An old observation is given a small age: the observer's later observation then has a greater one.
    let mut b = store(4);
    b.record_load(secs(100), 5, Some(0.9), None, None);
    b.record_load(secs(110), 6, Some(0.5), None, None);
    let at_125 = b.view().message(secs(125), 7, None, KnowledgeLevel::Warm, vec![]);
    let at_110 = b.view().message(secs(110), 7, None, KnowledgeLevel::Warm, vec![]);
    let mixed = Message { servers: vec![at_110.servers[0], at_125.servers[1]], ..at_125 };
    assert_eq!(new.merge(secs(125), secs(125), 7, &mixed), Err(MergeError::InconsistentAges));
    assert!(new.peer_observations(secs(112), 6).link_load.is_some(), "earlier merges are kept");
}

#[test]
fn corrupt_truncated_and_foreign_messages_and_other_formats_are_rejected() {
    let mut a = store(1);
    for server in 0..50 {
        a.record_load(secs(100), server, Some(0.5), Some(0.2), None);
        a.record_state(secs(100), server, serving(3));
    }
    let bytes = full_message(&a, secs(101)).encode().unwrap();
    assert_eq!(Message::decode(&bytes).unwrap(), full_message(&a, secs(101)));
    for length in [0, 3, 9, 10, 40, bytes.len() - 1] {
        assert!(Message::decode(&bytes[..length]).is_err(), "truncated to {length} bytes");
    }
    for i in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[i] ^= 1 << (i % 8);
        assert!(Message::decode(&corrupt).is_err(), "bit flipped in byte {i}");
    }
    let mut newer = bytes.clone();
    newer[4] = 9;
    assert_eq!(Message::decode(&newer), Err(MessageError::UnsupportedFormat(9)));
    assert_eq!(Message::decode(b"HTTP/1.1 200 OK\r\n\r\n"), Err(MessageError::InvalidHeader));
    assert_eq!(Message::decode(&vec![0; wire::MAX_MESSAGE_BYTES + 1]), Err(MessageError::TooLong));
}

#[test]
fn memory_is_bounded_regardless_of_peers_messages() {
    let (mut a, mut new) = (store(1), store(3));
    a.record_load(secs(100), 5, Some(0.5), None, None);
    let one = full_message(&a, secs(100));
    let servers: Vec<_> = (0..MAX_SERVERS as u64 + 10).map(|id| (id, one.servers[0].1)).collect();
    let oversized = Message { servers, ..one.clone() };
    assert_eq!(new.merge(secs(100), secs(100), 7, &oversized), Err(MergeError::TooManyEntries));
    for i in 0..4u64 {
        let servers = (0..MAX_SERVERS as u64).map(|id| (id + i * 50_000, one.servers[0].1)).collect();
        let message = Message { servers, seq: 100 + i, ..one.clone() };
        new.merge(secs(100), secs(100), 7, &message).unwrap();
    }
    assert!(new.servers_from_peers().len() <= MAX_SERVERS);
    new.remove_expired(secs(200));
    assert!(new.servers_from_peers().is_empty());
}
