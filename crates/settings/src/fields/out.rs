//! Who may be out at a time.

use super::HOUR_MS;
use crate::ranged::{Int, Millis};
use serde::Deserialize;
use serde_saphyr::Spanned;

/// How many fronts may be out at once, and how long one waits for its permit. The same at all fronts but `wait_ms`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OutOfService {
    /// Most fronts of the fleet that are out at once; 0 to 20. 0: off, a front that is told to stop stops at once.
    /// Default 0.
    #[serde(rename = "fleet")]
    pub max_in_fleet: Spanned<u64>,
    /// Most of one hall; 1 to 20. Default 1.
    #[serde(rename = "hall")]
    pub max_in_zone: Int<1, 20>,
    /// How long a permit lasts that its front does not give back; 1 s to an hour. Default 60 s.
    #[serde(rename = "lease_ms")]
    pub permit_duration_ms: Millis<1_000, HOUR_MS>,
    /// How long a front that was told to stop waits for its permit, before it stops without; 0 to an hour.
    /// Default 30 s.
    #[serde(rename = "wait_ms")]
    pub max_wait_ms: Millis<0, HOUR_MS>,
    /// A front that is gone for longer is no part of the fleet any more, and does not count as out; 1 s to an hour.
    /// Default ten minutes.
    #[serde(rename = "forget_ms")]
    pub forget_after_ms: Millis<1_000, HOUR_MS>,
}

impl OutOfService {
    /// Whether permits are asked for.
    pub fn is_enabled(&self) -> bool {
        self.max_in_fleet.value > 0
    }
}

impl Default for OutOfService {
    fn default() -> Self {
        let nowhere = serde_saphyr::Location::UNKNOWN;
        OutOfService {
            max_in_fleet: Spanned::new(0, nowhere, nowhere),
            max_in_zone: Int::of(1),
            permit_duration_ms: Millis::of(60_000),
            max_wait_ms: Millis::of(30_000),
            forget_after_ms: Millis::of(600_000),
        }
    }
}
