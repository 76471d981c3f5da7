//! Observations of servers and their lattice.
//!
//! Each kind of observation has one total order, and the join of two is the greater one. The join is therefore
//! associative, commutative and idempotent, regardless of the order in which observations arrive or how often:
//!
//! | observation | greater is |
//! |---|---|
//! | [`ListedState`] | the higher list version, then the more careful status |
//! | [`ProcessStart`] | the higher incarnation, then the later start (colder) |
//! | [`Health`] | the higher incarnation of the server, then the later observation, then the worse health |
//! | [`Reading`] | the later observation, then the higher reading |
//!
//! Safety-relevant observations (drains, starts) are ordered by version and incarnation, never by age. A wrong age
//! or a clock jump therefore cannot make a drained server look open or a cold one warm. Load and health are ordered
//! by age.

use serde::{Deserialize, Serialize};
use std::time::Duration;

pub use crate::provenance::{Observer, Origin, Provenance};

/// Status of a server in the server list. The more careful status is the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerStatus {
    /// Accepts new sessions.
    Serving,
    /// Finishes its sessions and accepts no new ones.
    Draining,
    /// No longer in the list.
    #[serde(rename = "Gone")]
    Removed,
}

/// Status of a server at a version of the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListedState {
    /// Version of the server list.
    pub version: u64,
    /// Status in that version.
    #[serde(rename = "standing")]
    pub status: ServerStatus,
}

/// Start of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessStart {
    /// Incarnation of the server; rises with each start.
    pub incarnation: u64,
    /// Time between the start and [`Provenance::observed_at`]; `None` if the start was long ago.
    #[serde(rename = "before_ms")]
    pub uptime_ms: Option<u32>,
}

/// Health of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Health {
    /// Incarnation that was observed; says nothing about later ones.
    pub incarnation: u64,
    /// Number of failures since the last success; 0 if the process works.
    #[serde(rename = "failures")]
    pub consecutive_failures: u32,
    /// True if the last failure may have been caused by a restart.
    #[serde(rename = "lost")]
    pub may_have_restarted: bool,
}

/// Ratio in thousandths: requested over available rate, or the share of requested data delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Reading(pub u32);

impl Reading {
    /// Converts a ratio; clamps it to 0..=1000.
    pub fn from_ratio(ratio: f64) -> Reading {
        Reading((ratio.clamp(0.0, 1000.0) * 1e3).round() as u32)
    }

    /// Converts back to a ratio.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

/// Kind of observation that can be joined.
pub trait Observation: Copy + Ord {
    /// First criterion of the order, compared before the time of observation.
    type Rank: Ord;

    /// Returns the rank of an observation made at `observed_at`.
    fn rank(&self, observed_at: Duration) -> Self::Rank;
}

impl Observation for ListedState {
    type Rank = ListedState;

    fn rank(&self, _: Duration) -> ListedState {
        *self
    }
}

impl Observation for ProcessStart {
    /// Incarnation, then the time of the start; `None` (long ago) is the smallest.
    type Rank = (u64, Option<Duration>);

    fn rank(&self, observed_at: Duration) -> Self::Rank {
        (
            self.incarnation,
            self.uptime_ms.map(|ms| observed_at.saturating_sub(Duration::from_millis(ms.into()))),
        )
    }
}

impl Observation for Health {
    type Rank = u64;

    fn rank(&self, _: Duration) -> u64 {
        self.incarnation
    }
}

impl Observation for Reading {
    type Rank = ();

    fn rank(&self, _: Duration) {}
}

/// Observation with its provenance: an element of the lattice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The observation.
    pub value: T,
    /// Time and origin of the observation.
    pub provenance: Provenance,
}

impl<T: Observation> Versioned<T> {
    fn key(&self) -> (T::Rank, Duration, T, Origin, std::cmp::Reverse<u8>) {
        (
            self.value.rank(self.provenance.observed_at),
            self.provenance.observed_at,
            self.value,
            self.provenance.origin,
            std::cmp::Reverse(self.provenance.hops),
        )
    }

    /// Returns the greater of two observations.
    pub fn join(self, other: Self) -> Self {
        if other.key() > self.key() {
            other
        } else {
            self
        }
    }
}

/// Joins an observation into a slot. Returns whether the slot changed.
pub(crate) fn join<T: Observation>(slot: &mut Option<Versioned<T>>, other: Option<Versioned<T>>) -> bool {
    let Some(other) = other else { return false };
    let joined = slot.map_or(other, |current| current.join(other));
    let changed = *slot != Some(joined);
    *slot = Some(joined);
    changed
}

/// Latest observations of one server, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerObservations {
    /// State in the server list.
    pub state: Option<Versioned<ListedState>>,
    /// Last start of the process.
    pub start: Option<Versioned<ProcessStart>>,
    /// Health of the process.
    pub health: Option<Versioned<Health>>,
    /// Load of the server's link.
    pub link_load: Option<Versioned<Reading>>,
    /// Load of the rack's uplink.
    pub uplink_load: Option<Versioned<Reading>>,
    /// Share of the requested data that the server delivers.
    pub delivered_share: Option<Versioned<Reading>>,
}

impl ServerObservations {
    /// Joins all kinds of observations. Returns whether any changed.
    pub fn join(&mut self, other: &ServerObservations) -> bool {
        let changed = [
            join(&mut self.state, other.state),
            join(&mut self.start, other.start),
            join(&mut self.health, other.health),
            join(&mut self.link_load, other.link_load),
            join(&mut self.uplink_load, other.uplink_load),
            join(&mut self.delivered_share, other.delivered_share),
        ];
        changed.contains(&true)
    }

    /// Returns the observations without expired ones. States and starts are versioned and never expire here.
    pub fn within(&self, now: Duration, horizon: Duration) -> ServerObservations {
        fn unexpired<T>(
            slot: Option<Versioned<T>>,
            now: Duration,
            horizon: Duration,
        ) -> Option<Versioned<T>> {
            slot.filter(|o| o.provenance.age(now) < horizon)
        }
        // Health of an earlier incarnation says nothing about the current one.
        let current = self.start.map(|s| s.value.incarnation);
        let health = self.health.filter(|h| current.is_none_or(|i| i == h.value.incarnation));
        // Load observed before the last start belongs to an earlier incarnation.
        let started_by = |at: Duration| {
            self.start.is_none_or(|s| {
                s.value.uptime_ms.is_none() || s.value.rank(s.provenance.observed_at).1 <= Some(at)
            })
        };
        let load = |slot: Option<Versioned<Reading>>| {
            unexpired(slot, now, horizon).filter(|o| started_by(o.provenance.observed_at))
        };
        ServerObservations {
            state: self.state,
            start: self.start,
            health: unexpired(health, now, horizon),
            link_load: load(self.link_load),
            uplink_load: unexpired(self.uplink_load, now, horizon),
            delivered_share: load(self.delivered_share),
        }
    }
}
