//! Delay before a front that crashes repeatedly accepts viewers.

use crate::ledger::{IncarnationRecord, Ledger};
use crate::log_record::{BootId, Timestamp};
use std::time::Duration;

/// Parameters of the start delay after crashes.
#[derive(Clone, Copy, Debug)]
pub struct RestartBackoff {
    /// Time span over which crashes are counted.
    pub window: Duration,
    /// Number of crashes within the window that cause no delay.
    pub free_crashes: usize,
    /// Delay after the first crash beyond `free_crashes`, doubled for each further one.
    pub initial_delay: Duration,
    /// Upper bound of the delay.
    pub max_delay: Duration,
}

/// Start delay of an incarnation, and the number of crashes that cause it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartDelay {
    /// Number of incarnations of this boot within the window that did not shut down cleanly.
    pub crashes: usize,
    /// Time for which no viewer is accepted.
    pub delay: Duration,
}

impl RestartBackoff {
    /// Returns the delay of an incarnation that starts at `now`.
    ///
    /// Protects the fleet from a front that crashes on the requests it receives, since each incarnation breaks the
    /// sessions that it accepted. The cost: a front that is killed for other reasons is slow to serve again.
    pub fn start_delay(&self, ledger: &Ledger, boot: BootId, now: Timestamp) -> StartDelay {
        let crashed = |i: &&IncarnationRecord| {
            !i.clean_shutdown && i.boot == boot && i.started_at.age(now) <= self.window
        };
        let crashes = ledger.incarnations().filter(crashed).count();
        let delay = match crashes.checked_sub(self.free_crashes + 1) {
            None => Duration::ZERO,
            Some(excess) => self
                .initial_delay
                .saturating_mul(2u32.saturating_pow(excess.min(31) as u32))
                .min(self.max_delay),
        };
        StartDelay { crashes, delay }
    }
}
