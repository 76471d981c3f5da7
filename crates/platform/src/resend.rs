//! Releases that were written to viewers recently. Those whose connection ends before the viewer can have read them
//! are sent again on another connection.

use crate::session_registry::{ConnId, Release};
use std::collections::VecDeque;
use std::time::Duration;

/// Time after which a release that the system has accepted counts as read: a round trip and one retransmission.
pub const ASSUMED_READ_AFTER: Duration = Duration::from_secs(1);
/// Time after which a connection is closed if the viewer accepts none of the bytes written to it. A release may wait as
/// long before the system accepts it.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a release is remembered.
const RETENTION: Duration = ASSUMED_READ_AFTER.saturating_add(WRITE_TIMEOUT);
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
        while self.written.front().is_some_and(|(at, _)| *at + RETENTION < now)
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
    /// have read. `all_accepted` is false if bytes were left that the system had not accepted.
    pub fn take_lost(&mut self, now: Duration, conn: ConnId, all_accepted: bool) -> Vec<Release> {
        let unread_for = if all_accepted { ASSUMED_READ_AFTER } else { RETENTION };
        let (lost, remaining) = self.written.drain(..).partition(|(_, release)| release.conn == conn);
        self.written = remaining;
        let lost: VecDeque<(Duration, Release)> = lost;
        lost.into_iter().filter(|(at, _)| *at + unread_for >= now).map(|(_, release)| release).collect()
    }
}
