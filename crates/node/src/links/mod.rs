//! All connections to video servers: selects the connection for a set-up or a line, queues lines while there
//! is none, and determines how set-ups end. [`LinkMonitor`] tracks the state of the servers and decides which
//! connections to open and close; this module acts on its decisions.

mod close_reason;
mod outcomes;
mod processes;
mod queued_lines;
mod sending;
mod types;

pub(crate) use types::{EndedSetup, LineSource, LostSession, OutgoingSetup};

use crate::link::{self, LinkTarget};
use crate::messages::{LinkHandle, LoopEvent, PendingSetup};
use close_reason::CloseReason;
use cloverhollow::ServerId;
use cloverhollow_net::{Clock, SendDecision};
use cloverhollow_platform::lines::{cause, Line};
use cloverhollow_platform::link_monitor::{LinkAction, LinkEndReason, LinkId, LinkMonitor, ProcessId};
use cloverhollow_session::{AttemptEnd, AttemptId, CancelReason, SessionId};
use queued_lines::QueuedLines;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// A connection to a video server.
struct Link {
    server: ServerId,
    address: SocketAddr,
    handle: LinkHandle,
    opened_at: Duration,
    /// The process at the other end; `None` until the connection is up.
    process: Option<ProcessId>,
    is_up: bool,
    /// The server process at the other end has been replaced; nothing more is sent.
    is_replaced: bool,
    /// Closing after the queued bytes; nothing more is queued.
    is_closing: bool,
    /// The set-up that is open on this connection.
    open_setup: Option<(AttemptId, SessionId)>,
    /// The session of the latest set-up. A connection never carries two consecutive set-ups of a session, as
    /// a duplicate refusal of the first would be taken for the answer to the second.
    last_session: Option<SessionId>,
    /// Decides whether the open set-up is sent or cancelled.
    send_decision: Arc<SendDecision>,
}

/// The connections to video servers.
pub(crate) struct Links {
    monitor: LinkMonitor,
    clock: Clock,
    connect_timeout: Duration,
    event_tx: mpsc::Sender<LoopEvent>,
    links: HashMap<LinkId, Link>,
    /// The connection of each open set-up.
    open_setups: HashMap<AttemptId, LinkId>,
    /// Lines that wait for a connection to their video server.
    queued_lines: HashMap<ServerId, QueuedLines>,
    last_id: u64,
    last_process: ProcessId,
}

impl Links {
    pub(crate) fn new(
        monitor: LinkMonitor,
        clock: Clock,
        connect_timeout: Duration,
        event_tx: mpsc::Sender<LoopEvent>,
    ) -> Self {
        let (links, open_setups, queued_lines) = (HashMap::new(), HashMap::new(), HashMap::new());
        let (last_id, last_process) = (0, ProcessId(0));
        Links {
            monitor,
            clock,
            connect_timeout,
            event_tx,
            links,
            open_setups,
            queued_lines,
            last_id,
            last_process,
        }
    }

    /// Records that the server has an established session.
    pub(crate) fn session_established(&mut self, server: ServerId) {
        self.monitor.session_established(self.clock.now(), server);
    }

    /// Sends a set-up on an idle connection if there is a suitable one, otherwise on a new one.
    pub(crate) fn send_setup(&mut self, outgoing: OutgoingSetup) {
        let OutgoingSetup { attempt, server, address, sid, at_most_once, line, send_deadline, waiter } =
            outgoing;
        let send_decision = Arc::new(SendDecision::default());
        let mut setup = PendingSetup {
            attempt,
            line,
            send_decision: send_decision.clone(),
            send_deadline,
            clock: self.clock,
            waiter,
        };
        let idle = self.monitor.take_for_setup(self.clock.now(), server, at_most_once);
        if let Some((id, link)) = idle.and_then(|id| Some((id, self.links.get_mut(&id)?))) {
            if link.last_session.as_ref() != Some(&sid) {
                match link.handle.send_setup(setup) {
                    Ok(()) => {
                        link.last_session = Some(sid.clone());
                        (link.open_setup, link.send_decision) = (Some((attempt, sid)), send_decision);
                        self.open_setups.insert(attempt, id);
                        return;
                    }
                    Err(unsent) => setup = unsent,
                }
            }
            self.close(id, CloseReason::Unusable);
        }
        self.open(server, address, Some((attempt, sid)), Some(setup));
    }

    fn open(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        open_setup: Option<(AttemptId, SessionId)>,
        first: Option<PendingSetup>,
    ) {
        self.last_id += 1;
        let id = LinkId(self.last_id);
        let send_decision = first.as_ref().map(|f| f.send_decision.clone()).unwrap_or_default();
        let connect_timeout = match &first {
            Some(_) => self.connect_timeout,
            None => self.monitor.probe_timeout(),
        };
        let target = LinkTarget { id, address, connect_timeout };
        let handle = link::spawn(target, first, self.event_tx.clone());
        if let Some((attempt, _)) = &open_setup {
            self.open_setups.insert(*attempt, id);
        }
        match &open_setup {
            Some(_) => self.monitor.link_opening_for_setup(server, id),
            None => self.monitor.link_opening(server, id),
        }
        let last_session = open_setup.as_ref().map(|(_, sid)| sid.clone());
        tracing::debug!(link = id.0, server, %address, session = ?last_session, "connecting to a video server");
        let opened_at = self.clock.now();
        let (is_up, is_replaced, is_closing) = (false, false, false);
        self.links.insert(
            id,
            Link {
                server,
                address,
                handle,
                opened_at,
                process: None,
                is_up,
                is_replaced,
                is_closing,
                open_setup,
                last_session,
                send_decision,
            },
        );
    }

    pub(crate) fn link_up(&mut self, id: LinkId) {
        let now = self.clock.now();
        let Some(address) = self.links.get(&id).map(|link| link.address) else { return };
        let process = self.process_at(address);
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.is_up, link.process) = (true, Some(process));
        let server = link.server;
        self.monitor.link_up(now, server, id);
        if link.open_setup.is_none() {
            self.monitor.link_idle(now, server, id);
        }
        self.flush(server);
    }

    /// Returns whether the server has a connection or queued lines.
    pub(crate) fn uses(&self, server: ServerId) -> bool {
        self.queued_lines.contains_key(&server) || self.links.values().any(|link| link.server == server)
    }

    /// Returns the session of the set-up if the set-up is open on that connection.
    pub(crate) fn session_of_setup(&self, id: LinkId, attempt: AttemptId) -> Option<&SessionId> {
        let (open, sid) = self.links.get(&id)?.open_setup.as_ref()?;
        (*open == attempt).then_some(sid)
    }

    /// Returns the open set-up of the session at the server process that listens on `address`.
    pub(crate) fn setup_at(&self, address: SocketAddr, sid: &str) -> Option<AttemptId> {
        let links = self.links.values().filter(|l| l.address == address);
        let mut open = links.filter_map(|l| l.open_setup.as_ref());
        open.find(|(_, s)| **s == *sid).map(|(attempt, _)| *attempt)
    }

    /// Records that the server sent something on a connection that was opened under another id of its
    /// process.
    pub(crate) fn message_received(&mut self, server: ServerId) {
        self.monitor.message_received(self.clock.now(), server);
    }

    /// Records a received line and returns its source; `None` if the connection is no longer known.
    pub(crate) fn line_received(&mut self, id: LinkId, line: &Line) -> Option<LineSource> {
        let link = self.links.get(&id)?;
        self.monitor.message_received(self.clock.now(), link.server);
        let is_open_setup = link.open_setup.as_ref().is_some_and(|(_, sid)| **sid == *line.sid);
        Some(LineSource {
            server: link.server,
            address: link.address,
            process: link.process,
            is_open_setup,
            is_closing: link.is_closing,
        })
    }

    /// Opens and closes connections as due. Returns the servers whose sessions are lost.
    pub(crate) fn run_maintenance(
        &mut self,
        has_sessions: impl Fn(ServerId) -> bool,
        address: impl Fn(ServerId) -> Option<SocketAddr>,
    ) -> Vec<ServerId> {
        // A server that read too slowly before may accept its queued lines now.
        let servers: Vec<_> = self.queued_lines.keys().copied().collect();
        servers.into_iter().for_each(|server| self.flush(server));
        let queued_lines = &self.queued_lines;
        let actions =
            self.monitor.poll(self.clock.now(), |s| has_sessions(s) || queued_lines.contains_key(&s));
        let mut lost = Vec::new();
        for action in actions {
            match action {
                LinkAction::Open(server) => match address(server) {
                    Some(address) => self.open(server, address, None, None),
                    None => lost.push(server),
                },
                LinkAction::Close(id) => self.close(id, CloseReason::Idle),
                LinkAction::EndSessions(server) => lost.push(server),
            }
        }
        lost
    }
}

#[cfg(test)]
mod tests;
