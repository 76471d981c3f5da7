//! Releases over simulated fleets with random faults, in virtual time.

mod simulation;

use cloverhollow_out::*;
use rand::RngExt;
use simulation::{seconds, Simulation};

fn start_fleet(fleet: usize, witnesses: usize, seed: u64) -> Simulation {
    start_fleet_with_max_out(fleet, witnesses, seed, fleet)
}

fn start_fleet_with_max_out(fleet: usize, witnesses: usize, seed: u64, max_out: usize) -> Simulation {
    let mut simulation = Simulation::new(fleet, witnesses, seed, max_out);
    simulation.operator(|d, _| d.set_forecast(true));
    simulation.fronts[0].driver.as_mut().unwrap().start_release();
    simulation
}

#[test]
fn release_without_faults_completes_and_each_front_restarts_once() {
    for fleet in [5, 12, 60] {
        let mut simulation = start_fleet(fleet, 3, 1);
        assert!(simulation.run_until_ended(seconds(3_000)), "{:?}", simulation.record());
        assert_eq!(simulation.record().map(|r| r.stage), Some(Stage::Done));
        assert!(simulation.fronts.iter().all(|f| f.build == 2 && f.restarts == 1));
        println!(
            "{fleet} fronts: done in {:?}, {} out at once",
            simulation.now - seconds(1_000),
            simulation.max_seen_out
        );
    }
}

/// Runs a fleet with random faults from the seed for a minute or two, then repairs everything. Returns
/// whether the release ended.
fn run_with_faults(
    fleet: usize,
    witnesses: usize,
    seed: u64,
    state_loss_probability: f64,
) -> (Simulation, bool) {
    // In a third of the runs the plan allows few fronts out for any reason; in another third the build serves
    // less.
    let low_max_out = (seed / 5 % 3 == 1).then_some(3);
    let mut simulation = start_fleet_with_max_out(fleet, witnesses, seed, low_max_out.unwrap_or(fleet));
    if seed / 5 % 3 == 2 {
        simulation.new_build_share = 0.4;
    }
    simulation.loss = simulation.rng.random_range(0.0..0.3);
    for _ in 0..simulation.rng.random_range(5..25) {
        let i = simulation.rng.random_range(0..fleet);
        match simulation.rng.random_range(0..6) {
            0 if simulation.fronts[i].alive => simulation.kill(i),
            0 | 1 if !simulation.fronts[i].alive => {
                let loses_state = simulation.rng.random_bool(state_loss_probability);
                simulation.start(i, loses_state);
            }
            2 => {
                let until = simulation.now + seconds(simulation.rng.random_range(1..50));
                simulation.suspended_until.insert(i, until);
            }
            3 => simulation.isolated_zone = Some(simulation.rng.random_range(0..3)),
            4 => simulation.isolated_zone = None,
            // Kills a driver or a witness.
            5 => {
                let i = simulation.rng.random_range(0..fleet.min(5));
                if simulation.fronts[i].alive {
                    simulation.kill(i);
                }
            }
            _ => {}
        }
        let duration = seconds(simulation.rng.random_range(1..20));
        simulation.run(duration);
    }
    (simulation.loss, simulation.isolated_zone) = (0.0, None);
    for i in 0..fleet {
        if !simulation.fronts[i].alive {
            let loses_state = simulation.rng.random_bool(state_loss_probability);
            simulation.start(i, loses_state);
        }
    }
    let ended = simulation.run_until_ended(seconds(2_000));
    (simulation, ended)
}

#[test]
fn releases_with_faults_keep_the_limits_and_end() {
    let (mut grants, mut end_counts, mut max_seen_out, mut halt_causes) = (0, [0, 0], 0, Vec::new());
    for seed in 0..60 {
        let fleet = [5, 7, 12, 20, 40][seed as usize % 5];
        let state_loss_probability = [0.0, 0.3, 1.0][seed as usize % 3];
        let (simulation, ended) =
            run_with_faults(fleet, [3, 5][seed as usize % 2], seed, state_loss_probability);
        assert!(ended, "seed {seed}: {:?} after {:?}", simulation.record(), simulation.now);
        let stage = simulation.record().map(|r| r.stage);
        end_counts[usize::from(stage == Some(Stage::RolledBack))] += 1;
        grants += simulation.grants;
        max_seen_out = max_seen_out.max(simulation.max_seen_out);
        halt_causes.extend(simulation.halt_causes);
    }
    println!(
        "{grants} grants, {} done, {} rolled back, {max_seen_out} out at once",
        end_counts[0], end_counts[1]
    );
    println!("halted: {halt_causes:?}");
    assert!(halt_causes.contains(&HaltCause::TooManyOut) && halt_causes.contains(&HaltCause::ServedShare));
}

#[test]
fn release_of_300_fronts_with_faults_ends() {
    let (simulation, ended) = run_with_faults(300, 5, 1_005, 0.3);
    assert!(ended, "{:?}", simulation.record());
    println!(
        "{} grants, {} out at once, {:?}",
        simulation.grants,
        simulation.max_seen_out,
        simulation.record().map(|r| r.stage)
    );
}

#[test]
fn build_that_serves_less_is_rolled_back() {
    let mut simulation = start_fleet(40, 3, 7);
    simulation.new_build_share = 0.3;
    assert!(simulation.run_until_ended(seconds(3_000)));
    assert_eq!(simulation.record().map(|r| r.stage), Some(Stage::RolledBack));
    assert!(simulation.fronts.iter().all(|f| f.build == 1));
    let changed = simulation.fronts.iter().filter(|f| f.restarts > 0).count();
    println!("{changed} of 40 had restarted when it halted");
    assert!(changed < 40);
    assert_eq!(simulation.halt_causes.first(), Some(&HaltCause::ServedShare));
}

#[test]
fn release_completes_after_nearly_half_the_fronts_are_killed_during_a_wave() {
    for seed in 0..6 {
        let fleet = [12, 40][seed as usize % 2];
        let mut simulation = start_fleet(fleet, 5, 100 + seed);
        simulation.run(seconds(30));
        let killed: Vec<usize> = (0..fleet).filter(|i| i % 9 % 2 == 1 && i % 9 < 8).collect();
        println!("{} of {fleet} killed at {:?}", killed.len(), simulation.record().map(|r| r.stage));
        killed.iter().for_each(|i| simulation.kill(*i));
        simulation.run(seconds(60));
        killed.iter().for_each(|i| simulation.start(*i, false));
        assert!(simulation.run_until_ended(seconds(2_000)), "{:?}", simulation.record());
        assert_eq!(simulation.record().map(|r| r.stage), Some(Stage::Done));
        // Each surviving front restarted once: the next driver repeats nothing.
        let survivors = simulation.fronts.iter().enumerate().filter(|(i, _)| !killed.contains(i));
        assert!(survivors.map(|(_, f)| f).all(|f| f.build == 2 && f.restarts == 1));
    }
}

#[test]
fn messages_and_bytes_per_permit() {
    for fleet in [12, 60, 300] {
        let mut simulation = start_fleet(fleet, 3, 5);
        assert!(simulation.run_until_ended(seconds(4_000)));
        let (datagrams, bytes) =
            (simulation.datagrams / simulation.grants, simulation.bytes / simulation.grants);
        println!(
            "{fleet} fronts: {} permits, {datagrams} datagrams, {bytes} bytes a permit",
            simulation.grants
        );
        println!("    (including the changes of the drivers); done in {:?}", simulation.now - seconds(1_000));
    }
}
