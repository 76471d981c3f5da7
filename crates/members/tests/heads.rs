//! The count over hundreds of members in virtual time: deaths, splits, loss, members that stand still.

mod net;

use net::{address, ms, Net};
use proptest::prelude::*;

/// Plays on, looking at the sum all the while; the largest seen.
fn watch(net: &mut Net, span: u64) -> f64 {
    let mut most = 0.0f64;
    for _ in 0..span / 100 {
        net.run(ms(100));
        most = most.max(net.parts());
    }
    most
}

#[test]
fn parts_are_one_over_all_and_follow_the_dead_and_the_newcomers() {
    let mut net = Net::new(30, 1);
    (0..20).for_each(|i| net.start(i));
    net.run(ms(20_000));
    let counts = |net: &Net| -> Vec<usize> {
        net.live().filter_map(|(_, m)| m.fleet_size()?.valid_at(net.now)).collect()
    };
    assert_eq!(counts(&net), vec![20; 20]);
    (20..30).for_each(|i| net.start(i));
    let over = watch(&mut net, 20_000);
    assert!(over <= 1.0 + 1e-9, "{over}");
    assert_eq!(counts(&net), vec![30; 30]);
    (10..25).for_each(|i| net.members[i] = None);
    assert!(watch(&mut net, 20_000) <= 1.0 + 1e-9);
    assert_eq!(counts(&net), vec![15; 15], "what the dead had is the others' again");
}

#[test]
fn without_a_majority_of_the_witnesses_nobody_has_a_part() {
    let mut net = Net::new(12, 2);
    net.start_all();
    net.run(ms(20_000));
    (0..2).for_each(|i| net.members[i] = None);
    net.run(ms(5_000));
    assert_eq!(net.parts(), 0.0);
    (0..2).for_each(|i| net.start(i));
    assert!(watch(&mut net, 20_000) <= 1.0 + 1e-9);
    assert!(net.parts() > 0.99);
}

#[test]
fn who_stood_still_has_no_part_when_it_wakes() {
    let mut net = Net::new(12, 3);
    net.start_all();
    net.run(ms(20_000));
    net.stopped.insert(7, net.now + ms(9_000));
    net.run(ms(9_000) + ms(1));
    let part = net.members[7].as_ref().unwrap().fleet_size().unwrap();
    assert_eq!(part.valid_at(net.now), None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whatever dies, is cut off, stands still, comes back or is lost: the sum never goes over one.
    #[test]
    fn the_sum_never_goes_over(seed in any::<u64>(), loss in 0.0f64..0.4, steps in proptest::collection::vec((0usize..5, 0usize..9, 100u64..4_000), 4..16)) {
        let mut net = Net::new(9, seed);
        net.loss = loss;
        (0..6).for_each(|i| net.start(i));
        let mut most = 0.0f64;
        for (what, who, span) in steps {
            match what {
                0 => net.members[who] = None,
                1 => net.start(who),
                2 => net.cut = Box::new(move |from, to| (from < who) != (to < who)),
                3 => net.cut = Box::new(move |from, _| from == who),
                _ => { net.stopped.insert(who, net.now + ms(span)); }
            }
            most = most.max(watch(&mut net, span + 2_000));
        }
        prop_assert!(most <= 1.0 + 1e-9, "{most}");
        net.cut = Box::new(|_, _| false);
        net.loss = 0.0;
        (0..9).for_each(|i| if net.members[i].is_none() { net.start(i) });
        most = most.max(watch(&mut net, 30_000));
        prop_assert!(most <= 1.0 + 1e-9, "{most}");
        prop_assert!(net.parts() > 0.99, "all is well again, and all have their parts: {}", net.parts());
        prop_assert!(net.members[0].as_ref().is_some_and(|m| m.local_id().address == address(0)));
    }
}
