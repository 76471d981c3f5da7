//! Connections to servers, and sessions.

use super::{HOUR, MINUTE};
use crate::ranged::{Ms, Num};
use serde::Deserialize;

/// How this front talks to servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// Most connections to one server; 1 to 65,536. Default 512.
    pub connections: Num<1, 65_536>,
    /// Time for a connection to be made; 1 ms to a minute. Default 250 ms.
    pub connect_ms: Ms<1, MINUTE>,
    /// An unused connection is closed after so long; 100 ms to an hour. Default 15 s.
    pub idle_ms: Ms<100, HOUR>,
    /// Time for the head of a later object's answer; 10 ms to a minute. Default 4 s.
    pub object_ms: Ms<10, MINUTE>,
    /// Time for each further part of a body; 100 ms to a minute. Default 10 s.
    pub body_ms: Ms<100, MINUTE>,
    /// Most ends of sessions waiting to be told to one server; 1 to 1,000,000. Default 4,096.
    pub releases: Num<1, 1_000_000>,
}

impl Default for Servers {
    fn default() -> Self {
        Servers {
            connections: Num::of(512),
            connect_ms: Ms::of(250),
            idle_ms: Ms::of(15_000),
            object_ms: Ms::of(4_000),
            body_ms: Ms::of(10_000),
            releases: Num::of(4_096),
        }
    }
}

/// Bounds on sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sessions {
    /// Most sessions held; past them 503 at once; 1 to 10,000,000. Default 100,000.
    pub most: Num<1, 10_000_000>,
    /// A session without a request or report for so long has ended; 100 ms to an hour. Default 20 s.
    pub idle_ms: Ms<100, HOUR>,
    /// Most requests of one session that wait for its set-up; 1 to 64. Default 8.
    pub waiting: Num<1, 64>,
    /// An answer is given so long before the viewer's time is up; 0 to 10 s. Default 50 ms.
    pub margin_ms: Ms<0, 10_000>,
    /// Paid sessions that may have run are remembered, so that none is set up again; 1 to 10,000,000. Default 262,144.
    pub spent: Num<1, 10_000_000>,
}

impl Default for Sessions {
    fn default() -> Self {
        Sessions {
            most: Num::of(100_000),
            idle_ms: Ms::of(20_000),
            waiting: Num::of(8),
            margin_ms: Ms::of(50),
            spent: Num::of(262_144),
        }
    }
}
