//! Single sessions drawn from a day: its busiest minutes, and what stands when they begin.

use crate::demand::Day;
use crate::{Asked, Demand};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// A play begins so long before the span: what comes in that time comes as it does in the span...
pub const LEAD: Duration = Duration::from_secs(240);
/// ...and what stands then comes spread over this time: in a rush fronts would place it worse than they did.
const OLD: f64 = 180.0;
/// Most sessions of one play.
pub const MOST_WANTED: usize = 1 << 20;

/// One session as it is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wanted {
    /// When it comes; the span begins at [`LEAD`].
    pub at: Duration,
    /// Its title.
    pub title: u64,
    /// Its class, by index.
    pub class: usize,
    /// Its tenant, by index.
    pub tenant: Option<usize>,
    /// Its viewer's hall.
    pub hall: usize,
    /// When it goes.
    pub until: Duration,
}

impl Wanted {
    /// How many whole seconds of the clock it is wanted from then to then: what is served is looked at then.
    pub fn seconds(&self, from: Duration, to: Duration) -> u64 {
        let up = |d: Duration| d.as_millis().div_ceil(1_000) as u64;
        up(self.until.min(to)).saturating_sub(up(self.at.max(from)))
    }
}

/// The busiest minutes of the days, by the sessions that stand: from there, before there.
pub fn busiest(demand: &Demand, minutes: u32) -> (u32, u32) {
    let mut standing: BTreeMap<u32, f64> = BTreeMap::new();
    for day in &demand.days {
        for (minute, lines) in day {
            for a in lines {
                let long = (a.played.as_secs_f64() / 60.0).clamp(0.1, 240.0);
                for later in 0..(long * 3.0).ceil() as u32 {
                    *standing.entry(minute + later).or_default() +=
                        a.began * (-f64::from(later) / long).exp();
                }
            }
        }
    }
    let (first, end) = demand.days.iter().fold((u32::MAX, 0), |(a, b), d| {
        let (lo, hi) = (d.keys().next(), d.keys().next_back());
        (a.min(lo.copied().unwrap_or(a)), b.max(hi.map_or(b, |m| m + 1)))
    });
    if end <= first || end - first <= minutes {
        return (first.min(end), end);
    }
    let sum = |from: u32| standing.range(from..from + minutes).map(|(_, n)| n).sum::<f64>();
    let best = (first..=end - minutes).max_by(|a, b| sum(*a).total_cmp(&sum(*b)).then(b.cmp(a)));
    best.map_or((first, end), |from| (from, from + minutes))
}

/// The sessions of one day in the span. How long each is wanted is drawn with the mean that was recorded.
pub fn draw(day: &Day, span: (u32, u32), burst: Duration, rng: &mut ChaCha8Rng) -> Vec<Wanted> {
    let mut all = Vec::new();
    let burst = burst.as_secs_f64().clamp(0.0, 60.0);
    for (minute, lines) in day.range(..span.1) {
        for a in lines {
            let mean = a.played.as_secs_f64().max(1.0);
            let one = |at: f64, rng: &mut ChaCha8Rng| {
                let at = Duration::from_millis((at.max(0.0) * 1e3) as u64);
                let long = Duration::from_secs_f64(-mean * (1.0 - rng.random::<f64>()).ln());
                let Asked { title, class, tenant, hall, .. } = *a;
                Wanted { at, title, class, tenant, hall, until: at + long }
            };
            if all.len() >= MOST_WANTED {
                break;
            }
            // No line brings more than the bound leaves room for.
            let room = MOST_WANTED - all.len();
            let count = |mean: f64, rng: &mut ChaCha8Rng| poisson(mean.min(room as f64), rng).min(room);
            let begin = LEAD.as_secs_f64() + (f64::from(*minute) - f64::from(span.0)) * 60.0;
            if begin < 0.0 {
                // Still there when the play begins; the rest of an exponential time is as long as all of it.
                for _ in 0..count(a.began * ((begin + 30.0).min(0.0) / mean).exp(), rng) {
                    let mut w = one(rng.random::<f64>() * OLD, rng);
                    w.until -= w.at;
                    all.extend((w.until > w.at).then_some(w));
                }
                continue;
            }
            for _ in 0..count(a.began - a.at_once, rng) {
                let at = begin + 60.0 * rng.random::<f64>();
                all.push(one(at, rng));
            }
            for _ in 0..count(a.at_once, rng) {
                let at = begin + burst * rng.random::<f64>();
                all.push(one(at, rng));
            }
        }
    }
    all.truncate(MOST_WANTED);
    all.sort_by_key(|w| w.at);
    all
}

/// A number drawn with that mean.
pub fn poisson(mean: f64, rng: &mut ChaCha8Rng) -> usize {
    if mean > 30.0 {
        let (u, v) = (1.0 - rng.random::<f64>(), rng.random::<f64>());
        let z = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        return (mean + z * mean.sqrt()).round().max(0.0) as usize;
    }
    let (stop, mut p, mut n) = ((-mean.max(0.0)).exp(), rng.random::<f64>(), 0);
    while p > stop {
        p *= rng.random::<f64>();
        n += 1;
    }
    n
}
