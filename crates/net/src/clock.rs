//! The monotonic clock of a process.

use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Monotonic clock whose zero lies one day before the process start, so that earlier events, such as the
/// start of a video server, also have a time on it.
///
/// The clock keeps running while the machine is suspended (`CLOCK_BOOTTIME`), because deadlines and leases
/// expire during a suspend too.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

/// Reading of the clock at the process start.
const START_OFFSET: Duration = Duration::from_secs(86_400);

/// Time since the machine booted, suspends included.
pub fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.clamp(0, 999_999_999) as u32)
}

/// Current Unix time in milliseconds; 0 if the wall clock is before 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Clock {
    /// Creates a clock whose process start is now.
    pub fn start() -> Self {
        Clock { start: time_since_boot() }
    }

    /// Current reading of the clock.
    pub fn now(&self) -> Duration {
        START_OFFSET + time_since_boot().saturating_sub(self.start)
    }

    /// Converts a reading of this clock to Tokio's time, for timers. Tokio's clock stops during a suspend, so
    /// a timer may then fire late by the length of the suspend; the caller must check this clock again.
    pub fn instant(&self, time: Duration) -> tokio::time::Instant {
        tokio::time::Instant::now() + time.saturating_sub(self.now())
    }
}
