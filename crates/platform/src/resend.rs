//! Releases that were written to viewers recently. Those whose connection ends before the viewer can have read them
//! are sent again on another connection.

use crate::session_registry::{ConnId, Release};
use std::collections::VecDeque;
use std::time::Duration;

/// Time after which a written release counts as read: a round trip and one retransmission.
pub const ASSUMED_READ_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of releases that are remembered; beyond it the oldest is dropped.
pub const MAX_RELEASES: usize = 4_096;

/// Releases that were written and that their viewers may not have read, in the order of writing.
#[derive(Debug, Default)]
pub struct UnacknowledgedReleases {
    written: VecDeque<(Duration, Release)>,
}

impl UnacknowledgedReleases {
    /// Records a release that is being written at `now`.
    pub fn record(&mut self, now: Duration, release: Release) {
        while self.written.front().is_some_and(|(at, _)| *at + ASSUMED_READ_AFTER < now)
            || self.written.len() >= MAX_RELEASES
        {
            self.written.pop_front();
        }
        self.written.push_back((now, release));
    }

    /// Drops the release of a session whose viewer has acknowledged it.
    pub fn acknowledge(&mut self, sid: &str) {
        self.written.retain(|(_, release)| *release.sid != *sid);
    }

    /// Removes the releases that were written on a connection that has ended, and returns those that the viewer may not
    /// have read.
    pub fn take_lost(&mut self, now: Duration, conn: ConnId) -> Vec<Release> {
        let (lost, remaining) = self.written.drain(..).partition(|(_, release)| release.conn == conn);
        self.written = remaining;
        let lost: VecDeque<(Duration, Release)> = lost;
        lost.into_iter()
            .filter(|(at, _)| *at + ASSUMED_READ_AFTER >= now)
            .map(|(_, release)| release)
            .collect()
    }
}
