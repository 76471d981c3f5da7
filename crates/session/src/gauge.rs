//! Paces a server's readings: each answer tells the load, and the module wants one now and then.

use crate::types::Load;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// One server's readings. Shared by all connections, without locks; a race costs one reading more.
#[derive(Debug, Default)]
pub struct Gauge {
    next_reading: AtomicU64,
    next_short: AtomicU64,
    short: AtomicBool,
}

/// Shares are told with three decimals; what is nearer to whole than this is whole.
const WHOLE: f64 = 0.999;

impl Gauge {
    /// What of a load is due to be reported: link and uplink every `every`, short delivery every
    /// `short_every` while it lasts and once after it.
    pub fn due(&self, now: Duration, load: Load, every: Duration, short_every: Duration) -> Option<Load> {
        let at = now.as_millis() as u64;
        let mut out = Load::default();
        if (load.link.is_some() || load.rack.is_some()) && self.next_reading.load(Relaxed) <= at {
            self.next_reading.store(at + every.as_millis() as u64, Relaxed);
            (out.link, out.rack) = (load.link, load.rack);
        }
        if let Some(share) = load.share {
            let short = share < WHOLE;
            let ended = !short && self.short.swap(short, Relaxed);
            if ended || (short && self.next_short.load(Relaxed) <= at) {
                self.next_short.store(at + short_every.as_millis() as u64, Relaxed);
                self.short.store(short, Relaxed);
                out.share = Some(share.min(1.0));
            }
        }
        (out != Load::default()).then_some(out)
    }
}
