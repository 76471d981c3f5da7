//! Limits and parameters of the placement rules.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::{Decimal, Int, Millis};
use serde::Deserialize;

/// Limits on attempts and refusals.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of attempts for one session; 1 to 16. Default 3.
    #[serde(rename = "attempts")]
    pub max_attempts: Int<1, 16>,
    /// Longest retry-after delay that viewers respect, sent to refused ones; 0 to 1 minute. Default 1 s.
    #[serde(rename = "hold_off_ms")]
    pub max_retry_after_ms: Millis<0, MINUTE_MS>,
    /// Worth of traffic beyond a tenant's quota, as a fraction of its ordinary worth; 0 to 1. Default 1.
    #[serde(rename = "over_share_worth")]
    pub over_quota_worth: Decimal<0, 1_000>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: Int::new(3),
            max_retry_after_ms: Millis::new(1_000),
            over_quota_worth: Decimal::new(1.0),
        }
    }
}

/// Budget of retries, counted over a sliding window.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// Retries always allowed within the window; 0 to 1,000,000.
    #[serde(rename = "free")]
    pub base: Int<0, 1_000_000>,
    /// Further retries allowed for each session accepted within the window; 0 to 10.
    #[serde(rename = "share")]
    pub per_session: Decimal<0, 10_000>,
    /// Length of the window; 100 ms to 1 hour.
    #[serde(rename = "span_ms")]
    pub window_ms: Millis<100, HOUR_MS>,
}

/// Parameters of the placement rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Time after which a draining or removed server must get no new set-up; 0 to 1 minute. Default 250 ms.
    pub drain_grace_ms: Millis<0, MINUTE_MS>,
    /// Time after its start within which a server becomes warm; 0 to 1 hour. Default 12 s.
    #[serde(rename = "cold_ms")]
    pub warm_up_ms: Millis<0, HOUR_MS>,
    /// Fraction of its capacity that a server has at its start; 0.001 to 1. Default 0.4.
    #[serde(rename = "cold_from")]
    pub cold_capacity_fraction: Decimal<1, 1_000>,
    /// Multiple of its present capacity at which a cold server is overloaded; 0.1 to 100. Default 2.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: Decimal<100, 100_000>,
    /// Window over which the set-ups of a cold server are counted; 1 ms to 1 minute. Default 1 s.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: Millis<1, MINUTE_MS>,
    /// Set-ups in the window beyond the multiple at which a cold server is overloaded; 0 to 1,000. Default 1.
    #[serde(rename = "fall_slack")]
    pub overload_margin: Decimal<0, 1_000>,
    /// Budget of retries; absent: retries are not limited. Default absent.
    #[serde(rename = "ration")]
    pub retry_budget: Option<RetryBudget>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: Millis::new(250),
            warm_up_ms: Millis::new(12_000),
            cold_capacity_fraction: Decimal::new(0.4),
            overload_multiple: Decimal::new(2.0),
            overload_window_ms: Millis::new(1_000),
            overload_margin: Decimal::new(1.0),
            retry_budget: None,
        }
    }
}
