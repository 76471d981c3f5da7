//! A large fleet: how long a forecast takes on one core, and what fewer modules than fronts cost in
//! exactness.

use super::fleet::{Fleet, Size};
use super::plan;
use super::process::Process;
use cloverhollow_forecast::{assess, Advice, Asking, Bars, Days, Fault, Foretold, Record};
use serde::Serialize;
use std::time::Instant;

/// What was seen.
#[derive(Clone, Debug, Serialize)]
pub struct Big {
    /// Time of a verdict with all its plays, s.
    pub verdict: f64,
    /// How often the layout itself was played for it.
    pub plays: usize,
    /// What it advised.
    pub advice: Advice,
    /// Its reasons.
    pub reasons: Vec<String>,
    /// What fewer modules cost in exactness.
    pub modules: Vec<Scaled>,
}

/// So many modules against one a front, on the same sessions.
#[derive(Clone, Debug, Serialize)]
pub struct Scaled {
    /// Modules; 300 comes twice, the second time by another seed: what chance alone does.
    pub modules: usize,
    /// Time of one play, s.
    pub took: f64,
    /// Mean of the differences of links' peaks, without sign and with it, as parts of the peak.
    pub links: f64,
    /// See above.
    pub mean: f64,
    /// Difference of refused worth, of all.
    pub refused: f64,
}

fn differ(a: &Foretold, b: &Foretold) -> (f64, f64, f64) {
    let pairs = a.links.iter().filter_map(|(id, l)| Some((l.middle, b.links.get(id)?.middle)));
    let off: Vec<f64> = pairs.filter(|p| p.1 > 0.0).map(|p| (p.0 - p.1) / p.1).collect();
    let mean = |f: fn(&f64) -> f64| off.iter().map(f).sum::<f64>() / off.len().max(1) as f64;
    (mean(|x| x.abs()), mean(|x| *x), a.refused.middle - b.refused.middle)
}

/// 300 fronts, 200 servers, 1,000 titles.
pub fn big(seed: u64) -> Result<Big, Fault> {
    let size = Size { servers: 200, titles: 1_000, fronts: 300, halls: 3, racks: 24, cells: 48 };
    let fleet = Fleet::sized(seed, &size);
    let process = Process::draw(&fleet, seed);
    let demand = process.record(seed);
    let steps = [fleet.before.clone(), fleet.layout.clone()];
    let (record, mut plan) = (Record::default(), plan(seed));
    (plan.minutes, plan.few, plan.most_sessions) = (10, 1, 30_000);
    let asking = Asking {
        settings: &fleet.settings,
        steps: &steps,
        demand: &demand,
        now: demand.until,
        record: &record,
        bars: Bars::default(),
        plan: &plan,
    };
    let begun = Instant::now();
    let verdict = assess(&asking)?;
    let took = begun.elapsed().as_secs_f64();
    let plays = Days::new(&fleet.settings, &plan, &demand, demand.until, 1.0)?.count();
    let mut modules = Vec::new();
    let mut full = None;
    for (n, again) in [(300, false), (300, true), (150, false), (75, false), (32, false)] {
        let mut plan = plan.clone();
        plan.manner.modules = n;
        let mut days = Days::new(&fleet.settings, &plan, &demand, demand.until, 1.0)?;
        days.again = again;
        let begun = Instant::now();
        let it = days.foretell(&(&fleet.layout).into(), false, 1);
        let took = begun.elapsed().as_secs_f64();
        let (links, mean, refused) = differ(&it, full.get_or_insert_with(|| it.clone()));
        modules.push(Scaled { modules: n, took, links, mean, refused });
    }
    Ok(Big { verdict: took, plays, advice: verdict.advice, reasons: verdict.reasons, modules })
}
