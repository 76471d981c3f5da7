//! Limits on fronts out of service.

use super::HOUR_MS;
use crate::ranged::{Int, Millis};
use serde::Deserialize;
use serde_saphyr::Spanned;

/// Limits on the number of fronts out of service at the same time, enforced by permits that the
/// witnesses grant. Equal at all fronts except `wait_ms`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OutOfService {
    /// Maximum number of fronts of the fleet out of service at the same time; 0 to 20. 0: disabled, a front
    /// stops at once when it gets a stop signal. Default 0.
    #[serde(rename = "fleet")]
    pub max_in_fleet: Spanned<u64>,
    /// Maximum number of fronts of one zone out of service at the same time; 1 to 20. Default 1.
    #[serde(rename = "hall")]
    pub max_in_zone: Int<1, 20>,
    /// Time after which a permit that was not returned expires; 1 s to 1 hour. Default 60 s.
    #[serde(rename = "lease_ms")]
    pub permit_duration_ms: Millis<1_000, HOUR_MS>,
    /// Time for which a front that got a stop signal waits for its permit before it stops without one;
    /// 0 to 1 hour. Default 30 s.
    #[serde(rename = "wait_ms")]
    pub max_wait_ms: Millis<0, HOUR_MS>,
    /// Time after which an absent front no longer belongs to the fleet and no longer counts as out of
    /// service; 1 s to 1 hour. Default 10 minutes.
    #[serde(rename = "forget_ms")]
    pub forget_after_ms: Millis<1_000, HOUR_MS>,
}

impl OutOfService {
    /// Returns whether a front needs a permit to go out of service.
    pub fn is_enabled(&self) -> bool {
        self.max_in_fleet.value > 0
    }
}

impl Default for OutOfService {
    fn default() -> Self {
        let unknown = serde_saphyr::Location::UNKNOWN;
        OutOfService {
            max_in_fleet: Spanned::new(0, unknown, unknown),
            max_in_zone: Int::new(1),
            permit_duration_ms: Millis::new(60_000),
            max_wait_ms: Millis::new(30_000),
            forget_after_ms: Millis::new(600_000),
        }
    }
}
