//! Provenance of observations: observer, time, and number of hops between fronts.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Front process that makes observations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Observer {
    /// Id of the front instance.
    pub instance: u64,
    /// Random number that identifies the process start.
    pub incarnation: u64,
}

/// Identity of one observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// Front process that made the observation.
    pub observer: Observer,
    /// Sequence number among all observations of that observer.
    pub seq: u64,
}

/// Time and origin of an observation, and the hops that it has travelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Provenance {
    /// Time on the clock of the front that holds the observation; never later than the true time.
    pub observed_at: Duration,
    /// Identity of the observation.
    pub origin: Origin,
    /// Number of fronts that have passed the observation on; 0 for the holder's own.
    pub hops: u8,
}

impl Provenance {
    /// Time since the observation.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.observed_at)
    }

    /// Confidence in the observation: 1 when new, falling linearly to 0 at the horizon.
    pub fn confidence(&self, now: Duration, horizon: Duration) -> f64 {
        (1.0 - self.age(now).as_secs_f64() / horizon.as_secs_f64().max(1e-9)).max(0.0)
    }
}
