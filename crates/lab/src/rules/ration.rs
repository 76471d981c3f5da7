//! Rule 6: further attempts of one front stay in their budget, over any window of its span.
//!
//! Over a death: a front is counted by its name; its lives share one budget. A viewer whose request broke off
//! with its front or was refused, and who sends it again or sent it twice, makes a request of its own: the first
//! attempt for that is not a further one.
//!
//! Attempts that reached a server are seen, and requests that viewers sent (a second request of a session that
//! was refused is one more that the front took). Allowed: `WAY` at both ends of a
//! window, as a front counts when it sends and takes.

use super::{Check, Verdict};
use crate::exchange::{Exchange, Got, Seen};
use crate::script::Script;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const WAY: Duration = Duration::from_millis(100);

pub(super) fn check(all: &[Exchange], script: &Script) -> Verdict {
    let mut check = Check::new(6, "further attempts in their budget");
    let Some(ration) = &script.front.rules.retry_budget else { return check.verdict };
    let span = ration.window_ms.get();
    let mut taken: BTreeMap<usize, Vec<Duration>> = BTreeMap::new();
    let mut further: BTreeMap<usize, Vec<Duration>> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for e in all {
        match &e.seen {
            Seen::Called { front, .. } => taken.entry(*front).or_default().push(e.at),
            Seen::CallEnded { sid, got: Got::Lost | Got::Status { status: 503, .. }, .. } => {
                seen.remove(sid);
            }
            Seen::SetupRead { sid, front, arrived, .. } if !seen.insert(sid) => {
                check.case();
                let all = further.entry(*front).or_default();
                all.push(*arrived);
                let within = |t: &&Duration, span: Duration| **t + span > *arrived && **t <= *arrived;
                let n = all.iter().filter(|t| within(t, span.saturating_sub(WAY))).count();
                let of = taken.get(front).map(Vec::as_slice).unwrap_or_default();
                let took = of.iter().filter(|t| within(t, span + WAY)).count();
                let most = ration.base.get() as f64 + ration.per_session.get() * took as f64;
                if n as f64 > most {
                    check.breach(*arrived, || {
                        format!("front-{front}: {n} further attempts in {} s, {most:.1} allowed for {took} sessions", span.as_secs())
                    });
                }
            }
            _ => {}
        }
    }
    check.verdict
}
