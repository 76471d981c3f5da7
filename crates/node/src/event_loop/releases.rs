//! Releases sent to viewers.

use super::viewers::ViewerCloseReason;
use super::*;

impl EventLoop {
    /// Sends a release on the connection it is meant for, or else on any other.
    pub(super) fn send_release(&mut self, release: Release) {
        let mut next = Some(release);
        // Each iteration beyond the first has closed a connection that accepted no more bytes, so the loop
        // ends.
        while let Some(Release { conn, sid, cause }) = next {
            tracing::info!(session = %sid, conn = conn.0, cause, "sending a release to a viewer");
            if self.write(conn, viewer::release_request(&sid, cause)) {
                self.unacknowledged.record(self.clock.now(), Release { conn, sid, cause });
                return;
            }
            next = self.registry.route_release(self.clock.now(), &sid, cause);
        }
    }

    /// Marks a connection as one that carries sessions, and sends the releases that waited for such a
    /// connection.
    pub(super) fn send_waiting_releases(&mut self, conn: ConnId) {
        for release in self.registry.mark_session_carrier(conn) {
            self.send_release(release);
        }
    }

    /// Sends releases again on another connection if the viewer may not have read them before its connection
    /// ended. An evicted connection still writes what is queued, but its viewer may not read. At the end of the
    /// process there is no other connection.
    pub(super) fn resend_releases(&mut self, conn: ConnId, reason: ViewerCloseReason, all_written: bool) {
        let lost = self.unacknowledged.take_lost(self.clock.now(), conn, all_written);
        let may_be_unread = match reason {
            ViewerCloseReason::Closed | ViewerCloseReason::ReadsTooSlowly => true,
            ViewerCloseReason::Evicted | ViewerCloseReason::Unusable => !all_written,
            ViewerCloseReason::Stopping => false,
        };
        if !may_be_unread {
            return;
        }
        for Release { sid, cause, .. } in lost {
            if let Some(release) = self.registry.route_release(self.clock.now(), &sid, cause) {
                self.send_release(release);
            }
        }
    }

    /// Sends the waiting releases that a connection can be expected to deliver now.
    pub(super) fn offer_waiting_releases(&mut self) {
        for release in self.registry.offer_waiting_releases(self.clock.now()) {
            self.send_release(release);
        }
    }

    /// Records that a request of a viewer has arrived on a connection, which is then used for waiting releases.
    pub(super) fn viewer_requested(&mut self, conn: ConnId) {
        if self.registry.mark_viewer(conn) {
            self.offer_waiting_releases();
        }
    }
}
