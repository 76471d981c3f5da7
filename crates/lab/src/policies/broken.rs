//! The module, breaking a rule on purpose.

use cloverhollow::{
    Action, AttemptOutcome, Event, ListEntry, RequestId, ServerId, ServerState, SessionPolicy, Settings,
};
use cloverhollow_session::Policy;
use std::collections::BTreeSet;
use std::time::Duration;

/// The module behind a wrapper that breaks one rule.
pub struct Broken {
    rule: u8,
    brain: SessionPolicy,
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
                set.rules.warm_up = Duration::ZERO;
                set.front_count = 1;
            }
            5 => set.classes.iter_mut().for_each(|c| (c.min_rung, c.max_sessions_per_title) = (0, 0)),
            6 => {
                set.rules.retry_budget = None;
                set.limits.max_attempts = 16;
            }
            _ => {}
        }
        let paid_classes = set.classes.iter().map(|c| c.at_most_once).collect();
        Broken { rule, brain: SessionPolicy::new(set, seed), paid_classes, paid: BTreeSet::new(), calls: 0 }
    }

    /// What the module is told in place of an event.
    fn lie(&mut self, event: &Event) -> Event {
        match (self.rule, event) {
            (2 | 6, Event::Request(call)) if self.paid_classes[call.class] => {
                self.paid.insert(call.id);
                event.clone()
            }
            // Every end of a paid attempt is taken for proof that it never ran, and as no fault of the server.
            (2, Event::AttemptEnded(request, n, server, _, false, report)) if self.paid.contains(request) => {
                Event::AttemptEnded(*request, *n, *server, AttemptOutcome::NotSent, false, *report)
            }
            (3 | 4, Event::ListUpdate(mode, entries)) => {
                let open = |e: &ListEntry| {
                    let state = if self.rule == 3 { ServerState::Serving } else { e.state };
                    let started = if self.rule == 4 { Duration::ZERO } else { e.started_at };
                    ListEntry { state, started_at: started, ..*e }
                };
                Event::ListUpdate(*mode, entries.iter().map(open).collect())
            }
            // Full of eagerness: what failed is taken for a fault that will not come again.
            (
                6,
                Event::AttemptEnded(
                    request,
                    n,
                    server,
                    AttemptOutcome::Error | AttemptOutcome::Reset,
                    closed,
                    report,
                ),
            ) if !self.paid.contains(request) => {
                Event::AttemptEnded(*request, *n, *server, AttemptOutcome::NotSent, *closed, *report)
            }
            // No failure is held against a server: it is sent to at once when it is back, cold.
            (4, Event::AttemptEnded(request, n, server, AttemptOutcome::ConnectFailed, closed, report)) => {
                Event::AttemptEnded(*request, *n, *server, AttemptOutcome::NotSent, *closed, *report)
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
            (5, Action::SetRung(request, _)) => Some(Action::SetRung(request, 0)),
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
        self.brain.max_send_delay(server)
    }
}
