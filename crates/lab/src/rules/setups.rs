//! Rule 2: a paid set-up never runs twice, is refused only if it never ran, and no session has two attempts
//! out at once.
//!
//! Over a death: sessions are known by their ids, whichever life or front sent them, so a session that a viewer
//! asks for again, after the front that set it up has died, counts on. Every two attempts of a session are
//! compared, not only neighbours in time.
//!
//! Of two requests of one session that came together, one may be refused before the other's set-up runs: that
//! refusal was true when it was given, and the session plays.
//!
//! Allowed: a server sees the close of an attempt that was called off `SETTLE` later at most.

use super::{Check, Late, Verdict};
use crate::exchange::{Exchange, Got, Seen};
use crate::script::Script;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const SETTLE: Duration = Duration::from_millis(100);
/// Reasons of a refusal that speak of this request and not of the session.
const NOT_OF_THE_SESSION: [&str; 3] = ["too-many-waiting", "front-full", "backing-off"];

struct Attempt {
    server: u64,
    /// A wire held it back.
    late: bool,
    read: Duration,
    closed: Duration,
}

#[derive(Default)]
struct Attempts {
    all: Vec<Attempt>,
    ran: Vec<Duration>,
}

/// Requests of sessions: which, when sent, whether it came to play.
struct Calls<'a> {
    all: BTreeMap<&'a Arc<str>, Vec<(u64, Duration)>>,
    played: BTreeSet<u64>,
}

impl<'a> Calls<'a> {
    fn of(log: &'a [Exchange]) -> Self {
        let mut calls = Calls { all: BTreeMap::new(), played: BTreeSet::new() };
        for e in log {
            match &e.seen {
                Seen::Called { call, sid, .. } => calls.all.entry(sid).or_default().push((*call, e.at)),
                Seen::CallEnded { call, got: Got::Status { status: 200, .. }, .. } => {
                    calls.played.insert(*call);
                }
                _ => {}
            }
        }
        calls
    }

    /// Whether another request of that session, sent together with this one, came to play.
    fn beside(&self, sid: &Arc<str>, call: u64) -> bool {
        let all = self.all.get(sid).map(Vec::as_slice).unwrap_or_default();
        let Some((_, sent)) = all.iter().find(|(c, _)| *c == call) else { return false };
        let together = |at: Duration| at.abs_diff(*sent) <= SETTLE;
        all.iter().any(|(c, at)| *c != call && together(*at) && self.played.contains(c))
    }
}

pub(super) fn check(all: &[Exchange], script: &Script) -> Verdict {
    let mut check = Check::new(2, "no paid set-up twice, never two attempts out");
    let paid = |class: usize| script.front.classes.0.get(class).is_some_and(|c| c.at_most_once);
    let mut sids: BTreeMap<&Arc<str>, Attempts> = BTreeMap::new();
    let calls = Calls::of(all);
    let mut wires = Late::default();
    for e in all {
        wires.look(e);
        match &e.seen {
            Seen::SetupRead { server, front, sid, class, ran, arrived, .. } => {
                check.case();
                let known = sids.entry(sid).or_default();
                let late = wires.entered(*front, *server, *arrived).is_some();
                known.all.push(Attempt { server: *server, late, read: e.at, closed: Duration::MAX });
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
                let open = known.all.iter_mut().find(|a| a.server == *server && a.closed == Duration::MAX);
                if let Some(attempt) = open {
                    attempt.closed = e.at;
                }
            }
            Seen::CallEnded { call, sid, got: Got::Status { status: 503, reason } } => {
                let of_request = reason.as_deref().is_some_and(|r| NOT_OF_THE_SESSION.contains(&r));
                let ran = sids.get(sid).is_some_and(|a| !a.ran.is_empty());
                if ran && !of_request && !calls.beside(sid, *call) {
                    check.breach(e.at, || {
                        format!("session {sid}: refused ({reason:?}) though its set-up ran")
                    });
                }
            }
            _ => {}
        }
    }
    for (sid, attempts) in &sids {
        for (i, first) in attempts.all.iter().enumerate() {
            for second in &attempts.all[i + 1..] {
                // One that was given up while a wire held it back is read and closed at once, whenever that is.
                if first.closed > second.read + SETTLE
                    && !(second.late && second.closed <= second.read + SETTLE)
                {
                    let (a, b) = (first.server, second.server);
                    check.breach(second.read, || format!("session {sid}: out at server {a} and {b} at once"));
                }
            }
        }
    }
    check.verdict
}
