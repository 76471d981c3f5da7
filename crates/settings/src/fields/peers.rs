//! Settings of the exchange of knowledge between fronts.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::{Int, Millis, Name};
use serde::Deserialize;
use std::net::SocketAddr;

/// Exchange of knowledge with other fronts, at their `side` addresses.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// Name of the fleet; messages of fronts of another fleet are ignored. Default `fleet`.
    #[serde(rename = "fleet")]
    pub fleet_name: Name,
    /// `side` addresses of some peers; further ones are learned from them. Default empty: no
    /// warm start from peers.
    pub addresses: Vec<SocketAddr>,
    /// Maximum number of concurrent requests during the warm start; 1 to 16. Default 2.
    pub parallel: Int<1, 16>,
    /// Answers of warm peers that complete the warm start; 1 to 16. Default 2.
    #[serde(rename = "enough")]
    pub sufficient_answers: Int<1, 16>,
    /// Time without an answer after which a request goes to another peer; 1 ms to 1 minute. Default 150 ms.
    #[serde(rename = "hedge_ms")]
    pub hedge_delay_ms: Millis<1, MINUTE_MS>,
    /// Time limit of the warm start; 10 ms to 1 minute. Default 3 s.
    #[serde(rename = "deadline_ms")]
    pub warm_start_timeout_ms: Millis<10, MINUTE_MS>,
    /// Upper bound of the random delay before the first request; 0 to 1 minute. Default 200 ms.
    #[serde(rename = "jitter_ms")]
    pub max_jitter_ms: Millis<0, MINUTE_MS>,
    /// Maximum time that the front waits for the end of the warm start before it accepts viewers;
    /// 0 to 1 minute. Default 500 ms.
    #[serde(rename = "hold_ms")]
    pub max_hold_ms: Millis<0, MINUTE_MS>,
    /// Age above which knowledge is ignored; 1 s to 10 minutes. Default 30 s.
    #[serde(rename = "horizon_ms")]
    pub max_age_ms: Millis<1_000, 600_000>,
    /// Interval at which, after the warm start, one peer's changes are requested; 0 disables this;
    /// 0 to 1 hour. Default 2 s.
    #[serde(rename = "every_ms")]
    pub poll_interval_ms: Millis<0, HOUR_MS>,
    /// Maximum number of transfers of knowledge that this front serves concurrently; 1 to 1,000. Default 4.
    #[serde(rename = "feeds")]
    pub max_feeds: Int<1, 1_000>,
    /// Retry-after delay for a peer refused because of `feeds`; 1 ms to 1 minute. Default 200 ms.
    #[serde(rename = "hold_off_ms")]
    pub retry_after_ms: Millis<1, MINUTE_MS>,
}

impl Default for Peers {
    fn default() -> Self {
        Peers {
            fleet_name: Name::new("fleet"),
            addresses: Vec::new(),
            parallel: Int::new(2),
            sufficient_answers: Int::new(2),
            hedge_delay_ms: Millis::new(150),
            warm_start_timeout_ms: Millis::new(3_000),
            max_jitter_ms: Millis::new(200),
            max_hold_ms: Millis::new(500),
            max_age_ms: Millis::new(30_000),
            poll_interval_ms: Millis::new(2_000),
            max_feeds: Int::new(4),
            retry_after_ms: Millis::new(200),
        }
    }
}
