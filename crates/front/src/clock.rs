//! The front's one clock.

use std::time::{Duration, Instant};

/// Monotonic time since a point a day before the start, so that servers' starts before this front's own can
/// be told.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// What the clock says at the start.
const AT_START: Duration = Duration::from_secs(86_400);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Duration {
        AT_START + self.start.elapsed()
    }

    /// That time as the runtime knows it.
    pub(crate) fn instant(&self, at: Duration) -> tokio::time::Instant {
        (self.start + at.saturating_sub(AT_START)).into()
    }
}
