//! Limits the number of log lines that one place in the code writes, so that clients can fill neither a disk nor the
//! time of the process with log lines.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Period over which the lines of one call site are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of lines of one call site within [`WINDOW`].
const MAX_LINES_PER_WINDOW: u64 = 2_000;

/// Lines of one call site in its current window.
#[derive(Debug)]
struct Window {
    began_at: Instant,
    lines: u64,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// The line is written, after a note on the `suppressed` lines of its call site in the window before, if any.
    Write {
        /// Number of lines that were not written.
        suppressed: u64,
    },
    /// The call site has written its share.
    Suppress,
}

/// Lines of each call site, which `C` identifies.
#[derive(Debug)]
pub(super) struct RateLimit<C> {
    windows: HashMap<C, Window>,
}

impl<C: Eq + Hash> RateLimit<C> {
    pub(super) fn new() -> Self {
        RateLimit { windows: HashMap::new() }
    }

    /// Counts a line and decides whether it is written.
    pub(super) fn admit(&mut self, call_site: C, now: Instant) -> Admission {
        let window = self.windows.entry(call_site).or_insert(Window { began_at: now, lines: 0 });
        let mut suppressed = 0;
        if now.saturating_duration_since(window.began_at) >= WINDOW {
            suppressed = window.lines.saturating_sub(MAX_LINES_PER_WINDOW);
            *window = Window { began_at: now, lines: 0 };
        }
        window.lines += 1;
        if window.lines > MAX_LINES_PER_WINDOW {
            return Admission::Suppress;
        }
        Admission::Write { suppressed }
    }
}

#[cfg(test)]
mod tests;
