//! Limits and rules of the decisions.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::{Decimal, Int, Millis};
use serde::Deserialize;

/// What the decisions may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Most attempts for one session; 1 to 16. Default 3.
    #[serde(rename = "attempts")]
    pub max_attempts: Int<1, 16>,
    /// What a refused viewer is asked to wait, 0 to a minute. Default 1 s.
    #[serde(rename = "hold_off_ms")]
    pub max_retry_after_ms: Millis<0, MINUTE_MS>,
    /// Worth of traffic past a tenant's share, as a part of the usual; 0 to 1. Default 1.
    #[serde(rename = "over_share_worth")]
    pub over_quota_worth: Decimal<0, 1_000>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: Int::of(3),
            max_retry_after_ms: Millis::of(1_000),
            over_quota_worth: Decimal::of(1.0),
        }
    }
}

/// A budget of further attempts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// Attempts always allowed; 0 to 1,000,000.
    #[serde(rename = "free")]
    pub base: Int<0, 1_000_000>,
    /// Attempts allowed for each session taken; 0 to 10.
    #[serde(rename = "share")]
    pub per_session: Decimal<0, 10_000>,
    /// The span both are counted over; 100 ms to an hour.
    #[serde(rename = "span_ms")]
    pub window_ms: Millis<100, HOUR_MS>,
}

/// The figures of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Nothing new to a draining or gone server later than this; 0 to a minute. Default 250 ms.
    pub drain_grace_ms: Millis<0, MINUTE_MS>,
    /// A server is warm at the latest so long after its start; 0 to an hour. Default 12 s.
    #[serde(rename = "cold_ms")]
    pub warm_up_ms: Millis<0, HOUR_MS>,
    /// The part of its capacity at which it starts; 0.001 to 1. Default 0.4.
    #[serde(rename = "cold_from")]
    pub cold_capacity_fraction: Decimal<1, 1_000>,
    /// A cold server falls over at this multiple of its present capacity; 0.1 to 100. Default 2.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: Decimal<100, 100_000>,
    /// ...kept up over this span; 1 ms to a minute. Default 1 s.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: Millis<1, MINUTE_MS>,
    /// So many set-ups more in that span than the multiple gives make it fall; 0 to 1,000. Default 1.
    #[serde(rename = "fall_slack")]
    pub overload_margin: Decimal<0, 1_000>,
    /// The budget of further attempts; absent: none. Default none.
    #[serde(rename = "ration")]
    pub retry_budget: Option<RetryBudget>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: Millis::of(250),
            warm_up_ms: Millis::of(12_000),
            cold_capacity_fraction: Decimal::of(0.4),
            overload_multiple: Decimal::of(2.0),
            overload_window_ms: Millis::of(1_000),
            overload_margin: Decimal::of(1.0),
            retry_budget: None,
        }
    }
}
