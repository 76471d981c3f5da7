//! Rule 5: no rung under the class's floor, over its top or over what the viewer can use, and no more sessions
//! of one title and class at a front than there are seats.
//!
//! Over a death: a session's bytes pass through its front, so it ends with it and its seat is free; the next
//! life begins with none taken.
//!
//! A seat is taken from the set-up's arrival until its end as the server, the viewer or the front's death
//! shows it, whichever is first. A viewer that hung up or was told that its request failed has no session: a
//! server behind a wire that is cut may hold one all the same until the front's word comes through. Allowed: a
//! session that ends within `SETTLE` after another was set up had ended for the front already (its word to the
//! server goes a way of its own).

use super::{Check, Late, Verdict};
use crate::exchange::{Exchange, Got, Seen};
use crate::script::Script;
use cloverhollow_session::arrival::rates_kbps;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const SETTLE: Duration = Duration::from_millis(250);

struct Seat {
    server: u64,
    sid: Arc<str>,
    from: Duration,
    to: Duration,
}

pub(super) fn check(all: &[Exchange], script: &Script) -> Verdict {
    let mut check = Check::new(5, "floors, tops and seats kept");
    let classes = &script.front.classes.0;
    let ladders: Vec<_> = (0..classes.len()).map(|c| rates_kbps(&script.front, c)).collect();
    let mut callers: BTreeMap<&Arc<str>, (usize, usize)> = BTreeMap::new();
    let mut seats: BTreeMap<(usize, usize, &str), Vec<Seat>> = BTreeMap::new();
    let played: BTreeSet<&Arc<str>> = all.iter().filter_map(|e| played(&e.seen)).collect();
    // Calls of each session that have had no end.
    let mut waiting: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    let mut wires = Late::default();
    for e in all {
        wires.look(e);
        if let Seen::CallEnded { sid, .. } = &e.seen {
            waiting.entry(sid).and_modify(|n| *n = n.saturating_sub(1));
        }
        match &e.seen {
            Seen::Called { sid, class, top, .. } => {
                callers.insert(sid, (*class, *top));
                *waiting.entry(sid).or_default() += 1;
            }
            Seen::SetupRead { sid, kbps, server, front, class, title, arrived, .. } => {
                rung(&mut check, e.at, sid, *kbps, &callers, &ladders, script);
                if classes.get(*class).is_some_and(|c| c.max_sessions_per_title.get() > 0) {
                    // A wire may bring it when its viewer has gone: it takes no seat any more.
                    let late = wires.entered(*front, *server, *arrived).is_some();
                    let gone = late && waiting.get(sid) == Some(&0);
                    let to = if gone { *arrived } else { Duration::MAX };
                    let seat = Seat { server: *server, sid: sid.clone(), from: *arrived, to };
                    seats.entry((*front, *class, title)).or_default().push(seat);
                }
            }
            Seen::Object { sid, kbps, .. } => rung(&mut check, e.at, sid, *kbps, &callers, &ladders, script),
            Seen::SetupClosed { server, sid, status } if *status != Some(200) => {
                end(&mut seats, e.at, |s| s.server == *server && s.sid == *sid);
            }
            Seen::SessionEnded { server, sid } => {
                end(&mut seats, e.at, |s| s.server == *server && s.sid == *sid)
            }
            // 503 is a refusal, and of two requests of one session the other may play.
            Seen::CallEnded { sid, got: Got::Status { status: 502 | 504, .. }, .. } => {
                end(&mut seats, e.at, |s| s.sid == *sid);
            }
            // Nor has one that hung up before any request of its session was answered.
            Seen::CallEnded { sid, got: Got::HungUp, .. } if !played.contains(sid) => {
                end(&mut seats, e.at, |s| s.sid == *sid);
            }
            Seen::ViewerOver { sid } => end(&mut seats, e.at, |s| s.sid == *sid),
            Seen::ServerDown { server } => end(&mut seats, e.at, |s| s.server == *server),
            Seen::FrontDown { front } => {
                for (_, all) in seats.iter_mut().filter(|((f, ..), _)| f == front) {
                    all.iter_mut().for_each(|s| s.to = s.to.min(e.at));
                }
            }
            _ => {}
        }
    }
    for ((front, class, title), all) in &seats {
        let most = classes[*class].max_sessions_per_title.as_usize();
        for s in all {
            check.case();
            let held = all.iter().filter(|o| o.from <= s.from && o.to > s.from + SETTLE).count();
            if held > most {
                check.breach(s.from, || format!("front-{front}: {held} sessions of {title}, {most} seats"));
            }
        }
    }
    check.verdict
}

/// The session that a viewer is told plays.
fn played(seen: &Seen) -> Option<&Arc<str>> {
    match seen {
        Seen::CallEnded { sid, got: Got::Status { status: 200, .. }, .. } => Some(sid),
        _ => None,
    }
}

fn end(seats: &mut BTreeMap<(usize, usize, &str), Vec<Seat>>, at: Duration, of: impl Fn(&Seat) -> bool) {
    seats.values_mut().flatten().filter(|s| of(s)).for_each(|s| s.to = s.to.min(at));
}

fn rung(
    check: &mut Check,
    at: Duration,
    sid: &Arc<str>,
    kbps: u32,
    callers: &BTreeMap<&Arc<str>, (usize, usize)>,
    ladders: &[Vec<u32>],
    script: &Script,
) {
    check.case();
    let Some((class, viewer_top)) = callers.get(sid) else { return };
    let (class_facts, ladder) = (&script.front.classes.0[*class], &ladders[*class]);
    let floor = class_facts.min_rung.as_ref().map_or(0, |f| f.value);
    let top = class_facts.max_rung.as_ref().map_or(ladder.len() - 1, |t| t.value).min(*viewer_top);
    let fine = ladder.iter().position(|k| *k == kbps).is_some_and(|r| r >= floor && r <= top);
    if !fine {
        check.breach(at, || {
            format!("session {sid}: {kbps} kbps is no rung from {floor} to {top} of {ladder:?}")
        });
    }
}
