//! Addresses that the front listens at.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::{Int, Millis};
use serde::Deserialize;
use std::net::SocketAddr;

/// Where viewers call, and what one connection may cost.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// Address and port; port 0 takes any. Default `127.0.0.1:8080`.
    pub address: SocketAddr,
    /// Most connections; past them 503 at once; 1 to 1,000,000. Default 16,384.
    #[serde(rename = "connections")]
    pub max_connections: Int<1, 1_000_000>,
    /// Time for a head to come whole, else 408; 10 ms to a minute. Default 5 s.
    #[serde(rename = "head_ms")]
    pub head_timeout_ms: Millis<10, MINUTE_MS>,
    /// Time that a connection may stay without a request; 100 ms to an hour. Default 60 s.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: Millis<100, HOUR_MS>,
    /// Time for a viewer to take any part of an answer; 100 ms to a minute. Default 10 s.
    #[serde(rename = "write_ms")]
    pub write_timeout_ms: Millis<100, MINUTE_MS>,
    /// Longest head, else 431; 512 to 65,536 bytes. Default 8,192.
    #[serde(rename = "head_bytes")]
    pub max_head_bytes: Int<512, 65_536>,
    /// Most header lines, else 431; 8 to 128. Default 64.
    #[serde(rename = "header_lines")]
    pub max_headers: Int<8, 128>,
    /// Longest report body, else 413; 0 to 1 MiB. Default 65,536.
    #[serde(rename = "report_bytes")]
    pub max_report_bytes: Int<0, 1_048_576>,
}

impl Default for Listen {
    fn default() -> Self {
        Listen {
            address: ([127, 0, 0, 1], 8080).into(),
            max_connections: Int::of(16_384),
            head_timeout_ms: Millis::of(5_000),
            idle_timeout_ms: Millis::of(60_000),
            write_timeout_ms: Millis::of(10_000),
            max_head_bytes: Int::of(8_192),
            max_headers: Int::of(64),
            max_report_bytes: Int::of(65_536),
        }
    }
}

/// Where operators ask.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Admin {
    /// Address of `/health` and `/metrics`; absent: none. Default none.
    pub address: Option<SocketAddr>,
}

#[allow(clippy::derivable_impls)] // kept beside the others, where defaults are looked for
impl Default for Admin {
    fn default() -> Self {
        Admin { address: None }
    }
}
