//! What is believed of video servers' connections, and what is done about it: which are kept, opened, closed,
//! and when a server's sessions are taken to be cut.
//!
//! A connection carries one set-up at a time: what is spoilt on it takes no other along. A set-up goes on one that is
//! there, idle and lately heard of, else on a new one, which proves before the first byte that nothing ran if it is
//! not made. The newest one stays for what concerns the sessions that stand; older ones are closed a while after
//! their set-up.

use cloverhollow::ServerId;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A connection to a video server; the shell never uses a number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// A connection that is idle and not the newest stays for so long: what was under way on it arrives.
const LINGER: Duration = Duration::from_secs(2);
/// Wait before a connection is opened again that broke, doubled up to the next.
const AGAIN: Duration = Duration::from_millis(100);
const AGAIN_MOST: Duration = Duration::from_millis(800);
/// A set-up that may take effect once goes only on a connection to a server that was heard of within this time. If the
/// server fell silent since, it is lost there, where a new connection that does not come up loses nothing. Any other
/// is repeated when no answer comes. With 3 s, paid set-ups failed on a lost zone for the price of few connections.
const FRESH_PAID: Duration = Duration::from_secs(1);
/// Nothing goes on a connection that its server is about to close as idle: after this part of its time for that. One
/// where nothing stands is closed here then.
const IDLE_PART: f64 = 0.8;
/// So many connections refused one after the other: the process is gone, and its sessions with it.
const REFUSED: u32 = 2;
/// Nothing came up for so long, and nothing was heard: the machine is gone.
const UNREACHED: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// It is being made, or a set-up is open on it.
    Busy,
    /// It is there for what concerns standing sessions.
    Idle(Duration),
}

/// How a connection ended, or did not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEndReason {
    /// It was refused: nobody listens there.
    Refused,
    /// It did not come up in time.
    ConnectTimeout,
    /// This process could not make it.
    LocalError,
    /// It was up, and broke or was closed.
    Disconnected,
    /// It was up, and ended in what can't be read or in the middle of a line: an answer may be lost with it.
    Corrupt,
}

#[derive(Debug, Default)]
struct Server {
    links: BTreeMap<LinkId, Use>,
    /// Something was last heard from it.
    heard: Duration,
    /// Connections refused one after the other.
    refused: u32,
    /// Connections have not come up since then.
    unreached: Option<Duration>,
    /// The next connection may be opened then.
    next: Duration,
    wait: Duration,
}

/// What the shell is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Open a connection without a set-up.
    Open(ServerId),
    /// Close a connection.
    Close(LinkId),
    /// The server's sessions are cut.
    EndSessions(ServerId),
}

/// All servers with connections or standing sessions.
#[derive(Debug)]
pub struct LinkMonitor {
    servers: HashMap<ServerId, Server>,
    /// A server with sessions that is silent for so long is looked at by a new connection.
    silence: Duration,
    /// A connection that has carried no set-up for so long carries none any more.
    stale: Duration,
    /// Most idle connections, over all servers.
    most_idle: usize,
}

impl LinkMonitor {
    /// `notes`: a server with standing sessions says something at least so often; zero: it need not. `idle_close`:
    /// servers close what is idle for so long; zero: not told, and no connection carries a second set-up.
    pub fn new(notes: Duration, idle_close: Duration, most_idle: usize) -> Self {
        let silence = if notes.is_zero() { Duration::MAX } else { notes + Duration::from_secs(1) };
        LinkMonitor { servers: HashMap::new(), silence, stale: idle_close.mul_f64(IDLE_PART), most_idle }
    }

    /// The connection there that may carry a set-up, taken for it: the newest of those that are idle and not stale, if
    /// nothing speaks against the server and, for a paid one, it was heard of lately.
    pub fn take_for_setup(&mut self, now: Duration, server: ServerId, paid: bool) -> Option<LinkId> {
        let s = self.servers.get_mut(&server)?;
        let fresh = !paid || s.heard + FRESH_PAID > now;
        if !fresh || s.refused > 0 || s.unreached.is_some() {
            return None;
        }
        let good = |u: &Use| matches!(u, Use::Idle(since) if *since + self.stale > now);
        let (link, used) = s.links.iter_mut().rev().find(|(_, u)| good(u))?;
        *used = Use::Busy;
        Some(*link)
    }

    /// A connection is being made; a set-up goes on it, or it looks whether the server is there.
    pub fn link_opening(&mut self, server: ServerId, link: LinkId) {
        self.servers.entry(server).or_default().links.insert(link, Use::Busy);
    }

    /// A connection came up.
    pub fn link_up(&mut self, now: Duration, server: ServerId) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        (s.refused, s.unreached, s.wait) = (0, None, Duration::ZERO);
        s.heard = s.heard.max(now);
    }

    /// No set-up is open on it any more.
    pub fn link_idle(&mut self, now: Duration, server: ServerId, link: LinkId) {
        if let Some(l) = self.servers.get_mut(&server).and_then(|s| s.links.get_mut(&link)) {
            *l = Use::Idle(now);
        }
    }

    /// Something was heard on it.
    pub fn message_received(&mut self, now: Duration, server: ServerId) {
        if let Some(s) = self.servers.get_mut(&server) {
            (s.heard, s.refused, s.unreached) = (now, 0, None);
        }
    }

    /// A connection is being closed here.
    pub fn link_closing(&mut self, server: ServerId, link: LinkId) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.links.remove(&link);
        }
    }

    /// A connection is gone or did not come up.
    pub fn link_down(&mut self, now: Duration, server: ServerId, link: LinkId, down: LinkEndReason) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        if s.links.remove(&link).is_none() {
            return;
        }
        match down {
            LinkEndReason::Refused => s.refused += 1,
            LinkEndReason::ConnectTimeout => {
                s.unreached.get_or_insert(now);
            }
            LinkEndReason::LocalError | LinkEndReason::Disconnected | LinkEndReason::Corrupt => {}
        }
        s.wait = (s.wait * 2).clamp(AGAIN, AGAIN_MOST);
        s.next = now + s.wait;
    }

    /// A link that may carry a line: the newest that is up and idle.
    pub fn idle_link(&self, server: ServerId) -> Option<LinkId> {
        let links = &self.servers.get(&server)?.links;
        links.iter().rev().find(|(_, u)| matches!(u, Use::Idle(_))).map(|(id, _)| *id)
    }

    /// Sessions stand at that server from now on.
    pub fn session_established(&mut self, now: Duration, server: ServerId) {
        let s = self.servers.entry(server).or_default();
        if s.heard.is_zero() {
            s.heard = now;
        }
    }

    /// What is due. `stands`: whether sessions stand at a server, or lines wait for it.
    pub fn poll(&mut self, now: Duration, stands: impl Fn(ServerId) -> bool) -> Vec<LinkAction> {
        let mut acts = Vec::new();
        let mut idle = Vec::new();
        for (id, s) in &mut self.servers {
            let stands = stands(*id);
            let newest = s.links.iter().rev().find(|(_, u)| matches!(u, Use::Idle(_))).map(|(l, _)| *l);
            for (link, used) in &s.links {
                let Use::Idle(since) = used else { continue };
                let keep = match newest {
                    Some(n) if n == *link && stands => Duration::MAX,
                    Some(n) if n == *link => self.stale,
                    _ => LINGER,
                };
                if since.saturating_add(keep) <= now {
                    acts.push(LinkAction::Close(*link));
                } else if !(stands && newest == Some(*link)) {
                    idle.push((*since, *link));
                }
            }
            if !stands {
                continue;
            }
            let unreached = s.unreached.is_some_and(|t| t + UNREACHED <= now && s.heard < t);
            if s.refused >= REFUSED || unreached {
                acts.push(LinkAction::EndSessions(*id));
                continue;
            }
            let busy = s.links.values().any(|u| *u == Use::Busy);
            let silent = s.heard.saturating_add(self.silence) <= now || s.unreached.is_some();
            if (newest.is_none() || silent) && !busy && s.next <= now {
                acts.push(LinkAction::Open(*id));
            }
        }
        idle.sort();
        let over = idle.len().saturating_sub(self.most_idle);
        acts.extend(idle.into_iter().take(over).map(|(_, link)| LinkAction::Close(link)));
        self.servers.retain(|id, s| !s.links.is_empty() || stands(*id));
        acts
    }
}
