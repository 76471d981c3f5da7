//! Incarnations with one name or one address in the view, in virtual time.

mod sim;

use cloverhollow_members::*;
use sim::{address, ms, settled, Simulation};

#[test]
fn a_flapping_member_ends_with_its_last_incarnation() {
    let mut sim = settled(12, 7);
    for round in 0..8 {
        sim.members[9] = None;
        sim.run(ms(700 + 300 * round));
        sim.start(9);
        sim.run(ms(900));
    }
    assert!(sim.run_until_agreed(ms(20_000)).is_some());
    let incarnations: Vec<Incarnation> =
        sim.running().map(|(_, m)| m.view().members[&address(9)].id.incarnation).collect();
    assert!(incarnations.windows(2).all(|w| w[0] == w[1]), "members know different incarnations");
}

#[test]
fn an_incarnation_from_a_clock_that_is_behind_is_raised_until_accepted() {
    let mut sim = settled(12, 8);
    sim.members[9] = None;
    sim.run(ms(1_000));
    // A day behind: the increment doubles with each refusal.
    sim.start_named(9, "front-9", -86_400_000);
    assert!(sim.run_until_agreed(ms(30_000)).is_some());
    assert!(sim.events.iter().any(|(i, e)| *i == 9 && matches!(e, MemberEvent::IncarnationRaised(_))));
}

#[test]
fn only_a_running_younger_process_with_the_same_name_replaces_a_member() {
    let mut sim = Simulation::new(13, 9);
    (0..12).for_each(|i| sim.start(i));
    assert!(sim.run_until_agreed_of(12, ms(20_000)));
    sim.start_named(12, "front-5", 0);
    sim.run(ms(10_000));
    let replaced_by = |sim: &Simulation, i: usize| sim.members[i].as_ref().unwrap().replaced_by().cloned();
    assert_eq!(replaced_by(&sim, 5).map(|id| id.address), Some(address(12)), "the older process");
    assert_eq!(replaced_by(&sim, 12), None);
    assert!(sim.events.iter().any(|(i, e)| *i == 5 && matches!(e, MemberEvent::Replaced(_))));

    // A process that restarts at another address with its clock behind: its previous incarnation compares greater but
    // no longer runs, so it replaces nothing.
    let mut sim = Simulation::new(13, 10);
    (0..12).for_each(|i| sim.start(i));
    assert!(sim.run_until_agreed_of(12, ms(20_000)));
    sim.members[5] = None;
    sim.start_named(12, "front-5", -3_600_000);
    sim.run(ms(20_000));
    assert_eq!(replaced_by(&sim, 12), None);
}

#[test]
fn a_late_datagram_of_an_earlier_incarnation_changes_nothing() {
    let mut sim = settled(6, 11);
    // Datagrams signed by the old process that the network delays until after the restart.
    let mut old = sim.members[3].take().unwrap();
    sim.run(ms(100));
    old.tick(sim.now + ms(600));
    let late = old.take_datagrams();
    assert!(!late.is_empty());
    sim.start(3);
    assert!(sim.run_until_agreed(ms(20_000)).is_some());
    sim.run(ms(5_000));
    let before: Vec<u64> = sim.running().map(|(_, m)| m.view().version).collect();
    for i in 0..6 {
        late.iter().for_each(|d| sim.inject(i, d.bytes.clone()));
    }
    sim.run(ms(5_000));
    let after: Vec<u64> = sim.running().map(|(_, m)| m.view().version).collect();
    assert_eq!((before, sim.views_agree()), (after, true));
}

#[test]
fn a_member_that_leaves_is_down_at_once() {
    let mut sim = settled(24, 14);
    let now = sim.now;
    sim.members[20].as_mut().unwrap().leave(now);
    sim.run(ms(1_500));
    let down = (0..20).filter(|i| sim.state_seen(*i, 20) == Some(MemberState::Down)).count();
    assert_eq!(down, 20, "within less than the suspicion time-out");
}
