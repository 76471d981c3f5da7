//! Viewers: connections, messages, set-ups, and sessions that are handed over.

use super::*;
use std::collections::VecDeque;

/// Reason for the end of a viewer's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ViewerCloseReason {
    /// The viewer has closed the connection, or it broke.
    Closed,
    /// The connection had to make room for another one.
    Evicted,
    /// The process is about to end.
    Stopping,
    /// Too many bytes wait to be written.
    ReadsTooSlowly,
    /// Invalid data was received, and the command to close after the error response could not be queued.
    Unusable,
}

impl EventLoop {
    pub(super) fn viewer_connected(&mut self, conn: ConnId, handle: ViewerHandle) {
        if self.viewer_conns.len() >= self.limits.max_conns {
            // Messages received so far determine which connections are idle.
            self.receive_from_viewers();
            match self.registry.eviction_candidate(self.clock.now()) {
                Some(candidate) => self.close_viewer(candidate, ViewerCloseReason::Evicted),
                // Dropping the handle closes the new connection.
                None => {
                    return tracing::info!(conn = conn.0, "connection rejected: all others have open set-ups")
                }
            }
        }
        self.viewer_conns.insert(conn, handle);
        self.registry.connection_opened(conn, self.clock.now());
        self.receive_from(conn);
    }

    /// Handles everything received from viewers so far. Each step begins with this function, so that nothing
    /// is decided for a viewer that has left.
    pub(super) fn receive_from_viewers(&mut self) {
        for _ in 0..self.ready_rx.len() {
            let Ok(conn) = self.ready_rx.try_recv() else { return };
            self.receive_from(conn);
        }
    }

    /// Handles everything received on a connection.
    pub(super) fn receive_from(&mut self, conn: ConnId) {
        // If the connection is not known yet, its items are handled by `viewer_connected`.
        let Some(handle) = self.viewer_conns.get(&conn) else { return };
        let (mut items, read_closed) = handle.conn.take_received();
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

    /// Returns the viewer's side of a pending set-up, for [`PendingSetup`](crate::messages::PendingSetup).
    pub(super) fn setup_waiter(&self, sid: &SessionId) -> Option<SetupWaiter> {
        let handle = self.viewer_conns.get(&self.registry.connection_of_pending_setup(sid)?)?;
        Some(SetupWaiter { conn: handle.conn.clone(), sid: sid.clone() })
    }

    /// Closes the connection of a set-up that was not sent if the viewer has left.
    pub(super) fn close_if_viewer_left(&mut self, link: LinkId, attempt: AttemptId) {
        self.receive_from_viewers();
        if let Some(sid) = self.links.session_of_setup(link, attempt).cloned() {
            self.close_if_closed_by_viewer(&sid);
        }
    }

    /// Closes the connection of a pending set-up if the viewer has closed it, even if unread bytes precede
    /// the close.
    pub(super) fn close_if_closed_by_viewer(&mut self, sid: &SessionId) {
        let Some(conn) = self.registry.connection_of_pending_setup(sid) else { return };
        if self.viewer_conns.get(&conn).is_some_and(|handle| handle.conn.has_closed()) {
            self.close_viewer(conn, ViewerCloseReason::Closed);
        }
    }

    /// Drops a viewer's connection and abandons its open set-ups.
    pub(super) fn close_viewer(&mut self, conn: ConnId, reason: ViewerCloseReason) {
        let mut all_written = true;
        if let Some(handle) = self.viewer_conns.remove(&conn) {
            all_written = handle.conn.is_all_written();
            tracing::info!(conn = conn.0, end = ?reason, all_written, "viewer's connection ended");
        }
        for (viewer, sid) in self.registry.connection_closed(conn) {
            self.inputs.push(Input::Disconnected { viewer, sid });
        }
        self.resend_releases(conn, reason, all_written);
    }

    /// Queues bytes for a viewer. Returns false if they will not be delivered.
    pub(super) fn write(&mut self, conn: ConnId, bytes: Bytes) -> bool {
        let Some(handle) = self.viewer_conns.get(&conn) else { return false };
        let queued = handle.write(bytes);
        if !queued {
            self.close_viewer(conn, ViewerCloseReason::ReadsTooSlowly);
        }
        queued
    }

    /// Closes a connection after invalid data. Its open set-ups fail, as later messages can no longer be
    /// attributed.
    pub(super) fn close_after_error(&mut self, conn: ConnId) {
        for (viewer, sid) in self.registry.begin_close(conn) {
            self.write(conn, viewer::failure_response(&sid));
            self.inputs.push(Input::Disconnected { viewer, sid });
        }
        if self.viewer_conns.get(&conn).is_some_and(|handle| !handle.close()) {
            self.close_viewer(conn, ViewerCloseReason::Unusable);
        }
    }

    /// Handles a message.
    ///
    /// # Errors
    /// The message is invalid; the value says which request an error response refers to.
    pub(super) fn handle_message(&mut self, conn: ConnId, message: Message) -> Result<(), ReplyTarget> {
        self.registry.message_received(conn);
        tracing::debug!(conn = conn.0, ?message, "message received");
        if let (StartLine::Response { .. }, Some(sid)) = (&message.start_line, message.header("Session")) {
            self.unacknowledged.acknowledge(sid);
            self.registry.acknowledge_release(sid);
        }
        match viewer::parse(message, &self.site) {
            Ok(ViewerRequest::Setup(setup)) => return self.handle_setup(conn, *setup),
            Ok(ViewerRequest::Teardown { sid, cseq }) => {
                self.write(conn, viewer::ok_response(&cseq, Some(&sid)));
                match self.registry.teardown(&sid) {
                    TeardownOutcome::PendingSetup(viewer) => {
                        self.inputs.push(Input::Disconnected { viewer, sid })
                    }
                    TeardownOutcome::Established => {
                        self.inputs.push(session_ended_input(sid, EndReason::Quit, Load::default()))
                    }
                    TeardownOutcome::Unknown => return Ok(()),
                }
                self.viewer_requested(conn);
            }
            Ok(ViewerRequest::Ping { cseq, sid }) => {
                // The first ping starts the period in which sessions are handed over.
                if self.handover_until == Duration::MAX {
                    self.handover_until = self.clock.now() + HANDOVER_PERIOD;
                }
                self.write(conn, viewer::ok_response(&cseq, sid.as_deref()));
            }
            Ok(ViewerRequest::NoAction) => {}
            Err(unusable) => {
                tracing::info!(conn = conn.0, error = %unusable, "invalid message from a viewer");
                return Err(unusable.reply_to);
            }
        }
        Ok(())
    }

    fn handle_setup(&mut self, conn: ConnId, setup: viewer::Setup) -> Result<(), ReplyTarget> {
        let viewer::Setup { sid, playing_at, mut arrival } = setup;
        let reply_to = || ReplyTarget { cseq: Some("1".into()), session: Some(sid.to_string()) };
        if let Some(name) = playing_at {
            if self.clock.now() > self.handover_until {
                // Sessions are handed over only shortly after the start; a session handed over later would be
                // established at no server.
                return Err(reply_to());
            }
            self.adopt_session(conn, &sid, &name, arrival);
            self.send_waiting_releases(conn);
            return Ok(());
        }
        if self.registry.contains(&sid) {
            // The session is pending or established already; the request that owns it is not affected.
            return Err(reply_to());
        }
        self.viewer_requested(conn);
        if self.registry.is_closing(conn) {
            // The viewer does not read: the connection accepted no more releases.
            return Ok(());
        }
        let full = self.registry.pending_setups() >= self.limits.max_open_setups
            || self.registry.pending_setups_on(conn) >= self.limits.max_open_setups_per_conn;
        let stopping = self.is_shutdown_due(|schedule| schedule.refuse_after);
        if full || stopping {
            tracing::info!(session = %sid, conn = conn.0, full, stopping, "set-up refused at once");
            let refusal = viewer::refusal_response(&sid, self.site.settings.limits.max_retry_after);
            self.write(conn, refusal);
            return Ok(());
        }
        self.last_viewer_id += 1;
        arrival.viewer = ViewerId(self.last_viewer_id);
        self.registry.insert_setup(&sid, conn, arrival.viewer);
        self.inputs.push(Input::Arrived(arrival));
        Ok(())
    }

    /// Registers a session that a previous incarnation set up at the server of this name.
    pub(super) fn adopt_session(
        &mut self,
        conn: ConnId,
        sid: &SessionId,
        name: &str,
        arrival: cloverhollow_session::Arrival<SetupRequest>,
    ) {
        if self.registry.contains(sid) {
            return;
        }
        let Some(server) = self.directory.server_id(name) else {
            // The session is lost; its viewer requests a new one.
            tracing::info!(session = %sid, server = name, "session handed over at a server that is not listed");
            return self.send_release(Release { conn, sid: sid.clone(), cause: cause::RESET });
        };
        let now = self.clock.now();
        self.registry.adopt(sid, conn, server, now);
        self.links.session_established(server);
        self.inputs.push(Input::Adopted { arrival, server });
        if let Some(address) = self.core.server_list().address(server) {
            self.apply_early_release(sid, server, address);
        }
    }
}
