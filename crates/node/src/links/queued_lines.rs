//! Lines that wait for a connection to one video server.

use bytes::Bytes;
use cloverhollow_platform::lines::{Line, Verb};
use std::collections::VecDeque;

/// Most releases that wait: as many as sessions are held. Past them the oldest is dropped.
pub(super) const MOST_RELEASES: usize = 16_384;
/// Most other lines that wait: new rungs, whose loss costs a session's rung and nothing that is owed.
const MOST_OTHERS: usize = 256;

/// See the module's page.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    releases: VecDeque<Bytes>,
    others: VecDeque<Bytes>,
}

impl Waiting {
    pub(super) fn push(&mut self, line: &Line) {
        let (lines, most) = match line.verb {
            Verb::Finish => (&mut self.releases, MOST_RELEASES),
            _ => (&mut self.others, MOST_OTHERS),
        };
        if lines.len() >= most {
            lines.pop_front();
        }
        lines.push_back(line.encode());
    }

    /// All of them, in the order in which they make sense: a session's rung before its release.
    pub(super) fn bytes(&self) -> Bytes {
        self.others.iter().chain(&self.releases).flat_map(|l| l.iter().copied()).collect()
    }
}
