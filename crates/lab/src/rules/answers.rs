//! Rule 1: a request that a running front took gets exactly one answer before the viewer's time is up.
//!
//! Over a death: a request that waits when its front dies breaks off with it; what the next life says to a new
//! one counts by itself.
//!
//! Excused: a front that was killed or stood still while the request waited; but no request that came to a front more
//! than `TAKEN` after it was told to stop, nor one that a front left when it ended by itself. Allowed: `GRACE`, for the
//! way and for a machine that is busy.

use super::restarts::Restarts;
use super::{Check, Outages, Verdict};
use crate::exchange::{Exchange, Got, Seen};
use std::collections::BTreeMap;
use std::time::Duration;

/// An answer so long after the viewer's time still counts as before it: the viewer's own clock is read on a
/// machine that all fronts and servers share.
const GRACE: Duration = Duration::from_millis(250);

pub(super) fn check(all: &[Exchange]) -> Verdict {
    let mut check = Check::new(1, "every request answered once, in time");
    let (outages, restarts) = (Outages::of(all), Restarts::of(all));
    let mut ends: BTreeMap<u64, Vec<(Duration, &Got)>> = BTreeMap::new();
    for e in all {
        if let Seen::CallEnded { call, got, .. } = &e.seen {
            ends.entry(*call).or_default().push((e.at, got));
        }
    }
    for e in all {
        if let Seen::Stray { sid, .. } = &e.seen {
            check.breach(e.at, || format!("session {sid}: bytes after its one answer"));
        }
        let Seen::Called { call, sid, front, patience, .. } = &e.seen else { continue };
        check.case();
        let until = e.at + *patience + GRACE;
        let ended = ends.get(call).map(Vec::as_slice).unwrap_or_default();
        if outages.touch(*front, e.at, until) {
            let still = ended.first().is_some_and(|(at, _)| outages.stood_still(*front, e.at, *at));
            if let ([(at, Got::Lost)], false, Some(why)) = (ended, still, restarts.owed(*front, e.at)) {
                check.breach(e.at, || {
                    format!("session {sid} at front-{front}: lost at {:.3} s, {why}", at.as_secs_f64())
                });
            }
            continue;
        }
        match ended {
            [(at, Got::Status { .. } | Got::HungUp)] if *at <= until => {}
            [(at, got)] => check.breach(e.at, || {
                let after = at.saturating_sub(e.at).as_millis();
                format!(
                    "session {sid} at front-{front}: {got:?} after {after} ms of {}",
                    patience.as_millis()
                )
            }),
            [] => check.breach(e.at, || format!("session {sid} at front-{front}: no answer at all")),
            more => check.breach(e.at, || format!("session {sid} at front-{front}: {} answers", more.len())),
        }
    }
    check.verdict
}
