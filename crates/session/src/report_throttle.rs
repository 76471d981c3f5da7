//! Limits how often a server's reported load is passed on to the policy.
//!
//! Each response of a server reports its load; the policy needs one report per interval.

use crate::types::Load;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// Throttle for the load reports of one server.
///
/// Shared by all connections without locks. A race lets one extra report pass.
#[derive(Debug, Default)]
pub struct ReportThrottle {
    /// Time from which the next link and uplink report passes, ms.
    next_load_ms: AtomicU64,
    /// Time from which the next report of short delivery passes, ms.
    next_short_ms: AtomicU64,
    /// True if the last share that passed was below full delivery.
    short: AtomicBool,
}

/// Smallest share that counts as full delivery. Servers report shares with three decimals.
const FULL_SHARE: f64 = 0.999;

impl ReportThrottle {
    /// Returns the part of `load` that is due to be reported, if any.
    ///
    /// Link and uplink loads are due once in `interval`. A share below full delivery is due at once, then once in
    /// `short_interval`; the first full share after it is due too.
    pub fn take_due(
        &self,
        now: Duration,
        load: Load,
        interval: Duration,
        short_interval: Duration,
    ) -> Option<Load> {
        let now_ms = now.as_millis() as u64;
        let mut due = Load::default();
        if (load.link.is_some() || load.rack.is_some()) && self.next_load_ms.load(Relaxed) <= now_ms {
            self.next_load_ms.store(now_ms + interval.as_millis() as u64, Relaxed);
            (due.link, due.rack) = (load.link, load.rack);
        }
        if let Some(share) = load.share {
            let short = share < FULL_SHARE;
            let ended = !short && self.short.swap(short, Relaxed);
            if ended || (short && self.next_short_ms.load(Relaxed) <= now_ms) {
                self.next_short_ms.store(now_ms + short_interval.as_millis() as u64, Relaxed);
                self.short.store(short, Relaxed);
                due.share = Some(share.min(1.0));
            }
        }
        (due != Load::default()).then_some(due)
    }
}
