//! Messages received from viewers: in which order, and how many between two steps of the session core.
//!
//! Connections take turns, so that one that always has messages does not keep the others waiting, and the number of
//! messages between two steps is limited, so that neither responses of video servers nor timers have to wait for them.
//! What has not been handled yet is known all the same where it matters: a set-up whose viewer has left is not sent
//! ([`SetupWaiter`]), and no connection is closed as idle while messages of it wait.

use super::viewers::ViewerCloseReason;
use super::*;
use std::collections::VecDeque;

/// Maximum number of messages from viewers that are handled between two steps.
pub(super) const MAX_MESSAGES_PER_STEP: usize = 64;
/// Maximum number of messages of one connection that are handled before the next connection has its turn.
const MAX_MESSAGES_PER_TURN: usize = 4;

impl EventLoop {
    /// Adds a connection that was accepted; another one is closed for it if there are too many.
    pub(super) fn viewer_connected(&mut self, conn: ConnId, handle: ViewerHandle) {
        if self.viewer_conns.len() >= self.limits.max_conns && !self.evict_viewer() {
            // Dropping the handle closes the new connection.
            return tracing::info!(conn = conn.0, "connection rejected: all others have open set-ups");
        }
        self.viewer_conns.insert(conn, handle);
        self.registry.connection_opened(conn, self.clock.now());
        self.receive_turn(conn);
    }

    /// Closes an idle connection. Returns false if there is none.
    fn evict_viewer(&mut self) -> bool {
        loop {
            let Some(candidate) = self.registry.eviction_candidate(self.clock.now()) else { return false };
            if !self.viewer_conns.get(&candidate).is_some_and(|handle| handle.conn.has_received()) {
                self.close_viewer(candidate, ViewerCloseReason::Evicted);
                return true;
            }
            // What it has received determines whether it is idle.
            self.receive_all(candidate);
        }
    }

    /// Handles what has been received from viewers, within the limit for one step. Each step begins with this
    /// function, so that nothing is decided for a viewer that has left.
    pub(super) fn receive_from_viewers(&mut self) {
        while self.message_budget > 0 {
            let Ok(conn) = self.ready_rx.try_recv() else { return };
            self.receive_turn(conn);
        }
    }

    /// Handles everything that has been received from viewers.
    pub(super) fn receive_all_from_viewers(&mut self) {
        let conns: Vec<ConnId> = self.viewer_conns.keys().copied().collect();
        conns.into_iter().for_each(|conn| self.receive_all(conn));
    }

    /// Gives a connection its turn.
    pub(super) fn receive_turn(&mut self, conn: ConnId) {
        // If the connection is not known yet, its items are handled by `viewer_connected`.
        let Some(handle) = self.viewer_conns.get(&conn) else { return };
        let batch = handle.conn.take_batch(MAX_MESSAGES_PER_TURN);
        self.message_budget = self.message_budget.saturating_sub(batch.items.len().max(1));
        self.handle_batch(conn, batch);
    }

    /// Handles everything that has been received on a connection.
    fn receive_all(&mut self, conn: ConnId) {
        let Some(handle) = self.viewer_conns.get(&conn) else { return };
        let batch = handle.conn.take_received();
        self.handle_batch(conn, batch);
    }

    fn handle_batch(&mut self, conn: ConnId, batch: ReceivedBatch) {
        let ReceivedBatch { mut items, mut read_closed } = batch;
        while let Some(item) = items.pop_front().filter(|_| !self.registry.is_closing(conn)) {
            let result = match item {
                Received::Message(message) => {
                    self.handle_message(conn, message).map_err(|reply_to| (400, reply_to))
                }
                Received::Invalid(status, reply_to) => Err((status, reply_to)),
            };
            if let Err((status, reply_to)) = result {
                self.write(conn, viewer::error_response(status, &reply_to));
                self.refuse_remaining(conn, items);
                if let Some(handle) = self.viewer_conns.get(&conn) {
                    let rest = handle.conn.take_received();
                    read_closed |= rest.read_closed;
                    self.refuse_remaining(conn, rest.items);
                }
                self.close_after_error(conn);
                break;
            }
        }
        if read_closed {
            self.close_viewer(conn, ViewerCloseReason::Closed);
        }
    }

    /// Refuses the set-ups that were received completely after invalid data; none of them is started.
    fn refuse_remaining(&mut self, conn: ConnId, items: VecDeque<Received>) {
        for item in items {
            let Received::Message(message) = item else { return };
            if let Ok(ViewerRequest::Setup(setup)) = viewer::parse(message, &self.site) {
                if setup.playing_at.is_none() && !self.registry.contains(&setup.sid) {
                    tracing::info!(session = %setup.sid, conn = conn.0, "set-up refused: its connection is closing");
                    self.write(
                        conn,
                        viewer::refusal_response(&setup.sid, self.site.settings.limits.max_retry_after),
                    );
                }
            }
        }
    }
}
