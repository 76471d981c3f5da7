//! The smallest change that would help, found by playing changes.

use crate::figures::Days;
use crate::verdict::Bars;
use crate::{Change, Foretold, Layout, Limiting};

/// What is tried, in this order.
const WIDER: [f64; 5] = [1.25, 1.5, 2.0, 3.0, 4.0];
/// The same for cells of a title.
const CELLS: [u64; 3] = [1, 2, 4];
/// A high end further over its middle than this is no sign of a narrow link.
const WIDEST: f64 = 2.0;
/// A change helps if it takes away this part of what is too much.
const HELPS: f64 = 0.5;

/// What of it is too much: worth refused, and what is asked of links past what they give. Few plays tell no
/// spread: `wide` is how much the high end of a peak is over its middle, as the layout itself was foretold.
fn excess(it: &Foretold, now: &Foretold, bars: &Bars, wide: f64) -> f64 {
    let refused = (it.expected - now.expected - bars.refused_more).max(0.0);
    let loads = it.links.values().chain(it.uplinks.values());
    refused + loads.map(|l| (l.middle * wide - bars.link).max(0.0)).fold(0.0, f64::max)
}

/// The first of the changes, from the smallest, that takes away half of what is too much.
pub(crate) fn help(
    days: &Days,
    end: &Layout,
    bars: &Bars,
    (told, now): (&Foretold, &Foretold),
    limiting: Limiting,
    plays: usize,
) -> Option<Change> {
    let limit = match limiting {
        Limiting::Link(id) => told.links.get(&id),
        Limiting::Uplink(rack) => told.uplinks.get(&rack),
        Limiting::Title(_) => None,
    };
    let wide = limit.map_or(1.0, |l| (l.high / l.middle.max(1e-9)).clamp(1.0, WIDEST));
    let base = excess(&days.foretell(&end.into(), true, plays), now, bars, wide);
    let came = days.play(0, &end.into(), true);
    let title = came.refused_by_title.iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|(t, _)| *t);
    let title = match limiting {
        Limiting::Title(t) => Some(t),
        _ => title,
    };
    let mut tries: Vec<Change> = Vec::new();
    // A title on more cells costs no link.
    tries.extend(title.iter().flat_map(|t| CELLS.map(|n| Change::Spread(*t, n))));
    match limiting {
        Limiting::Link(id) => tries.extend(WIDER.map(|by| Change::Widen(id, by))),
        Limiting::Uplink(rack) => tries.extend(WIDER.map(|by| Change::Uplink(rack, by))),
        Limiting::Title(_) => {}
    }
    tries.into_iter().find(|change| {
        let then = excess(&days.foretell(&(&end.with(change)).into(), true, plays), now, bars, wide);
        base > 0.0 && then <= base * (1.0 - HELPS)
    })
}
