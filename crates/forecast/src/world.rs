//! The servers in virtual time: links, uplinks, cold budgets, and who plays where.

use crate::layout::link_sizes;
use crate::Layout;
use cloverhollow::Settings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// What stands in for zero where a size is divided by.
pub(crate) const TINY: f64 = 1e-9;

/// A broken invariant of the servers in virtual time.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum BrokenWorld {
    /// A server's sum of what is asked is not that of its sessions.
    #[error("server {0} asks {1}, its sessions {2}")]
    Asked(u64, f64, f64),
    /// A server holds more sessions than it has places.
    #[error("server {0} holds more sessions than it has places")]
    Places(u64),
}

/// What one session takes and earns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Part {
    pub title: u64,
    pub class: usize,
    pub rung: usize,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    pub hall: usize,
    rack: usize,
    size: f64,
    places: f64,
    started: Option<Duration>,
    /// Sessions of each stream: one that joins a live one adds a part of its rate only.
    streams: BTreeMap<(u64, usize, usize), u32>,
    /// By front.
    pub there: BTreeMap<usize, BTreeSet<u64>>,
    pub held: usize,
    asked: f64,
    worth: f64,
    setups: VecDeque<Duration>,
}

/// How a set-up went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SetUp {
    Plays,
    Full,
    NoServer,
}

#[derive(Clone, Debug)]
pub(crate) struct World {
    set: Settings,
    pub lanes: BTreeMap<u64, Lane>,
    uplinks: Vec<f64>,
    /// Set-ups at cold servers, and when the last of them was.
    pub cold: (u64, Option<Duration>),
    /// Windows in which a cold server got more than it bears.
    pub toppled: u64,
}

/// What is asked of all links and uplinks, over what they give.
#[derive(Default)]
pub(crate) struct Loads {
    pub links: BTreeMap<u64, f64>,
    pub uplinks: Vec<f64>,
}

impl World {
    pub fn new(set: &Settings, layout: &Layout) -> Self {
        let mut it = World {
            set: set.clone(),
            lanes: BTreeMap::new(),
            uplinks: Vec::new(),
            cold: (0, None),
            toppled: 0,
        };
        it.lay(layout, &BTreeSet::new(), None);
        it
    }

    /// Another layout. Servers in `anew` start then, without sessions; the others go on.
    pub fn lay(&mut self, layout: &Layout, anew: &BTreeSet<u64>, now: Option<Duration>) {
        self.uplinks = layout.uplinks_kb.clone();
        let sizes = link_sizes(&self.set, &layout.servers);
        let mut old = std::mem::take(&mut self.lanes);
        for (s, size) in layout.servers.iter().zip(sizes) {
            let places = self.set.max_streams_by_kind.get(s.kind).copied().unwrap_or(0.0);
            let kept = old.remove(&s.server).filter(|_| !anew.contains(&s.server));
            let lane = kept.unwrap_or(Lane { started: now, ..Lane::default() });
            self.lanes.insert(s.server, Lane { hall: s.hall, rack: s.rack, size, places, ..lane });
        }
    }

    pub fn is_cold(&self, lane: &Lane, now: Duration) -> bool {
        lane.started.is_some_and(|t| now < t + self.set.rules.warm_up)
    }

    fn gives(&self, lane: &Lane, now: Duration) -> f64 {
        let r = &self.set.rules;
        let warmth = lane.started.map_or(1.0, |t| {
            let part = now.saturating_sub(t).as_secs_f64() / r.warm_up.as_secs_f64().max(TINY);
            (r.cold_capacity_fraction + (1.0 - r.cold_capacity_fraction) * part).min(1.0)
        });
        (lane.size * warmth).max(TINY)
    }

    fn rate(&self, p: Part, joins: bool) -> f64 {
        let (rung, class) = (self.set.ladder.get(p.rung), self.set.classes.get(p.class));
        let part = if joins { self.set.join_cost_fraction } else { 1.0 };
        rung.map_or(0.0, |r| r.rate_kb_per_s) * class.map_or(0.0, |c| c.rate_scale) * part
    }

    fn worth(&self, p: Part) -> f64 {
        let (rung, class) = (self.set.ladder.get(p.rung), self.set.classes.get(p.class));
        rung.map_or(0.0, |r| r.worth) * class.map_or(0.0, |c| c.worth)
    }

    fn joins(&self, p: Part, before: u32) -> bool {
        before > 0
            && self.set.join_cost_fraction < 1.0
            && self.set.classes.get(p.class).is_some_and(|c| c.live)
    }

    /// A set-up reaches a server.
    pub fn set_up(&mut self, now: Duration, server: u64, front: usize, id: u64, p: Part) -> SetUp {
        let Some(lane) = self.lanes.get(&server) else { return SetUp::NoServer };
        if lane.places > 0.0 && lane.held as f64 >= lane.places {
            return SetUp::Full;
        }
        let cold = self.is_cold(lane, now);
        let (r, warmth) = (self.set.rules, self.gives(lane, now) / lane.size.max(TINY));
        let per_window =
            lane.places.max(1.0) / r.warm_up.as_secs_f64().max(TINY) * r.overload_window.as_secs_f64();
        let budget = r.overload_multiple * per_window * warmth;
        self.add(server, p, 1);
        let Some(lane) = self.lanes.get_mut(&server) else { return SetUp::NoServer };
        lane.held += 1;
        lane.there.entry(front).or_default().insert(id);
        if cold {
            self.cold = (self.cold.0 + 1, Some(now));
            lane.setups.push_back(now);
            while lane.setups.front().is_some_and(|t| *t + r.overload_window <= now) {
                lane.setups.pop_front();
            }
            // The module's part is bounded by the budget and one set-up.
            self.toppled += u64::from(lane.setups.len() as f64 > budget.max(1.0) + 1.0);
        }
        SetUp::Plays
    }

    /// A session changes its rung.
    pub fn rung(&mut self, server: u64, p: Part, rung: usize) {
        self.add(server, p, -1);
        self.add(server, Part { rung, ..p }, 1);
    }

    /// A session ends.
    pub fn end(&mut self, server: u64, front: usize, id: u64, p: Part) {
        let Some(lane) = self.lanes.get_mut(&server) else { return };
        let Some(own) = lane.there.get_mut(&front) else { return };
        if !own.remove(&id) {
            return;
        }
        if own.is_empty() {
            lane.there.remove(&front);
        }
        lane.held -= 1;
        self.add(server, p, -1);
    }

    fn add(&mut self, server: u64, p: Part, by: i32) {
        let key = (p.title, p.class, p.rung);
        let before = self.lanes.get(&server).and_then(|l| l.streams.get(&key)).copied().unwrap_or(0);
        let after = before.saturating_add_signed(by);
        let (rate, worth) = (self.rate(p, self.joins(p, before.min(after))), self.worth(p));
        let Some(lane) = self.lanes.get_mut(&server) else { return };
        lane.asked += rate * f64::from(by);
        lane.worth += worth * f64::from(by);
        if after == 0 {
            lane.streams.remove(&key);
        } else {
            lane.streams.insert(key, after);
        }
        if lane.streams.is_empty() {
            (lane.asked, lane.worth) = (0.0, 0.0);
        }
    }

    pub fn loads(&self, now: Duration) -> Loads {
        let mut uplinks = vec![0.0; self.uplinks.len()];
        let mut links = BTreeMap::new();
        for (id, lane) in &self.lanes {
            links.insert(*id, lane.asked / self.gives(lane, now));
            if let Some((u, size)) = uplinks.get_mut(lane.rack).zip(self.uplinks.get(lane.rack)) {
                *u += lane.asked / size;
            }
        }
        Loads { links, uplinks }
    }

    /// What is asked of one link, over what it gives.
    pub fn link(&self, now: Duration, server: u64) -> f64 {
        self.lanes.get(&server).map_or(0.0, |l| l.asked / self.gives(l, now))
    }

    /// The load of a server's uplink.
    pub fn uplink(&self, loads: &Loads, server: u64) -> Option<(usize, f64)> {
        let rack = self.lanes.get(&server)?.rack;
        loads.uplinks.get(rack).map(|x| (rack, *x))
    }

    /// The part of their rates that sessions at a server get.
    pub fn share(&self, loads: &Loads, server: u64) -> f64 {
        let link = loads.links.get(&server).copied().unwrap_or(0.0);
        1.0 / link.max(self.uplink(loads, server).map_or(0.0, |u| u.1)).max(1.0)
    }

    /// Worth served in a second.
    pub fn served(&self, loads: &Loads) -> f64 {
        self.lanes.iter().map(|(id, l)| l.worth * self.share(loads, *id)).sum()
    }

    /// Its invariants.
    pub fn check(&self) -> Result<(), BrokenWorld> {
        for (id, lane) in &self.lanes {
            let mut sum = 0.0;
            for ((title, class, rung), n) in &lane.streams {
                let p = Part { title: *title, class: *class, rung: *rung };
                sum += self.rate(p, false) + f64::from(n - 1) * self.rate(p, self.joins(p, 1));
            }
            if (sum - lane.asked).abs() > 1e-6 * sum.max(1.0) {
                return Err(BrokenWorld::Asked(*id, lane.asked, sum));
            }
            let there: usize = lane.there.values().map(BTreeSet::len).sum();
            if there != lane.held || (lane.places > 0.0 && lane.held as f64 > lane.places.ceil()) {
                return Err(BrokenWorld::Places(*id));
            }
        }
        Ok(())
    }
}
