//! Every word fits into one datagram, with the largest value.

use cloverhollow_members::MAX_DATAGRAM_BYTES;
use cloverhollow_out::*;
use std::net::SocketAddr;

/// What a seal adds (format, key, sender, number, MAC), and the tag of an envelope round the word.
const AROUND: usize = 1 + 4 + 8 + 8 + 16 + 2 + 2;

fn largest() -> Register {
    let term = Term(u64::MAX);
    let place = Place { zone: u32::MAX, rack: Some(u32::MAX), cell: Some(u32::MAX) };
    let permit = |n: u64| Permit {
        subject: Subject::Server(u64::MAX - n),
        place,
        holder: u64::MAX,
        request_id: u32::MAX,
        term,
        lease_ms: u32::MAX,
    };
    let release = ReleaseRecord {
        number: u64::MAX,
        plan_digest: u64::MAX,
        stage: Stage::Observed(u16::MAX),
        driver: u64::MAX,
        fence: term,
        lease_ms: u32::MAX,
        request_id: u32::MAX,
    };
    let mut permits: Vec<Permit> = (0..MAX_PERMITS as u64).map(permit).collect();
    permits.reverse();
    Register { term, permits, release: Some(release) }
}

#[test]
fn the_largest_words_fit_into_a_datagram() {
    let at: SocketAddr = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().unwrap();
    let ballot = Ballot { round: u64::MAX, proposer: u64::MAX };
    let value = largest();
    assert_eq!(value.check_invariants(), Ok(()));
    let accepted = Some((ballot, value.clone()));
    let words = [
        Message::Promise {
            ballot,
            witness: at,
            incarnation: u64::MAX,
            accepted,
            expired_leases: u32::MAX,
            memory: MemoryState::Current,
        },
        Message::Accept { ballot, reply_to: at, incarnation: u64::MAX, value },
        Message::Prepare { ballot, reply_to: at },
        Message::Rejected { ballot, witness: at, promised: ballot },
    ];
    for word in words {
        let bytes = postcard::to_stdvec(&word).unwrap();
        println!("{} bytes", bytes.len());
        assert!(bytes.len() + AROUND <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
        assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), word);
    }
}
