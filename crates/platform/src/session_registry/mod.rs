//! Who waits for a session or has one, on which connection, and the releases that are owed to viewers.
//!
//! A session that stands belongs to no connection: its release goes on the connection of its set-up, else on any
//! open one that usual viewers use, else on the next. One that only ever carried a test is none of those: whoever
//! tests closes it at once, and what is written on it then is lost.

mod connections;
mod releases;

use crate::lines::cause;
use cloverhollow::ServerId;
use cloverhollow_session::{SessionId, ViewerId};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// A connection of viewers; the shell never uses a number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Most releases that wait for a connection; past them the oldest is dropped, and its viewer finds out itself.
pub const MAX_PENDING_RELEASES: usize = 65_536;

#[derive(Debug)]
enum State {
    /// Its answer is owed.
    Asked(ViewerId),
    /// It stands there.
    Stands(ServerId),
}

#[derive(Debug)]
struct Session {
    conn: ConnId,
    state: State,
    /// The cause that its viewer is to be told, once it is over; `None`: it is owed no release.
    cause: Option<i64>,
    /// Its server may still hold it.
    held: bool,
    /// When it came to stand.
    since: Duration,
}

#[derive(Debug, Default)]
struct Conn {
    /// Set-ups whose answer is owed.
    open: BTreeSet<SessionId>,
    /// A usual viewer's: a session has stood on it.
    usual: bool,
    /// Sessions that were set up on it and stand.
    standing: usize,
    /// Anything whole was ever read on it.
    spoke: bool,
    /// When it came up.
    since: Duration,
    /// It is being closed: nothing is written on it any more.
    closing: bool,
}

/// A release to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// Where.
    pub conn: ConnId,
    /// Of which session.
    pub sid: SessionId,
    /// For which cause.
    pub cause: i64,
}

/// What a viewer's TEARDOWN was about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TeardownOutcome {
    /// A set-up that is given up.
    PendingSetup(ViewerId),
    /// A session that stood.
    Established,
    /// Nothing that is known.
    Unknown,
}

/// All of it.
#[derive(Debug, Default)]
pub struct SessionRegistry {
    sessions: HashMap<SessionId, Session>,
    asked: HashMap<ViewerId, SessionId>,
    conns: BTreeMap<ConnId, Conn>,
    by_server: HashMap<ServerId, BTreeSet<SessionId>>,
    owed: VecDeque<(SessionId, i64)>,
}

impl SessionRegistry {
    /// Set-ups whose answer is owed.
    pub fn pending_setups(&self) -> usize {
        self.asked.len()
    }

    /// Releases that wait for a connection.
    pub fn pending_releases(&self) -> usize {
        self.owed.len()
    }

    /// Whether that id is in use.
    pub fn contains(&self, sid: &str) -> bool {
        self.sessions.contains_key(sid)
    }

    /// A set-up is taken.
    pub fn insert_setup(&mut self, sid: &SessionId, conn: ConnId, viewer: ViewerId) {
        let session =
            Session { conn, state: State::Asked(viewer), cause: None, held: false, since: Duration::ZERO };
        self.sessions.insert(sid.clone(), session);
        self.asked.insert(viewer, sid.clone());
        if let Some(c) = self.conns.get_mut(&conn) {
            c.open.insert(sid.clone());
        }
    }

    /// The final answer goes out: where, and for which session. `stands`: where it plays, and since when.
    pub fn complete_setup(
        &mut self,
        viewer: ViewerId,
        stands: Option<(ServerId, Duration)>,
    ) -> Option<(ConnId, SessionId)> {
        let sid = self.asked.remove(&viewer)?;
        let s = self.sessions.get_mut(&sid)?;
        let conn = s.conn;
        if let Some(c) = self.conns.get_mut(&conn) {
            c.open.remove(&sid);
        }
        match stands {
            Some((server, since)) => {
                s.since = since;
                (s.state, s.cause, s.held) = (State::Stands(server), Some(cause::RESET), true);
                self.stands(conn, server, &sid);
            }
            None => {
                self.sessions.remove(&sid);
            }
        }
        Some((conn, sid))
    }

    /// A session stands already, handed over at a start.
    pub fn adopt(&mut self, sid: &SessionId, conn: ConnId, server: ServerId, since: Duration) {
        let (state, cause) = (State::Stands(server), Some(cause::RESET));
        self.sessions.insert(sid.clone(), Session { conn, state, cause, held: true, since });
        self.stands(conn, server, sid);
    }

    fn stands(&mut self, conn: ConnId, server: ServerId, sid: &SessionId) {
        self.by_server.entry(server).or_default().insert(sid.clone());
        if let Some(c) = self.conns.get_mut(&conn) {
            c.standing += 1;
        }
    }

    fn give_up(&mut self, sid: &SessionId) -> Option<ViewerId> {
        let State::Asked(viewer) = self.sessions.get(sid)?.state else { return None };
        self.sessions.remove(sid);
        self.asked.remove(&viewer);
        Some(viewer)
    }

    /// A viewer's TEARDOWN: it is owed nothing any more.
    pub fn teardown(&mut self, sid: &SessionId) -> TeardownOutcome {
        let conn = self.sessions.get(sid).map(|s| s.conn);
        if let Some(viewer) = self.give_up(sid) {
            if let Some(c) = conn.and_then(|conn| self.conns.get_mut(&conn)) {
                c.open.remove(sid);
            }
            return TeardownOutcome::PendingSetup(viewer);
        }
        match self.sessions.get_mut(sid) {
            Some(s) => {
                s.cause = None;
                TeardownOutcome::Established
            }
            None => TeardownOutcome::Unknown,
        }
    }

    /// A server's release of a session that stands there; whether it does.
    pub fn record_release(&mut self, server: ServerId, sid: &str, cause: i64) -> bool {
        if !self.is_established_at(server, sid) {
            return false;
        }
        let Some(s) = self.sessions.get_mut(sid) else { return false };
        s.held = false;
        s.cause = s.cause.map(|_| cause).filter(|c| *c != cause::CANCELLED);
        true
    }

    /// Sessions that stand at a server since before that time.
    pub fn established_before(&self, server: ServerId, before: Duration) -> Vec<SessionId> {
        let older = |sid: &&SessionId| self.sessions.get(*sid).is_some_and(|s| s.since < before);
        self.by_server.get(&server).into_iter().flatten().filter(older).cloned().collect()
    }

    /// Whether any does.
    pub fn has_sessions_at(&self, server: ServerId) -> bool {
        self.by_server.contains_key(&server)
    }

    /// The server at which that session stands.
    pub fn server_of(&self, sid: &str) -> Option<ServerId> {
        match self.sessions.get(sid)?.state {
            State::Stands(server) => Some(server),
            State::Asked(_) => None,
        }
    }

    /// Whether that session stands at that server.
    pub fn is_established_at(&self, server: ServerId, sid: &str) -> bool {
        self.server_of(sid) == Some(server)
    }

    /// Whether its server may still hold a session that stands.
    pub fn may_be_held_by_server(&self, sid: &str) -> bool {
        self.sessions.get(sid).is_some_and(|s| s.held && matches!(s.state, State::Stands(_)))
    }
}
