//! Settings of connections to servers, and limits on sessions.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::{Int, Millis};
use serde::Deserialize;

/// Connections and requests to servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// Maximum number of connections to one server; 1 to 65,536. Default 512.
    #[serde(rename = "connections")]
    pub max_connections: Int<1, 65_536>,
    /// Time within which a connection must be established; 1 ms to 1 minute. Default 250 ms.
    #[serde(rename = "connect_ms")]
    pub connect_timeout_ms: Millis<1, MINUTE_MS>,
    /// Time after which an unused connection is closed; 100 ms to 1 hour. Default 15 s.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: Millis<100, HOUR_MS>,
    /// Time within which the response head must arrive for each object after the first; 10 ms to 1 minute.
    /// Default 4 s.
    #[serde(rename = "object_ms")]
    pub head_timeout_ms: Millis<10, MINUTE_MS>,
    /// Time within which each further part of a response body must arrive; 100 ms to 1 minute. Default 10 s.
    #[serde(rename = "body_ms")]
    pub body_timeout_ms: Millis<100, MINUTE_MS>,
    /// Maximum number of session releases that wait to be sent to one server; 1 to 1,000,000.
    /// Default 4,096.
    #[serde(rename = "releases")]
    pub max_pending_releases: Int<1, 1_000_000>,
}

impl Default for Servers {
    fn default() -> Self {
        Servers {
            max_connections: Int::new(512),
            connect_timeout_ms: Millis::new(250),
            idle_timeout_ms: Millis::new(15_000),
            head_timeout_ms: Millis::new(4_000),
            body_timeout_ms: Millis::new(10_000),
            max_pending_releases: Int::new(4_096),
        }
    }
}

/// Limits on sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sessions {
    /// Maximum number of sessions of this front; requests for further ones get status 503;
    /// 1 to 10,000,000. Default 100,000.
    #[serde(rename = "most")]
    pub max_sessions: Int<1, 10_000_000>,
    /// Time without a request or report after which a session ends; 100 ms to 1 hour. Default 20 s.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: Millis<100, HOUR_MS>,
    /// Maximum number of requests of one session that wait for its set-up; 1 to 64. Default 8.
    #[serde(rename = "waiting")]
    pub max_waiting_requests: Int<1, 64>,
    /// Time before the viewer's deadline by which an answer is given; 0 to 10 s. Default 50 ms.
    #[serde(rename = "margin_ms")]
    pub deadline_margin_ms: Millis<0, 10_000>,
    /// Maximum number of paid sessions remembered as possibly executed, so that none is set up again;
    /// 1 to 10,000,000. Default 262,144.
    #[serde(rename = "spent")]
    pub max_spent_sessions: Int<1, 10_000_000>,
}

impl Default for Sessions {
    fn default() -> Self {
        Sessions {
            max_sessions: Int::new(100_000),
            idle_timeout_ms: Millis::new(20_000),
            max_waiting_requests: Int::new(8),
            deadline_margin_ms: Millis::new(50),
            max_spent_sessions: Int::new(262_144),
        }
    }
}
