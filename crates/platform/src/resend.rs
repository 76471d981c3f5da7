//! Releases that were written to viewers lately: those whose connection breaks before they can have been read are told again.

use crate::session_registry::{ConnId, Release};
use std::collections::VecDeque;
use std::time::Duration;

/// What was written so long before its connection ended was read: a round trip, and a packet that is sent again.
pub const ASSUMED_READ_AFTER: Duration = Duration::from_secs(1);
/// Most that are kept; past them the oldest goes.
pub const MAX_RELEASES: usize = 4_096;

/// Those of which it is not proven that their viewers have read them.
#[derive(Debug, Default)]
pub struct UnacknowledgedReleases {
    written: VecDeque<(Duration, Release)>,
}

impl UnacknowledgedReleases {
    /// One is being written.
    pub fn record(&mut self, now: Duration, release: Release) {
        while self.written.front().is_some_and(|(at, _)| *at + ASSUMED_READ_AFTER < now)
            || self.written.len() >= MAX_RELEASES
        {
            self.written.pop_front();
        }
        self.written.push_back((now, release));
    }

    /// Its viewer has said that it was heard.
    pub fn acknowledge(&mut self, sid: &str) {
        self.written.retain(|(_, release)| *release.sid != *sid);
    }

    /// That connection has ended: what may have been lost with it.
    pub fn take_lost(&mut self, now: Duration, conn: ConnId) -> Vec<Release> {
        let (lost, kept) = self.written.drain(..).partition(|(_, release)| release.conn == conn);
        self.written = kept;
        let lost: VecDeque<(Duration, Release)> = lost;
        lost.into_iter()
            .filter(|(at, _)| *at + ASSUMED_READ_AFTER >= now)
            .map(|(_, release)| release)
            .collect()
    }
}
