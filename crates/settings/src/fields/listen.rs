//! Addresses that the front listens at.

use super::{HOUR, MINUTE};
use crate::ranged::{Ms, Num};
use serde::Deserialize;
use std::net::SocketAddr;

/// Where viewers call, and what one connection may cost.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// Address and port; port 0 takes any. Default `127.0.0.1:8080`.
    pub address: SocketAddr,
    /// Most connections; past them 503 at once; 1 to 1,000,000. Default 16,384.
    pub connections: Num<1, 1_000_000>,
    /// Time for a head to come whole, else 408; 10 ms to a minute. Default 5 s.
    pub head_ms: Ms<10, MINUTE>,
    /// Time that a connection may stay without a request; 100 ms to an hour. Default 60 s.
    pub idle_ms: Ms<100, HOUR>,
    /// Time for a viewer to take any part of an answer; 100 ms to a minute. Default 10 s.
    pub write_ms: Ms<100, MINUTE>,
    /// Longest head, else 431; 512 to 65,536 bytes. Default 8,192.
    pub head_bytes: Num<512, 65_536>,
    /// Most header lines, else 431; 8 to 128. Default 64.
    pub header_lines: Num<8, 128>,
    /// Longest report body, else 413; 0 to 1 MiB. Default 65,536.
    pub report_bytes: Num<0, 1_048_576>,
}

impl Default for Listen {
    fn default() -> Self {
        Listen {
            address: ([127, 0, 0, 1], 8080).into(),
            connections: Num::of(16_384),
            head_ms: Ms::of(5_000),
            idle_ms: Ms::of(60_000),
            write_ms: Ms::of(10_000),
            head_bytes: Num::of(8_192),
            header_lines: Num::of(64),
            report_bytes: Num::of(65_536),
        }
    }
}

/// Where operators ask.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Side {
    /// Address of `/health` and `/metrics`; absent: none. Default none.
    pub address: Option<SocketAddr>,
}

#[allow(clippy::derivable_impls)] // kept beside the others, where defaults are looked for
impl Default for Side {
    fn default() -> Self {
        Side { address: None }
    }
}
