//! Releases sent to viewers: the connection on which each is written.

use super::*;

impl SessionRegistry {
    /// Removes an established session that has ended. Returns the release to write now, if its viewer is to get one and
    /// a connection is available.
    pub fn end_session(&mut self, sid: &SessionId) -> Option<Release> {
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
            None => self.route_release(sid, cause),
        }
    }

    /// Assigns a release to a connection other than its own. Without a suitable one the release waits, and `None` is
    /// returned.
    pub fn route_release(&mut self, sid: &SessionId, cause: i64) -> Option<Release> {
        let carriers = || self.conns.iter().rev().filter(|(_, c)| c.carried_session && !c.closing);
        // Prefer one with a session: the viewer may close a connection without one at any moment.
        let best = || {
            carriers().find(|(_, c)| c.established_count > 0).or_else(|| carriers().next()).map(|(id, _)| *id)
        };
        match best() {
            Some(conn) => Some(Release { conn, sid: sid.clone(), cause }),
            None => {
                let (connections, waiting) = (self.conns.len(), self.pending_releases.len() + 1);
                tracing::info!(session = %sid, cause, connections, waiting, "release waits for a connection");
                self.pending_releases.push_back((sid.clone(), cause));
                if self.pending_releases.len() > MAX_PENDING_RELEASES {
                    self.pending_releases.pop_front();
                }
                None
            }
        }
    }
}
