//! Rule 3: past the grace nothing new goes to a server that the front was told drains or is gone.
//!
//! Told is when the list was written to its stream, or when a front that stood still runs on. Allowed:
//! `WAY`, for the list's and the set-up's way through the sockets. A set-up that a wire held back counts from when it
//! came to the wire: then it was sent.
//!
//! Over a death: what a life was told, `WAY` before its end at least, its next life knows.

use super::{Check, Late, Outages, Verdict, WAY};
use crate::exchange::{Exchange, Seen};
use crate::script::Script;
use std::collections::BTreeMap;
use std::time::Duration;

pub(super) fn check(all: &[Exchange], script: &Script) -> Verdict {
    let mut check = Check::new(3, "nothing new to a draining or gone server");
    let grace = script.front.rules.drain_grace_ms.get() + WAY;
    let outages = Outages::of(all);
    let mut stopped: BTreeMap<(usize, u64), Duration> = BTreeMap::new();
    let mut wires = Late::default();
    for e in all {
        wires.look(e);
        match &e.seen {
            Seen::FrontDown { front } => {
                let ran = outages.ran_until(*front, e.at);
                stopped.retain(|(f, _), told| f != front || *told + WAY < ran);
            }
            Seen::ListTold { front, stopped: gone, serving } => {
                for server in gone {
                    stopped.entry((*front, *server)).or_insert(e.at);
                }
                for (server, _) in serving {
                    stopped.remove(&(*front, *server));
                }
            }
            Seen::SetupRead { server, front, sid, arrived, .. } => {
                check.case();
                let Some(told) = stopped.get(&(*front, *server)) else { continue };
                let sent = wires.entered(*front, *server, *arrived).unwrap_or(*arrived);
                let told = (*told).max(outages.running_since(*front, sent));
                if sent > told + grace {
                    let late = (sent - told).as_millis();
                    check.breach(sent, || {
                        format!("session {sid}: front-{front} sent it to server {server}, told {late} ms before that it takes nothing new")
                    });
                }
            }
            _ => {}
        }
    }
    check.verdict
}
