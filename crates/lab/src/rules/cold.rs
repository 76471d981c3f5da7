//! Rule 4: all fronts together never send a server that has just started so many set-ups that it falls over.
//!
//! In any window of the stated length, set-ups stay under multiple x present capacity x window, and the
//! script's slack for chance. Over a death: set-ups count whoever sent them, the dead included. A window that is over it counts as broken if more than half of it came from
//! fronts that knew: told of the start, started after it, or witnesses of the failure before it.

use super::{Check, Outages, Verdict};
use crate::exchange::{Exchange, Seen};
use crate::plan::cold;
use crate::script::Script;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

struct Start {
    at: Duration,
    incarnation: u64,
    streams: usize,
    sent: Vec<(Duration, usize)>,
    knew: BTreeSet<usize>,
}

pub(super) fn check(all: &[Exchange], script: &Script) -> Verdict {
    let mut check = Check::new(4, "no cold server pushed over");
    let cold = cold(script);
    let outages = Outages::of(all);
    let mut starts: BTreeMap<u64, Start> = BTreeMap::new();
    let mut witnesses: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
    let mut sender: BTreeMap<(u64, String), usize> = BTreeMap::new();
    for e in all {
        match &e.seen {
            Seen::ServerUp { server, incarnation, streams, cold: true } => {
                let knew = witnesses.remove(server).unwrap_or_default();
                let (incarnation, streams) = (*incarnation, *streams);
                starts.insert(*server, Start { at: e.at, incarnation, streams, sent: Vec::new(), knew });
            }
            Seen::FrontUp { front } => starts.values_mut().for_each(|s| {
                s.knew.insert(*front);
            }),
            Seen::ListTold { front, serving, .. } => {
                for (server, incarnation) in serving {
                    if let Some(s) = starts.get_mut(server).filter(|s| s.incarnation == *incarnation) {
                        s.knew.insert(*front);
                    }
                }
            }
            Seen::SetupClosed { server, sid, status: None } => {
                // One that broke off with its front's death is nothing that the front saw.
                let front =
                    sender.get(&(*server, sid.to_string())).filter(|f| !outages.touch(**f, e.at, e.at));
                if let Some(front) = front {
                    witnesses.entry(*server).or_default().insert(*front);
                }
            }
            Seen::SetupRead { server, front, sid, arrived, .. } => {
                sender.insert((*server, sid.to_string()), *front);
                let Some(s) = starts.get_mut(server) else { continue };
                let age = arrived.saturating_sub(s.at);
                if age >= cold.span {
                    continue;
                }
                check.case();
                s.sent.push((*arrived, *front));
                let window: Vec<_> =
                    s.sent.iter().filter(|(t, _)| *t <= *arrived && *t + cold.window > *arrived).collect();
                let budget = cold.budget(s.streams, age) + cold.slack;
                let knew = window.iter().filter(|(_, f)| s.knew.contains(f)).count();
                if window.len() as f64 > budget && knew * 2 > window.len() {
                    check.breach(*arrived, || {
                        format!(
                            "server {server}, {} ms after its start: {} set-ups within {} ms, {budget:.1} allowed, {knew} by fronts that knew",
                            age.as_millis(),
                            window.len(),
                            cold.window.as_millis()
                        )
                    });
                }
            }
            _ => {}
        }
    }
    check.verdict
}
