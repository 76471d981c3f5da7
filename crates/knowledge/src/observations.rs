//! Pieces of knowledge and their lattice.
//!
//! Each kind of piece has one total order; joining two takes the greater. So joining is associative,
//! commutative and idempotent, whatever way pieces come and however often. The order says who is right:
//!
//! | piece | greater is |
//! |---|---|
//! | [`State`] | the higher list version, then the more careful state |
//! | [`Start`] | the higher incarnation, then the later start (colder) |
//! | [`Health`] | the higher incarnation of the server, then the later observation, then the worse |
//! | [`Reading`] | the later observation, then the fuller |
//!
//! Safety (drains, starts) goes by versions and incarnations and never by ages, so no wrong age and no jump
//! of a clock lets a drained server look open or a cold one warm. Facts (load, health) go by age.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A front's process: its instance, and a number that each start of it draws anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Observer {
    /// The instance.
    pub instance: u64,
    /// Its incarnation.
    pub incarnation: u64,
}

/// One observation, by whoever made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// Who made it.
    pub observer: Observer,
    /// Its number among all that the observer made.
    pub seq: u64,
}

/// When and by whom a piece was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Provenance {
    /// On the clock of the front that holds the piece; never later than it truly was.
    pub observed_at: Duration,
    /// Which observation.
    pub origin: Origin,
    /// Over how many fronts it came; 0: the holder's own.
    pub hops: u8,
}

impl Provenance {
    /// Its age.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.observed_at)
    }

    /// How far it can be trusted: 1 when new, 0 at the horizon.
    pub fn confidence(&self, now: Duration, horizon: Duration) -> f64 {
        (1.0 - self.age(now).as_secs_f64() / horizon.as_secs_f64().max(1e-9)).max(0.0)
    }
}

/// A server's state in the list, the more careful the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerStatus {
    /// Takes new work.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Is gone.
    #[serde(rename = "Gone")]
    Removed,
}

/// A server's state at a version of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListedState {
    /// The list's version.
    pub version: u64,
    /// The state.
    #[serde(rename = "standing")]
    pub status: ServerStatus,
}

/// A start of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessStart {
    /// Rises with each start.
    pub incarnation: u64,
    /// How long ago it was when it was observed, ms; `None`: long ago. The start itself lies that much before
    /// [`Seen::at`].
    #[serde(rename = "before_ms")]
    pub uptime_ms: Option<u32>,
}

/// How a server's process behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Health {
    /// Of which process: an older one's health says nothing of the next.
    pub incarnation: u64,
    /// Failures in a row; 0: it works.
    #[serde(rename = "failures")]
    pub consecutive_failures: u32,
    /// It failed in a way that may mean a restart.
    #[serde(rename = "lost")]
    pub may_have_restarted: bool,
}

/// A reading in thousandths: what is asked over what is given, or the share delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Reading(pub u32);

impl Reading {
    /// From a share; out of range counts as the nearest.
    pub fn from_ratio(ratio: f64) -> Reading {
        Reading((ratio.clamp(0.0, 1000.0) * 1e3).round() as u32)
    }

    /// As a share.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

/// A value that joins.
pub trait Observation: Copy + Ord {
    /// What goes before the time of observation in the order, the greater the righter.
    type Rank: Ord;

    /// See [`Fact::Rank`].
    fn rank(&self, at: Duration) -> Self::Rank;
}

impl Observation for ListedState {
    type Rank = ListedState;

    fn rank(&self, _: Duration) -> ListedState {
        *self
    }
}

impl Observation for ProcessStart {
    /// Incarnation, then the start's time; long ago is before any.
    type Rank = (u64, Option<Duration>);

    fn rank(&self, at: Duration) -> Self::Rank {
        (self.incarnation, self.uptime_ms.map(|ms| at.saturating_sub(Duration::from_millis(ms.into()))))
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

/// A fact with its observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The fact.
    pub value: T,
    /// Its observation.
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

    /// The greater of two.
    pub fn join(self, other: Self) -> Self {
        if other.key() > self.key() {
            other
        } else {
            self
        }
    }
}

/// Joins into a slot; whether it changed.
pub(crate) fn join<T: Observation>(slot: &mut Option<Versioned<T>>, other: Option<Versioned<T>>) -> bool {
    let Some(other) = other else { return false };
    let joined = slot.map_or(other, |own| own.join(other));
    let changed = *slot != Some(joined);
    *slot = Some(joined);
    changed
}

/// All that is known of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerObservations {
    /// Its state in the list.
    pub state: Option<Versioned<ListedState>>,
    /// Its last start.
    pub start: Option<Versioned<ProcessStart>>,
    /// Its health.
    pub health: Option<Versioned<Health>>,
    /// What is asked of its link.
    pub link_load: Option<Versioned<Reading>>,
    /// What is asked of its rack's uplink.
    pub uplink_load: Option<Versioned<Reading>>,
    /// The share that it delivers.
    pub delivered_share: Option<Versioned<Reading>>,
}

impl ServerObservations {
    /// Joins all pieces; whether any changed.
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

    /// What is left once pieces past the horizon are dropped. States and starts go by versions and stay.
    pub fn within(&self, now: Duration, horizon: Duration) -> ServerObservations {
        fn keep<T>(piece: Option<Versioned<T>>, now: Duration, horizon: Duration) -> Option<Versioned<T>> {
            piece.filter(|p| p.provenance.age(now) < horizon)
        }
        // A health of a process that is not the last one says nothing.
        let current = self.start.map(|s| s.value.incarnation);
        let health = self.health.filter(|h| current.is_none_or(|i| i == h.value.incarnation));
        // Load of a process that has gone is not the next one's.
        let started = |at: Duration| {
            self.start.is_none_or(|s| {
                s.value.uptime_ms.is_none() || s.value.rank(s.provenance.observed_at).1 <= Some(at)
            })
        };
        let load = |p: Option<Versioned<Reading>>| {
            keep(p, now, horizon).filter(|p| started(p.provenance.observed_at))
        };
        ServerObservations {
            state: self.state,
            start: self.start,
            health: keep(health, now, horizon),
            link_load: load(self.link_load),
            uplink_load: keep(self.uplink_load, now, horizon),
            delivered_share: load(self.delivered_share),
        }
    }
}
