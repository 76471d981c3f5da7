//! The module, breaking a rule on purpose.

use cloverhollow::{Action, Brain, Entry, Event, Listed, Outcome, RequestId, ServerId, Settings};
use cloverhollow_session::Policy;
use std::collections::BTreeSet;
use std::time::Duration;

/// The module behind a wrapper that breaks one rule.
pub struct Broken {
    rule: u8,
    brain: Brain,
    /// For each class, whether it is paid for at set-up.
    paid_classes: Vec<bool>,
    paid: BTreeSet<RequestId>,
    calls: u64,
}

impl Broken {
    pub(super) fn new(rule: u8, mut set: Settings, seed: u64) -> Self {
        match rule {
            4 => {
                // A cold server is taken for a warm one, and the front for the only one.
                set.rules.cold = Duration::ZERO;
                set.fronts = 1;
            }
            5 => set.classes.iter_mut().for_each(|c| (c.floor, c.seats) = (0, 0)),
            6 => {
                set.rules.ration = None;
                set.limits.attempts = 16;
            }
            _ => {}
        }
        let paid_classes = set.classes.iter().map(|c| c.at_most_once).collect();
        Broken { rule, brain: Brain::new(set, seed), paid_classes, paid: BTreeSet::new(), calls: 0 }
    }

    /// What the module is told in place of an event.
    fn lie(&mut self, event: &Event) -> Event {
        match (self.rule, event) {
            (2 | 6, Event::Call(call)) if self.paid_classes[call.class] => {
                self.paid.insert(call.request);
                event.clone()
            }
            // Every end of a paid attempt is taken for proof that it never ran, and as no fault of the server.
            (2, Event::Ended(request, n, server, _, false, report)) if self.paid.contains(request) => {
                Event::Ended(*request, *n, *server, Outcome::Moot, false, *report)
            }
            (3 | 4, Event::List(mode, entries)) => {
                let open = |e: &Entry| {
                    let state = if self.rule == 3 { Listed::Serving } else { e.state };
                    let started = if self.rule == 4 { Duration::ZERO } else { e.started };
                    Entry { state, started, ..*e }
                };
                Event::List(*mode, entries.iter().map(open).collect())
            }
            // Full of eagerness: what failed is taken for a fault that will not come again.
            (6, Event::Ended(request, n, server, Outcome::Error | Outcome::Reset, closed, report))
                if !self.paid.contains(request) =>
            {
                Event::Ended(*request, *n, *server, Outcome::Moot, *closed, *report)
            }
            // No failure is held against a server: it is sent to at once when it is back, cold.
            (4, Event::Ended(request, n, server, Outcome::ConnectFailed, closed, report)) => {
                Event::Ended(*request, *n, *server, Outcome::Moot, *closed, *report)
            }
            _ => event.clone(),
        }
    }

    /// What becomes of one of the module's actions.
    fn spoil(&mut self, action: Action) -> Option<Action> {
        match (self.rule, action) {
            // One call in four is forgotten.
            (1, action @ Action::Send(..)) => {
                self.calls += 1;
                (!self.calls.is_multiple_of(4)).then_some(action)
            }
            (5, Action::Rung(request, _)) => Some(Action::Rung(request, 0)),
            (_, action) => Some(action),
        }
    }
}

impl Policy for Broken {
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        let told: Vec<_> = events.iter().map(|e| self.lie(e)).collect();
        let actions = self.brain.step(now, &told);
        actions.into_iter().filter_map(|a| self.spoil(a)).collect()
    }

    fn max_send_delay(&self, server: ServerId) -> Option<Duration> {
        self.brain.send_within(server)
    }
}
