//! Layouts, demand, and what is told of them. Rates are kB a second.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Most servers, fronts and titles of a layout.
pub const MOST_SERVERS: usize = 4_096;
/// See above.
pub const MOST_FRONTS: usize = 4_096;
/// See above.
pub const MOST_TITLES: usize = 65_536;

/// One video server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LaidServer {
    /// Its id.
    pub server: u64,
    /// Its hall, by index.
    pub hall: usize,
    /// Its rack, by index.
    pub rack: usize,
    /// Its cell.
    pub cell: u64,
    /// Its kind, by index in the settings.
    pub kind: usize,
    /// Its weight as the list tells it.
    pub weight: f64,
}

/// Where one title lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaidTitle {
    /// The title.
    pub title: u64,
    /// Its first cell.
    pub first_cell: u64,
    /// How many cells hold it.
    pub cells: u64,
}

/// What lies where, and which fronts serve which halls.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    /// Rises with each layout that is taken.
    pub generation: u64,
    /// The servers.
    pub servers: Vec<LaidServer>,
    /// Uplinks of the racks, by index.
    pub uplinks_kb: Vec<f64>,
    /// The titles.
    pub titles: Vec<LaidTitle>,
    /// For each front: the hall that it stands in.
    pub fronts: Vec<usize>,
    /// For each hall of viewers: the halls whose fronts serve it, with their weights.
    pub serves: Vec<Vec<(usize, f64)>>,
}

/// What was asked of one title in one minute.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    /// The title.
    pub title: u64,
    /// The class, by index.
    pub class: usize,
    /// The tenant, by index.
    pub tenant: Option<usize>,
    /// The hall that its viewers are in.
    pub hall: usize,
    /// Sessions that began.
    pub began: f64,
    /// Of them, those that came in a burst, within [`Demand::burst`] of its begin.
    pub at_once: f64,
    /// Mean time that they played.
    pub played: Duration,
}

/// What the fronts recorded, minute by minute, over several days.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// When it was recorded last, on the caller's clock.
    pub until: Duration,
    /// Length of a burst.
    pub burst: Duration,
    /// By day and minute.
    pub days: Vec<BTreeMap<u32, Vec<Asked>>>,
}

/// A figure with what it may be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Likely {
    /// The middle one.
    pub middle: f64,
    /// One in twenty lies under it...
    pub low: f64,
    /// ...and one in twenty over this.
    pub high: f64,
}

/// What a layout would cost, or one wave on the way there, or the loss of a hall.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Foretold {
    /// Peak of what is asked of each server's link, over what it gives.
    pub links: BTreeMap<u64, Likely>,
    /// The same for each rack's uplink.
    pub uplinks: BTreeMap<usize, Likely>,
    /// The highest of all those peaks: that none passes a bar is less likely than that each does not.
    pub peak: Likely,
    /// Sessions of each server at its peak.
    pub sessions: BTreeMap<u64, Likely>,
    /// Worth refused, of all that was asked, by class.
    pub refused_by_class: BTreeMap<usize, Likely>,
    /// The same by tenant.
    pub refused_by_tenant: BTreeMap<usize, Likely>,
    /// Worth refused, of all that was asked.
    pub refused: Likely,
    /// The mean of it: where most days refuse nothing the middle does not tell layouts apart.
    pub expected: f64,
    /// Sessions that cross halls, of all.
    pub crossing: Likely,
    /// First connections of a front to a server.
    pub first_connections: Likely,
    /// Set-ups that wait for a cold server's budget, and how long all of them take, s.
    pub cold_setups: Likely,
    /// See above.
    pub cold_seconds: Likely,
    /// Worth served, of all that was asked: what was given at the rungs in force, cut where links were short.
    pub served: Likely,
    /// No routing serves more worth than this, of all that was asked.
    pub most_served: f64,
    /// The minutes of the day that it is of: the busiest ones.
    pub span: (u32, u32),
    /// What worth was refused at, the most first: what limits, if anything does.
    pub limiting: Option<Limiting>,
}

/// What to do with a layout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Advice {
    /// Take it at once.
    Take,
    /// Take it in waves of so many servers.
    InWaves(Vec<usize>),
    /// Don't.
    Dont,
}

/// The link that limits, and what would help.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Limiting {
    /// A server's link.
    Link(u64),
    /// A rack's uplink.
    Uplink(usize),
    /// No server of it serves.
    Title(u64),
}

/// A verdict with its reasons. Made for one layout, from one that held then.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// What to do.
    pub advice: Advice,
    /// The layout that it is for.
    pub to: u64,
    /// The layout that held.
    pub from: u64,
    /// When, on the caller's clock.
    pub made: Duration,
    /// What limits, if anything does.
    pub limiting: Option<Limiting>,
    /// The smallest change that would help, in words.
    pub helps: Option<String>,
    /// What the layout itself costs.
    pub at_end: Foretold,
    /// What the layout that holds costs, on the same days.
    pub as_is: Foretold,
    /// Each wave on the way, in order.
    pub waves: Vec<Wave>,
    /// The change that [`Verdict::helps`] tells in words.
    pub change: Option<Change>,
    /// Why, in words.
    pub reasons: Vec<String>,
}

/// One wave on the way: its servers start anew, cold, at the begin of the busiest minutes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Servers that it changes.
    pub servers: Vec<u64>,
    /// What it costs.
    pub costs: Foretold,
    /// The same with one hall lost in the middle of those minutes, by hall.
    pub lost: BTreeMap<usize, Foretold>,
}

/// A change of a layout that would help.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// That server's weight times so much.
    Widen(u64, f64),
    /// That rack's uplink times so much.
    Uplink(usize, f64),
    /// That title on so many cells more.
    Spread(u64, u64),
}
