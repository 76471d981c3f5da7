//! Rule 2: a paid set-up never runs twice, is refused only if it never ran, and no session has two attempts
//! out at once.
//!
//! Allowed: a server sees the close of an attempt that was called off `SETTLE` later at most.

use super::{Check, Verdict};
use crate::exchange::{Exchange, Got, Seen};
use crate::script::Script;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const SETTLE: Duration = Duration::from_millis(100);
/// Reasons of a refusal that speak of this request and not of the session.
const NOT_OF_THE_SESSION: [&str; 2] = ["too-many-waiting", "front-full"];

#[derive(Default)]
struct Attempts {
    /// Server, read, closed.
    all: Vec<(u64, Duration, Duration)>,
    ran: Vec<Duration>,
}

pub(super) fn check(all: &[Exchange], script: &Script) -> Verdict {
    let mut check = Check::new(2, "no paid set-up twice, never two attempts out");
    let paid = |class: usize| script.front.classes.0.get(class).is_some_and(|c| c.paid);
    let mut sids: BTreeMap<&Arc<str>, Attempts> = BTreeMap::new();
    for e in all {
        match &e.seen {
            Seen::SetupRead { server, sid, class, ran, .. } => {
                check.case();
                let known = sids.entry(sid).or_default();
                known.all.push((*server, e.at, Duration::MAX));
                if *ran && paid(*class) {
                    known.ran.push(e.at);
                    if known.ran.len() > 1 {
                        check.breach(e.at, || {
                            format!("session {sid}: its paid set-up ran again, at server {server}")
                        });
                    }
                }
            }
            Seen::SetupClosed { server, sid, .. } => {
                let known = sids.entry(sid).or_default();
                if let Some(last) = known.all.iter_mut().rev().find(|a| a.0 == *server) {
                    last.2 = last.2.min(e.at);
                }
            }
            Seen::CallEnded { sid, got: Got::Status { status: 503, reason }, .. } => {
                let of_request = reason.as_deref().is_some_and(|r| NOT_OF_THE_SESSION.contains(&r));
                let ran = sids.get(sid).is_some_and(|a| !a.ran.is_empty());
                if ran && !of_request {
                    check.breach(e.at, || {
                        format!("session {sid}: refused ({reason:?}) though its set-up ran")
                    });
                }
            }
            _ => {}
        }
    }
    for (sid, attempts) in &sids {
        for pair in attempts.all.windows(2) {
            let ((first, _, closed), (second, read, _)) = (pair[0], pair[1]);
            if closed > read + SETTLE {
                check.breach(read, || format!("session {sid}: out at server {first} and {second} at once"));
            }
        }
    }
    check.verdict
}
