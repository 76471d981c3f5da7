//! How long a front that dies again and again waits before it takes viewers.

use crate::deed::{Boot, Stamp};
use crate::ledger::Ledger;
use std::time::Duration;

/// The figures of the wait, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Deaths are counted over this.
    pub window: Duration,
    /// So many of them cost nothing.
    pub free: usize,
    /// The wait after the next one, doubled for each further...
    pub first: Duration,
    /// ...up to this.
    pub most: Duration,
}

/// What follows from the deaths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wait {
    /// Lives of this boot within the window that did not end in order.
    pub deaths: usize,
    /// So long no viewer is taken.
    pub hold: Duration,
}

impl Backoff {
    /// The wait of a life that begins now, by the lives before it.
    ///
    /// Guards the fleet against a front that crashes on what it is sent: each of its lives breaks the sessions
    /// that it took. May hurt: a machine whose fronts are killed for other reasons is slow to serve again.
    pub fn wait(&self, ledger: &Ledger, boot: Boot, now: Stamp) -> Wait {
        let died = |s: &&crate::ledger::Start| !s.ended && s.boot == boot && s.at.age(now) <= self.window;
        let deaths = ledger.starts().filter(died).count();
        let hold = match deaths.checked_sub(self.free + 1) {
            None => Duration::ZERO,
            Some(more) => self.first.saturating_mul(2u32.saturating_pow(more.min(31) as u32)).min(self.most),
        };
        Wait { deaths, hold }
    }
}
