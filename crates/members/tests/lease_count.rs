//! Bounds on the fleet size over hundreds of members in virtual time: crashes, partitions, loss, stalls.

mod sim;

use proptest::prelude::*;
use sim::{address, ms, Simulation};

/// Runs the simulation for `span_ms` and returns the largest sum of shares.
fn max_share_sum(sim: &mut Simulation, span_ms: u64) -> f64 {
    let mut max = 0.0f64;
    for _ in 0..span_ms / 100 {
        sim.run(ms(100));
        max = max.max(sim.share_sum());
    }
    max
}

#[test]
fn bounds_follow_crashes_and_newcomers() {
    let mut sim = Simulation::new(30, 1);
    (0..20).for_each(|i| sim.start(i));
    sim.run(ms(20_000));
    let counts = |sim: &Simulation| -> Vec<usize> {
        sim.running().filter_map(|(_, m)| m.fleet_size()?.valid_at(sim.now)).collect()
    };
    assert_eq!(counts(&sim), vec![20; 20]);
    (20..30).for_each(|i| sim.start(i));
    let max = max_share_sum(&mut sim, 20_000);
    assert!(max <= 1.0 + 1e-9, "{max}");
    assert_eq!(counts(&sim), vec![30; 30]);
    (10..25).for_each(|i| sim.members[i] = None);
    assert!(max_share_sum(&mut sim, 20_000) <= 1.0 + 1e-9);
    assert_eq!(counts(&sim), vec![15; 15], "the shares of crashed members go back to the others");
}

#[test]
fn no_bound_is_valid_without_a_majority_of_witnesses() {
    let mut sim = Simulation::new(12, 2);
    sim.start_all();
    sim.run(ms(20_000));
    (0..2).for_each(|i| sim.members[i] = None);
    sim.run(ms(5_000));
    assert_eq!(sim.share_sum(), 0.0);
    (0..2).for_each(|i| sim.start(i));
    assert!(max_share_sum(&mut sim, 20_000) <= 1.0 + 1e-9);
    assert!(sim.share_sum() > 0.99);
}

#[test]
fn a_stalled_member_has_no_valid_bound_when_it_resumes() {
    let mut sim = Simulation::new(12, 3);
    sim.start_all();
    sim.run(ms(20_000));
    sim.stalled_until.insert(7, sim.now + ms(9_000));
    sim.run(ms(9_000) + ms(1));
    let fleet_size = sim.members[7].as_ref().unwrap().fleet_size().unwrap();
    assert_eq!(fleet_size.valid_at(sim.now), None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// The shares never sum to more than one, whatever crashes, is partitioned, stalls, restarts or is lost.
    #[test]
    fn share_sum_never_exceeds_one(seed in any::<u64>(), loss in 0.0f64..0.4, steps in proptest::collection::vec((0usize..5, 0usize..9, 100u64..4_000), 4..16)) {
        let mut sim = Simulation::new(9, seed);
        sim.loss_rate = loss;
        (0..6).for_each(|i| sim.start(i));
        let mut max = 0.0f64;
        for (fault, member, span) in steps {
            match fault {
                0 => sim.members[member] = None,
                1 => sim.start(member),
                2 => sim.is_cut = Box::new(move |from, to| (from < member) != (to < member)),
                3 => sim.is_cut = Box::new(move |from, _| from == member),
                _ => { sim.stalled_until.insert(member, sim.now + ms(span)); }
            }
            max = max.max(max_share_sum(&mut sim, span + 2_000));
        }
        prop_assert!(max <= 1.0 + 1e-9, "{max}");
        sim.is_cut = Box::new(|_, _| false);
        sim.loss_rate = 0.0;
        (0..9).for_each(|i| if sim.members[i].is_none() { sim.start(i) });
        max = max.max(max_share_sum(&mut sim, 30_000));
        prop_assert!(max <= 1.0 + 1e-9, "{max}");
        prop_assert!(sim.share_sum() > 0.99, "not all bounds are valid after the faults: {}", sim.share_sum());
        prop_assert!(sim.members[0].as_ref().is_some_and(|m| m.local_id().address == address(0)));
    }
}
