//! State of the connections (links) to video servers: which to keep, open and close, and when the sessions at a server
//! have to be considered lost.
//!
//! A link carries one set-up at a time, so that corrupt data on it affects no other set-up. A set-up goes on a link that
//! is up, idle and recently active, else on a new one: if that cannot be made, it is certain that nothing was executed.
//! The newest link to a server stays open for messages about established sessions; older ones are closed a while after
//! their set-up.

mod config;
mod server_links;

pub use config::LinkMonitorConfig;

use cloverhollow::ServerId;
use server_links::{LinkState, ServerLinks};
use std::collections::HashMap;
use std::time::Duration;

/// Id of a connection to a video server. The event loop never reuses one, and ids grow in the order of opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Id of a server's process, as far as connections show: those to one address that are up at the same time lead to the same
/// process, whereas behind one that was opened after all others had ended another process may have come up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub u64);

/// Time for which an idle link that is not the newest stays open, so that data in flight on it arrives.
const LINGER: Duration = Duration::from_secs(2);
/// Delay before the first attempt to replace a lost link; doubles up to [`MAX_RECONNECT_DELAY`].
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(800);
/// A set-up that may be executed only once goes on an existing link only if the server sent something within this time.
/// If the server has failed since, such a set-up is lost there, whereas on a new link that cannot be made it is not; all
/// other set-ups are repeated when no response arrives. With 3 s, set-ups of this kind failed when a zone was lost, and
/// few connections were saved.
const MAX_SILENCE_AT_MOST_ONCE: Duration = Duration::from_secs(1);
/// Fraction of the server's idle time-out after which a link carries no set-up any more, since the server is about to
/// close it. Without established sessions it is closed then.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Number of consecutive refused connections after which the process, and its sessions with it, counts as gone.
const MAX_REFUSED: u32 = 2;
/// Time without a successful connection and without a message after which the machine counts as gone.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Reason for which a link ended or could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEndReason {
    /// The connection was refused: no process listens at the address.
    Refused,
    /// The connection was not established in time.
    ConnectTimeout,
    /// A local error prevented the connection; nothing is known about the server.
    LocalError,
    /// The link was up, and was reset or closed.
    Disconnected,
    /// The link was up, and ended with unreadable data or in the middle of a line: a response may be lost with it.
    Corrupt,
}

/// Action for the event loop to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Open a link to the server without a set-up.
    Open(ServerId),
    /// Close the link.
    Close(LinkId),
    /// End all sessions at the server: its process or machine is gone.
    EndSessions(ServerId),
}

/// Links to all servers that have links or established sessions.
#[derive(Debug)]
pub struct LinkMonitor {
    servers: HashMap<ServerId, ServerLinks>,
    /// Time without a message after which a server with sessions is probed by a new link, see
    /// [`LinkMonitorConfig::max_silence`].
    max_silence: Duration,
    /// Time without a set-up after which a link carries none any more.
    stale_after: Duration,
    /// Time after which a link that is being opened to probe a server counts as failed.
    probe_timeout: Duration,
    /// Maximum number of idle links, over all servers.
    max_idle: usize,
}

impl LinkMonitor {
    /// Creates a monitor without links.
    pub fn new(config: LinkMonitorConfig) -> Self {
        LinkMonitor {
            servers: HashMap::new(),
            max_silence: config.max_silence(),
            stale_after: config.idle_close.mul_f64(IDLE_TIMEOUT_FRACTION),
            probe_timeout: config.probe_timeout(),
            max_idle: config.max_idle,
        }
    }

    /// Time after which a link that is being opened to probe a server counts as failed.
    pub fn probe_timeout(&self) -> Duration {
        self.probe_timeout
    }

    /// Takes a link for a set-up: the newest that is idle and not stale. Returns `None` if there is none, if a recent
    /// connection to the server has failed, or if the set-up may be executed only once and the server has been silent
    /// for too long.
    pub fn take_for_setup(&mut self, now: Duration, server: ServerId, at_most_once: bool) -> Option<LinkId> {
        let state = self.servers.get_mut(&server)?;
        let fresh = !at_most_once || state.last_received + MAX_SILENCE_AT_MOST_ONCE > now;
        if !fresh || state.refused > 0 || state.unreachable_since.is_some() {
            return None;
        }
        let usable = |l: &LinkState| matches!(l, LinkState::Idle(since) if *since + self.stale_after > now);
        let (id, link) = state.links.iter_mut().rev().find(|(_, l)| usable(l))?;
        *link = LinkState::Busy;
        Some(*id)
    }

    /// Adds a link that is being opened to probe the server, or for messages that wait.
    pub fn link_opening(&mut self, server: ServerId, link: LinkId) {
        self.servers.entry(server).or_default().links.insert(link, LinkState::Probing);
    }

    /// Adds a link that is being opened for a set-up.
    pub fn link_opening_for_setup(&mut self, server: ServerId, link: LinkId) {
        self.servers.entry(server).or_default().links.insert(link, LinkState::OpeningForSetup);
    }

    /// Records that a link to the server has been established. It counts as busy until [`LinkMonitor::link_idle`].
    pub fn link_up(&mut self, now: Duration, server: ServerId, link: LinkId) {
        let Some(state) = self.servers.get_mut(&server) else { return };
        if let Some(opened) = state.links.get_mut(&link) {
            *opened = LinkState::Busy;
        }
        (state.refused, state.unreachable_since, state.reconnect_delay) = (0, None, Duration::ZERO);
        state.last_received = state.last_received.max(now);
    }

    /// Records that a link that is up carries no set-up any more.
    pub fn link_idle(&mut self, now: Duration, server: ServerId, link: LinkId) {
        if let Some(l) = self.servers.get_mut(&server).and_then(|s| s.links.get_mut(&link)) {
            *l = LinkState::Idle(now);
        }
    }

    /// Records a message from the server.
    pub fn message_received(&mut self, now: Duration, server: ServerId) {
        if let Some(state) = self.servers.get_mut(&server) {
            (state.last_received, state.refused, state.unreachable_since) = (now, 0, None);
        }
    }

    /// Removes a link that is being closed from this side.
    pub fn link_closing(&mut self, server: ServerId, link: LinkId) {
        if let Some(state) = self.servers.get_mut(&server) {
            state.links.remove(&link);
        }
    }

    /// Removes a link that has ended or could not be opened.
    pub fn link_down(&mut self, now: Duration, server: ServerId, link: LinkId, reason: LinkEndReason) {
        let Some(state) = self.servers.get_mut(&server) else { return };
        if state.links.remove(&link).is_none() {
            return;
        }
        match reason {
            LinkEndReason::Refused => state.refused += 1,
            LinkEndReason::ConnectTimeout => {
                state.unreachable_since.get_or_insert(now);
            }
            LinkEndReason::LocalError | LinkEndReason::Disconnected | LinkEndReason::Corrupt => {}
        }
        state.reconnect_delay = (state.reconnect_delay * 2).clamp(MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY);
        state.next_open = now + state.reconnect_delay;
    }

    /// The link on which a message to the server may be written: the newest that is up and idle.
    pub fn idle_link(&self, server: ServerId) -> Option<LinkId> {
        let links = &self.servers.get(&server)?.links;
        links.iter().rev().find(|(_, l)| matches!(l, LinkState::Idle(_))).map(|(id, _)| *id)
    }

    /// Records that a session has been established at the server.
    pub fn session_established(&mut self, now: Duration, server: ServerId) {
        let state = self.servers.entry(server).or_default();
        if state.last_received.is_zero() {
            state.last_received = now;
        }
    }

    /// Returns the actions that are due. `in_use` returns whether sessions are established at a server or messages wait
    /// to be written to it.
    pub fn poll(&mut self, now: Duration, in_use: impl Fn(ServerId) -> bool) -> Vec<LinkAction> {
        let mut actions = Vec::new();
        let mut idle = Vec::new();
        for (id, state) in &mut self.servers {
            let in_use = in_use(*id);
            let newest =
                state.links.iter().rev().find(|(_, l)| matches!(l, LinkState::Idle(_))).map(|(l, _)| *l);
            for (link, link_state) in &state.links {
                let LinkState::Idle(since) = link_state else { continue };
                let max_idle_time = match newest {
                    Some(n) if n == *link && in_use => Duration::MAX,
                    Some(n) if n == *link => self.stale_after,
                    _ => LINGER,
                };
                if since.saturating_add(max_idle_time) <= now {
                    actions.push(LinkAction::Close(*link));
                } else if !(in_use && newest == Some(*link)) {
                    idle.push((*since, *link));
                }
            }
            if !in_use {
                continue;
            }
            let unreachable = state
                .unreachable_since
                .is_some_and(|t| t + UNREACHABLE_TIMEOUT <= now && state.last_received < t);
            if state.refused >= MAX_REFUSED || unreachable {
                actions.push(LinkAction::EndSessions(*id));
                continue;
            }
            if state.next_open <= now && state.needs_link(now, self.max_silence) {
                actions.push(LinkAction::Open(*id));
            }
        }
        idle.sort();
        let excess = idle.len().saturating_sub(self.max_idle);
        actions.extend(idle.into_iter().take(excess).map(|(_, link)| LinkAction::Close(link)));
        self.servers.retain(|id, state| !state.links.is_empty() || in_use(*id));
        actions
    }
}
