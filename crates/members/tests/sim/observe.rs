//! Observations of a simulated fleet from outside.

use super::{address, ms, Simulation};
use cloverhollow_members::{Member, MemberState};
use std::time::Duration;

impl Simulation {
    pub fn running(&self) -> impl Iterator<Item = (usize, &Member)> {
        self.members.iter().enumerate().filter_map(|(i, m)| Some((i, m.as_ref()?)))
    }

    /// State of member `subject` in the view of member `observer`.
    pub fn state_seen(&self, observer: usize, subject: usize) -> Option<MemberState> {
        let view = self.members[observer].as_ref()?.view();
        view.members.get(&address(subject)).map(|m| m.state)
    }

    /// Returns whether all running members see each other as alive, and no others.
    pub fn views_agree(&self) -> bool {
        let running: Vec<usize> = self.running().map(|(i, _)| i).collect();
        self.running().all(|(_, m)| {
            m.view().alive_or_suspect_count() == running.len() && m.view().alive_count() == running.len()
        })
    }

    /// Runs until the views of `n` running members agree. Returns false if they do not within `max`.
    pub fn run_until_agreed_of(&mut self, n: usize, max: Duration) -> bool {
        self.run_until_agreed(max).is_some() && self.running().count() == n
    }

    /// Runs until the views agree, and returns the time that it took. `None` if they do not within `max`.
    pub fn run_until_agreed(&mut self, max: Duration) -> Option<Duration> {
        let started = self.now;
        while self.now < started + max {
            self.run(ms(100));
            if self.views_agree() {
                return Some(self.now - started);
            }
        }
        None
    }

    /// Sum of 1/n over the valid bounds on the fleet size. Must never be more than one.
    pub fn share_sum(&self) -> f64 {
        self.running().filter_map(|(_, m)| m.fleet_size()?.valid_at(self.now)).map(|n| 1.0 / n as f64).sum()
    }
}

/// Returns a simulation of `n` members whose views agree.
pub fn settled(n: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(n, seed);
    sim.start_all();
    assert!(sim.run_until_agreed(ms(20_000)).is_some(), "the views of {n} members never agreed");
    sim
}
