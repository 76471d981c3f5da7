//! A large fleet: how long a forecast takes on one core, and what fewer modules than fronts cost in exactness.

use super::plan;
use super::process::{Fleet, Process, Size};
use cloverhollow_forecast::{assess, Advice, Asking, Bars, Days, Fault, Foretold, Record};
use serde::Serialize;
use std::time::Instant;

/// What was seen.
#[derive(Clone, Debug, Serialize)]
pub struct Big {
    /// Time of a verdict with all its plays, s.
    pub verdict: f64,
    /// What it advised.
    pub advice: Advice,
    /// Its reasons.
    pub reasons: Vec<String>,
    /// Time of one play by so many modules, s, and of links' peaks the mean difference from a module a front, and of
    /// refused worth.
    pub modules: Vec<(usize, f64, f64, f64)>,
}

fn differ(a: &Foretold, b: &Foretold) -> (f64, f64) {
    let pairs = a.links.iter().filter_map(|(id, l)| Some((l.middle, b.links.get(id)?.middle)));
    let off: Vec<f64> = pairs.filter(|p| p.1 > 0.0).map(|p| (p.0 - p.1).abs() / p.1).collect();
    (off.iter().sum::<f64>() / off.len().max(1) as f64, a.refused.middle - b.refused.middle)
}

/// 300 fronts, 200 servers, 1,000 titles.
pub fn big(seed: u64) -> Result<Big, Fault> {
    let size = Size { servers: 200, titles: 1_000, fronts: 300, halls: 3, racks: 24, cells: 48 };
    let fleet = Fleet::sized(seed, &size);
    let process = Process::draw(&fleet, seed);
    let demand = process.record(&fleet, seed);
    let steps = [fleet.before.clone(), fleet.layout.clone()];
    let (record, plan) = (Record::default(), plan(seed));
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
    let mut modules = Vec::new();
    let mut full = None;
    for n in [300, 100, 32, 16, 8] {
        let mut plan = plan.clone();
        plan.manner.modules = n;
        let days = Days::new(&fleet.settings, &plan, &demand, demand.until, 1.0)?;
        let begun = Instant::now();
        let it = days.foretell(None, &fleet.layout, None, 1);
        let took = begun.elapsed().as_secs_f64();
        let (links, refused) = differ(&it, full.get_or_insert_with(|| it.clone()));
        modules.push((n, took, links, refused));
    }
    Ok(Big { verdict: took, advice: verdict.advice, reasons: verdict.reasons, modules })
}
