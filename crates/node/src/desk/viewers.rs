//! Viewers: connections, messages, set-ups, sessions handed over.

use super::*;

impl Desk {
    pub(super) fn opened(&mut self, conn: ConnId, hold: Hold) {
        if self.conns.len() >= self.bounds.conns {
            match self.standing.spare(self.clock.now()) {
                Some(spare) => self.closed(spare),
                None => return, // each has a set-up open: dropping the hold turns the new one away
            }
        }
        self.conns.insert(conn, hold);
        self.standing.opened(conn, self.clock.now());
    }

    pub(super) fn closed(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
        for (viewer, sid) in self.standing.closed(conn) {
            self.inputs.push(Input::HungUp { viewer, sid });
        }
    }

    pub(super) fn write(&mut self, conn: ConnId, bytes: Bytes) {
        if self.conns.get(&conn).is_some_and(|hold| !hold.write(bytes)) {
            tracing::info!(conn = conn.0, "a viewer reads too slowly");
            self.closed(conn);
        }
    }

    pub(super) fn unreadable(&mut self, conn: ConnId, status: u16, to: &Addressee) {
        self.write(conn, viewer::error(status, to));
        self.close_conn(conn);
    }

    /// Closes a connection whose stream can't be trusted. What is open on it fails: nobody can tell any more whose
    /// it is.
    pub(super) fn close_conn(&mut self, conn: ConnId) {
        for (viewer, sid) in self.standing.closing(conn) {
            self.write(conn, viewer::failure(&sid));
            self.inputs.push(Input::HungUp { viewer, sid });
        }
        if self.conns.get(&conn).is_some_and(|hold| !hold.close()) {
            self.closed(conn);
        }
    }

    pub(super) fn release(&mut self, release: Release) {
        let Release { conn, sid, cause } = release;
        tracing::debug!(session = %sid, conn = conn.0, cause, "released");
        self.write(conn, viewer::release(&sid, cause));
    }

    pub(super) fn message(&mut self, conn: ConnId, message: Message) {
        if !self.conns.contains_key(&conn) {
            return;
        }
        self.standing.spoke(conn);
        tracing::debug!(conn = conn.0, ?message, "asked");
        match viewer::read(message, &self.site) {
            Ok(Wish::Setup(setup)) => self.setup(conn, *setup),
            Ok(Wish::Teardown { sid, cseq }) => {
                self.write(conn, viewer::heard(&cseq, Some(&sid)));
                match self.standing.left(&sid) {
                    Left::Asked(viewer) => self.inputs.push(Input::HungUp { viewer, sid }),
                    Left::Stood => self.inputs.push(over(sid, OverWhy::Quit, Load::default())),
                    Left::Unknown => {}
                }
            }
            Ok(Wish::Test { cseq, sid }) => {
                // The first test passed begins the time in which sessions are handed over.
                if self.handed_over == Duration::MAX {
                    self.handed_over = self.clock.now() + HANDED_OVER;
                }
                self.write(conn, viewer::heard(&cseq, sid.as_deref()));
            }
            Ok(Wish::Nothing) => {}
            Err(unusable) => {
                tracing::debug!(conn = conn.0, error = %unusable, "a message that can't be used");
                self.unreadable(conn, 400, &unusable.to);
            }
        }
    }

    pub(super) fn usual(&mut self, conn: ConnId) {
        for release in self.standing.usual(conn) {
            self.release(release);
        }
    }

    pub(super) fn setup(&mut self, conn: ConnId, setup: viewer::Setup) {
        let viewer::Setup { sid, at, mut arrival } = setup;
        if let Some(name) = at {
            if self.clock.now() > self.handed_over {
                // Later than right after the start nobody hands sessions over: it would be one of no server.
                let to = Addressee { cseq: Some("1".into()), session: Some(sid.to_string()) };
                return self.unreadable(conn, 400, &to);
            }
            self.adopt(conn, &sid, &name, arrival);
            return self.usual(conn);
        }
        if self.standing.knows(&sid) {
            // It is open or stands already: the request that has it stays untouched.
            let to = Addressee { cseq: Some("1".into()), session: Some(sid.to_string()) };
            return self.unreadable(conn, 400, &to);
        }
        let full = self.standing.open() >= self.bounds.open
            || self.standing.open_on(conn) >= self.bounds.open_on_one;
        if full {
            let refusal = viewer::refusal(&sid, self.site.settings.limits.hold_off);
            return self.write(conn, refusal);
        }
        self.next_viewer += 1;
        arrival.viewer = ViewerId(self.next_viewer);
        self.standing.ask(&sid, conn, arrival.viewer);
        self.inputs.push(Input::Arrived(arrival));
    }

    pub(super) fn adopt(
        &mut self,
        conn: ConnId,
        sid: &Sid,
        name: &str,
        arrival: cloverhollow_session::Arrival<Ask>,
    ) {
        if self.standing.knows(sid) {
            return;
        }
        let Some(server) = self.directory.server(name) else {
            // What stood there is cut: its viewer comes again.
            tracing::info!(session = %sid, server = name, "handed over at a server that is not listed");
            return self.release(Release { conn, sid: sid.clone(), cause: cause::RESET });
        };
        let now = self.clock.now();
        self.standing.adopt(sid, conn, server, now);
        self.links.stands(server);
        self.inputs.push(Input::Adopted { arrival, server });
    }
}
