//! State that survives a restart.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::{Int, Millis};
use serde::Deserialize;
use std::path::PathBuf;

/// What a deed must have reached before it is done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// The system's cache: it outlives this process, killed at whatever instant.
    #[default]
    Process,
    /// The disk: it outlives a crash of the machine too, and each set-up that is taken down waits for it.
    Machine,
}

/// What this front keeps over a stop or a death: its last list, its knowledge, and its deeds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Persistence {
    /// The file, an embedded store of this front alone; absent: nothing is kept, and each start takes what the
    /// rules count over a span for spent. Deeds go beside it, into `.deeds`. Default none.
    pub file: Option<PathBuf>,
    /// What deeds must outlive: `process` or `machine`. Default `process`.
    #[serde(rename = "outlives")]
    pub durability: Durability,
    /// What follows from deaths one after the other.
    pub restarts: Restarts,
    /// A new list is kept at once; knowledge that changed, so often; 100 ms to an hour. Default 5 s.
    #[serde(rename = "knowledge_ms")]
    pub knowledge_interval_ms: Millis<100, HOUR_MS>,
}

impl Default for Persistence {
    fn default() -> Self {
        Persistence {
            file: None,
            durability: Durability::Process,
            restarts: Restarts::default(),
            knowledge_interval_ms: Millis::of(5_000),
        }
    }
}

/// A front that dies again and again takes no viewers for a while: each of its lives breaks their sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Restarts {
    /// Deaths are counted over this; 0: never; 0 to an hour. Default a minute.
    pub window_ms: Millis<0, HOUR_MS>,
    /// So many of them cost nothing; 0 to 60. Default 3.
    #[serde(rename = "free")]
    pub free_restarts: Int<0, 60>,
    /// The wait after the next one, doubled for each further; 0 to a minute. Default 500 ms.
    #[serde(rename = "first_ms")]
    pub min_delay_ms: Millis<0, MINUTE_MS>,
    /// The longest wait; 0 to an hour. Default 10 s.
    #[serde(rename = "most_ms")]
    pub max_delay_ms: Millis<0, HOUR_MS>,
}

impl Default for Restarts {
    fn default() -> Self {
        Restarts {
            window_ms: Millis::of(60_000),
            free_restarts: Int::of(3),
            min_delay_ms: Millis::of(500),
            max_delay_ms: Millis::of(10_000),
        }
    }
}
