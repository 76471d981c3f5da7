//! All connections to video servers: which carries a set-up, a line, or waits; and what is proven of a set-up when
//! its connection ends. What is believed of the servers is [`LinkMonitor`]'s; here it is put on connections.

mod ends;
mod lines;
mod waiting;

use crate::link::{self, Way};
use crate::mail::{First, Hold, Mail};
use crate::viewer::Waits;
use bytes::Bytes;
use cloverhollow::ServerId;
use cloverhollow_net::{Clock, SendDecision};
use cloverhollow_platform::lines::{cause, Line};
use cloverhollow_platform::link_monitor::{LinkAction, LinkEndReason, LinkId, LinkMonitor};
use cloverhollow_session::{AttemptEnd, AttemptId, CancelReason, SessionId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use waiting::Waiting;

/// How long a connection may take to be made where the settings don't tell.
const CONNECT: Duration = Duration::from_secs(1);

/// Why a connection to a video server is closed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// It has been idle for too long, or there are too many idle ones.
    Idle,
    /// The set-up on it is given up.
    GivenUp,
    /// It can't carry the set-up that was meant for it.
    Unusable,
    /// It was opened to a process that has been replaced since.
    FormerProcess,
}

/// A connection that is closed here is read on for so long, unless its server closes it too. Guards what the server wrote
/// before it heard of the close: a release of a session would be lost, and its client never told.
const LINGER: Duration = Duration::from_secs(1);
/// The same where sessions may stand that were set up on it: a server that hangs writes there once it goes on.
const LINGER_FOR_SESSIONS: Duration = Duration::from_secs(10);

impl CloseReason {
    fn linger(self) -> Duration {
        match self {
            CloseReason::Idle | CloseReason::FormerProcess => LINGER_FOR_SESSIONS,
            CloseReason::GivenUp | CloseReason::Unusable => LINGER,
        }
    }
}

/// A connection to a video server.
struct Link {
    server: ServerId,
    address: SocketAddr,
    hold: Hold,
    opened: Duration,
    up: bool,
    /// It was opened to a process that has been replaced since: it carries nothing more.
    former: bool,
    /// It closes after what is queued: nothing more is written on it.
    closing: bool,
    /// The set-up that is open on it.
    attempt: Option<(AttemptId, SessionId)>,
    /// The session of the last one. A second copy of its refusal would be taken for the next attempt's: no session
    /// goes on one connection twice.
    last: Option<SessionId>,
    /// Settles whether that set-up's first byte goes out.
    gate: Arc<SendDecision>,
}

/// A set-up to be sent.
pub(crate) struct Outgoing {
    pub(crate) attempt: AttemptId,
    pub(crate) server: ServerId,
    pub(crate) address: SocketAddr,
    pub(crate) sid: SessionId,
    /// It may take effect once only.
    pub(crate) paid: bool,
    pub(crate) line: Bytes,
    /// If its first byte has not gone out by then, it never does.
    pub(crate) until: Duration,
    /// Who waits for it.
    pub(crate) waits: Option<Waits>,
}

/// What came on a connection, as far as the connection tells.
pub(crate) struct Heard {
    /// What it was opened for.
    pub(crate) server: ServerId,
    /// Where the process that spoke listens.
    pub(crate) address: SocketAddr,
    /// It is about the set-up that is open there.
    pub(crate) own: bool,
    pub(crate) closing: bool,
}

/// What is proven of a set-up.
pub(crate) type Ended = Option<(AttemptId, AttemptEnd)>;

pub(crate) struct Links {
    watch: LinkMonitor,
    clock: Clock,
    /// How long a connection may take to be made.
    connect: Duration,
    mail: mpsc::Sender<Mail>,
    links: HashMap<LinkId, Link>,
    out: HashMap<AttemptId, LinkId>,
    /// Lines that wait for a connection to a video server.
    waiting: HashMap<ServerId, Waiting>,
    next: u64,
}

impl Links {
    /// `connect`: zero: not told.
    pub(crate) fn new(watch: LinkMonitor, clock: Clock, connect: Duration, mail: mpsc::Sender<Mail>) -> Self {
        let connect = if connect.is_zero() { CONNECT } else { connect };
        let (links, out, waiting) = (HashMap::new(), HashMap::new(), HashMap::new());
        Links { watch, clock, connect, mail, links, out, waiting, next: 0 }
    }

    /// Sessions stand at that server from now on.
    pub(crate) fn stands(&mut self, server: ServerId) {
        self.watch.session_established(self.clock.now(), server);
    }

    /// Sends a set-up, on a connection that is there and may carry it, else on a new one.
    pub(crate) fn send(&mut self, out: Outgoing) {
        let Outgoing { attempt, server, address, sid, paid, line, until, waits } = out;
        let gate = Arc::new(SendDecision::default());
        let mut first = First { attempt, line, gate: gate.clone(), until, clock: self.clock, waits };
        let used = self.watch.take_for_setup(self.clock.now(), server, paid);
        if let Some((id, link)) = used.and_then(|id| Some((id, self.links.get_mut(&id)?))) {
            if link.last.as_ref() != Some(&sid) {
                match link.hold.setup(first) {
                    Ok(()) => {
                        link.last = Some(sid.clone());
                        (link.attempt, link.gate) = (Some((attempt, sid)), gate);
                        self.out.insert(attempt, id);
                        return;
                    }
                    Err(back) => first = back,
                }
            }
            self.close(id, CloseReason::Unusable);
        }
        self.open(server, address, Some((attempt, sid)), Some(first));
    }

    fn open(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        attempt: Option<(AttemptId, SessionId)>,
        first: Option<First>,
    ) {
        self.next += 1;
        let id = LinkId(self.next);
        let gate = first.as_ref().map(|f| f.gate.clone()).unwrap_or_default();
        let way = Way { id, address, connect: self.connect };
        let hold = link::spawn(way, first, self.mail.clone());
        if let Some((attempt, _)) = &attempt {
            self.out.insert(*attempt, id);
        }
        let last = attempt.as_ref().map(|(_, sid)| sid.clone());
        tracing::debug!(link = id.0, server, %address, session = ?last, "connection to a server is opened");
        let opened = self.clock.now();
        let (up, former, closing) = (false, false, false);
        self.links
            .insert(id, Link { server, address, hold, opened, up, former, closing, attempt, last, gate });
        self.watch.link_opening(server, id);
    }

    pub(crate) fn up(&mut self, id: LinkId) {
        let now = self.clock.now();
        let Some(link) = self.links.get_mut(&id) else { return };
        link.up = true;
        let server = link.server;
        self.watch.link_up(now, server);
        if link.attempt.is_none() {
            self.watch.link_idle(now, server, id);
        }
        self.flush(server);
    }

    /// Whether a connection to that server is left, or lines wait for one.
    pub(crate) fn uses(&self, server: ServerId) -> bool {
        self.waiting.contains_key(&server) || self.links.values().any(|link| link.server == server)
    }

    /// The session of that set-up, if it is open on that connection.
    pub(crate) fn open_on(&self, id: LinkId, attempt: AttemptId) -> Option<&SessionId> {
        let (open, sid) = self.links.get(&id)?.attempt.as_ref()?;
        (*open == attempt).then_some(sid)
    }

    /// The attempt at that session that is open at the process there.
    pub(crate) fn out_to(&self, process: SocketAddr, sid: &str) -> Option<AttemptId> {
        let there = self.links.values().filter(|l| l.address == process);
        let mut open = there.filter_map(|l| l.attempt.as_ref());
        open.find(|(_, s)| **s == *sid).map(|(attempt, _)| *attempt)
    }

    /// A server was heard of by a connection that was opened under another number of its process.
    pub(crate) fn heard_of(&mut self, server: ServerId) {
        self.watch.message_received(self.clock.now(), server);
    }

    /// A line came.
    pub(crate) fn heard(&mut self, id: LinkId, line: &Line) -> Option<Heard> {
        let link = self.links.get(&id)?;
        self.watch.message_received(self.clock.now(), link.server);
        let own = link.attempt.as_ref().is_some_and(|(_, sid)| **sid == *line.sid);
        Some(Heard { server: link.server, address: link.address, own, closing: link.closing })
    }

    /// Does what is due with connections; gives the servers whose sessions are cut.
    pub(crate) fn look(
        &mut self,
        stands: impl Fn(ServerId) -> bool,
        address: impl Fn(ServerId) -> Option<SocketAddr>,
    ) -> Vec<ServerId> {
        // A server that read too slowly may read on.
        let late: Vec<_> = self.waiting.keys().copied().collect();
        late.into_iter().for_each(|server| self.flush(server));
        let waiting = &self.waiting;
        let acts = self.watch.poll(self.clock.now(), |s| stands(s) || waiting.contains_key(&s));
        let mut cut = Vec::new();
        for act in acts {
            match act {
                LinkAction::Open(server) => match address(server) {
                    Some(address) => self.open(server, address, None, None),
                    None => cut.push(server),
                },
                LinkAction::Close(id) => self.close(id, CloseReason::Idle),
                LinkAction::EndSessions(server) => cut.push(server),
            }
        }
        cut
    }
}

#[cfg(test)]
mod tests;
