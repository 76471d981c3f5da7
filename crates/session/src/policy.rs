//! The decision module as the core sees it.

use cloverhollow::{Action, Brain, Event};
use std::time::Duration;

/// Whoever decides. [`Brain`] in the product; the laboratory puts baselines in its place.
pub trait Policy: Send {
    /// Takes all events of one instant and gives what to do, in order.
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action>;
}

impl Policy for Brain {
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        Brain::step(self, now, events)
    }
}

impl<P: Policy + ?Sized> Policy for Box<P> {
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        (**self).step(now, events)
    }
}
