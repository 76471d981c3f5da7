//! Viewers: connections, messages, set-ups, sessions handed over.

use super::*;
use std::collections::VecDeque;

/// Why a viewer's connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ViewerEnd {
    /// Its viewer has closed it, or it broke.
    Closed,
    /// Its place was wanted.
    Evicted,
    /// The process is about to end.
    Stopping,
    /// Too much waits to be written to it.
    ReadsTooSlowly,
    /// What came on it can't be used, and it can't be told to close behind the answer.
    Unusable,
}

impl Desk {
    pub(super) fn opened(&mut self, conn: ConnId, hold: ViewerHold) {
        if self.conns.len() >= self.bounds.conns {
            // What came meanwhile tells which are idle.
            self.hear();
            match self.standing.eviction_candidate(self.clock.now()) {
                Some(spare) => self.close_now(spare, ViewerEnd::Evicted),
                // Dropping the hold turns the new one away.
                None => {
                    return tracing::info!(conn = conn.0, "turned away: each connection has a set-up open")
                }
            }
        }
        self.conns.insert(conn, hold);
        self.standing.connection_opened(conn, self.clock.now());
        self.take_from(conn);
    }

    /// Takes all that has come from viewers by now. A step begins with it: nothing is decided for one who has left.
    pub(super) fn hear(&mut self) {
        for _ in 0..self.rung.len() {
            let Ok(conn) = self.rung.try_recv() else { return };
            self.take_from(conn);
        }
    }

    /// Takes what has come on a connection.
    pub(super) fn take_from(&mut self, conn: ConnId) {
        // One that is not known yet is taken in when it is.
        let Some(hold) = self.conns.get(&conn) else { return };
        let (mut came, ended) = hold.viewer.take();
        while let Some(next) = came.pop_front().filter(|_| !self.standing.is_closing(conn)) {
            let refused = match next {
                Came::Message(message) => self.message(conn, message).map_err(|to| (400, to)),
                Came::Unreadable(status, to) => Err((status, to)),
            };
            if let Err((status, to)) = refused {
                self.write(conn, viewer::error_response(status, &to));
                self.turn_away(conn, came);
                self.close_conn(conn);
                break;
            }
        }
        if ended {
            self.close_now(conn, ViewerEnd::Closed);
        }
    }

    /// The set-ups that came whole behind what can't be used get their refusal: nothing more is begun for them.
    fn turn_away(&mut self, conn: ConnId, came: VecDeque<Came>) {
        for came in came {
            let Came::Message(message) = came else { return };
            if let Ok(ViewerRequest::Setup(setup)) = viewer::parse(message, &self.site) {
                if setup.playing_at.is_none() && !self.standing.contains(&setup.sid) {
                    tracing::info!(session = %setup.sid, conn = conn.0, "refused: its connection is being closed");
                    self.write(
                        conn,
                        viewer::refusal_response(&setup.sid, self.site.settings.limits.max_retry_after),
                    );
                }
            }
        }
    }

    /// Who waits for that set-up, for its gate.
    pub(super) fn waits(&self, sid: &SessionId) -> Option<Waits> {
        let hold = self.conns.get(&self.standing.connection_of_pending_setup(sid)?)?;
        Some(Waits { viewer: hold.viewer.clone(), sid: sid.clone() })
    }

    /// A set-up was not sent: its viewer may have left.
    pub(super) fn left(&mut self, link: LinkId, attempt: AttemptId) {
        self.hear();
        if let Some(sid) = self.links.open_on(link, attempt).cloned() {
            self.look_for(&sid);
        }
    }

    /// Looks whether the viewer of a set-up has closed its connection unheard of, its close hidden behind what was not
    /// read yet.
    pub(super) fn look_for(&mut self, sid: &SessionId) {
        let Some(conn) = self.standing.connection_of_pending_setup(sid) else { return };
        if self.conns.get(&conn).is_some_and(|hold| hold.viewer.has_closed()) {
            self.close_now(conn, ViewerEnd::Closed);
        }
    }

    /// Lets go of a viewer's connection: the set-ups open on it are given up.
    pub(super) fn close_now(&mut self, conn: ConnId, end: ViewerEnd) {
        if self.conns.remove(&conn).is_some() {
            tracing::info!(conn = conn.0, ?end, "a viewer's connection ended");
        }
        for (viewer, sid) in self.standing.connection_closed(conn) {
            self.inputs.push(Input::Disconnected { viewer, sid });
        }
        self.tell_again(conn, end);
    }

    /// Queues bytes for a viewer; `false`: they never reach it.
    pub(super) fn write(&mut self, conn: ConnId, bytes: Bytes) -> bool {
        let Some(hold) = self.conns.get(&conn) else { return false };
        let queued = hold.write(bytes);
        if !queued {
            self.close_now(conn, ViewerEnd::ReadsTooSlowly);
        }
        queued
    }

    /// Closes a connection whose stream can't be trusted. What is open on it fails: nobody can tell any more whose
    /// it is.
    pub(super) fn close_conn(&mut self, conn: ConnId) {
        for (viewer, sid) in self.standing.begin_close(conn) {
            self.write(conn, viewer::failure_response(&sid));
            self.inputs.push(Input::Disconnected { viewer, sid });
        }
        if self.conns.get(&conn).is_some_and(|hold| !hold.close()) {
            self.close_now(conn, ViewerEnd::Unusable);
        }
    }

    /// Does what a message asks for.
    ///
    /// # Errors
    /// It can't be used: whom that is told.
    pub(super) fn message(&mut self, conn: ConnId, message: Message) -> Result<(), ReplyTarget> {
        self.standing.message_received(conn);
        tracing::debug!(conn = conn.0, ?message, "asked");
        if let (StartLine::Response { .. }, Some(sid)) = (&message.start_line, message.header("Session")) {
            self.unproven.acknowledge(sid);
        }
        match viewer::parse(message, &self.site) {
            Ok(ViewerRequest::Setup(setup)) => return self.setup(conn, *setup),
            Ok(ViewerRequest::Teardown { sid, cseq }) => {
                self.write(conn, viewer::ok_response(&cseq, Some(&sid)));
                match self.standing.teardown(&sid) {
                    TeardownOutcome::PendingSetup(viewer) => {
                        self.inputs.push(Input::Disconnected { viewer, sid })
                    }
                    TeardownOutcome::Established => {
                        self.inputs.push(over(sid, EndReason::Quit, Load::default()))
                    }
                    TeardownOutcome::Unknown => {}
                }
            }
            Ok(ViewerRequest::Ping { cseq, sid }) => {
                // The first test passed begins the time in which sessions are handed over.
                if self.handed_over == Duration::MAX {
                    self.handed_over = self.clock.now() + HANDED_OVER;
                }
                self.write(conn, viewer::ok_response(&cseq, sid.as_deref()));
            }
            Ok(ViewerRequest::NoAction) => {}
            Err(unusable) => {
                tracing::info!(conn = conn.0, error = %unusable, "a message that can't be used");
                return Err(unusable.reply_to);
            }
        }
        Ok(())
    }

    fn setup(&mut self, conn: ConnId, setup: viewer::Setup) -> Result<(), ReplyTarget> {
        let viewer::Setup { sid, playing_at: at, mut arrival } = setup;
        let to = || ReplyTarget { cseq: Some("1".into()), session: Some(sid.to_string()) };
        if let Some(name) = at {
            if self.clock.now() > self.handed_over {
                // Later than right after the start nobody hands sessions over: it would be one of no server.
                return Err(to());
            }
            self.adopt(conn, &sid, &name, arrival);
            self.usual(conn);
            return Ok(());
        }
        if self.standing.contains(&sid) {
            // It is open or stands already: on another connection the request that has it stays untouched.
            return Err(to());
        }
        let full = self.standing.pending_setups() >= self.bounds.open
            || self.standing.pending_setups_on(conn) >= self.bounds.open_on_one;
        let stopping = self.stopping(|stop| stop.refuse);
        if full || stopping {
            tracing::info!(session = %sid, conn = conn.0, full, stopping, "refused at once");
            let refusal = viewer::refusal_response(&sid, self.site.settings.limits.max_retry_after);
            self.write(conn, refusal);
            return Ok(());
        }
        self.next_viewer += 1;
        arrival.viewer = ViewerId(self.next_viewer);
        self.standing.insert_setup(&sid, conn, arrival.viewer);
        self.inputs.push(Input::Arrived(arrival));
        Ok(())
    }

    pub(super) fn adopt(
        &mut self,
        conn: ConnId,
        sid: &SessionId,
        name: &str,
        arrival: cloverhollow_session::Arrival<SetupRequest>,
    ) {
        if self.standing.contains(sid) {
            return;
        }
        let Some(server) = self.directory.server_id(name) else {
            // What stood there is cut: its viewer comes again.
            tracing::info!(session = %sid, server = name, "handed over at a server that is not listed");
            return self.release(Release { conn, sid: sid.clone(), cause: cause::RESET });
        };
        let now = self.clock.now();
        self.standing.adopt(sid, conn, server, now);
        self.links.stands(server);
        self.inputs.push(Input::Adopted { arrival, server });
        if let Some(address) = self.core.server_list().address(server) {
            self.ended_early(sid, server, address);
        }
    }
}
