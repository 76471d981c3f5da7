//! Exchange of knowledge between fronts.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::{Int, Millis, Name};
use serde::Deserialize;
use std::net::SocketAddr;

/// What this front asks of and tells its peers, at their side addresses.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// The fleet; fronts of another one are not listened to. Default `fleet`.
    #[serde(rename = "fleet")]
    pub fleet_name: Name,
    /// Admin addresses of some peers; further ones are heard of. Default none: nothing is asked.
    pub addresses: Vec<SocketAddr>,
    /// Peers asked at once at the start; 1 to 16. Default 2.
    pub parallel: Int<1, 16>,
    /// Warm answers that are enough; 1 to 16. Default 2.
    #[serde(rename = "enough")]
    pub sufficient_answers: Int<1, 16>,
    /// Another peer is asked when none has answered for so long; 1 ms to a minute. Default 150 ms.
    #[serde(rename = "hedge_ms")]
    pub hedge_delay_ms: Millis<1, MINUTE_MS>,
    /// Time for the warm start; 10 ms to a minute. Default 3 s.
    #[serde(rename = "deadline_ms")]
    pub warm_start_timeout_ms: Millis<10, MINUTE_MS>,
    /// The first question waits for up to this, by chance; 0 to a minute. Default 200 ms.
    #[serde(rename = "jitter_ms")]
    pub max_jitter_ms: Millis<0, MINUTE_MS>,
    /// Viewers are taken on once the warm start has ended, or after this; 0 to a minute. Default 500 ms.
    #[serde(rename = "hold_ms")]
    pub max_hold_ms: Millis<0, MINUTE_MS>,
    /// What is older says nothing any more; 1 s to 10 minutes. Default 30 s.
    #[serde(rename = "horizon_ms")]
    pub max_age_ms: Millis<1_000, 600_000>,
    /// Later, one peer is asked for what changed so often; 0: never; 0 to an hour. Default 2 s.
    #[serde(rename = "every_ms")]
    pub poll_interval_ms: Millis<0, HOUR_MS>,
    /// Warm starts that this front feeds at a time; 1 to 1,000. Default 4.
    #[serde(rename = "feeds")]
    pub max_feeds: Int<1, 1_000>,
    /// What a peer past them is asked to wait; 1 ms to a minute. Default 200 ms.
    #[serde(rename = "hold_off_ms")]
    pub retry_after_ms: Millis<1, MINUTE_MS>,
}

impl Default for Peers {
    fn default() -> Self {
        Peers {
            fleet_name: Name::of("fleet"),
            addresses: Vec::new(),
            parallel: Int::of(2),
            sufficient_answers: Int::of(2),
            hedge_delay_ms: Millis::of(150),
            warm_start_timeout_ms: Millis::of(3_000),
            max_jitter_ms: Millis::of(200),
            max_hold_ms: Millis::of(500),
            max_age_ms: Millis::of(30_000),
            poll_interval_ms: Millis::of(2_000),
            max_feeds: Int::of(4),
            retry_after_ms: Millis::of(200),
        }
    }
}
