//! Releases towards viewers.

use super::viewers::ViewerEnd;
use super::*;

impl Desk {
    /// Writes a release on the connection that it is meant for, else on any other.
    pub(super) fn release(&mut self, release: Release) {
        let mut next = Some(release);
        // One that can't be written any more ends there; each time that costs a connection.
        while let Some(Release { conn, sid, cause }) = next {
            tracing::info!(session = %sid, conn = conn.0, cause, "released towards its viewer");
            if self.write(conn, viewer::release_request(&sid, cause)) {
                self.unproven.record(self.clock.now(), Release { conn, sid, cause });
                return;
            }
            next = self.standing.route_release(&sid, cause);
        }
    }

    /// A usual viewer's connection is there: what waited for one is written.
    pub(super) fn usual(&mut self, conn: ConnId) {
        for release in self.standing.mark_session_carrier(conn) {
            self.release(release);
        }
    }

    /// A connection ended: releases that its viewer may not have read go on another. What is closed here is written first.
    pub(super) fn tell_again(&mut self, conn: ConnId, end: ViewerEnd) {
        let lost = self.unproven.take_lost(self.clock.now(), conn);
        if !matches!(end, ViewerEnd::Closed | ViewerEnd::ReadsTooSlowly) {
            return;
        }
        for Release { sid, cause, .. } in lost {
            if let Some(release) = self.standing.route_release(&sid, cause) {
                self.release(release);
            }
        }
    }
}
