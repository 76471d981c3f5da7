//! Connections to servers, and sessions.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::{Int, Millis};
use serde::Deserialize;

/// How this front talks to servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// Most connections to one server; 1 to 65,536. Default 512.
    #[serde(rename = "connections")]
    pub max_connections: Int<1, 65_536>,
    /// Time for a connection to be made; 1 ms to a minute. Default 250 ms.
    #[serde(rename = "connect_ms")]
    pub connect_timeout_ms: Millis<1, MINUTE_MS>,
    /// An unused connection is closed after so long; 100 ms to an hour. Default 15 s.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: Millis<100, HOUR_MS>,
    /// Time for the head of a later object's answer; 10 ms to a minute. Default 4 s.
    #[serde(rename = "object_ms")]
    pub head_timeout_ms: Millis<10, MINUTE_MS>,
    /// Time for each further part of a body; 100 ms to a minute. Default 10 s.
    #[serde(rename = "body_ms")]
    pub body_timeout_ms: Millis<100, MINUTE_MS>,
    /// Most ends of sessions waiting to be told to one server; 1 to 1,000,000. Default 4,096.
    #[serde(rename = "releases")]
    pub max_pending_releases: Int<1, 1_000_000>,
}

impl Default for Servers {
    fn default() -> Self {
        Servers {
            max_connections: Int::of(512),
            connect_timeout_ms: Millis::of(250),
            idle_timeout_ms: Millis::of(15_000),
            head_timeout_ms: Millis::of(4_000),
            body_timeout_ms: Millis::of(10_000),
            max_pending_releases: Int::of(4_096),
        }
    }
}

/// Bounds on sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sessions {
    /// Most sessions held; past them 503 at once; 1 to 10,000,000. Default 100,000.
    #[serde(rename = "most")]
    pub max_sessions: Int<1, 10_000_000>,
    /// A session without a request or report for so long has ended; 100 ms to an hour. Default 20 s.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: Millis<100, HOUR_MS>,
    /// Most requests of one session that wait for its set-up; 1 to 64. Default 8.
    #[serde(rename = "waiting")]
    pub max_waiting_requests: Int<1, 64>,
    /// An answer is given so long before the viewer's time is up; 0 to 10 s. Default 50 ms.
    #[serde(rename = "margin_ms")]
    pub deadline_margin_ms: Millis<0, 10_000>,
    /// Paid sessions that may have run are remembered, so that none is set up again; 1 to 10,000,000. Default 262,144.
    #[serde(rename = "spent")]
    pub max_spent_sessions: Int<1, 10_000_000>,
}

impl Default for Sessions {
    fn default() -> Self {
        Sessions {
            max_sessions: Int::of(100_000),
            idle_timeout_ms: Millis::of(20_000),
            max_waiting_requests: Int::of(8),
            deadline_margin_ms: Millis::of(50),
            max_spent_sessions: Int::of(262_144),
        }
    }
}
