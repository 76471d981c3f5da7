//! Settings of the discovery service.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::Millis;
use serde::Deserialize;
use std::net::SocketAddr;

/// Source of the server list.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Address of the discovery service. Default `127.0.0.1:9000`.
    pub address: SocketAddr,
    /// Path of its event stream. Default `/v1/servers`.
    pub path: String,
    /// Time after which a stream without a line is considered broken; 100 ms to 1 hour. Default 15 s.
    #[serde(rename = "silent_ms")]
    pub silence_timeout_ms: Millis<100, HOUR_MS>,
    /// Delay before the first reconnection, doubled for each further one up to `again_most_ms`;
    /// 10 ms to 1 minute. Default 200 ms.
    #[serde(rename = "again_ms")]
    pub min_retry_delay_ms: Millis<10, MINUTE_MS>,
    /// Longest delay before a reconnection; 10 ms to 1 hour. Default 5 s.
    #[serde(rename = "again_most_ms")]
    pub max_retry_delay_ms: Millis<10, HOUR_MS>,
    /// Longest delay with which the list reports the start of a server. For this time after its own restart,
    /// a front treats every server as possibly cold; 0 to 1 minute. Default 5 s.
    #[serde(rename = "late_ms")]
    pub max_list_delay_ms: Millis<0, MINUTE_MS>,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            address: ([127, 0, 0, 1], 9000).into(),
            path: "/v1/servers".into(),
            silence_timeout_ms: Millis::new(15_000),
            min_retry_delay_ms: Millis::new(200),
            max_retry_delay_ms: Millis::new(5_000),
            max_list_delay_ms: Millis::new(5_000),
        }
    }
}
