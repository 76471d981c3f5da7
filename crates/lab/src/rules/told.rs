//! Changes of the list are taken in: a front asks discovery again soon after a break, a silence or a new configuration.
//!
//! Each version of the list reaches each front that runs within `TOLD` of the time at which it was made and discovery was
//! in order, whichever came later; a front that stood still or started counts from then. Allowed: `WAY`.

use super::{Check, Outages, Verdict, WAY};
use crate::exchange::{Exchange, Seen};
use std::collections::BTreeMap;
use std::time::Duration;

const TOLD: Duration = Duration::from_secs(6);

/// When something was out of order.
#[derive(Default)]
struct Troubles {
    spans: Vec<(Duration, Duration)>,
}

impl Troubles {
    fn begin(&mut self, at: Duration) {
        self.spans.push((at, Duration::MAX));
    }

    fn end(&mut self, at: Duration) {
        if let Some(span) = self.spans.last_mut().filter(|s| s.1 == Duration::MAX) {
            span.1 = at;
        }
    }

    /// From when on it was in order for as long as `whole`, counted from `from`.
    fn in_order(&self, from: Duration, whole: Duration) -> Duration {
        let mut at = from;
        for (begin, end) in &self.spans {
            if *begin <= at.saturating_add(whole) && *end > at {
                at = *end;
            }
        }
        at
    }
}

pub(super) fn check(all: &[Exchange]) -> Verdict {
    let mut check = Check::new(3, "changes of the list taken in after a failed call");
    let outages = Outages::of(all);
    let last = all.last().map_or(Duration::ZERO, |e| e.at);
    let mut discovery = Troubles::default();
    let mut own: BTreeMap<usize, Troubles> = BTreeMap::new();
    let mut changes: Vec<(u64, Duration)> = Vec::new();
    let mut reached: BTreeMap<usize, Vec<(Duration, u64)>> = BTreeMap::new();
    for e in all {
        match &e.seen {
            Seen::ListChanged { version } => changes.push((*version, e.at)),
            Seen::ListAt { front, version } => reached.entry(*front).or_default().push((e.at, *version)),
            Seen::DiscoveryOff { front: None } => discovery.begin(e.at),
            Seen::DiscoveryOn { front: None } => discovery.end(e.at),
            // A new address counts as one that began then.
            Seen::DiscoveryOn { front: Some(front) } => {
                let own = own.entry(*front).or_default();
                own.begin(e.at);
                own.end(e.at);
            }
            _ => {}
        }
    }
    let none = Troubles::default();
    for (front, told) in &reached {
        let begun = told.first().map_or(Duration::MAX, |(at, _)| *at);
        for (version, at) in changes.iter().filter(|(_, at)| *at >= begun) {
            let own = own.get(front).unwrap_or(&none);
            let from = discovery.in_order(*at, TOLD).max(own.in_order(*at, TOLD));
            let by = discovery.in_order(from, TOLD).saturating_add(TOLD + WAY);
            if by > last || outages.touch(*front, *at, by) {
                continue;
            }
            check.case();
            if !told.iter().any(|(when, v)| v >= version && *when <= by) {
                check.breach(*at, || {
                    format!("front-{front}: not told of version {version} by {:.3} s", by.as_secs_f64())
                });
            }
        }
    }
    check.verdict
}
