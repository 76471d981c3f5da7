//! Lines that wait for a connection to one video server.

use bytes::Bytes;
use cloverhollow_platform::lines::{Line, Verb};
use std::collections::VecDeque;

/// Maximum number of queued releases, which equals the maximum number of sessions; above it the oldest is
/// dropped.
pub(super) const MAX_RELEASES: usize = 16_384;
/// Maximum number of other queued lines. These are bit-rate changes, and losing one only leaves a
/// session at its old rung.
const MAX_OTHER_LINES: usize = 256;

/// Queue of encoded lines for one video server.
#[derive(Debug, Default)]
pub(super) struct QueuedLines {
    releases: VecDeque<Bytes>,
    other_lines: VecDeque<Bytes>,
}

impl QueuedLines {
    pub(super) fn push(&mut self, line: &Line) {
        let (lines, max) = match line.verb {
            Verb::Finish => (&mut self.releases, MAX_RELEASES),
            _ => (&mut self.other_lines, MAX_OTHER_LINES),
        };
        if lines.len() >= max {
            lines.pop_front();
        }
        lines.push_back(line.encode());
    }

    /// Returns all lines, with bit-rate changes first, so that none follows the release of its session.
    pub(super) fn bytes(&self) -> Bytes {
        self.other_lines.iter().chain(&self.releases).flat_map(|l| l.iter().copied()).collect()
    }
}
