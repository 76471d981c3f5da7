//! The one clock of a process.

use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since a point a day before the start, so that servers' starts before this front's own can be told.
///
/// It goes on while the machine is suspended (`CLOCK_BOOTTIME`): a viewer's time and a rule's span pass
/// meanwhile too.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

/// What the clock says at the start.
const AT_START: Duration = Duration::from_secs(86_400);

/// Time since the machine started.
pub fn time_since_boot() -> Duration {
    let t = clock_gettime(ClockId::Boottime);
    Duration::new(t.tv_sec.max(0) as u64, t.tv_nsec.clamp(0, 999_999_999) as u32)
}

/// The Unix time, ms.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { start: time_since_boot() }
    }

    /// The time.
    pub fn now(&self) -> Duration {
        AT_START + time_since_boot().saturating_sub(self.start)
    }

    /// That time as the runtime knows it. After a suspend a wait is as much too long; whoever waits by it
    /// looks at the clock again.
    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        tokio::time::Instant::now() + at.saturating_sub(self.now())
    }
}
