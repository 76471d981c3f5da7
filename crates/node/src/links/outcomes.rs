//! Ends of set-ups and connections. From the end of a connection follows whether its set-up may have been
//! executed.

use super::*;

impl Links {
    /// Ends the set-up that is open on the connection, which becomes idle. Returns the set-up.
    pub(crate) fn finish_setup(&mut self, id: LinkId) -> Option<AttemptId> {
        let (attempt, _) = self.take_open_setup(id)?;
        self.mark_idle(id);
        Some(attempt)
    }

    fn mark_idle(&mut self, id: LinkId) {
        let Some(link) = self.links.get(&id) else { return };
        if link.is_replaced {
            return self.close(id, CloseReason::ProcessReplaced);
        }
        self.monitor.link_idle(self.clock.now(), link.server, id);
    }

    fn take_open_setup(&mut self, id: LinkId) -> Option<(AttemptId, SessionId)> {
        let link = self.links.get_mut(&id)?;
        let (attempt, sid) = link.open_setup.take()?;
        self.open_setups.remove(&attempt);
        Some((attempt, sid))
    }

    /// Handles a set-up that was not sent on the connection and never will be. It may have been cancelled in
    /// the meantime; then it has ended already, and the connection may carry another one.
    pub(crate) fn setup_not_sent(&mut self, id: LinkId, attempt: AttemptId) -> EndedSetup {
        let open = self.open_setups.get(&attempt) == Some(&id);
        open.then(|| self.finish_setup(id)).flatten().map(|attempt| (attempt, AttemptEnd::NeverSent))
    }

    /// Handles the end of a connection. `unread` are the releases that its server may not have read.
    pub(crate) fn link_down(&mut self, id: LinkId, reason: LinkEndReason, unread: Vec<Line>) -> EndedSetup {
        let setup = self.take_open_setup(id);
        let link = self.links.remove(&id)?;
        let session = setup.as_ref().map(|(_, sid)| &**sid);
        let (server, address, unread_count) = (link.server, link.address, unread.len());
        tracing::info!(
            link = id.0,
            server,
            %address,
            down = ?reason,
            session,
            owed_lines = unread_count,
            "connection to a video server ended"
        );
        self.monitor.link_down(self.clock.now(), link.server, id, reason);
        unread.into_iter().for_each(|line| self.resend_line(&link, line));
        let (attempt, sid) = setup?;
        let end = match reason {
            LinkEndReason::Refused | LinkEndReason::ConnectTimeout => AttemptEnd::NotConnected,
            LinkEndReason::LocalError => AttemptEnd::NeverSent,
            // The idle connection broke before the first byte of the set-up was written, and now none will
            // be.
            LinkEndReason::Disconnected | LinkEndReason::Corrupt if link.send_decision.try_cancel() => {
                AttemptEnd::NeverSent
            }
            LinkEndReason::Disconnected => AttemptEnd::Reset,
            LinkEndReason::Corrupt => {
                // The corrupt line may have been the answer, so the session may be established.
                self.resend_line(&link, Line::finish(&sid, cause::DONE));
                AttemptEnd::Reset
            }
        };
        Some((attempt, end))
    }

    /// Abandons the open set-up, whose answer is unusable, and releases its session at the server.
    pub(crate) fn reject_answer(&mut self, id: LinkId) -> EndedSetup {
        let (attempt, sid) = self.take_open_setup(id)?;
        self.abandon_setup(id, &sid);
        Some((attempt, AttemptEnd::Reset))
    }

    /// Cancels a set-up. A set-up that was already sent continues if the reason is that its server drains.
    pub(crate) fn cancel_setup(&mut self, attempt: AttemptId, reason: CancelReason) -> EndedSetup {
        let id = self.open_setups.get(&attempt).copied()?;
        let link = self.links.get(&id)?;
        let (unsent, is_up) = (link.send_decision.try_cancel(), link.is_up);
        if !unsent && reason == CancelReason::Drained {
            return None;
        }
        let (attempt, sid) = self.take_open_setup(id)?;
        match (unsent, is_up) {
            // Nothing was written, so the connection can be used again.
            (true, true) => self.mark_idle(id),
            (true, false) => drop(self.link_down(id, LinkEndReason::Disconnected, Vec::new())),
            (false, _) => self.abandon_setup(id, &sid),
        }
        Some((attempt, if unsent { AttemptEnd::NeverSent } else { AttemptEnd::Unanswered }))
    }

    /// Releases the session of a sent set-up at its server and closes the connection.
    fn abandon_setup(&mut self, id: LinkId, sid: &SessionId) {
        let Some(link) = self.links.get(&id) else { return };
        let (server, is_replaced, line) = (link.server, link.is_replaced, Line::finish(sid, cause::DONE));
        let queued = link.handle.write_last(line.encode());
        self.close(id, CloseReason::SetupCancelled);
        if !queued && !is_replaced {
            self.send_line(server, line); // the connection has just ended, but its session may be established
        }
    }

    /// Closes a connection after the queued bytes. A connection that has just ended is removed by its
    /// [`LoopEvent::LinkDown`].
    pub(super) fn close(&mut self, id: LinkId, reason: CloseReason) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.is_closing = true;
        tracing::info!(link = id.0, server = link.server, ?reason, "closing a connection to a video server");
        self.monitor.link_closing(link.server, id);
        if !link.handle.close(reason.linger()) && !link.handle.command_tx.is_closed() {
            self.links.remove(&id);
        }
    }
}
