//! What came: the whole day from its first session, by a module for each front.

use super::fleet::Fleet;
use super::process::LONG;
use cloverhollow_forecast::wanted::Wanted;
use cloverhollow_forecast::{play as stage, Came, Manner, Stage};
use std::time::Duration;

/// Set-ups that take up to twice as long, notes to every session, viewers that wait for less.
fn manner() -> Manner {
    Manner {
        modules: usize::MAX,
        setup: Duration::from_millis(120),
        uneven: 1.0,
        all_notes: true,
        waits: Duration::from_secs(6),
    }
}

/// The day's figures in those minutes, and its peaks over all of it.
pub struct Truth {
    /// In the minutes that the forecast looks at.
    pub span: Came,
    /// Over the day.
    pub day: Came,
}

fn of(fleet: &Fleet, wanted: &[Wanted], (from, to): (u32, u32), seed: u64) -> Came {
    let minute = Duration::from_secs(60);
    let it = Stage {
        settings: &fleet.settings,
        before: None,
        layout: &fleet.layout,
        lost: None,
        lead: minute * from,
        span: minute * to.saturating_sub(from),
        manner: &manner(),
    };
    stage(&it, wanted, !seed)
}

/// Plays it.
pub fn play(fleet: &Fleet, wanted: &[Wanted], span: (u32, u32), seed: u64) -> Truth {
    Truth { span: of(fleet, wanted, span, seed), day: of(fleet, wanted, (0, LONG), seed) }
}

/// Worth refused by that layout on other days of the process, the mean: what one who knows all but the day
/// could foretell.
pub fn known(fleet: &Fleet, days: &[Vec<Wanted>], span: (u32, u32), seed: u64) -> f64 {
    let refused = |(i, wanted): (usize, &Vec<Wanted>)| {
        of(fleet, wanted, span, seed ^ ((i as u64 + 1) << 40)).refused_part()
    };
    days.iter().enumerate().map(refused).sum::<f64>() / days.len().max(1) as f64
}
