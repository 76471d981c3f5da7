//! Settings of the state that survives restarts.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::{Int, Millis};
use serde::Deserialize;
use std::path::PathBuf;

/// Durability that a log record must reach before the effect that it announces takes place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// Written to the operating system's cache: survives a kill of this process at any instant.
    #[default]
    Process,
    /// Synced to disk: also survives a crash of the machine. Each set-up that is logged waits for the sync.
    Machine,
}

/// State that this front retains over a stop or crash: the last server list, its knowledge and its log
/// records.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Persistence {
    /// File of the embedded store, used by this front alone. Absent: nothing is persisted, and after each
    /// start every budget over a time window counts as used up. The write-ahead log is a second file beside
    /// it with the suffix `.deeds`. Default absent.
    pub file: Option<PathBuf>,
    /// Durability of log records: `process` or `machine`. Default `process`.
    #[serde(rename = "outlives")]
    pub durability: Durability,
    /// Back-off after repeated crashes.
    pub restarts: Restarts,
    /// Interval at which changed knowledge is persisted; a new server list is persisted at once;
    /// 100 ms to 1 hour. Default 5 s.
    #[serde(rename = "knowledge_ms")]
    pub knowledge_interval_ms: Millis<100, HOUR_MS>,
}

impl Default for Persistence {
    fn default() -> Self {
        Persistence {
            file: None,
            durability: Durability::Process,
            restarts: Restarts::default(),
            knowledge_interval_ms: Millis::new(5_000),
        }
    }
}

/// Back-off after repeated crashes: the front accepts no viewers for a while, as each crash ends their
/// sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Restarts {
    /// Period over which crashes are counted; 0 disables the back-off; 0 to 1 hour. Default 1 minute.
    pub window_ms: Millis<0, HOUR_MS>,
    /// Crashes within the period that cause no delay; 0 to 60. Default 3.
    #[serde(rename = "free")]
    pub free_restarts: Int<0, 60>,
    /// Delay after the next crash, doubled for each further one; 0 to 1 minute. Default 500 ms.
    #[serde(rename = "first_ms")]
    pub min_delay_ms: Millis<0, MINUTE_MS>,
    /// Longest delay; 0 to 1 hour. Default 10 s.
    #[serde(rename = "most_ms")]
    pub max_delay_ms: Millis<0, HOUR_MS>,
}

impl Default for Restarts {
    fn default() -> Self {
        Restarts {
            window_ms: Millis::new(60_000),
            free_restarts: Int::new(3),
            min_delay_ms: Millis::new(500),
            max_delay_ms: Millis::new(10_000),
        }
    }
}
