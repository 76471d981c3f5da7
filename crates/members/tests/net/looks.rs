//! What is seen of a fleet from outside.

use super::{address, ms, Net};
use cloverhollow_members::{Member, MemberState};
use std::time::Duration;

impl Net {
    pub fn live(&self) -> impl Iterator<Item = (usize, &Member)> {
        self.members.iter().enumerate().filter_map(|(i, m)| Some((i, m.as_ref()?)))
    }

    /// How `by` sees `of`.
    pub fn sees(&self, by: usize, of: usize) -> Option<MemberState> {
        let view = self.members[by].as_ref()?.view();
        view.members.get(&address(of)).map(|s| s.state)
    }

    /// Whether all that live see each other as there and nobody else.
    pub fn agreed(&self) -> bool {
        let live: Vec<usize> = self.live().map(|(i, _)| i).collect();
        self.live().all(|(_, m)| {
            m.view().alive_or_suspect_count() == live.len() && m.view().alive_count() == live.len()
        })
    }

    /// Runs until that is so for that many; whether it came to be.
    pub fn until_agreed_of(&mut self, n: usize, most: Duration) -> bool {
        self.until_agreed(most).is_some() && self.live().count() == n
    }

    /// Runs until that is so; how long it took.
    pub fn until_agreed(&mut self, most: Duration) -> Option<Duration> {
        let begun = self.now;
        while self.now < begun + most {
            self.run(ms(100));
            if self.agreed() {
                return Some(self.now - begun);
            }
        }
        None
    }

    /// The sum of one over the counts in force: rule 4 wants one at the most.
    pub fn parts(&self) -> f64 {
        self.live().filter_map(|(_, m)| m.fleet_size()?.valid_at(self.now)).map(|n| 1.0 / n as f64).sum()
    }
}

/// All of `n` members, who have found each other.
pub fn settled(n: usize, seed: u64) -> Net {
    let mut net = Net::new(n, seed);
    net.start_all();
    assert!(net.until_agreed(ms(20_000)).is_some(), "{n} members never found each other");
    net
}
