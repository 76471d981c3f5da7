//! Sessions of viewers: pending set-ups, established sessions, their connections, and the releases to send.
//!
//! An established session is not tied to a connection. Its release is written on the connection of its set-up if that
//! is still open, else on any open connection that has carried a session. Without either it waits for such a connection,
//! and meanwhile is offered on one that most likely is a viewer's: one with a request, else one that has stayed open after
//! another message. A new connection that only carried a ping (OPTIONS) is not used: a test closes it right after the
//! response.

mod connections;
mod processes;
mod releases;
mod waiting_releases;

use crate::lines::cause;
use crate::link_monitor::ProcessId;
use cloverhollow::ServerId;
use cloverhollow_session::{SessionId, ViewerId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use waiting_releases::{ViewerEvidence, WaitingReleases};

/// Id of a viewer's connection. The event loop never reuses one, and ids grow in the order of opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Maximum number of releases that wait for a connection. Beyond it the oldest is dropped; its viewer then notices the
/// end of the session only by the missing stream.
pub const MAX_PENDING_RELEASES: usize = 65_536;

#[derive(Debug)]
enum State {
    /// The set-up of this viewer has not been answered.
    Pending(ViewerId),
    /// The session plays at this server.
    Established(ServerId),
}

#[derive(Debug)]
struct Session {
    conn: ConnId,
    state: State,
    /// Cause of the release to send to the viewer once the session has ended; `None` if it gets none.
    release_cause: Option<i64>,
    /// True if the server may still hold the session.
    held_by_server: bool,
    /// Time at which the session was established.
    established_at: Duration,
    /// Process that has confirmed the session or spoken of it since; `None` if none has.
    process: Option<ProcessId>,
}

#[derive(Debug, Default)]
struct Conn {
    /// Sessions whose set-up has not been answered.
    pending: BTreeSet<SessionId>,
    /// True once a session has been established on the connection.
    carried_session: bool,
    /// Number of established sessions that were set up on the connection.
    established_count: usize,
    /// True once a complete message has arrived.
    message_received: bool,
    /// True once a set-up, or the end of a session or set-up of this session manager, has arrived.
    requested: bool,
    opened_at: Duration,
    /// True once the connection is being closed; nothing more is written on it.
    closing: bool,
}

/// A release to write to a viewer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// Connection to write it on.
    pub conn: ConnId,
    /// Session that is released.
    pub sid: SessionId,
    /// Numeric cause on the wire, one of [`crate::lines::cause`].
    pub cause: i64,
}

/// Effect of a viewer's TEARDOWN request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TeardownOutcome {
    /// The pending set-up of this viewer is abandoned.
    PendingSetup(ViewerId),
    /// The session was established; it is to be ended.
    Established,
    /// The session is unknown.
    Unknown,
}

/// All pending set-ups, established sessions, viewer connections and releases that wait for a connection.
#[derive(Debug, Default)]
pub struct SessionRegistry {
    sessions: HashMap<SessionId, Session>,
    /// Session of each pending set-up, by its viewer.
    pending: HashMap<ViewerId, SessionId>,
    conns: BTreeMap<ConnId, Conn>,
    /// Established sessions at each server that has any.
    by_server: HashMap<ServerId, BTreeSet<SessionId>>,
    /// Releases that wait for a connection that has carried a session.
    waiting_releases: WaitingReleases,
}

impl SessionRegistry {
    /// Number of set-ups that have not been answered.
    pub fn pending_setups(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the session id is in use, by a pending set-up or an established session.
    pub fn contains(&self, sid: &str) -> bool {
        self.sessions.contains_key(sid)
    }

    /// Adds a set-up that has been accepted for processing.
    pub fn insert_setup(&mut self, sid: &SessionId, conn: ConnId, viewer: ViewerId) {
        let session = Session {
            conn,
            state: State::Pending(viewer),
            release_cause: None,
            held_by_server: false,
            established_at: Duration::ZERO,
            process: None,
        };
        self.sessions.insert(sid.clone(), session);
        self.pending.insert(viewer, sid.clone());
        if let Some(c) = self.conns.get_mut(&conn) {
            c.pending.insert(sid.clone());
        }
    }

    /// Completes a pending set-up and returns where its final response goes. `established` is the server at which the
    /// session plays and the time since when; `None` if the set-up has failed.
    pub fn complete_setup(
        &mut self,
        viewer: ViewerId,
        established: Option<(ServerId, Duration)>,
    ) -> Option<(ConnId, SessionId)> {
        let sid = self.pending.remove(&viewer)?;
        let session = self.sessions.get_mut(&sid)?;
        let conn = session.conn;
        if let Some(c) = self.conns.get_mut(&conn) {
            c.pending.remove(&sid);
        }
        match established {
            Some((server, since)) => {
                session.established_at = since;
                (session.state, session.release_cause, session.held_by_server) =
                    (State::Established(server), Some(cause::RESET), true);
                self.index_established(conn, server, &sid);
            }
            None => {
                self.sessions.remove(&sid);
            }
        }
        Some((conn, sid))
    }

    /// Adds a session that an earlier incarnation set up and that is handed over after a start.
    pub fn adopt(&mut self, sid: &SessionId, conn: ConnId, server: ServerId, since: Duration) {
        let (state, release_cause) = (State::Established(server), Some(cause::RESET));
        self.sessions.insert(
            sid.clone(),
            Session {
                conn,
                state,
                release_cause,
                held_by_server: true,
                established_at: since,
                process: None,
            },
        );
        self.index_established(conn, server, sid);
    }

    fn index_established(&mut self, conn: ConnId, server: ServerId, sid: &SessionId) {
        self.by_server.entry(server).or_default().insert(sid.clone());
        if let Some(c) = self.conns.get_mut(&conn) {
            c.established_count += 1;
        }
    }

    fn abandon_setup(&mut self, sid: &SessionId) -> Option<ViewerId> {
        let State::Pending(viewer) = self.sessions.get(sid)?.state else { return None };
        self.sessions.remove(sid);
        self.pending.remove(&viewer);
        Some(viewer)
    }

    /// Handles a viewer's TEARDOWN. Afterwards the viewer gets neither a response to the set-up nor a release.
    pub fn teardown(&mut self, sid: &SessionId) -> TeardownOutcome {
        let conn = self.sessions.get(sid).map(|s| s.conn);
        if let Some(viewer) = self.abandon_setup(sid) {
            if let Some(c) = conn.and_then(|conn| self.conns.get_mut(&conn)) {
                c.pending.remove(sid);
            }
            return TeardownOutcome::PendingSetup(viewer);
        }
        match self.sessions.get_mut(sid) {
            Some(session) => {
                session.release_cause = None;
                TeardownOutcome::Established
            }
            None => TeardownOutcome::Unknown,
        }
    }

    /// Records a server's release of a session. Returns false, and changes nothing, if the session is not established at
    /// that server. After [`cause::CANCELLED`] the viewer gets no release.
    pub fn record_release(&mut self, server: ServerId, sid: &str, cause: i64) -> bool {
        if !self.is_established_at(server, sid) {
            return false;
        }
        let Some(session) = self.sessions.get_mut(sid) else { return false };
        session.held_by_server = false;
        session.release_cause = session.release_cause.map(|_| cause).filter(|c| *c != cause::CANCELLED);
        true
    }

    /// Sessions at a server that were established earlier than `time`.
    pub fn established_before(&self, server: ServerId, time: Duration) -> Vec<SessionId> {
        let older = |sid: &&SessionId| self.sessions.get(*sid).is_some_and(|s| s.established_at < time);
        self.by_server.get(&server).into_iter().flatten().filter(older).cloned().collect()
    }

    /// Returns whether any session is established at a server.
    pub fn has_sessions_at(&self, server: ServerId) -> bool {
        self.by_server.contains_key(&server)
    }

    /// The server at which a session is established.
    pub fn server_of(&self, sid: &str) -> Option<ServerId> {
        match self.sessions.get(sid)?.state {
            State::Established(server) => Some(server),
            State::Pending(_) => None,
        }
    }

    /// Returns whether a session is established at that server.
    pub fn is_established_at(&self, server: ServerId, sid: &str) -> bool {
        self.server_of(sid) == Some(server)
    }

    /// Returns whether a session is established and has not been released by its server.
    pub fn may_be_held_by_server(&self, sid: &str) -> bool {
        self.sessions.get(sid).is_some_and(|s| s.held_by_server && matches!(s.state, State::Established(_)))
    }
}
