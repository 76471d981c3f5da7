//! What a session manager owes beside the six rules: it does not end by itself, holds no more than it may, and answers or
//! closes on clients that send what can't be used.

use super::{Check, Outages, Verdict};
use crate::exchange::{Exchange, Seen};
use std::time::Duration;

/// A client that sends what can't be used gets its answer or close within this.
const BAD_CLIENT: Duration = Duration::from_secs(3);
/// Allowed for the way and a machine that is busy.
const GRACE: Duration = Duration::from_millis(250);

pub(super) fn check(all: &[Exchange]) -> Verdict {
    let mut check = Check::new(0, "no crash, limits kept, bad clients answered");
    let outages = Outages::of(all);
    for e in all {
        match &e.seen {
            Seen::FrontUp { .. } => check.case(),
            Seen::FrontCrashed { front, how } => check.breach(e.at, || format!("front-{front} ended: {how}")),
            Seen::OverLimit { front, what } => check.breach(e.at, || format!("front-{front} holds {what}")),
            Seen::BadClient { front, kind, took } => {
                check.case();
                let waited = took.unwrap_or(BAD_CLIENT * 2);
                let late = waited > BAD_CLIENT + GRACE;
                if late && !outages.touch(*front, e.at.saturating_sub(waited), e.at) {
                    check.breach(e.at, || {
                        format!("front-{front}: {kind}, no answer or close after {waited:?}")
                    });
                }
            }
            _ => {}
        }
    }
    check.verdict
}
