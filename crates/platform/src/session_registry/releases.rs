//! Releases sent to viewers: the connection on which each is written.

use super::*;

/// Age from which a connection without a request is no test's. A test closes its connection after the response, and would
/// take a release for it.
const TEST_DURATION: Duration = Duration::from_secs(1);

impl Conn {
    /// What shows that the connection is a viewer's; `None` if nothing does, or if nothing more is written on it.
    fn evidence(&self, now: Duration) -> Option<ViewerEvidence> {
        if self.closing {
            None
        } else if self.carried_session {
            Some(ViewerEvidence::Session)
        } else if self.requested {
            Some(ViewerEvidence::Request)
        } else if self.message_received && self.opened_at + TEST_DURATION <= now {
            Some(ViewerEvidence::Message)
        } else {
            None
        }
    }
}

impl SessionRegistry {
    /// Removes an established session that has ended. Returns the release to write now, if its viewer is to get one and
    /// a connection is available.
    pub fn end_session(&mut self, now: Duration, sid: &SessionId) -> Option<Release> {
        let State::Established(server) = self.sessions.get(sid)?.state else { return None };
        let session = self.sessions.remove(sid)?;
        if let Some(sids) = self.by_server.get_mut(&server) {
            sids.remove(sid);
            if sids.is_empty() {
                self.by_server.remove(&server);
            }
        }
        if let Some(c) = self.conns.get_mut(&session.conn) {
            c.established_count -= 1;
        }
        let cause = session.release_cause?;
        let own = Some(session.conn).filter(|c| self.conns.get(c).is_some_and(|c| !c.closing));
        match own {
            Some(conn) => Some(Release { conn, sid: sid.clone(), cause }),
            None => self.route_release(now, sid, cause),
        }
    }

    /// Assigns a release to a connection other than its own. Returns the release to write now. Unless the connection has
    /// carried sessions the release also waits, to be offered again on a better one.
    pub fn route_release(&mut self, now: Duration, sid: &SessionId, cause: i64) -> Option<Release> {
        let best = self.best_connection(now);
        if let Some((conn, ViewerEvidence::Session)) = best {
            self.waiting_releases.remove(sid);
            return Some(Release { conn, sid: sid.clone(), cause });
        }
        self.waiting_releases.insert(sid, cause);
        let (connections, waiting) = (self.conns.len(), self.waiting_releases.len());
        tracing::info!(session = %sid, cause, connections, waiting, ?best, "release waits for a connection");
        let (conn, evidence) = best?;
        self.waiting_releases.offer_one(sid, conn, evidence)
    }

    /// The connection whose peer most likely is a viewer. Of equal ones one with a session or an open set-up comes first,
    /// as the viewer may close the others at any moment, then the newest.
    fn best_connection(&self, now: Duration) -> Option<(ConnId, ViewerEvidence)> {
        let candidates = self.conns.iter().filter_map(|(id, c)| {
            let evidence = c.evidence(now)?;
            let in_use = if c.carried_session { c.established_count > 0 } else { !c.pending.is_empty() };
            Some((evidence, in_use, *id))
        });
        candidates.max().map(|(evidence, _, id)| (id, evidence))
    }

    /// Records that a viewer's request has arrived on a connection. Returns whether it is the first one there.
    pub fn mark_viewer(&mut self, conn: ConnId) -> bool {
        self.conns.get_mut(&conn).is_some_and(|c| !std::mem::replace(&mut c.requested, true))
    }

    /// Marks a connection as one that has carried a session, and returns the releases that waited for such a connection.
    pub fn mark_session_carrier(&mut self, conn: ConnId) -> Vec<Release> {
        let Some(c) = self.conns.get_mut(&conn) else { return Vec::new() };
        c.carried_session = true;
        self.waiting_releases.take_all(conn)
    }

    /// Offers the waiting releases on the connection whose peer most likely is a viewer. Returns those to write now.
    pub fn offer_waiting_releases(&mut self, now: Duration) -> Vec<Release> {
        if self.waiting_releases.is_empty() {
            return Vec::new();
        }
        match self.best_connection(now) {
            Some((conn, ViewerEvidence::Session)) => self.waiting_releases.take_all(conn),
            Some((conn, evidence)) => self.waiting_releases.offer(conn, evidence),
            None => Vec::new(),
        }
    }

    /// Drops the waiting release of a session whose viewer has acknowledged it.
    pub fn acknowledge_release(&mut self, sid: &str) {
        self.waiting_releases.remove(sid);
    }

    /// Number of releases that wait for a connection that has carried a session.
    pub fn pending_releases(&self) -> usize {
        self.waiting_releases.len()
    }
}
