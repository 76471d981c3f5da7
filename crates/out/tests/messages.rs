//! Encoded sizes of the messages, and the encoding of the persisted state.

use cloverhollow_members::MAX_DATAGRAM_BYTES;
use cloverhollow_out::*;
use std::net::SocketAddr;

/// Bytes that the seal adds (format, key, sender, number, MAC), and the tag of the envelope around the
/// message.
const OVERHEAD: usize = 1 + 4 + 8 + 8 + 16 + 2 + 2;

fn largest_register() -> Register {
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
fn largest_messages_fit_into_a_datagram() {
    let address: SocketAddr = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().unwrap();
    let ballot = Ballot { round: u64::MAX, proposer: u64::MAX };
    let value = largest_register();
    assert_eq!(value.check_invariants(), Ok(()));
    let accepted = Some((ballot, value.clone()));
    let messages = [
        Message::Promise {
            ballot,
            witness: address,
            incarnation: u64::MAX,
            accepted,
            expired_leases: u32::MAX,
            memory: MemoryState::Current,
        },
        Message::Accept { ballot, reply_to: address, incarnation: u64::MAX, value },
        Message::Prepare { ballot, reply_to: address },
        Message::Rejected { ballot, witness: address, promised: ballot },
    ];
    for message in messages {
        let bytes = postcard::to_stdvec(&message).unwrap();
        println!("{} bytes", bytes.len());
        assert!(bytes.len() + OVERHEAD <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
        assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), message);
    }
}

/// State written by earlier versions must stay readable, so the names in the file are part of the format.
#[test]
fn persisted_state_keeps_its_json_names() {
    let mut register = Register { term: Term(7), ..Register::default() };
    let place = Place { zone: 3, rack: None, cell: Some(4) };
    register.permits = vec![Permit {
        subject: Subject::Front(11),
        place,
        holder: 12,
        request_id: 13,
        term: Term(6),
        lease_ms: 14,
    }];
    register.release = Some(ReleaseRecord {
        number: 21,
        plan_digest: 22,
        stage: Stage::Halted(HaltCause::ServedShare),
        driver: 23,
        fence: Term(5),
        lease_ms: 24,
        request_id: 25,
    });
    let promised = Ballot { round: 31, proposer: 32 };
    let state = PersistedState { promised, accepted: Some((promised, register)), is_current: true };
    let json = concat!(
        r#"{"promised":{"round":31,"asker":32},"taken":[{"round":31,"asker":32},{"term":7,"permits":["#,
        r#"{"subject":{"Front":11},"place":{"hall":3,"rack":null,"cell":4},"holder":12,"ask":13,"term":6,"#,
        r#""lease_ms":14}],"release":{"number":21,"plan":22,"stage":{"Halted":"Worth"},"driver":23,"fence":5,"#,
        r#""lease_ms":24,"ask":25}}],"sees":true}"#
    );
    assert_eq!(serde_json::to_string(&state).unwrap(), json);
    assert_eq!(serde_json::from_str::<PersistedState>(json).unwrap(), state);
}

#[test]
fn stages_and_halt_causes_keep_their_json_names() {
    let stages = [
        (Stage::Planned, r#""Planned""#),
        (Stage::Forecast, r#""Forecast""#),
        (Stage::Canary, r#""Canary""#),
        (Stage::Wave(1), r#"{"Wave":1}"#),
        (Stage::Observed(1), r#"{"Watched":1}"#),
        (Stage::RollingBack, r#""GoingBack""#),
        (Stage::Done, r#""Done""#),
        (Stage::RolledBack, r#""TakenBack""#),
        (Stage::Halted(HaltCause::Operator), r#"{"Halted":"Operator"}"#),
        (Stage::Halted(HaltCause::RuleViolation), r#"{"Halted":"Rule"}"#),
        (Stage::Halted(HaltCause::FailedRestarts), r#"{"Halted":"Restarts"}"#),
        (Stage::Halted(HaltCause::ServedShare), r#"{"Halted":"Worth"}"#),
        (Stage::Halted(HaltCause::PermitWait), r#"{"Halted":"Permits"}"#),
        (Stage::Halted(HaltCause::UncertainView), r#"{"Halted":"View"}"#),
        (Stage::Halted(HaltCause::TooManyOut), r#"{"Halted":"Out"}"#),
        (Stage::Halted(HaltCause::Forecast), r#"{"Halted":"Forecast"}"#),
        (Stage::Halted(HaltCause::Staging), r#"{"Halted":"Staging"}"#),
    ];
    for (stage, json) in stages {
        assert_eq!(serde_json::to_string(&stage).unwrap(), json);
        assert_eq!(serde_json::from_str::<Stage>(json).unwrap(), stage);
    }
}
