//! Beside the six rules: a viewer that has left gets no attempt.
//!
//! Left is who hung up, took its request back or stopped waiting, by its own clock, before it did so on its connection; and
//! only where no other request of its session waits. An attempt began when its first bytes came to a server, by the
//! server's clock, also while it stood still. Each that began after is counted; one that began over `SOON` after breaks the
//! day. Nobody is excused: neither a front that stood still nor a busy machine. Only what a wire held back counts from when
//! it came to the wire.

use super::Late;
use crate::exchange::{Exchange, Got, Seen};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const SOON: Duration = Duration::from_millis(100);

/// Attempts for viewers who had left.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Left {
    /// Sessions whose viewers left while they waited.
    pub sessions: usize,
    /// Those of them for which an attempt was out or had been.
    pub tried: usize,
    /// Attempts that began after.
    pub after: usize,
    /// By how much at the most, ms.
    pub longest_ms: f64,
    /// Attempts that began more than 0.1 s after.
    pub broken: usize,
    /// The first that did.
    pub first: Option<String>,
}

#[derive(Default)]
struct Session {
    /// Requests that wait.
    open: usize,
    tried: bool,
    left: Option<Duration>,
}

/// Looks for attempts that began after their viewers had left.
pub fn left(all: &[Exchange]) -> Left {
    let mut found = Left::default();
    let mut sessions: BTreeMap<&Arc<str>, Session> = BTreeMap::new();
    let mut wires = Late::default();
    for e in all {
        wires.look(e);
        match &e.seen {
            Seen::Called { sid, .. } => {
                let s = sessions.entry(sid).or_default();
                (s.open, s.left) = (s.open + 1, None);
            }
            Seen::CallEnded { sid, got, .. } => {
                let s = sessions.entry(sid).or_default();
                s.open = s.open.saturating_sub(1);
                if s.open == 0 && matches!(got, Got::HungUp | Got::TimeUp) {
                    s.left = Some(e.at);
                    found.sessions += 1;
                    found.tried += usize::from(s.tried);
                }
            }
            Seen::SetupRead { server, front, sid, arrived, .. } => {
                let began = wires.entered(*front, *server, *arrived).unwrap_or(*arrived);
                let s = sessions.entry(sid).or_default();
                s.tried = true;
                let Some(late) = s.left.and_then(|t| began.checked_sub(t)).filter(|d| !d.is_zero()) else {
                    continue;
                };
                found.after += 1;
                found.longest_ms = found.longest_ms.max(late.as_secs_f64() * 1e3);
                if late > SOON {
                    found.broken += 1;
                    let (at, late) = (began.as_secs_f64(), late.as_millis());
                    let what = || {
                        format!("at {at:.3} s: session {sid} at front-{front}: its viewer left {late} ms ago, server {server} gets it")
                    };
                    found.first.get_or_insert_with(what);
                }
            }
            _ => {}
        }
    }
    found
}
