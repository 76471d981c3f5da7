//! Fronts that are not played: their sessions go as those of the fronts that are.
//!
//! Where a play has fewer modules than there are fronts, a front that is not played does with a call what one
//! that is did shortly before with one for the same cells and class, drawn among the last few. A call without
//! such a leader is played. So each link gets as many sessions as it would, from as many draws; what is lost
//! is that fronts which are not played know nothing of their own.

use crate::play::{Live, Run, What, EPOCH};
use crate::world::Part;
use crate::LaidTitle;
use cloverhollow::{RequestId, ServerId};
use rand::RngExt;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Whose the sessions of fronts that are not played are, at the servers.
pub(crate) const FOLLOWERS: usize = usize::MAX;
/// Leaders kept for each place and class.
const LEADERS: usize = 8;
/// Older ones are not followed.
const RECENT: Duration = Duration::from_secs(60);

/// Where a title lies, and the class.
type Key = (u64, u64, usize);
/// When, and the server and rung.
type Led = (Duration, Option<(ServerId, usize)>);

/// What played fronts did last; `None`: refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leaders(BTreeMap<Key, VecDeque<Led>>);

impl Leaders {
    pub fn led(&mut self, now: Duration, key: Key, what: Option<(ServerId, usize)>) {
        let row = self.0.entry(key).or_default();
        if row.len() == LEADERS {
            row.pop_front();
        }
        row.push_back((now, what));
    }

    /// The world is another one: nobody is followed.
    pub fn forget(&mut self) {
        self.0.clear();
    }
}

pub(crate) fn key(title: &LaidTitle, class: usize) -> Key {
    (title.first_cell, title.cells, class)
}

impl Run<'_> {
    /// A call at a front that is not played; whether it had a leader.
    pub fn follows(&mut self, now: Duration, i: usize, title: &LaidTitle, front: usize) -> bool {
        let w = &self.wanted[i];
        let Some(row) = self.leaders.0.get(&key(title, w.class)) else { return false };
        let recent = row.iter().filter(|(t, _)| *t + RECENT >= now).count();
        if recent == 0 {
            return false;
        }
        let (_, what) = row[row.len() - 1 - self.rng.random_range(0..recent)];
        self.requests += 1;
        let id = self.requests;
        let came = now - EPOCH;
        let rung = what.map_or(0, |w| w.1);
        self.live.insert(id, Live { wanted: i, front, came, rung, attempts: 1, at: None, follows: true });
        match what {
            Some((server, _)) => {
                let manner = self.stage.manner;
                let takes = manner.setup.mul_f64(1.0 + manner.uneven * self.rng.random::<f64>());
                self.plan(now + takes, What::Arrives(id, 0, server));
            }
            None => self.refused(id),
        }
        true
    }

    /// A played session changed its rung: as many as it leads there do too.
    pub fn followers_too(&mut self, front: usize, server: ServerId, part: Part, rung: usize) {
        let lead = self.cast.fronts.get(front).map_or(0, |f| f.stands_for.saturating_sub(1));
        let there = self.world.lanes.get(&server).and_then(|l| l.there.get(&FOLLOWERS));
        let alike = |id: &&RequestId| {
            let s = self.live.get(id);
            s.is_some_and(|s| s.rung == part.rung && self.wanted[s.wanted].class == part.class)
        };
        let ids: Vec<_> = there.into_iter().flatten().filter(alike).take(lead).copied().collect();
        for id in ids {
            let Some(s) = self.live.get_mut(&id) else { continue };
            s.rung = rung;
            self.world.rung(server, Part { title: self.wanted[s.wanted].title, ..part }, rung);
        }
    }
}
