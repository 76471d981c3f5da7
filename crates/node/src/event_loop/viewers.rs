//! Viewers: connections, messages, set-ups, and sessions that are handed over.

use super::*;

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
    /// Returns the viewer's side of a pending set-up, for [`PendingSetup`](crate::messages::PendingSetup).
    pub(super) fn setup_waiter(&self, sid: &SessionId) -> Option<SetupWaiter> {
        let handle = self.viewer_conns.get(&self.registry.connection_of_pending_setup(sid)?)?;
        Some(SetupWaiter { conn: handle.conn.clone(), sid: sid.clone() })
    }

    /// Abandons a set-up that was not sent if its viewer has left: its connection is closed, or a TEARDOWN of the
    /// set-up has been received, which need not have been handled yet.
    pub(super) fn abandon_if_viewer_left(&mut self, link: LinkId, attempt: AttemptId) {
        self.receive_from_viewers();
        let Some(sid) = self.links.session_of_setup(link, attempt).cloned() else { return };
        self.close_if_closed_by_viewer(&sid);
        if self.setup_waiter(&sid).is_some_and(|waiter| waiter.has_abandoned()) {
            if let TeardownOutcome::PendingSetup(viewer) = self.registry.teardown(&sid) {
                self.inputs.push(Input::Disconnected { viewer, sid });
            }
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
        if self.viewer_conns.get(&conn).is_some_and(|handle| handle.conn.has_received_end(&sid)) {
            // The viewer has left, or has taken the set-up back; then the TEARDOWN that follows gets the response.
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
