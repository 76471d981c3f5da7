//! Connections of viewers: which are there, which is to go where there are too many.

use super::*;

/// A connection that has said nothing for so long since it came up is a silent one.
const SPEAKS: Duration = Duration::from_millis(250);

impl SessionRegistry {
    /// A connection came up.
    pub fn connection_opened(&mut self, conn: ConnId, now: Duration) {
        self.conns.insert(conn, Conn { since: now, ..Conn::default() });
    }

    /// A connection is gone: the set-ups open on it are given up.
    pub fn connection_closed(&mut self, conn: ConnId) -> Vec<(ViewerId, SessionId)> {
        let given_up = self.begin_close(conn);
        self.conns.remove(&conn);
        given_up
    }

    /// Open connections.
    pub fn connection_count(&self) -> usize {
        self.conns.len()
    }

    /// Set-ups open on a connection.
    pub fn pending_setups_on(&self, conn: ConnId) -> usize {
        self.conns.get(&conn).map_or(0, |c| c.open.len())
    }

    /// A whole message came on it.
    pub fn message_received(&mut self, conn: ConnId) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.spoke = true;
        }
    }

    /// A usual viewer's connection: gives the releases that waited for one.
    pub fn mark_session_carrier(&mut self, conn: ConnId) -> Vec<Release> {
        let Some(c) = self.conns.get_mut(&conn) else { return Vec::new() };
        c.usual = true;
        self.owed.drain(..).map(|(sid, cause)| Release { conn, sid, cause }).collect()
    }

    /// It is being closed: the set-ups open on it are given up.
    pub fn begin_close(&mut self, conn: ConnId) -> Vec<(ViewerId, SessionId)> {
        let Some(c) = self.conns.get_mut(&conn) else { return Vec::new() };
        c.closing = true;
        let open = std::mem::take(&mut c.open);
        open.into_iter().filter_map(|sid| Some((self.give_up(&sid)?, sid))).collect()
    }

    /// Which connection to close where there are too many: one that is closing, else the oldest that never said
    /// anything though it had time to, else the oldest unusual and then usual one that is idle; never one with a
    /// set-up open. Guards new connections against going, before their first message can come, for the next ones.
    pub fn eviction_candidate(&self, now: Duration) -> Option<ConnId> {
        let idle = |c: &Conn| c.open.is_empty() && (c.spoke || c.since + SPEAKS <= now);
        let first = |of: &dyn Fn(&Conn) -> bool| self.conns.iter().find(|(_, c)| of(c)).map(|(id, _)| *id);
        first(&|c| c.closing)
            .or_else(|| first(&|c| idle(c) && !c.spoke))
            .or_else(|| first(&|c| idle(c) && !c.usual))
            .or_else(|| first(&idle))
            // A crowd that came in one moment: the one that had the most time.
            .or_else(|| first(&|c| c.open.is_empty()))
    }

    /// Whether a connection is being closed.
    pub fn is_closing(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_none_or(|c| c.closing)
    }

    /// The connection of a set-up whose answer is owed.
    pub fn connection_of_pending_setup(&self, sid: &str) -> Option<ConnId> {
        self.sessions.get(sid).filter(|s| matches!(s.state, State::Asked(_))).map(|s| s.conn)
    }
}
