//! What must be true of a layout, who holds what in it, and the layouts on the way from one to another.

use crate::{Change, LaidServer, LaidTitle, Layout, MOST_FRONTS, MOST_SERVERS, MOST_TITLES};
use cloverhollow::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// Most halls.
pub const MOST_HALLS: usize = 256;
/// Most waves on the way from one layout to the next.
pub const MOST_WAVES: usize = 64;

/// Why something is no layout.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum BadLayout {
    /// More of something than its bound.
    #[error("more {0} than {1}")]
    TooMany(&'static str, usize),
    /// None of something that it needs.
    #[error("no {0}")]
    None(&'static str),
    /// Named twice.
    #[error("{0} {1} is there twice")]
    Twice(&'static str, u64),
    /// An index past its row.
    #[error("{0} has no {1} {2}")]
    Index(&'static str, &'static str, usize),
    /// No rate, weight or size.
    #[error("{0} has {1} for a size")]
    Size(&'static str, f64),
    /// No server holds it.
    #[error("no server holds title {0}")]
    NoHolder(u64),
}

impl Layout {
    /// What must be true of every layout. `cells` as the settings say (0: every server holds every title).
    pub fn check(&self, cells: u64) -> Result<(), BadLayout> {
        let bound =
            |what, n: usize, most| if n > most { Err(BadLayout::TooMany(what, most)) } else { Ok(()) };
        bound("servers", self.servers.len(), MOST_SERVERS)?;
        bound("titles", self.titles.len(), MOST_TITLES)?;
        bound("fronts", self.fronts.len(), MOST_FRONTS)?;
        bound("halls", self.serves.len(), MOST_HALLS)?;
        bound("racks", self.uplinks_kb.len(), MOST_SERVERS)?;
        for (what, none) in [
            ("servers", self.servers.is_empty()),
            ("fronts", self.fronts.is_empty()),
            ("halls", self.serves.is_empty()),
        ] {
            if none {
                return Err(BadLayout::None(what));
            }
        }
        let halls = self.serves.len();
        let mut seen = BTreeSet::new();
        for s in &self.servers {
            if !seen.insert(s.server) {
                return Err(BadLayout::Twice("server", s.server));
            }
            if s.hall >= halls {
                return Err(BadLayout::Index("a server", "hall", s.hall));
            }
            if !self.uplinks_kb.is_empty() && s.rack >= self.uplinks_kb.len() {
                return Err(BadLayout::Index("a server", "rack", s.rack));
            }
            size("a server", s.weight)?;
        }
        self.uplinks_kb.iter().try_for_each(|u| size("an uplink", *u))?;
        if let Some(hall) = self.fronts.iter().find(|h| **h >= halls) {
            return Err(BadLayout::Index("a front", "hall", *hall));
        }
        for row in &self.serves {
            bound("halls that serve one", row.len(), MOST_HALLS)?;
            if let Some((hall, _)) = row.iter().find(|(h, _)| *h >= halls) {
                return Err(BadLayout::Index("a hall of viewers", "hall", *hall));
            }
            row.iter().try_for_each(|(_, w)| size("a hall of viewers", *w))?;
            if row.is_empty() {
                return Err(BadLayout::None("hall that serves a hall"));
            }
        }
        let mut seen = BTreeSet::new();
        if let Some(t) = self.titles.iter().find(|t| !seen.insert(t.title)) {
            return Err(BadLayout::Twice("title", t.title));
        }
        self.orphan(cells).map_or(Ok(()), |t| Err(BadLayout::NoHolder(t)))
    }

    /// A title of its own that no server of it holds.
    pub fn orphan(&self, cells: u64) -> Option<u64> {
        let there: BTreeSet<u64> = self.servers.iter().map(|s| s.cell).collect();
        let held = |t: &LaidTitle| there.iter().any(|c| holds(t, *c, cells));
        self.titles.iter().find(|t| !held(t)).map(|t| t.title)
    }

    /// Servers that hold a title, by id.
    pub fn holders(&self, t: &LaidTitle, cells: u64) -> Vec<u64> {
        self.servers.iter().filter(|s| holds(t, s.cell, cells)).map(|s| s.server).collect()
    }

    /// Servers that are otherwise in `to`: new ones first, then changed, then those that go. So nothing is
    /// taken away before what stands in for it is there.
    pub fn changed(&self, to: &Layout) -> Vec<u64> {
        let (a, b) = (by_id(self), by_id(to));
        let new = b.keys().filter(|id| !a.contains_key(*id));
        let other = b.iter().filter(|(id, s)| a.get(*id).is_some_and(|x| x != *s)).map(|(id, _)| id);
        let gone = a.keys().filter(|id| !b.contains_key(*id));
        new.chain(other).chain(gone).copied().collect()
    }

    /// The layout with a change of it made.
    pub fn with(&self, change: &Change) -> Layout {
        let mut it = self.clone();
        match *change {
            Change::Widen(id, by) => {
                it.servers.iter_mut().filter(|s| s.server == id).for_each(|s| s.weight *= by)
            }
            Change::Uplink(rack, by) => {
                it.uplinks_kb.iter_mut().skip(rack).take(1).for_each(|u| *u *= by);
            }
            Change::Spread(title, more) => it
                .titles
                .iter_mut()
                .filter(|t| t.title == title)
                .for_each(|t| t.cells = t.cells.saturating_add(more)),
        }
        it
    }
}

impl Change {
    /// In words.
    pub fn words(&self) -> String {
        match self {
            Change::Widen(id, by) => format!("server {id}'s link {by:.2} times as wide"),
            Change::Uplink(rack, by) => format!("the uplink of rack {rack} {by:.2} times as wide"),
            Change::Spread(title, more) => format!("title {title} on {more} more of the cells"),
        }
    }
}

/// The layouts on the way, one after each wave of so many servers; the last is `to`. Uplinks, fronts and who
/// serves whom are those of `to` from the first wave on. A title takes its new place when all servers that
/// are to hold it there are as `to` says, or as soon as one is where nobody holds it in its old place any
/// more.
pub fn between(from: &Layout, to: &Layout, waves: &[usize], cells: u64) -> Vec<Layout> {
    let order = from.changed(to);
    let (mut now, goal) = (by_id(from), by_id(to));
    let old: BTreeMap<u64, LaidTitle> = from.titles.iter().map(|t| (t.title, *t)).collect();
    let (mut done, mut way) = (0, Vec::new());
    let last = waves.len().min(MOST_WAVES).saturating_sub(1);
    for (i, size) in waves.iter().take(MOST_WAVES).enumerate() {
        let upto = if i == last { order.len() } else { (done + size).min(order.len()) };
        for id in &order[done..upto] {
            match goal.get(id) {
                Some(s) => now.insert(*id, s.clone()),
                None => now.remove(id),
            };
        }
        done = upto;
        let there = |t: &LaidTitle| now.values().any(|s| holds(t, s.cell, cells));
        let whole = |t: &LaidTitle| {
            let mut wanted = goal.values().filter(|s| holds(t, s.cell, cells));
            wanted.all(|s| now.get(&s.server) == Some(s))
        };
        let place = |t: &LaidTitle| match old.get(&t.title) {
            Some(o) if i < last && !whole(t) && (there(o) || !there(t)) => *o,
            _ => *t,
        };
        let mut titles: Vec<_> = to.titles.iter().map(place).collect();
        // What `to` leaves out is there until the last wave.
        if i < last {
            let kept: BTreeSet<u64> = to.titles.iter().map(|t| t.title).collect();
            titles.extend(old.values().filter(|t| !kept.contains(&t.title)));
        }
        way.push(Layout { servers: now.values().cloned().collect(), titles, ..to.clone() });
    }
    way
}

/// Whether a cell is in a title's run, as the module reads it.
pub(crate) fn holds(t: &LaidTitle, cell: u64, cells: u64) -> bool {
    cells == 0 || t.cells >= cells || (cell % cells + cells - t.first_cell % cells) % cells < t.cells
}

fn by_id(l: &Layout) -> BTreeMap<u64, LaidServer> {
    l.servers.iter().map(|s| (s.server, s.clone())).collect()
}

fn size(what: &'static str, x: f64) -> Result<(), BadLayout> {
    if x.is_finite() && x > 0.0 && x < 1e12 {
        Ok(())
    } else {
        Err(BadLayout::Size(what, x))
    }
}

/// What each server's link gives, as the module reckons it: by weight, or by its kind's streams.
pub fn link_sizes(set: &Settings, servers: &[LaidServer]) -> Vec<f64> {
    let streams = |s: &LaidServer| set.max_streams_by_kind.get(s.kind).copied().unwrap_or(1.0);
    let mean = servers.iter().map(streams).sum::<f64>() / servers.len().max(1) as f64;
    let weight = |s: &LaidServer| match set.sized_by_weight {
        true => s.weight,
        false if mean > 0.0 => streams(s) / mean,
        false => 1.0,
    };
    servers.iter().map(|s| set.link_unit_kb_per_s * weight(s)).collect()
}
