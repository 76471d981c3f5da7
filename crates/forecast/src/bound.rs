//! What no routing can pass: worth that flows from demand over servers' links and racks' uplinks.
//!
//! Sessions' worth over rate is made concave (the rungs' upper hull from zero), so a session is rows of kB
//! with falling worth for each. What can be served of all rows at once is a polymatroid of a network with one
//! sink; there taking the dearest rows first is best (Edmonds, 1970), so the most worth is a sum over max
//! flows of growing sets of rows. The span is cut into slices; within each all may be served in any order,
//! which only adds.

use crate::layout::{holds, link_sizes};
use crate::wanted::{Wanted, LEAD};
use crate::{LaidTitle, Layout};
use cloverhollow::Settings;
use petgraph::algo::dinics;
use petgraph::graph::{DiGraph, NodeIndex};
use std::collections::BTreeMap;
use std::time::Duration;

/// Length of a slice.
const SLICE: Duration = Duration::from_secs(300);
/// Most slices; longer spans have longer ones.
const MOST_SLICES: u32 = 24;
/// Flows are whole numbers of this part of a kB, rounded up: sums of floats need not end.
const GRAIN: f64 = 1_000.0;

/// A row of a session: so much worth a kB, up to so many kB a second.
type Row = (f64, f64);

/// Rows of one class, the dearest first.
pub fn rows(set: &Settings, class: usize) -> Vec<Row> {
    let Some(c) = set.classes.get(class) else { return Vec::new() };
    let shared = if c.live { set.join_cost_fraction.clamp(1e-6, 1.0) } else { 1.0 };
    let top = c.max_rung.min(set.ladder.len().saturating_sub(1));
    let points = set.ladder.iter().take(top + 1).skip(c.min_rung);
    let points: Vec<_> =
        points.map(|r| (r.rate_kb_per_s * c.rate_scale * shared, r.worth * c.worth)).collect();
    let (mut at, mut rows) = ((0.0, 0.0), Vec::new());
    loop {
        let steepest = |p: &(f64, f64)| (p.1 - at.1) / (p.0 - at.0).max(1e-9);
        let further = points.iter().filter(|p| p.0 > at.0 + 1e-9 && p.1 > at.1);
        let best = further.max_by(|a, b| steepest(a).total_cmp(&steepest(b)).then(a.0.total_cmp(&b.0)));
        let Some(next) = best.copied() else { return rows };
        rows.push((steepest(&next), next.0 - at.0));
        at = next;
    }
}

/// The most worth that any routing serves of these sessions in the span.
pub fn most_served(set: &Settings, layout: &Layout, wanted: &[Wanted], span: Duration) -> f64 {
    let slices = (span.as_secs_f64() / SLICE.as_secs_f64()).ceil().clamp(1.0, f64::from(MOST_SLICES)) as u32;
    let each = Duration::from_millis((span.as_millis() as u64).div_ceil(u64::from(slices)));
    let titles: BTreeMap<u64, LaidTitle> = layout.titles.iter().map(|t| (t.title, *t)).collect();
    let mut all = 0.0;
    for i in 0..slices {
        let (from, to) = (LEAD + each * i, LEAD + (each * (i + 1)).min(span));
        // Seconds wanted, by where the title lies and by class: titles that lie alike are one.
        let mut seconds: BTreeMap<((u64, u64), usize), u64> = BTreeMap::new();
        for w in wanted {
            let (s, title) = (w.seconds(from, to), titles.get(&w.title));
            if let Some(t) = title.filter(|_| s > 0) {
                *seconds.entry(((t.first_cell, t.cells), w.class)).or_default() += s;
            }
        }
        all += slice(set, layout, &seconds, to.saturating_sub(from));
    }
    all
}

fn slice(
    set: &Settings,
    layout: &Layout,
    wanted: &BTreeMap<((u64, u64), usize), u64>,
    span: Duration,
) -> f64 {
    let mut rows: Vec<(f64, (u64, u64), f64)> = Vec::new();
    for ((place, class), seconds) in wanted {
        rows.extend(self::rows(set, *class).iter().map(|(worth, kb)| (*worth, *place, kb * *seconds as f64)));
    }
    rows.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let (mut worth, mut before, mut asked) = (0.0, 0.0, BTreeMap::new());
    let mut i = 0;
    while i < rows.len() {
        let density = rows[i].0;
        while i < rows.len() && rows[i].0 == density {
            *asked.entry(rows[i].1).or_insert(0.0) += rows[i].2;
            i += 1;
        }
        let now = flow(set, layout, &asked, span.as_secs_f64().ceil());
        worth += density * (now - before);
        before = now;
    }
    worth
}

/// The most kB that can go from those places over links and uplinks in so many seconds: a min cut.
pub fn flow(set: &Settings, layout: &Layout, asked: &BTreeMap<(u64, u64), f64>, seconds: f64) -> f64 {
    let grains = |kb: f64| (kb * GRAIN).ceil().clamp(0.0, 1e18) as u64;
    let mut g: DiGraph<(), u64> = DiGraph::new();
    let (source, sink) = (g.add_node(()), g.add_node(()));
    let racks: Vec<NodeIndex> = layout.uplinks_kb.iter().map(|_| g.add_node(())).collect();
    for (rack, kb) in racks.iter().zip(&layout.uplinks_kb) {
        g.add_edge(*rack, sink, grains(kb * seconds));
    }
    // Servers of a cell and rack are one: whoever holds what lies in the cell reaches all of them.
    let mut links: BTreeMap<(u64, usize), f64> = BTreeMap::new();
    for (s, kb) in layout.servers.iter().zip(link_sizes(set, &layout.servers)) {
        let cell = if set.cell_count == 0 { 0 } else { s.cell % set.cell_count };
        *links.entry((cell, s.rack)).or_default() += kb * seconds;
    }
    let mut cells: BTreeMap<u64, NodeIndex> = BTreeMap::new();
    for ((cell, rack), kb) in links {
        let at = *cells.entry(cell).or_insert_with(|| g.add_node(()));
        g.add_edge(at, racks.get(rack).copied().unwrap_or(sink), grains(kb));
    }
    for ((first_cell, run), kb) in asked {
        let at = g.add_node(());
        g.add_edge(source, at, grains(*kb));
        let place = LaidTitle { title: 0, first_cell: *first_cell, cells: *run };
        for (cell, node) in &cells {
            if holds(&place, *cell, set.cell_count) {
                g.add_edge(at, *node, grains(*kb));
            }
        }
    }
    dinics(&g, source, sink).0 as f64 / GRAIN
}
