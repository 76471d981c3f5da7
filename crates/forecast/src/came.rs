//! What one play came to.

use crate::wanted::Wanted;
use crate::world::{Loads, World};
use crate::Limiting;
use cloverhollow::Settings;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What one play, or one true day, came to. Worth is that of the top rungs, within the span.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Came {
    /// Peak of what was asked of each server's link, over what it gave.
    pub links: BTreeMap<u64, f64>,
    /// The same for each rack's uplink.
    pub uplinks: BTreeMap<usize, f64>,
    /// Most sessions of each server.
    pub sessions: BTreeMap<u64, f64>,
    /// Worth asked, by class.
    pub asked_by_class: BTreeMap<usize, f64>,
    /// Worth refused, by class.
    pub refused_by_class: BTreeMap<usize, f64>,
    /// Worth asked, by tenant.
    pub asked_by_tenant: BTreeMap<usize, f64>,
    /// Worth refused, by tenant.
    pub refused_by_tenant: BTreeMap<usize, f64>,
    /// Worth asked.
    pub asked: f64,
    /// Worth refused.
    pub refused: f64,
    /// Worth served, at the rungs in force, cut where links were short.
    pub served: f64,
    /// Set-ups that played.
    pub setups: u64,
    /// Of them, those at a server of another hall than the viewer's.
    pub crossed: u64,
    /// First connections of a front to a server.
    pub first_connections: u64,
    /// Set-ups at cold servers.
    pub cold_setups: u64,
    /// How long after the change the last of them was, s.
    pub cold_seconds: f64,
    /// Windows in which a cold server got more than it bears.
    pub toppled: u64,
    /// Worth refused, by title.
    pub refused_by_title: BTreeMap<u64, f64>,
    /// Worth refused, by what it was refused at.
    pub blame: BTreeMap<Limiting, f64>,
}

impl Came {
    /// Worth refused, of all that was asked.
    pub fn refused_part(&self) -> f64 {
        self.refused / self.asked.max(1e-9)
    }

    /// The highest peak of a link or uplink.
    pub fn peak(&self) -> f64 {
        self.links.values().chain(self.uplinks.values()).copied().fold(0.0, f64::max)
    }

    /// What limited most, if anything was refused.
    pub fn limiting(&self) -> Option<Limiting> {
        self.blame.iter().max_by(|a, b| a.1.total_cmp(b.1)).filter(|b| *b.1 > 0.0).map(|(l, _)| *l)
    }
}

/// Collects while a play runs.
pub(crate) struct Collector {
    pub came: Came,
    /// The span, on the play's clock.
    pub from: Duration,
    pub to: Duration,
    met: BTreeSet<(usize, usize, u64)>,
}

impl Collector {
    pub fn new(from: Duration, to: Duration) -> Self {
        Collector { came: Came::default(), from, to, met: BTreeSet::new() }
    }

    /// Worth of a session at its top rung, from then on.
    pub fn worth(&self, set: &Settings, w: &Wanted, since: Duration) -> f64 {
        let Some(class) = set.classes.get(w.class) else { return 0.0 };
        let top = class.max_rung.min(set.ladder.len().saturating_sub(1));
        let one = set.ladder.get(top).map_or(0.0, |r| r.worth) * class.worth;
        one * w.seconds(self.from.max(since), self.to) as f64
    }

    pub fn asked(&mut self, set: &Settings, w: &Wanted) {
        let worth = self.worth(set, w, w.at);
        self.came.asked += worth;
        *self.came.asked_by_class.entry(w.class).or_default() += worth;
        if let Some(t) = w.tenant {
            *self.came.asked_by_tenant.entry(t).or_default() += worth;
        }
    }

    pub fn refused(&mut self, set: &Settings, w: &Wanted, since: Duration) -> f64 {
        let worth = self.worth(set, w, since);
        self.came.refused += worth;
        *self.came.refused_by_class.entry(w.class).or_default() += worth;
        *self.came.refused_by_title.entry(w.title).or_default() += worth;
        if let Some(t) = w.tenant {
            *self.came.refused_by_tenant.entry(t).or_default() += worth;
        }
        worth
    }

    /// A session plays. A module that stands for several fronts: one of them has the connection.
    pub fn plays(&mut self, front: usize, which: usize, server: u64, crosses: bool) {
        self.came.setups += 1;
        self.came.crossed += u64::from(crosses);
        if self.met.insert((front, which, server)) {
            self.came.first_connections += 1;
        }
    }

    /// A second went by.
    pub fn second(&mut self, now: Duration, world: &World, loads: &Loads) {
        if now < self.from || now >= self.to {
            return;
        }
        let top = |old: &mut f64, new: f64| *old = old.max(new);
        for (id, x) in &loads.links {
            top(self.came.links.entry(*id).or_default(), *x);
        }
        for (rack, x) in loads.uplinks.iter().enumerate() {
            top(self.came.uplinks.entry(rack).or_default(), *x);
        }
        for (id, lane) in &world.lanes {
            top(self.came.sessions.entry(*id).or_default(), lane.held as f64);
        }
        self.came.served += world.served(loads);
    }
}
