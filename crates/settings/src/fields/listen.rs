//! Listeners of the front: for viewers, and for operators.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::{Int, Millis};
use serde::Deserialize;
use std::net::SocketAddr;

/// Listener for viewers, and limits on each connection.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// Address and port to listen on; port 0 selects any free port. Default `127.0.0.1:8080`.
    pub address: SocketAddr,
    /// Maximum number of open connections; further ones are answered with status 503; 1 to 1,000,000.
    /// Default 16,384.
    #[serde(rename = "connections")]
    pub max_connections: Int<1, 1_000_000>,
    /// Time within which a request head must be complete, else status 408; 10 ms to 1 minute. Default 5 s.
    #[serde(rename = "head_ms")]
    pub head_timeout_ms: Millis<10, MINUTE_MS>,
    /// Time after which a connection without a request is closed; 100 ms to 1 hour. Default 60 s.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: Millis<100, HOUR_MS>,
    /// Time within which a viewer must accept each part of a response; 100 ms to 1 minute. Default 10 s.
    #[serde(rename = "write_ms")]
    pub write_timeout_ms: Millis<100, MINUTE_MS>,
    /// Maximum length of a request head, else status 431; 512 to 65,536 bytes. Default 8,192.
    #[serde(rename = "head_bytes")]
    pub max_head_bytes: Int<512, 65_536>,
    /// Maximum number of header lines of a request, else status 431; 8 to 128. Default 64.
    #[serde(rename = "header_lines")]
    pub max_headers: Int<8, 128>,
    /// Maximum length of a report body, else status 413; 0 to 1,048,576 bytes. Default 65,536.
    #[serde(rename = "report_bytes")]
    pub max_report_bytes: Int<0, 1_048_576>,
}

impl Default for Listen {
    fn default() -> Self {
        Listen {
            address: ([127, 0, 0, 1], 8080).into(),
            max_connections: Int::new(16_384),
            head_timeout_ms: Millis::new(5_000),
            idle_timeout_ms: Millis::new(60_000),
            write_timeout_ms: Millis::new(10_000),
            max_head_bytes: Int::new(8_192),
            max_headers: Int::new(64),
            max_report_bytes: Int::new(65_536),
        }
    }
}

/// Listener for operators and for requests of other fronts.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Admin {
    /// Address of `/health`, `/metrics` and the exchange between fronts; absent: no listener. Default absent.
    pub address: Option<SocketAddr>,
}

#[allow(clippy::derivable_impls)] // Written out so that every default is in one form.
impl Default for Admin {
    fn default() -> Self {
        Admin { address: None }
    }
}
