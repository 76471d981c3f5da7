//! The textbook: mean demand of the busiest minutes, spread over the holders by their weights.

use super::fleet::Fleet;
use cloverhollow_forecast::Demand;
use std::collections::BTreeMap;

/// What it says.
pub struct Book {
    /// What is asked of each link, over what it gives.
    pub links: BTreeMap<u64, f64>,
    /// What is past the links, of all.
    pub refused: f64,
    /// No link is asked for more than it gives.
    pub takes: bool,
}

/// Sums it up.
pub fn foretell(fleet: &Fleet, demand: &Demand, span: (u32, u32)) -> Book {
    let (set, layout) = (&fleet.settings, &fleet.layout);
    let minutes = f64::from(span.1 - span.0) * demand.days.len() as f64;
    let mut asked: BTreeMap<u64, f64> = BTreeMap::new();
    for a in demand.days.iter().flat_map(|d| d.range(span.0..span.1)).flat_map(|(_, lines)| lines) {
        let top = set.ladder.last().map_or(0.0, |r| r.rate_kb_per_s);
        // Little: sessions that stand are those a second times how long they play.
        *asked.entry(a.title).or_default() += a.began / minutes / 60.0 * a.played.as_secs_f64() * top;
    }
    let weights: BTreeMap<u64, f64> = layout.servers.iter().map(|s| (s.server, s.weight)).collect();
    let mut kb: BTreeMap<u64, f64> = weights.keys().map(|s| (*s, 0.0)).collect();
    for t in &layout.titles {
        let holders = layout.holders(t, set.cell_count);
        let all: f64 = holders.iter().map(|h| weights[h]).sum();
        for h in &holders {
            *kb.entry(*h).or_default() += asked.get(&t.title).copied().unwrap_or(0.0) * weights[h] / all;
        }
    }
    let links: BTreeMap<u64, f64> =
        kb.iter().map(|(s, kb)| (*s, kb / (weights[s] * set.link_unit_kb_per_s))).collect();
    let past: f64 = kb.iter().map(|(s, kb)| (kb - weights[s] * set.link_unit_kb_per_s).max(0.0)).sum();
    let takes = links.values().all(|x| *x <= 1.0);
    Book { links, refused: past / kb.values().sum::<f64>().max(1e-9), takes }
}
