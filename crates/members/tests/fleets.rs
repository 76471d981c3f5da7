//! Randomized fleets of 5 to 300 members in virtual time, with network faults, crashes and stalls drawn from a seed. The
//! invariants of each member are checked after each of its steps, and the sum of the shares throughout.

mod sim;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sim::{ms, Simulation};

struct Run {
    sim: Simulation,
    rng: ChaCha8Rng,
    n: usize,
    faults: usize,
    max_share_sum: f64,
}

impl Run {
    /// Starts a fleet of `n` members.
    fn new(n: usize, seed: u64) -> Run {
        let mut sim = Simulation::new(n, seed);
        sim.last_sync = Some(sim.now);
        sim.start_all();
        Run { sim, rng: ChaCha8Rng::seed_from_u64(seed), n, faults: 0, max_share_sum: 0.0 }
    }

    fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms / 100 {
            self.sim.run(ms(100));
            self.max_share_sum = self.max_share_sum.max(self.sim.share_sum());
            assert!(
                self.max_share_sum <= 1.0 + 1e-9,
                "shares sum to {} at {:?}",
                self.max_share_sum,
                self.sim.now
            );
        }
    }

    /// Injects a random fault of one member or a part of the fleet. One of the first five members, which are the seeds
    /// and witnesses, is chosen half of the time.
    fn inject_fault(&mut self) {
        self.faults += 1;
        let one = if self.rng.random_bool(0.5) {
            self.rng.random_range(0..5)
        } else {
            self.rng.random_range(0..self.n)
        };
        let span = ms(self.rng.random_range(100..9_000));
        let (zone, split) = (self.rng.random_range(0..3), self.rng.random_range(0..self.n));
        match self.rng.random_range(0..11) {
            0 => self.sim.members[one] = None,
            1 | 2 => (0..self.n).step_by(one + 1).for_each(|i| self.start(i)),
            3 => _ = self.sim.stalled_until.insert(one, self.sim.now + span),
            4 => {
                (0..self.n).step_by(4).for_each(|i| _ = self.sim.stalled_until.insert(i, self.sim.now + span))
            }
            5 => self.sim.is_cut = Box::new(move |from, to| (from % 3 == zone) != (to % 3 == zone)),
            6 => self.sim.is_cut = Box::new(move |from, _| from == one),
            7 => self.sim.is_cut = Box::new(move |from, to| from < split && to >= split),
            8 => self.sim.is_cut = Box::new(|_, _| false),
            9 => self.sim.loss_rate = [0.0, 0.1, 0.4][zone],
            _ => {
                (self.sim.duplicate_rate, self.sim.late_rate) = ([0.0, 0.3, 1.0][zone], [0.1, 0.0, 0.3][zone])
            }
        }
    }

    fn start(&mut self, i: usize) {
        if self.sim.members[i].is_none() {
            // The clock may be behind that of the previous incarnation.
            let offset_ms = self.rng.random_range(-60_000..1_000);
            self.sim.start_named(i, &format!("front-{i}"), offset_ms);
        }
    }

    fn end_faults(&mut self) {
        self.sim.is_cut = Box::new(|_, _| false);
        (self.sim.loss_rate, self.sim.duplicate_rate, self.sim.late_rate) = (0.0, 0.0, 0.0);
        (0..self.n).for_each(|i| self.start(i));
    }
}

/// Runs a fleet for `quiet_ms`, then with `faults` faults at intervals of up to `max_interval_ms`, then without faults
/// for `recovery_ms`. Returns the number of steps and the largest sum of shares.
fn run(
    n: usize,
    seed: u64,
    quiet_ms: u64,
    faults: usize,
    max_interval_ms: u64,
    recovery_ms: u64,
) -> (u64, f64) {
    let mut run = Run::new(n, seed);
    run.run(quiet_ms);
    for _ in 0..faults {
        run.inject_fault();
        let span_ms = run.rng.random_range(1..=max_interval_ms / 100) * 100;
        run.run(span_ms);
    }
    if recovery_ms > 0 {
        run.end_faults();
        run.run(recovery_ms);
        assert!(run.sim.views_agree(), "{n} members, seed {seed}: the views do not agree after the faults");
        assert!(
            run.sim.share_sum() > 0.99,
            "{n} members, seed {seed}: shares sum to {}",
            run.sim.share_sum()
        );
    }
    (run.sim.steps, run.max_share_sum)
}

#[test]
fn small_fleets_keep_every_invariant_and_recover() {
    let mut steps = 0;
    for (n, seed) in [(5, 1), (5, 2), (6, 3), (7, 4), (9, 5), (12, 6), (12, 7), (20, 8)] {
        steps += run(n, seed, 12_000, 30, 1_500, 40_000).0;
    }
    println!("{steps} steps");
}

#[test]
fn large_fleets_keep_every_invariant() {
    let mut steps = 0;
    for (n, seed, quiet_ms, faults, recovery_ms) in [(40, 11, 10_000, 12, 40_000), (300, 12, 500, 2, 0)] {
        steps += run(n, seed, quiet_ms, faults, 1_000, recovery_ms).0;
    }
    println!("{steps} steps");
}

/// Longer runs, to search for failures:
/// `SEEDS=1..9 SIZES="5 60" cargo test --release -p cloverhollow-members --test fleets -- --ignored --nocapture`.
#[test]
#[ignore = "some minutes"]
fn long_runs_of_all_sizes() {
    let range = std::env::var("SEEDS").unwrap_or_default();
    let range = range.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    let sizes = std::env::var("SIZES").unwrap_or("5 7 12 30 60 150 300".into());
    for seed in range.unwrap_or(100..102) {
        for n in sizes.split(' ').filter_map(|n| n.parse().ok()) {
            let started = std::time::Instant::now();
            let (steps, sum) = run(n, seed, 12_000, 40, 1_500, 60_000);
            println!(
                "{n} members, seed {seed}: {steps} steps, shares up to {sum:.3}, {:?}",
                started.elapsed()
            );
        }
    }
}
