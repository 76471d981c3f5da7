//! Who may be out at a time.

use super::HOUR;
use crate::ranged::{Ms, Num};
use serde::Deserialize;
use serde_saphyr::Spanned;

/// How many fronts may be out at once, and how long one waits for its permit. The same at all fronts but `wait_ms`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Out {
    /// Most fronts of the fleet that are out at once; 0 to 20. 0: off, a front that is told to stop stops at once.
    /// Default 0.
    pub fleet: Spanned<u64>,
    /// Most of one hall; 1 to 20. Default 1.
    pub hall: Num<1, 20>,
    /// How long a permit lasts that its front does not give back; 1 s to an hour. Default 60 s.
    pub lease_ms: Ms<1_000, HOUR>,
    /// How long a front that was told to stop waits for its permit, before it stops without; 0 to an hour.
    /// Default 30 s.
    pub wait_ms: Ms<0, HOUR>,
    /// A front that is gone for longer is no part of the fleet any more, and does not count as out; 1 s to an hour.
    /// Default ten minutes.
    pub forget_ms: Ms<1_000, HOUR>,
}

impl Out {
    /// Whether permits are asked for.
    pub fn is_on(&self) -> bool {
        self.fleet.value > 0
    }
}

impl Default for Out {
    fn default() -> Self {
        let nowhere = serde_saphyr::Location::UNKNOWN;
        Out {
            fleet: Spanned::new(0, nowhere, nowhere),
            hall: Num::of(1),
            lease_ms: Ms::of(60_000),
            wait_ms: Ms::of(30_000),
            forget_ms: Ms::of(600_000),
        }
    }
}
