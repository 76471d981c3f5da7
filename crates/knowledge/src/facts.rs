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
pub struct Seen {
    /// On the clock of the front that holds the piece; never later than it truly was.
    pub at: Duration,
    /// Which observation.
    pub origin: Origin,
    /// Over how many fronts it came; 0: the holder's own.
    pub hops: u8,
}

impl Seen {
    /// Its age.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.at)
    }

    /// How far it can be trusted: 1 when new, 0 at the horizon.
    pub fn confidence(&self, now: Duration, horizon: Duration) -> f64 {
        (1.0 - self.age(now).as_secs_f64() / horizon.as_secs_f64().max(1e-9)).max(0.0)
    }
}

/// A server's state in the list, the more careful the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// Takes new work.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Is gone.
    Gone,
}

/// A server's state at a version of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct State {
    /// The list's version.
    pub version: u64,
    /// The state.
    pub standing: Standing,
}

/// A start of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Start {
    /// Rises with each start.
    pub incarnation: u64,
    /// How long ago it was when it was observed, ms; `None`: long ago. The start itself lies that much before
    /// [`Seen::at`].
    pub before_ms: Option<u32>,
}

/// How a server's process behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Health {
    /// Of which process: an older one's health says nothing of the next.
    pub incarnation: u64,
    /// Failures in a row; 0: it works.
    pub failures: u32,
    /// It failed in a way that may mean a restart.
    pub lost: bool,
}

/// A reading in thousandths: what is asked over what is given, or the share delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Reading(pub u32);

impl Reading {
    /// From a share; out of range counts as the nearest.
    pub fn of(share: f64) -> Reading {
        Reading((share.clamp(0.0, 1000.0) * 1e3).round() as u32)
    }

    /// As a share.
    pub fn share(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

/// A value that joins.
pub trait Fact: Copy + Ord {
    /// What goes before the time of observation in the order, the greater the righter.
    type Rank: Ord;

    /// See [`Fact::Rank`].
    fn rank(&self, at: Duration) -> Self::Rank;
}

impl Fact for State {
    type Rank = State;

    fn rank(&self, _: Duration) -> State {
        *self
    }
}

impl Fact for Start {
    /// Incarnation, then the start's time; long ago is before any.
    type Rank = (u64, Option<Duration>);

    fn rank(&self, at: Duration) -> Self::Rank {
        (self.incarnation, self.before_ms.map(|ms| at.saturating_sub(Duration::from_millis(ms.into()))))
    }
}

impl Fact for Health {
    type Rank = u64;

    fn rank(&self, _: Duration) -> u64 {
        self.incarnation
    }
}

impl Fact for Reading {
    type Rank = ();

    fn rank(&self, _: Duration) {}
}

/// A fact with its observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece<T> {
    /// The fact.
    pub fact: T,
    /// Its observation.
    pub seen: Seen,
}

impl<T: Fact> Piece<T> {
    fn key(&self) -> (T::Rank, Duration, T, Origin, std::cmp::Reverse<u8>) {
        (
            self.fact.rank(self.seen.at),
            self.seen.at,
            self.fact,
            self.seen.origin,
            std::cmp::Reverse(self.seen.hops),
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
pub(crate) fn join<T: Fact>(slot: &mut Option<Piece<T>>, other: Option<Piece<T>>) -> bool {
    let Some(other) = other else { return false };
    let joined = slot.map_or(other, |own| own.join(other));
    let changed = *slot != Some(joined);
    *slot = Some(joined);
    changed
}

/// All that is known of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Its state in the list.
    pub state: Option<Piece<State>>,
    /// Its last start.
    pub start: Option<Piece<Start>>,
    /// Its health.
    pub health: Option<Piece<Health>>,
    /// What is asked of its link.
    pub link: Option<Piece<Reading>>,
    /// What is asked of its rack's uplink.
    pub rack: Option<Piece<Reading>>,
    /// The share that it delivers.
    pub short: Option<Piece<Reading>>,
}

impl Facts {
    /// Joins all pieces; whether any changed.
    pub fn join(&mut self, other: &Facts) -> bool {
        let changed = [
            join(&mut self.state, other.state),
            join(&mut self.start, other.start),
            join(&mut self.health, other.health),
            join(&mut self.link, other.link),
            join(&mut self.rack, other.rack),
            join(&mut self.short, other.short),
        ];
        changed.contains(&true)
    }

    /// What is left once pieces past the horizon are dropped. States and starts go by versions and stay.
    pub fn within(&self, now: Duration, horizon: Duration) -> Facts {
        fn keep<T>(piece: Option<Piece<T>>, now: Duration, horizon: Duration) -> Option<Piece<T>> {
            piece.filter(|p| p.seen.age(now) < horizon)
        }
        // A health of a process that is not the last one says nothing.
        let current = self.start.map(|s| s.fact.incarnation);
        let health = self.health.filter(|h| current.is_none_or(|i| i == h.fact.incarnation));
        // Load of a process that has gone is not the next one's.
        let started = |at: Duration| {
            self.start.is_none_or(|s| s.fact.before_ms.is_none() || s.fact.rank(s.seen.at).1 <= Some(at))
        };
        let load = |p: Option<Piece<Reading>>| keep(p, now, horizon).filter(|p| started(p.seen.at));
        Facts {
            state: self.state,
            start: self.start,
            health: keep(health, now, horizon),
            link: load(self.link),
            rack: keep(self.rack, now, horizon),
            short: load(self.short),
        }
    }
}
