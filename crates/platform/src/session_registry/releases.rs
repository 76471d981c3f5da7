//! Releases towards viewers: where each goes.

use super::*;

impl SessionRegistry {
    /// A session that stood is over: the release to be written now, where one is owed and a connection is open.
    pub fn end_session(&mut self, sid: &SessionId) -> Option<Release> {
        let State::Stands(server) = self.sessions.get(sid)?.state else { return None };
        let s = self.sessions.remove(sid)?;
        if let Some(at) = self.by_server.get_mut(&server) {
            at.remove(sid);
            if at.is_empty() {
                self.by_server.remove(&server);
            }
        }
        if let Some(c) = self.conns.get_mut(&s.conn) {
            c.standing -= 1;
        }
        let cause = s.cause?;
        let own = Some(s.conn).filter(|c| self.conns.get(c).is_some_and(|c| !c.closing));
        match own {
            Some(conn) => Some(Release { conn, sid: sid.clone(), cause }),
            None => self.route_release(sid, cause),
        }
    }

    /// Where a release goes that can't go on its own connection; it waits if there is none.
    pub fn route_release(&mut self, sid: &SessionId, cause: i64) -> Option<Release> {
        let usual = || self.conns.iter().rev().filter(|(_, c)| c.usual && !c.closing);
        // One without a session may be closed by its viewer in the same instant.
        let any = || usual().find(|(_, c)| c.standing > 0).or_else(|| usual().next()).map(|(id, _)| *id);
        match any() {
            Some(conn) => Some(Release { conn, sid: sid.clone(), cause }),
            None => {
                self.owed.push_back((sid.clone(), cause));
                if self.owed.len() > MAX_PENDING_RELEASES {
                    self.owed.pop_front();
                }
                None
            }
        }
    }
}
