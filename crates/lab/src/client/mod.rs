//! The platform's clients: connections to session managers that carry many sessions, as the protocol page has them.
//!
//! A session belongs to no connection: what ends it may come on any. When a session manager has started anew, the sessions
//! that stood through it are handed over as soon as it has passed a test.

mod conn;
mod handover;

use crate::exchange::{Log, Seen};
use crate::fronts::{Fronts, Phase};
use bytes::Bytes;
use cloverhollow_platform::rtsp::{self, Message, Method, StartLine};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// A connection with no session on it is closed after so long.
const IDLE: Duration = Duration::from_secs(4);
/// Most sessions that one connection is to carry.
const MOST_SESSIONS: usize = 6;
/// How often it is looked for idle connections.
const LOOK: Duration = Duration::from_millis(200);

/// What a session hears.
#[derive(Debug)]
pub(crate) enum Word {
    /// A message that names it.
    Message(Message),
    /// The connection of its set-up ended before the answer.
    Broke,
}

/// What the task of a connection is to do.
#[derive(Debug)]
enum Out {
    Write(Bytes),
    Close,
}

struct Conn {
    out: mpsc::UnboundedSender<Out>,
    /// Others may use it.
    shared: bool,
    sessions: usize,
    idle_since: Duration,
}

struct Session {
    to: mpsc::UnboundedSender<Word>,
    call: u64,
    /// The highest rung that its viewer can use.
    top: usize,
    /// The connection of its set-up.
    conn: u64,
    answered: bool,
    stands: bool,
}

#[derive(Default)]
struct Side {
    next: u64,
    conns: BTreeMap<u64, Conn>,
    sessions: HashMap<Arc<str>, Session>,
    /// Requests that have had their answer.
    done: BTreeSet<Arc<str>>,
}

/// A request to be sent.
pub(crate) struct Request<'a> {
    pub(crate) front: usize,
    pub(crate) sid: &'a Arc<str>,
    pub(crate) call: u64,
    pub(crate) top: usize,
    pub(crate) bytes: Bytes,
    /// On a connection of its own, which is closed with it.
    pub(crate) alone: bool,
    /// It crossed the close of its connection, and goes on a new one.
    pub(crate) again: bool,
}

/// All clients' connections.
pub struct Clients {
    sides: Vec<Mutex<Side>>,
    fronts: Arc<Fronts>,
    log: Arc<Log>,
}

impl Clients {
    /// None is open yet.
    pub fn new(fronts: Arc<Fronts>, log: Arc<Log>) -> Arc<Self> {
        let sides = (0..fronts.count()).map(|_| Mutex::default()).collect();
        let clients = Arc::new(Clients { sides, fronts, log });
        tokio::spawn(Self::close_idle(Arc::downgrade(&clients)));
        clients
    }

    fn side(&self, front: usize) -> MutexGuard<'_, Side> {
        self.sides[front].lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn close_idle(clients: std::sync::Weak<Self>) {
        loop {
            sleep(LOOK).await;
            let Some(clients) = clients.upgrade() else { return };
            let now = clients.log.now();
            for front in 0..clients.sides.len() {
                let side = clients.side(front);
                let idle = |c: &&Conn| c.sessions == 0 && c.idle_since + IDLE <= now;
                side.conns.values().filter(idle).for_each(|c| drop(c.out.send(Out::Close)));
            }
        }
    }

    /// Sends a set-up, right behind `sent`; what is said of its session comes on the receiver. `None`: no connection could
    /// be had.
    pub(crate) async fn begin(
        self: &Arc<Self>,
        request: Request<'_>,
        sent: impl FnOnce(),
    ) -> Option<(u64, mpsc::UnboundedReceiver<Word>)> {
        let phase = self.fronts.phase(request.front);
        let open = if request.alone || request.again { None } else { self.shared(request.front) };
        let conn = match (open, phase) {
            (_, Phase::Down | Phase::Ending) => return None,
            (Some(conn), _) => conn,
            (None, Phase::Closing) if !request.again => return None,
            (None, _) => self.connect(request.front, !request.alone).await?,
        };
        let (to, words) = mpsc::unbounded_channel();
        {
            let mut side = self.side(request.front);
            let (call, top) = (request.call, request.top);
            let session = Session { to, call, top, conn, answered: false, stands: false };
            side.sessions.insert(request.sid.clone(), session);
            if let Some(c) = side.conns.get_mut(&conn) {
                c.sessions += 1;
            }
        }
        sent();
        self.write(request.front, conn, request.bytes);
        Some((conn, words))
    }

    /// A connection that may take one more session: the one with the fewest.
    fn shared(&self, front: usize) -> Option<u64> {
        let side = self.side(front);
        let free =
            side.conns.iter().filter(|(_, c)| c.shared && c.sessions < MOST_SESSIONS && !c.out.is_closed());
        free.min_by_key(|(_, c)| c.sessions).map(|(id, _)| *id)
    }

    fn write(&self, front: usize, conn: u64, bytes: Bytes) -> bool {
        let side = self.side(front);
        side.conns.get(&conn).is_some_and(|c| c.out.send(Out::Write(bytes)).is_ok())
    }

    /// Closes a connection.
    pub(crate) fn close(&self, front: usize, conn: u64) {
        if let Some(c) = self.side(front).conns.get(&conn) {
            let _ = c.out.send(Out::Close);
        }
    }

    /// The session stands.
    pub(crate) fn stands(&self, front: usize, sid: &str) {
        if let Some(session) = self.side(front).sessions.get_mut(sid) {
            session.stands = true;
        }
    }

    /// Nothing of that session is wanted any more.
    pub(crate) fn forget(&self, front: usize, sid: &str) {
        let now = self.log.now();
        let mut side = self.side(front);
        let Some(session) = side.sessions.remove(sid) else { return };
        if let Some(c) = side.conns.get_mut(&session.conn) {
            c.sessions = c.sessions.saturating_sub(1);
            c.idle_since = now;
        }
    }

    /// Says that a set-up is given up, or a session over (`cause`), on the connection of its set-up or on any.
    pub(crate) async fn tear_down(self: &Arc<Self>, front: usize, sid: &str, cause: Option<i64>) {
        let reason: Vec<_> = cause.map(|c| ("Reason", format!("cause={c}"))).into_iter().collect();
        let bytes = rtsp::request(Method::Teardown, "rtsp://media/x", "2", sid, &reason);
        let conn = {
            let side = self.side(front);
            let own = side.sessions.get(sid).map(|s| s.conn).filter(|c| side.conns.contains_key(c));
            own.or_else(|| side.conns.keys().next().copied())
        };
        let conn = match conn {
            Some(conn) => Some(conn),
            None if matches!(self.fronts.phase(front), Phase::Open | Phase::Stopping) => {
                self.connect(front, true).await
            }
            None => None,
        };
        if let Some(conn) = conn {
            self.write(front, conn, bytes);
        }
    }

    /// A message came on a connection.
    fn came(&self, front: usize, conn: u64, message: Message) {
        let Some(sid) = message.header("Session").map(str::to_owned) else { return };
        let answer =
            matches!(message.start_line, StartLine::Response { .. }) && message.header("CSeq") == Some("1");
        let mut side = self.side(front);
        let side = &mut *side;
        if let StartLine::Request { method: Method::Teardown, .. } = message.start_line {
            let heard = rtsp::response(200, "2", Some(&sid), &[], b"");
            if let Some(c) = side.conns.get(&conn) {
                let _ = c.out.send(Out::Write(heard));
            }
        }
        let Some(session) = side.sessions.get_mut(&*sid) else {
            if answer && side.done.contains(&*sid) {
                self.log.put(Seen::Stray { call: 0, sid: sid.into() });
            }
            return;
        };
        if answer {
            if std::mem::replace(&mut session.answered, true) {
                self.log.put(Seen::Stray { call: session.call, sid: sid.as_str().into() });
                return;
            }
            side.done.insert(sid.as_str().into());
        }
        let _ = session.to.send(Word::Message(message));
    }

    /// A connection ended: the set-ups open on it have no answer.
    fn ended(&self, front: usize, conn: u64) {
        let mut side = self.side(front);
        side.conns.remove(&conn);
        let open = side.sessions.values().filter(|s| s.conn == conn && !s.answered);
        open.for_each(|s| drop(s.to.send(Word::Broke)));
    }
}
