//! Regression test, found by randomized fleets: a member that all others suspected forever.

use cloverhollow_members::*;
use std::net::SocketAddr;
use std::time::Duration;

fn address(i: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i))
}

fn swim(i: u16, now: Duration) -> Swim {
    let name = format!("front-{i}").as_str().into();
    let incarnation = Incarnation { number: 1_000, token: u64::from(i) + 1 };
    let local_id =
        MemberId { address: address(i), side_address: None, name, zone: "hal".into(), incarnation };
    Swim::new(now, local_id, SwimConfig::default(), u64::from(i))
}

fn state_seen(observer: &Swim, subject: u16) -> Option<MemberState> {
    observer.view().members.get(&address(subject)).map(|m| m.state)
}

/// A suspect that learns of its suspicion only from records over the side address refutes it and is alive again.
#[test]
fn a_suspicion_learnt_from_records_is_refuted() {
    let mut now = Duration::from_secs(86_400);
    let (mut observer, mut suspect) = (swim(0, now), swim(1, now));
    observer.sync(now, suspect.records());
    suspect.sync(now, observer.records());
    let states = (state_seen(&observer, 1), state_seen(&suspect, 0));
    assert_eq!(states, (Some(MemberState::Alive), Some(MemberState::Alive)));
    // No datagram is delivered until one member suspects the other.
    while state_seen(&observer, 1) == Some(MemberState::Alive) {
        now += Duration::from_millis(100);
        observer.tick(now);
        assert_eq!(observer.check(), Ok(()));
    }
    assert_eq!(state_seen(&observer, 1), Some(MemberState::Suspect));
    observer.sync(now, suspect.records());
    let state = state_seen(&observer, 1);
    assert_eq!(state, Some(MemberState::Suspect), "the suspect's own record does not end the suspicion");
    drop(suspect.take_sends());
    suspect.sync(now, observer.records());
    assert_eq!(suspect.check(), Ok(()));
    for (_, bytes) in suspect.take_sends() {
        observer.handle_message(now, &bytes).unwrap();
    }
    observer.tick(now); // updates the view
    assert_eq!(state_seen(&observer, 1), Some(MemberState::Alive), "the refutation ends it");
    assert_eq!(state_seen(&suspect, 0), Some(MemberState::Alive), "suspicions of others are not taken over");
}
