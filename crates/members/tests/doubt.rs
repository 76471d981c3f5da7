//! Found by whole fleets under drawn trouble: a member that all doubted for ever.

use cloverhollow_members::*;
use std::net::SocketAddr;
use std::time::Duration;

fn address(i: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i))
}

fn swim(i: u16, now: Duration) -> Swim {
    let name = format!("front-{i}").as_str().into();
    let incarnation = Incarnation { number: 1_000, token: u64::from(i) + 1 };
    let me = MemberId { address: address(i), side_address: None, name, zone: "hal".into(), incarnation };
    Swim::new(now, me, SwimConfig::default(), u64::from(i))
}

fn sees(by: &Swim, of: u16) -> Option<MemberState> {
    by.view().members.get(&address(of)).map(|s| s.state)
}

/// One that is in doubt hears of it from a list over the side address, objects, and is believed.
#[test]
fn who_is_doubted_and_never_heard_of_it_hears_of_it_from_a_list() {
    let mut now = Duration::from_secs(86_400);
    let (mut a, mut x) = (swim(0, now), swim(1, now));
    a.sync(now, x.records());
    x.sync(now, a.records());
    assert_eq!((sees(&a, 1), sees(&x, 0)), (Some(MemberState::Alive), Some(MemberState::Alive)));
    // Nothing passes, until the one doubts the other.
    while sees(&a, 1) == Some(MemberState::Alive) {
        now += Duration::from_millis(100);
        a.tick(now);
        assert_eq!(a.check(), Ok(()));
    }
    assert_eq!(sees(&a, 1), Some(MemberState::Suspect));
    a.sync(now, x.records());
    assert_eq!(sees(&a, 1), Some(MemberState::Suspect), "its own word does not go over the doubt");
    drop(x.take_sends());
    x.sync(now, a.records());
    assert_eq!(x.check(), Ok(()));
    for (_, bytes) in x.take_sends() {
        a.message(now, &bytes).unwrap();
    }
    a.tick(now); // the view is brought up to date
    assert_eq!(sees(&a, 1), Some(MemberState::Alive), "its objection does");
    assert_eq!(sees(&x, 0), Some(MemberState::Alive), "and nobody else's doubt is taken over");
}
