//! What the core has a shell do.

use super::{AttemptId, OverWhy, Reason, Sid, ViewerId};
use crate::routes::Route;
use cloverhollow::ServerId;
use cloverhollow_knowledge::{Level, MergeError};
use cloverhollow_recovery::Deed;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Why an attempt is recalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecallWhy {
    /// Its time is up: close it whether it was sent or not.
    TimedOut,
    /// Its viewer has gone: close it whether it was sent or not.
    HungUp,
    /// Its server drains or is gone: only if its first byte has not gone out. Else nothing happens.
    Drained,
}

/// A set-up to be sent.
#[derive(Clone, Debug)]
pub struct Setup<A> {
    /// Which attempt.
    pub attempt: AttemptId,
    /// Which server.
    pub server: ServerId,
    /// Where it is.
    pub address: SocketAddr,
    /// The playback session.
    pub sid: Sid,
    /// The rung.
    pub rung: usize,
    /// Its rate, kbps.
    pub kbps: u32,
    /// It may take effect once only.
    pub paid: bool,
    /// What must be taken down before its first byte goes out, if anything.
    pub deed: Option<Deed>,
    /// How long its answer is waited for, from now.
    pub within: Duration,
    /// If its first byte has not gone out by then, it never goes out.
    pub until: Duration,
    /// What the shell needs.
    pub ask: A,
}

/// The one final answer to a waiting request.
#[derive(Debug)]
pub enum Answer<B> {
    /// The set-up's own answer.
    Stream {
        /// Its route, for what the answer says of it.
        route: Arc<Route>,
        /// The answer under way.
        answer: B,
    },
    /// The session plays: ask its server as for any later object.
    Follow(Arc<Route>),
    /// No session, and nothing ran: come back after this.
    Refused {
        /// The hold-off.
        after: Duration,
        /// Why.
        reason: Reason,
    },
    /// No session, and something may have run. `late`: no answer came in time.
    Failed {
        /// Whether it was for want of time.
        late: bool,
        /// Why.
        reason: Reason,
    },
}

impl<B> Answer<B> {
    /// As a token for logs.
    pub fn word(&self) -> &'static str {
        match self {
            Answer::Stream { .. } => "plays",
            Answer::Follow(_) => "follow",
            Answer::Refused { reason, .. } | Answer::Failed { reason, .. } => reason.token(),
        }
    }
}

/// What the shell is to do, in order.
#[derive(Debug)]
pub enum Command<A, B> {
    /// Send a set-up. The shell reports its end exactly once.
    Send(Setup<A>),
    /// Recall an attempt.
    Recall {
        /// Which attempt.
        attempt: AttemptId,
        /// Why.
        why: RecallWhy,
    },
    /// Answer a waiting request.
    Answer {
        /// Who waits.
        viewer: ViewerId,
        /// What it gets.
        answer: Answer<B>,
    },
    /// Take this down for later lives; nobody waits for it.
    Keep(Deed),
    /// Tell a server that a session is over, so that it lets go of what it may hold.
    Release {
        /// Where the server is.
        address: SocketAddr,
        /// Which server.
        server: ServerId,
        /// Which session.
        sid: Sid,
    },
    /// A session that played is over.
    Over {
        /// Which session.
        sid: Sid,
        /// Where it played.
        server: ServerId,
        /// Why.
        why: OverWhy,
    },
    /// A session that plays has another rung from now on.
    Rung {
        /// Where it plays.
        server: ServerId,
        /// Which session.
        sid: Sid,
        /// The rung.
        rung: usize,
    },
    /// A peer's answer was merged, or refused whole.
    Merged {
        /// Whose.
        peer: SocketAddr,
        /// How warm the peer is, its last change, and the peers that it knows.
        outcome: Result<PeerSaid, MergeError>,
    },
}

/// What a merged answer says of its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSaid {
    /// How warm it is.
    pub level: Level,
    /// Number of its last change: what the next delta is asked after.
    pub seq: u64,
    /// Peers that it knows.
    pub peers: Vec<SocketAddr>,
}
