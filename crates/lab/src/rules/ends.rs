//! Rule 1, its other end: on the platform, a session that stood and is over is released towards its viewer.
//!
//! Within `TOLD` of its end, or of the time at which its server first wrote its release if that came later, as a server that
//! hangs does; a server that is gone, or has no connection, says nothing, so within `UNTOLD` of its end then. What ended while
//! its front was down is owed from its handing over on, within `UNTOLD`: its server's word comes on the next connection. Excused: a viewer that went by itself, a front that was killed or stood still
//! meanwhile, a session whose server died while its front was down (nobody tells the next life), and what ended too
//! shortly before the log does. Allowed: `WAY`.

use super::{Check, Outages, Verdict};
use crate::exchange::{Exchange, Got, Seen};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const TOLD: Duration = Duration::from_secs(1);
const UNTOLD: Duration = Duration::from_secs(8);
const WAY: Duration = Duration::from_millis(250);

#[derive(Default)]
struct Session {
    front: usize,
    /// It stands there for its viewer.
    stands: bool,
    server: u64,
    /// The server that was last asked for it.
    asked: u64,
    /// Its server has let it go.
    ended: bool,
    /// Its release was written.
    written: bool,
}

pub(super) fn check(all: &[Exchange]) -> Verdict {
    let mut check = Check::new(1, "every end told to its viewer in time");
    let outages = Outages::of(all);
    let last = all.last().map_or(Duration::ZERO, |e| e.at);
    let mut sessions: BTreeMap<&Arc<str>, Session> = BTreeMap::new();
    // What is owed: by when.
    let mut owed: BTreeMap<&Arc<str>, (Duration, Duration)> = BTreeMap::new();
    let mut late = Vec::new();
    let mut released = BTreeSet::new();
    for e in all {
        match &e.seen {
            Seen::Called { sid, front, .. } => sessions.entry(sid).or_default().front = *front,
            Seen::SetupRead { server, sid, .. } => sessions.entry(sid).or_default().asked = *server,
            // The answer to an attempt that was given up for another's stands nowhere.
            Seen::SetupClosed { server, sid, status: Some(200) } => {
                let session = sessions.entry(sid).or_default();
                if session.asked == *server || session.asked == 0 {
                    (session.server, session.ended) = (*server, false);
                }
            }
            Seen::CallEnded { sid, got: Got::Status { status: 200, .. }, .. } => {
                sessions.entry(sid).or_default().stands = true;
            }
            Seen::SessionEnded { server, sid } => {
                let Some(session) = sessions.get_mut(sid).filter(|s| s.server == *server) else { continue };
                session.ended = true;
                if session.stands {
                    owed.entry(sid).or_insert((e.at, e.at + TOLD + WAY));
                }
            }
            Seen::ReleaseUnsent { sid, .. } => {
                if let Some((from, by)) = owed.get_mut(sid) {
                    *by = *from + UNTOLD + WAY;
                }
            }
            Seen::ReleaseWritten { sid, .. } => {
                let session = sessions.entry(sid).or_default();
                let is_first = !std::mem::replace(&mut session.written, true);
                if let Some((from, by)) = owed.get_mut(sid) {
                    let due = e.at + TOLD + WAY;
                    let counts_from_end = *by == *from + TOLD + WAY;
                    // It was written at least once; the first time counts.
                    *by = if is_first && counts_from_end { due } else { due.min(*by) };
                }
            }
            Seen::HandedOver { sid, .. } => {
                let session = sessions.entry(sid).or_default();
                if session.stands && session.ended {
                    owed.insert(sid, (e.at, e.at + UNTOLD + WAY));
                }
            }
            Seen::ServerDown { server } => {
                for (sid, s) in sessions.iter().filter(|(_, s)| s.stands && s.server == *server) {
                    let by = e.at + UNTOLD + WAY;
                    if !s.ended {
                        owed.entry(sid).or_insert((e.at, by));
                    } else if let Some(entry) = owed.get_mut(sid).filter(|_| !s.written) {
                        // Its process died over the release.
                        *entry = (e.at, by);
                    }
                }
            }
            Seen::Released { sid, .. } => {
                released.insert(sid);
                if let Some((from, by)) = owed.remove(sid) {
                    late.push((sid, from, by, Some(e.at)));
                }
                sessions.entry(sid).or_default().stands = false;
            }
            Seen::ViewerOver { sid } => {
                owed.remove(sid);
                sessions.entry(sid).or_default().stands = false;
            }
            _ => {}
        }
    }
    late.extend(owed.into_iter().map(|(sid, (from, by))| (sid, from, by, None)));
    for (sid, from, by, at) in late {
        if at.is_none() && by > last {
            continue;
        }
        check.case();
        let front = sessions.get(sid).map_or(0, |s| s.front);
        let in_time = at.is_some_and(|at| at <= by);
        if !in_time && !outages.touch(front, from, by) {
            check.breach(from, || match at {
                Some(at) => format!("session {sid} at front-{front}: told {} ms late", (at - by).as_millis()),
                None => format!("session {sid} at front-{front}: its end was never told"),
            });
        }
    }
    check.verdict
}
