//! The process that days come from.

use super::fleet::{normal, uneven, Fleet};
use crate::plan::stream;
use cloverhollow_forecast::wanted::{poisson, Wanted};
use cloverhollow_forecast::{Demand, Line, Recorder};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Minutes of a day that have demand.
pub const LONG: u32 = 50;
/// Days recorded.
pub const DAYS: usize = 7;
/// A briefing's viewers come within this time.
pub const BURST: Duration = Duration::from_secs(5);
/// A day.
const DAY: Duration = Duration::from_secs(86_400);
/// How far days differ, as the standard deviation of a logarithm: all of a day, and each title of it.
const DAYS_DIFFER: f64 = 0.06;
const TITLES_DIFFER: f64 = 0.2;

/// What days are drawn from.
pub struct Process {
    /// Sessions a minute at the peak, by title; the first two are briefings.
    rates: Vec<f64>,
    /// Growth a day, as a logarithm.
    growth: f64,
    /// Mean time that a session is wanted, s.
    long: f64,
    /// Part of viewers by hall.
    halls: Vec<f64>,
    /// Minutes at which briefings begin.
    begins: [u32; 2],
    /// Viewers of a briefing.
    viewers: f64,
}

impl Process {
    /// Draws it; four in ten grow by up to a tenth a day.
    pub fn draw(fleet: &Fleet, seed: u64) -> Process {
        let mut rng = stream(seed, "foretold-process");
        let long = 300.0 + 300.0 * rng.random::<f64>();
        let skew = 0.7 + 0.4 * rng.random::<f64>();
        let weights: Vec<f64> = (0..fleet.layout.titles.len())
            .map(|i| (i as f64 + 1.0).powf(-skew) * uneven(&mut rng, 0.3))
            .collect();
        let links: f64 =
            fleet.layout.servers.iter().map(|s| s.weight * fleet.settings.link_unit_kb_per_s).sum();
        let sessions = fleet.busy * links / 1_500.0;
        let viewers = sessions * (0.05 + 0.1 * rng.random::<f64>());
        // Titles of the long tail are asked for by chance; the two briefings have their bursts besides.
        let total: f64 = weights.iter().skip(2).sum();
        let rate = (sessions - viewers) / long * 60.0;
        let rates =
            weights.iter().enumerate().map(|(i, w)| if i < 2 { 0.0 } else { rate * w / total }).collect();
        let growth = if rng.random::<f64>() < 0.4 { 0.1 * rng.random::<f64>() } else { 0.0 };
        let halls: Vec<f64> = fleet.layout.serves.iter().map(|_| uneven(&mut rng, 0.4)).collect();
        let all: f64 = halls.iter().sum();
        let halls = halls.into_iter().map(|h| h / all).collect();
        let begins = [rng.random_range(18..24), rng.random_range(26..34)];
        Process { rates, growth, long, halls, begins, viewers }
    }

    /// One day's sessions, from its begin on.
    fn day(&self, day: usize, rng: &mut ChaCha8Rng) -> Vec<Wanted> {
        // The level is that of the last day recorded, so that growth does not empty the first days.
        let ahead = day as f64 - (DAYS as f64 - 1.0);
        let level = (self.growth * ahead + DAYS_DIFFER * normal(rng)).exp();
        let mut all = Vec::new();
        let hall = |rng: &mut ChaCha8Rng| {
            let mut at = rng.random::<f64>();
            self.halls
                .iter()
                .position(|h| {
                    at -= h;
                    at <= 0.0
                })
                .unwrap_or(0)
        };
        for (title, rate) in self.rates.iter().enumerate() {
            let own = level * (TITLES_DIFFER * normal(rng)).exp();
            for minute in 0..LONG {
                // It rises over a quarter of an hour and falls at the end.
                let x = f64::from(minute);
                let shape = (x / 15.0).min(1.0) * (1.0 - 0.5 * ((x - 38.0) / 12.0).clamp(0.0, 1.0));
                for _ in 0..poisson(rate * own * shape, rng) {
                    // Log-normal, not the exponential that a forecast draws from a mean.
                    let long = self.long * (0.7 * normal(rng) - 0.245).exp();
                    let at = (x + rng.random::<f64>()) * 60.0;
                    let w = (title as u64 + 1, 0, hall(rng), at, long);
                    all.push(wanted(w));
                }
            }
        }
        for (i, begin) in self.begins.iter().enumerate() {
            let own = level * (TITLES_DIFFER * normal(rng)).exp();
            for _ in 0..poisson(self.viewers * own, rng) {
                let at = f64::from(*begin) * 60.0 + BURST.as_secs_f64() * rng.random::<f64>().powi(2);
                let long = 480.0 + 240.0 * rng.random::<f64>();
                all.push(wanted((i as u64 + 1, 1, hall(rng), at, long)));
            }
        }
        all.sort_by_key(|w| w.at);
        all
    }

    /// The days as fronts record them.
    pub fn record(&self, seed: u64) -> Demand {
        let mut rng = stream(seed, "foretold-days");
        let mut recorder = Recorder::new(Duration::ZERO, BURST);
        for day in 0..DAYS {
            for w in self.day(day, &mut rng) {
                let line = Line { title: w.title, class: w.class, tenant: w.tenant, hall: w.hall };
                recorder.asked(DAY * day as u32 + w.at, line, w.class == 1, w.until - w.at);
            }
        }
        debug_assert_eq!(recorder.check(), Ok(()));
        recorder.demand(DAY * DAYS as u32)
    }

    /// The day after.
    pub fn truth(&self, seed: u64) -> Vec<Wanted> {
        self.day(DAYS, &mut stream(seed, "foretold-truth"))
    }

    /// Other draws of the day after.
    pub fn others(&self, count: usize, seed: u64) -> Vec<Vec<Wanted>> {
        let mut rng = stream(seed, "foretold-others");
        (0..count).map(|_| self.day(DAYS, &mut rng)).collect()
    }
}

fn wanted((title, class, hall, at, long): (u64, usize, usize, f64, f64)) -> Wanted {
    let at = Duration::from_millis((at * 1e3) as u64);
    let until = at + Duration::from_secs_f64(long);
    Wanted { at, title, class, tenant: Some(title as usize % 2), hall, until }
}
