//! Connections of viewers, and which one to close when there are too many.

use super::*;

/// Time after which a connection on which no message has arrived counts as silent.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);

impl SessionRegistry {
    /// Adds a connection that was accepted at `now`.
    pub fn connection_opened(&mut self, conn: ConnId, now: Duration) {
        self.conns.insert(conn, Conn { opened_at: now, ..Conn::default() });
    }

    /// Removes a connection. Its pending set-ups are abandoned and returned.
    pub fn connection_closed(&mut self, conn: ConnId) -> Vec<(ViewerId, SessionId)> {
        let abandoned = self.begin_close(conn);
        self.conns.remove(&conn);
        self.waiting_releases.withdraw(conn);
        abandoned
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.conns.len()
    }

    /// Number of set-ups on a connection that have not been answered.
    pub fn pending_setups_on(&self, conn: ConnId) -> usize {
        self.conns.get(&conn).map_or(0, |c| c.pending.len())
    }

    /// Records that a complete message has arrived on a connection.
    pub fn message_received(&mut self, conn: ConnId) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.message_received = true;
        }
    }

    /// Marks a connection as being closed. Its pending set-ups are abandoned and returned.
    pub fn begin_close(&mut self, conn: ConnId) -> Vec<(ViewerId, SessionId)> {
        let Some(c) = self.conns.get_mut(&conn) else { return Vec::new() };
        c.closing = true;
        let pending = std::mem::take(&mut c.pending);
        pending.into_iter().filter_map(|sid| Some((self.abandon_setup(&sid)?, sid))).collect()
    }

    /// The connection to close when there are too many; `None` if each has a pending set-up.
    ///
    /// Preferred in this order: one that is closing already; the oldest silent one; the oldest idle one that never
    /// carried a session; the oldest idle one. A connection that has not yet had time for its first message is not
    /// evicted for a later one, unless there is no other choice.
    pub fn eviction_candidate(&self, now: Duration) -> Option<ConnId> {
        let idle = |c: &Conn| {
            c.pending.is_empty() && (c.message_received || c.opened_at + FIRST_MESSAGE_TIMEOUT <= now)
        };
        let first =
            |matches: &dyn Fn(&Conn) -> bool| self.conns.iter().find(|(_, c)| matches(c)).map(|(id, _)| *id);
        first(&|c| c.closing)
            .or_else(|| first(&|c| idle(c) && !c.message_received))
            .or_else(|| first(&|c| idle(c) && !c.carried_session))
            .or_else(|| first(&idle))
            // All were opened within the time-out: the oldest has had the most time.
            .or_else(|| first(&|c| c.pending.is_empty()))
    }

    /// Returns whether a connection is being closed or is gone.
    pub fn is_closing(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_none_or(|c| c.closing)
    }

    /// The connection of a set-up that has not been answered; `None` if the session has no pending set-up.
    pub fn connection_of_pending_setup(&self, sid: &str) -> Option<ConnId> {
        self.sessions.get(sid).filter(|s| matches!(s.state, State::Pending(_))).map(|s| s.conn)
    }
}
