//! The fronts of a play: a module for each, or for a part of them.

use crate::Layout;
use cloverhollow::{Action, Event, ListEntry, ListMode, ServerState, SessionPolicy, Settings};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

pub(crate) struct Front {
    pub hall: usize,
    /// How many fronts it stands for.
    pub stands_for: usize,
    /// `None`: it was lost.
    brain: Option<SessionPolicy>,
}

pub(crate) struct Cast {
    pub fronts: Vec<Front>,
    serves: Vec<Vec<(usize, f64)>>,
}

impl Cast {
    /// At most so many modules, each a front of the whole fleet. One of several also stands for the others of
    /// its hall, which are not played.
    pub fn new(set: &Settings, layout: &Layout, most: usize, rng: &mut ChaCha8Rng) -> Self {
        let mut by_hall = vec![0usize; layout.serves.len()];
        for hall in &layout.fronts {
            by_hall[*hall] += 1;
        }
        let part = most.max(1) as f64 / layout.fronts.len().max(1) as f64;
        let mut groups: Vec<(usize, usize)> = Vec::new();
        for (hall, n) in by_hall.into_iter().enumerate().filter(|(_, n)| *n > 0) {
            let k = ((n as f64 * part).round() as usize).clamp(1, n);
            groups.extend((0..k).map(|i| (hall, n / k + usize::from(i < n % k))));
        }
        let set = Settings { front_count: layout.fronts.len(), list_pushed: true, ..set.clone() };
        let mut number = 0;
        let make = |(hall, n): (usize, usize)| {
            let brain =
                SessionPolicy::new(Settings { front_index: Some(number), ..set.clone() }, rng.random());
            number += n;
            Front { hall, stands_for: n, brain: Some(brain) }
        };
        Cast { fronts: groups.into_iter().map(make).collect(), serves: layout.serves.clone() }
    }

    /// The front that gets a call from a hall: by the weights of the halls whose fronts still stand.
    pub fn pick(&self, hall: usize, rng: &mut ChaCha8Rng) -> Option<usize> {
        let row = self.serves.get(hall)?;
        let weight = |hall: usize| row.iter().filter(|(h, _)| *h == hall).map(|(_, w)| *w).sum::<f64>();
        let there = |hall: usize| {
            let alive = self.fronts.iter().filter(move |f| f.hall == hall && f.brain.is_some());
            alive.map(|f| f.stands_for).sum::<usize>() as f64
        };
        // A hall's weight is spread over its fronts.
        let each: Vec<f64> = (0..self.serves.len()).map(|h| weight(h) / there(h).max(1.0)).collect();
        let part = |f: &Front| {
            if f.brain.is_none() {
                return 0.0;
            }
            each.get(f.hall).copied().unwrap_or(0.0) * f.stands_for as f64
        };
        let mut total: f64 = self.fronts.iter().map(part).sum();
        // Where all that serve the hall are lost, any that stands does.
        let any = total <= 0.0;
        let part = |f: &Front| if any { f64::from(u8::from(f.brain.is_some())) } else { part(f) };
        if any {
            total = self.fronts.iter().map(part).sum();
        }
        let mut at = rng.random::<f64>() * total;
        let mut last = None;
        for (i, f) in self.fronts.iter().enumerate() {
            let p = part(f);
            if p > 0.0 {
                last = Some(i);
                at -= p;
                if at <= 0.0 {
                    break;
                }
            }
        }
        last
    }

    pub fn alive(&self, front: usize) -> bool {
        self.fronts.get(front).is_some_and(|f| f.brain.is_some())
    }

    pub fn step(&mut self, front: usize, now: Duration, events: &[Event]) -> Vec<Action> {
        let brain = self.fronts.get_mut(front).and_then(|f| f.brain.as_mut());
        brain.map_or_else(Vec::new, |b| b.step(now, events))
    }

    /// The fronts of a hall are gone.
    pub fn lose(&mut self, hall: usize) -> BTreeSet<usize> {
        let there = |(i, f): (usize, &mut Front)| (f.hall == hall && f.brain.take().is_some()).then_some(i);
        self.fronts.iter_mut().enumerate().filter_map(there).collect()
    }

    /// The list as one front sees it. Servers in `cold` started then; those in `gone` are gone.
    pub fn list(&self, front: usize, layout: &Layout, news: &News) -> Event {
        let hall = self.fronts.get(front).map(|f| f.hall);
        let entry = |s: &crate::LaidServer| ListEntry {
            server: s.server,
            shared_key: s.server,
            cell: s.cell,
            kind: s.kind,
            weight: s.weight,
            state: if news.gone.contains(&s.server) { ServerState::Removed } else { ServerState::Serving },
            started_at: if news.cold.contains(&s.server) { news.since } else { Duration::ZERO },
            in_other_zone: Some(s.hall) != hall,
        };
        Event::ListUpdate(ListMode::Full, layout.servers.iter().map(entry).collect())
    }
}

/// What a list tells besides the layout.
#[derive(Clone, Debug, Default)]
pub(crate) struct News {
    pub cold: BTreeSet<u64>,
    pub since: Duration,
    pub gone: BTreeSet<u64>,
}
