//! Lives of one name or one address in the view, in virtual time.

mod net;

use cloverhollow_members::*;
use net::{address, ms, settled, Net};

#[test]
fn a_flapping_member_ends_as_its_last_life() {
    let mut net = settled(12, 7);
    for round in 0..8 {
        net.members[9] = None;
        net.run(ms(700 + 300 * round));
        net.start(9);
        net.run(ms(900));
    }
    assert!(net.until_agreed(ms(20_000)).is_some());
    let lives: Vec<Incarnation> =
        net.live().map(|(_, m)| m.view().members[&address(9)].id.incarnation).collect();
    assert!(lives.windows(2).all(|w| w[0] == w[1]), "all know the same incarnation");
}

#[test]
fn a_life_whose_clock_is_behind_its_last_one_is_believed_all_the_same() {
    let mut net = settled(12, 8);
    net.members[9] = None;
    net.run(ms(1_000));
    // A day behind: each refusal raises it by twice as much.
    net.start_at(9, "front-9", -86_400_000);
    assert!(net.until_agreed(ms(30_000)).is_some());
    assert!(net.notices.iter().any(|(i, n)| *i == 9 && matches!(n, MemberEvent::IncarnationRaised(_))));
}

#[test]
fn of_two_processes_of_one_name_the_older_steps_back_and_a_dead_one_moves_nobody() {
    let mut net = Net::new(13, 9);
    (0..12).for_each(|i| net.start(i));
    assert!(net.until_agreed_of(12, ms(20_000)));
    net.start_at(12, "front-5", 0);
    net.run(ms(10_000));
    let back = |net: &Net, i: usize| net.members[i].as_ref().unwrap().replaced_by().cloned();
    assert_eq!(back(&net, 5).map(|w| w.address), Some(address(12)), "the older one");
    assert_eq!(back(&net, 12), None);
    assert!(net.notices.iter().any(|(i, n)| *i == 5 && matches!(n, MemberEvent::Replaced(_))));

    // One that comes back elsewhere with a clock that is behind: its last incarnation is dead, and nobody steps back.
    let mut net = Net::new(13, 10);
    (0..12).for_each(|i| net.start(i));
    assert!(net.until_agreed_of(12, ms(20_000)));
    net.members[5] = None;
    net.start_at(12, "front-5", -3_600_000);
    net.run(ms(20_000));
    assert_eq!(back(&net, 12), None);
}

#[test]
fn a_late_datagram_of_an_earlier_life_changes_nothing() {
    let mut net = settled(6, 11);
    // An old incarnation's word, kept back by the network: sealed by the old process, never delivered.
    let mut old = net.members[3].take().unwrap();
    net.run(ms(100));
    old.tick(net.now + ms(600));
    let late = old.take_datagrams();
    assert!(!late.is_empty());
    net.start(3);
    assert!(net.until_agreed(ms(20_000)).is_some());
    net.run(ms(5_000));
    let before: Vec<u64> = net.live().map(|(_, m)| m.view().version).collect();
    for i in 0..6 {
        late.iter().for_each(|d| net.throw(i, d.bytes.clone()));
    }
    net.run(ms(5_000));
    let after: Vec<u64> = net.live().map(|(_, m)| m.view().version).collect();
    assert_eq!((before, net.agreed()), (after, true));
}

#[test]
fn who_leaves_with_a_word_is_missed_at_once() {
    let mut net = settled(24, 14);
    let now = net.now;
    net.members[20].as_mut().unwrap().leave(now);
    net.run(ms(1_500));
    let gone = (0..20).filter(|i| net.sees(*i, 20) == Some(MemberState::Down)).count();
    assert_eq!(gone, 20, "sooner than any suspicion");
}
