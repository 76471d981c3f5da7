//! Interface between the core and the module that makes decisions.

use cloverhollow::{Action, Event, ServerId, SessionPolicy};
use std::time::Duration;

/// Chooses servers, rungs and retries for sessions.
///
/// Implemented by [`SessionPolicy`] in production; the laboratory substitutes baselines.
pub trait Policy: Send {
    /// Processes all events of one instant and returns the actions to take, in order.
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action>;

    /// Longest time from a decision to the first byte of its set-up to that server, after which the set-up must not
    /// be sent any more. `None` means the core's default.
    fn max_send_delay(&self, _: ServerId) -> Option<Duration> {
        None
    }
}

impl Policy for SessionPolicy {
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        SessionPolicy::step(self, now, events)
    }

    fn max_send_delay(&self, server: ServerId) -> Option<Duration> {
        SessionPolicy::max_send_delay(self, server)
    }
}

impl<P: Policy + ?Sized> Policy for Box<P> {
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        (**self).step(now, events)
    }

    fn max_send_delay(&self, server: ServerId) -> Option<Duration> {
        (**self).max_send_delay(server)
    }
}
