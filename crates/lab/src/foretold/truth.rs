//! What came: the whole day from its first session, by a module for each front.

use super::process::{Fleet, LONG};
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

/// Plays it.
pub fn play(fleet: &Fleet, wanted: &[Wanted], span: (u32, u32), seed: u64) -> Truth {
    let minute = Duration::from_secs(60);
    let of = |from: u32, to: u32| {
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
    };
    Truth { span: of(span.0, span.1), day: of(0, LONG) }
}
