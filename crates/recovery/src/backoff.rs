//! How long a front that dies again and again waits before it takes viewers.

use crate::ledger::Ledger;
use crate::log_record::{BootId, Timestamp};
use std::time::Duration;

/// The figures of the wait, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct RestartBackoff {
    /// Deaths are counted over this.
    pub window: Duration,
    /// So many of them cost nothing.
    pub free_crashes: usize,
    /// The wait after the next one, doubled for each further...
    pub initial_delay: Duration,
    /// ...up to this.
    pub max_delay: Duration,
}

/// What follows from the deaths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartDelay {
    /// Lives of this boot within the window that did not end in order.
    pub crashes: usize,
    /// So long no viewer is taken.
    pub delay: Duration,
}

impl RestartBackoff {
    /// The wait of a life that begins now, by the lives before it.
    ///
    /// Guards the fleet against a front that crashes on what it is sent: each of its lives breaks the sessions
    /// that it took. May hurt: a machine whose fronts are killed for other reasons is slow to serve again.
    pub fn start_delay(&self, ledger: &Ledger, boot: BootId, now: Timestamp) -> StartDelay {
        let died = |s: &&crate::ledger::IncarnationRecord| {
            !s.clean_shutdown && s.boot == boot && s.started_at.age(now) <= self.window
        };
        let deaths = ledger.incarnations().filter(died).count();
        let hold = match deaths.checked_sub(self.free_crashes + 1) {
            None => Duration::ZERO,
            Some(more) => self
                .initial_delay
                .saturating_mul(2u32.saturating_pow(more.min(31) as u32))
                .min(self.max_delay),
        };
        StartDelay { crashes: deaths, delay: hold }
    }
}
