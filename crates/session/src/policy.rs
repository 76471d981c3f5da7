//! The decision module as the core sees it.

use cloverhollow::{Action, Event, ServerId, SessionPolicy};
use std::time::Duration;

/// Whoever decides. [`SessionPolicy`] in the product; the laboratory puts baselines in its place.
pub trait Policy: Send {
    /// Takes all events of one instant and gives what to do, in order.
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action>;

    /// If the first byte of a set-up to that server, decided just now, has not gone out within this, it never does;
    /// `None`: the usual time.
    fn send_within(&self, _: ServerId) -> Option<Duration> {
        None
    }
}

impl Policy for SessionPolicy {
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        SessionPolicy::step(self, now, events)
    }

    fn send_within(&self, server: ServerId) -> Option<Duration> {
        SessionPolicy::max_send_delay(self, server)
    }
}

impl<P: Policy + ?Sized> Policy for Box<P> {
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        (**self).step(now, events)
    }

    fn send_within(&self, server: ServerId) -> Option<Duration> {
        (**self).send_within(server)
    }
}
