//! The discovery service.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::Millis;
use serde::Deserialize;
use std::net::SocketAddr;

/// Where the server list comes from.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Address of the discovery service. Default `127.0.0.1:9000`.
    pub address: SocketAddr,
    /// Path of its event stream. Default `/v1/servers`.
    pub path: String,
    /// A stream without a line for so long is broken; 100 ms to an hour. Default 15 s.
    #[serde(rename = "silent_ms")]
    pub silence_timeout_ms: Millis<100, HOUR_MS>,
    /// First wait before the stream is asked for again, doubled up to the next; 10 ms to a minute. Default 200 ms.
    #[serde(rename = "again_ms")]
    pub min_retry_delay_ms: Millis<10, MINUTE_MS>,
    /// Longest such wait; 10 ms to an hour. Default 5 s.
    #[serde(rename = "again_most_ms")]
    pub max_retry_delay_ms: Millis<10, HOUR_MS>,
    /// How late the list may tell of a server's start: for so long a front that came back takes any server for
    /// one that may be cold; 0 to a minute. Default 5 s.
    #[serde(rename = "late_ms")]
    pub max_list_delay_ms: Millis<0, MINUTE_MS>,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            address: ([127, 0, 0, 1], 9000).into(),
            path: "/v1/servers".into(),
            silence_timeout_ms: Millis::of(15_000),
            min_retry_delay_ms: Millis::of(200),
            max_retry_delay_ms: Millis::of(5_000),
            max_list_delay_ms: Millis::of(5_000),
        }
    }
}
