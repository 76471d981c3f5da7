//! Whole fleets in virtual time, 5 to 300 members: wires, deaths and stalls drawn from a seed, each member looked at after
//! each of its steps, and the sum of the parts all the while.

mod net;

use net::{ms, Net};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

struct Day {
    net: Net,
    rng: ChaCha8Rng,
    n: usize,
    troubles: usize,
    most: f64,
}

impl Day {
    /// A fleet that has come to have its parts, or as many of it as have in that time.
    fn new(n: usize, seed: u64) -> Day {
        let mut net = Net::new(n, seed);
        net.synced = Some(net.now);
        net.start_all();
        Day { net, rng: ChaCha8Rng::seed_from_u64(seed), n, troubles: 0, most: 0.0 }
    }

    fn run(&mut self, span: u64) {
        for _ in 0..span / 100 {
            self.net.run(ms(100));
            self.most = self.most.max(self.net.parts());
            assert!(self.most <= 1.0 + 1e-9, "parts of {} at {:?}", self.most, self.net.now);
        }
    }

    /// One of them befalls one, or a part of the fleet; witnesses and seeds, the first five, as often as all others.
    fn trouble(&mut self) {
        self.troubles += 1;
        let one = if self.rng.random_bool(0.5) {
            self.rng.random_range(0..5)
        } else {
            self.rng.random_range(0..self.n)
        };
        let span = ms(self.rng.random_range(100..9_000));
        let (zone, part) = (self.rng.random_range(0..3), self.rng.random_range(0..self.n));
        match self.rng.random_range(0..11) {
            0 => self.net.members[one] = None,
            1 | 2 => (0..self.n).step_by(one + 1).for_each(|i| self.start(i)),
            3 => _ = self.net.stopped.insert(one, self.net.now + span),
            4 => (0..self.n).step_by(4).for_each(|i| _ = self.net.stopped.insert(i, self.net.now + span)),
            5 => self.net.cut = Box::new(move |from, to| (from % 3 == zone) != (to % 3 == zone)),
            6 => self.net.cut = Box::new(move |from, _| from == one),
            7 => self.net.cut = Box::new(move |from, to| from < part && to >= part),
            8 => self.net.cut = Box::new(|_, _| false),
            9 => self.net.loss = [0.0, 0.1, 0.4][zone],
            _ => (self.net.double, self.net.late) = ([0.0, 0.3, 1.0][zone], [0.1, 0.0, 0.3][zone]),
        }
    }

    fn start(&mut self, i: usize) {
        if self.net.members[i].is_none() {
            // Its clock may be behind that of its last incarnation.
            let off = self.rng.random_range(-60_000..1_000);
            self.net.start_at(i, &format!("front-{i}"), off);
        }
    }

    fn all_is_well(&mut self) {
        self.net.cut = Box::new(|_, _| false);
        (self.net.loss, self.net.double, self.net.late) = (0.0, 0.0, 0.0);
        (0..self.n).for_each(|i| self.start(i));
    }
}

fn day(n: usize, seed: u64, quiet: u64, troubles: usize, every: u64, after: u64) -> (u64, f64) {
    let mut day = Day::new(n, seed);
    day.run(quiet);
    for _ in 0..troubles {
        day.trouble();
        let span = day.rng.random_range(1..=every / 100) * 100;
        day.run(span);
    }
    if after > 0 {
        day.all_is_well();
        day.run(after);
        assert!(day.net.agreed(), "{n} members, seed {seed}: they never found each other again");
        assert!(day.net.parts() > 0.99, "{n} members, seed {seed}: parts {}", day.net.parts());
    }
    (day.net.steps, day.most)
}

#[test]
fn small_fleets_keep_every_invariant_and_recover() {
    let mut steps = 0;
    for (n, seed) in [(5, 1), (5, 2), (6, 3), (7, 4), (9, 5), (12, 6), (12, 7), (20, 8)] {
        steps += day(n, seed, 12_000, 30, 1_500, 40_000).0;
    }
    println!("{steps} steps");
}

#[test]
fn large_fleets_keep_every_invariant() {
    let mut steps = 0;
    for (n, seed, quiet, troubles, after) in [(40, 11, 10_000, 12, 40_000), (300, 12, 500, 2, 0)] {
        steps += day(n, seed, quiet, troubles, 1_000, after).0;
    }
    println!("{steps} steps");
}

/// Longer days, for hunts: `SEEDS=1..9 SIZES="5 60" cargo test --release -p cloverhollow-members --test fleets -- --ignored --nocapture`.
#[test]
#[ignore = "some minutes"]
fn long_days_of_all_sizes() {
    let range = std::env::var("SEEDS").unwrap_or_default();
    let range = range.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    let sizes = std::env::var("SIZES").unwrap_or("5 7 12 30 60 150 300".into());
    for seed in range.unwrap_or(100..102) {
        for n in sizes.split(' ').filter_map(|n| n.parse().ok()) {
            let begun = std::time::Instant::now();
            let (steps, most) = day(n, seed, 12_000, 40, 1_500, 60_000);
            println!("{n} members, seed {seed}: {steps} steps, parts up to {most:.3}, {:?}", begun.elapsed());
        }
    }
}
