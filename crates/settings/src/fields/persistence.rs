//! State that survives a restart.

use super::{HOUR, MINUTE};
use crate::ranged::{Ms, Num};
use serde::Deserialize;
use std::path::PathBuf;

/// What a deed must have reached before it is done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outlives {
    /// The system's cache: it outlives this process, killed at whatever instant.
    #[default]
    Process,
    /// The disk: it outlives a crash of the machine too, and each set-up that is taken down waits for it.
    Machine,
}

/// What this front keeps over a stop or a death: its last list, its knowledge, and its deeds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Keep {
    /// The file, an embedded store of this front alone; absent: nothing is kept, and each start takes what the
    /// rules count over a span for spent. Deeds go beside it, into `.deeds`. Default none.
    pub file: Option<PathBuf>,
    /// What deeds must outlive: `process` or `machine`. Default `process`.
    pub outlives: Outlives,
    /// What follows from deaths one after the other.
    pub restarts: Restarts,
    /// A new list is kept at once; knowledge that changed, so often; 100 ms to an hour. Default 5 s.
    pub knowledge_ms: Ms<100, HOUR>,
}

impl Default for Keep {
    fn default() -> Self {
        Keep {
            file: None,
            outlives: Outlives::Process,
            restarts: Restarts::default(),
            knowledge_ms: Ms::of(5_000),
        }
    }
}

/// A front that dies again and again takes no viewers for a while: each of its lives breaks their sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Restarts {
    /// Deaths are counted over this; 0: never; 0 to an hour. Default a minute.
    pub window_ms: Ms<0, HOUR>,
    /// So many of them cost nothing; 0 to 60. Default 3.
    pub free: Num<0, 60>,
    /// The wait after the next one, doubled for each further; 0 to a minute. Default 500 ms.
    pub first_ms: Ms<0, MINUTE>,
    /// The longest wait; 0 to an hour. Default 10 s.
    pub most_ms: Ms<0, HOUR>,
}

impl Default for Restarts {
    fn default() -> Self {
        Restarts {
            window_ms: Ms::of(60_000),
            free: Num::of(3),
            first_ms: Ms::of(500),
            most_ms: Ms::of(10_000),
        }
    }
}
