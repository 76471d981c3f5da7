//! The discovery service.

use super::{HOUR, MINUTE};
use crate::ranged::Ms;
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
    pub silent_ms: Ms<100, HOUR>,
    /// First wait before the stream is asked for again, doubled up to the next; 10 ms to a minute. Default 200 ms.
    pub again_ms: Ms<10, MINUTE>,
    /// Longest such wait; 10 ms to an hour. Default 5 s.
    pub again_most_ms: Ms<10, HOUR>,
    /// How late the list may tell of a server's start: for so long a front that came back takes any server for
    /// one that may be cold; 0 to a minute. Default 5 s.
    pub late_ms: Ms<0, MINUTE>,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            address: ([127, 0, 0, 1], 9000).into(),
            path: "/v1/servers".into(),
            silent_ms: Ms::of(15_000),
            again_ms: Ms::of(200),
            again_most_ms: Ms::of(5_000),
            late_ms: Ms::of(5_000),
        }
    }
}
