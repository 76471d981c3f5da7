//! Fleets drawn from seeds, in virtual time.

mod net;

use cloverhollow_out::*;
use net::{s, Net};
use rand::RngExt;

fn begun(fleet: usize, witnesses: usize, seed: u64) -> Net {
    begun_with(fleet, witnesses, seed, fleet)
}

fn begun_with(fleet: usize, witnesses: usize, seed: u64, most_out: usize) -> Net {
    let mut net = Net::new(fleet, witnesses, seed, most_out);
    net.operator(|d, _| d.set_forecast(true));
    net.fronts[0].driver.as_mut().unwrap().start_release();
    net
}

#[test]
fn a_quiet_release_is_done_and_each_front_restarts_once() {
    for fleet in [5, 12, 60] {
        let mut net = begun(fleet, 3, 1);
        assert!(net.settles(s(3_000)), "{:?}", net.record());
        assert_eq!(net.record().map(|r| r.stage), Some(Stage::Done));
        assert!(net.fronts.iter().all(|f| f.build == 2 && f.restarts == 1));
        println!("{fleet} fronts: done in {:?}, {} out at most", net.now - s(1_000), net.most_out);
    }
}

/// Faults for a minute or two, drawn from the seed; then all is mended.
fn rough(fleet: usize, witnesses: usize, seed: u64, forgets: f64) -> (Net, bool) {
    // In a third of them few may be out for any reason; in a third the build serves less.
    let few = (seed / 5 % 3 == 1).then_some(3);
    let mut net = begun_with(fleet, witnesses, seed, few.unwrap_or(fleet));
    if seed / 5 % 3 == 2 {
        net.bad_share = 0.4;
    }
    net.loss = net.rng.random_range(0.0..0.3);
    for _ in 0..net.rng.random_range(5..25) {
        let i = net.rng.random_range(0..fleet);
        match net.rng.random_range(0..6) {
            0 if net.fronts[i].alive => net.kill(i),
            0 | 1 if !net.fronts[i].alive => {
                let forgets = net.rng.random_bool(forgets);
                net.start(i, forgets);
            }
            2 => {
                let until = net.now + s(net.rng.random_range(1..50));
                net.stalled.insert(i, until);
            }
            3 => net.cut = Some(net.rng.random_range(0..3)),
            4 => net.cut = None,
            // A driver or a witness.
            5 => {
                let i = net.rng.random_range(0..fleet.min(5));
                if net.fronts[i].alive {
                    net.kill(i);
                }
            }
            _ => {}
        }
        let span = s(net.rng.random_range(1..20));
        net.run(span);
    }
    (net.loss, net.cut) = (0.0, None);
    for i in 0..fleet {
        if !net.fronts[i].alive {
            let forgets = net.rng.random_bool(forgets);
            net.start(i, forgets);
        }
    }
    let over = net.settles(s(2_000));
    (net, over)
}

#[test]
fn rough_fleets_never_go_over_and_end() {
    let (mut grants, mut ends, mut most, mut causes) = (0, [0, 0], 0, Vec::new());
    for seed in 0..60 {
        let fleet = [5, 7, 12, 20, 40][seed as usize % 5];
        let forgets = [0.0, 0.3, 1.0][seed as usize % 3];
        let (net, over) = rough(fleet, [3, 5][seed as usize % 2], seed, forgets);
        assert!(over, "seed {seed}: {:?} after {:?}", net.record(), net.now);
        let stage = net.record().map(|r| r.stage);
        ends[usize::from(stage == Some(Stage::RolledBack))] += 1;
        grants += net.grants;
        most = most.max(net.most_out);
        causes.extend(net.causes);
    }
    println!("{grants} grants, {} done, {} taken back, {most} out at most", ends[0], ends[1]);
    println!("halted: {causes:?}");
    assert!(causes.contains(&HaltCause::TooManyOut) && causes.contains(&HaltCause::ServedShare));
}

#[test]
fn three_hundred_in_rough_weather() {
    let (net, over) = rough(300, 5, 1_005, 0.3);
    assert!(over, "{:?}", net.record());
    println!("{} grants, {} out at most, {:?}", net.grants, net.most_out, net.record().map(|r| r.stage));
}

#[test]
fn a_build_that_serves_less_is_taken_back() {
    let mut net = begun(40, 3, 7);
    net.bad_share = 0.3;
    assert!(net.settles(s(3_000)));
    assert_eq!(net.record().map(|r| r.stage), Some(Stage::RolledBack));
    assert!(net.fronts.iter().all(|f| f.build == 1));
    let went = net.fronts.iter().filter(|f| f.restarts > 0).count();
    println!("{went} of 40 had gone when it halted");
    assert!(went < 40);
    assert_eq!(net.causes.first(), Some(&HaltCause::ServedShare));
}

#[test]
fn nearly_half_killed_in_the_middle_of_a_wave() {
    for seed in 0..6 {
        let fleet = [12, 40][seed as usize % 2];
        let mut net = begun(fleet, 5, 100 + seed);
        net.run(s(30));
        let killed: Vec<usize> = (0..fleet).filter(|i| i % 9 % 2 == 1 && i % 9 < 8).collect();
        println!("{} of {fleet} killed at {:?}", killed.len(), net.record().map(|r| r.stage));
        killed.iter().for_each(|i| net.kill(*i));
        net.run(s(60));
        killed.iter().for_each(|i| net.start(*i, false));
        assert!(net.settles(s(2_000)), "{:?}", net.record());
        assert_eq!(net.record().map(|r| r.stage), Some(Stage::Done));
        // Whoever lived on went once: the next driver repeats nothing.
        let lived = net.fronts.iter().enumerate().filter(|(i, _)| !killed.contains(i));
        assert!(lived.map(|(_, f)| f).all(|f| f.build == 2 && f.restarts == 1));
    }
}

#[test]
fn what_a_permit_costs() {
    for fleet in [12, 60, 300] {
        let mut net = begun(fleet, 3, 5);
        assert!(net.settles(s(4_000)));
        let (words, bytes) = (net.datagrams / net.grants, net.bytes / net.grants);
        println!("{fleet} fronts: {} permits, {words} datagrams, {bytes} bytes a permit", net.grants);
        println!("    (with what the drivers ask); done in {:?}", net.now - s(1_000));
    }
}
