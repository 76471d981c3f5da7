//! The front's one clock.

use cloverhollow_recovery::{Boot, Stamp};
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

fn boottime() -> Duration {
    let t = clock_gettime(ClockId::Boottime);
    Duration::new(t.tv_sec.max(0) as u64, t.tv_nsec.clamp(0, 999_999_999) as u32)
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { start: boottime() }
    }

    /// The time.
    pub fn now(&self) -> Duration {
        AT_START + boottime().saturating_sub(self.start)
    }

    /// That time as the runtime knows it. After a suspend a wait is as much too long; whoever waits by it
    /// looks at the clock again.
    pub(crate) fn instant(&self, at: Duration) -> tokio::time::Instant {
        tokio::time::Instant::now() + at.saturating_sub(self.now())
    }
}

/// The instant as later lives can read it.
pub(crate) fn stamp() -> Stamp {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Stamp { boot_ms: boottime().as_millis() as u64, wall_ms: wall.as_millis() as u64 }
}

/// This boot of the machine; where it cannot be told, one that no other start will take for its own.
pub(crate) fn boot() -> Boot {
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let digits: String = text.chars().filter(char::is_ascii_hexdigit).collect();
    Boot(u128::from_str_radix(&digits, 16).unwrap_or_else(|_| fastrand::u128(1..)))
}
