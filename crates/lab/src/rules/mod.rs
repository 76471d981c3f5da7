//! The six rules, checked from what passed over the sockets and nothing else.
//!
//! Times are taken down where the stand-ins and viewers see them, a moment after the front acted. Each check
//! says in its own file what it allows for that.

mod answers;
mod cold;
mod drains;
mod ends;
mod left;
mod processes;
mod ration;
mod restarts;
mod setups;
mod terms;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod tests_left;
#[cfg(test)]
mod tests_platform;
mod told;

use crate::exchange::{Exchange, Seen};
use crate::script::Script;
pub use left::{left, Left};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a check found.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The rule, 1 to 6; 0: what a process owes beside them.
    pub rule: u8,
    /// In words.
    pub name: &'static str,
    /// How many cases it was checked on; with none it says nothing.
    pub checked: usize,
    /// How many broke it.
    pub broken: usize,
    /// The first that did.
    pub first: Option<String>,
}

/// Collects a check's findings.
struct Check {
    verdict: Verdict,
}

impl Check {
    fn new(rule: u8, name: &'static str) -> Self {
        Check { verdict: Verdict { rule, name, checked: 0, broken: 0, first: None } }
    }

    fn case(&mut self) {
        self.verdict.checked += 1;
    }

    fn breach(&mut self, at: Duration, what: impl FnOnce() -> String) {
        self.verdict.broken += 1;
        if self.verdict.first.is_none() {
            self.verdict.first = Some(format!("at {:.3} s: {}", at.as_secs_f64(), what()));
        }
    }
}

/// Checks all rules.
pub fn check(all: &[Exchange], script: &Script) -> Vec<Verdict> {
    vec![
        answers::check(all),
        setups::check(all, script),
        drains::check(all, script),
        cold::check(all, script),
        terms::check(all, script),
        ration::check(all, script),
    ]
}

/// Checks all rules, and what the platform asks besides: ends are told, the list is taken in, processes live on.
pub fn check_platform(all: &[Exchange], script: &Script) -> Vec<Verdict> {
    let mut verdicts = check(all, script);
    verdicts.extend([ends::check(all), told::check(all), processes::check(all)]);
    verdicts
}

/// How many servers fell over.
pub fn toppled(all: &[Exchange]) -> usize {
    all.iter().filter(|e| matches!(e.seen, Seen::ServerToppled { .. })).count()
}

/// The way of a list or a set-up through the sockets.
const WAY: Duration = Duration::from_millis(100);

/// What wires last carried late, of each front's words to each server.
#[derive(Default)]
struct Late {
    last: BTreeMap<(usize, u64), (Duration, Duration)>,
}

impl Late {
    /// Takes an exchange in.
    fn look(&mut self, e: &Exchange) {
        if let Seen::WireLate { front, server, entered } = e.seen {
            self.last.insert((front, server), (e.at, entered));
        }
    }

    /// When what reached that server from that front just then had come to its wire, if the wire held it back.
    fn entered(&self, front: usize, server: u64, arrived: Duration) -> Option<Duration> {
        let (carried, entered) = self.last.get(&(front, server))?;
        (*carried + WAY >= arrived).then_some(*entered)
    }
}

/// When each front did not run.
struct Outages {
    spans: BTreeMap<usize, Vec<(Duration, Duration)>>,
    frozen: BTreeMap<usize, Vec<(Duration, Duration)>>,
}

impl Outages {
    fn of(all: &[Exchange]) -> Self {
        let mut spans: BTreeMap<usize, Vec<(Duration, Duration)>> = BTreeMap::new();
        let mut frozen: BTreeMap<usize, Vec<(Duration, Duration)>> = BTreeMap::new();
        for e in all {
            match e.seen {
                Seen::FrontFrozen { front } => frozen.entry(front).or_default().push((e.at, Duration::MAX)),
                Seen::FrontThawed { front } => {
                    if let Some(last) = frozen.entry(front).or_default().last_mut() {
                        last.1 = last.1.min(e.at);
                    }
                }
                _ => {}
            }
            match e.seen {
                Seen::FrontDown { front } | Seen::FrontFrozen { front } => {
                    spans.entry(front).or_default().push((e.at, Duration::MAX));
                }
                Seen::FrontUp { front } | Seen::FrontThawed { front } => {
                    if let Some(last) = spans.entry(front).or_default().last_mut() {
                        last.1 = last.1.min(e.at);
                    }
                }
                _ => {}
            }
        }
        Outages { spans, frozen }
    }

    /// Whether the front stood still at some time of that span.
    fn stood_still(&self, front: usize, from: Duration, to: Duration) -> bool {
        self.frozen.get(&front).is_some_and(|all| all.iter().any(|(a, b)| *a <= to && from <= *b))
    }

    /// Whether the front did not run at some time of that span.
    fn touch(&self, front: usize, from: Duration, to: Duration) -> bool {
        self.spans.get(&front).is_some_and(|all| all.iter().any(|(a, b)| *a <= to && from <= *b))
    }

    /// Until when it ran, of a front that was killed then: earlier where it stood still before.
    fn ran_until(&self, front: usize, killed: Duration) -> Duration {
        let still = self.spans.get(&front).into_iter().flatten().find(|(a, b)| *a < killed && killed <= *b);
        still.map_or(killed, |(a, _)| *a)
    }

    /// When it last began to run, by that time.
    fn running_since(&self, front: usize, at: Duration) -> Duration {
        let ends = self.spans.get(&front).into_iter().flatten().map(|(_, b)| *b);
        ends.filter(|b| *b <= at).max().unwrap_or_default()
    }
}
