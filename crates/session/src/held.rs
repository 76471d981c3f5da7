//! One session as the core holds it.

use crate::routes::Route;
use crate::types::{Arrival, AttemptEnd, AttemptId, RecallWhy, Sid, ViewerId};
use cloverhollow::ServerId;
use cloverhollow_hints::Contradictions;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Someone who waits for a session's set-up.
#[derive(Debug)]
pub(crate) struct Waiter<A> {
    pub(crate) viewer: ViewerId,
    /// It brought the request that the set-up is sent with.
    pub(crate) owner: bool,
    /// It came when all who had waited were gone, at that time: its request is a new one once the attempt has ended.
    pub(crate) anew: Option<(Duration, Box<Arrival<A>>)>,
}

#[derive(Debug)]
pub(crate) enum Phase {
    /// The module has it, no attempt is out.
    Deciding,
    /// An attempt is out.
    Out {
        attempt: AttemptId,
        server: ServerId,
        address: SocketAddr,
        since: Duration,
        recalled: Option<RecallWhy>,
    },
    /// It plays.
    Playing { attempt: AttemptId, route: Arc<Route> },
}

#[derive(Debug)]
pub(crate) struct Session<A> {
    pub(crate) sid: Sid,
    pub(crate) title: u64,
    pub(crate) class: usize,
    pub(crate) paid: bool,
    pub(crate) deadline: Duration,
    pub(crate) rung: usize,
    pub(crate) sent: u32,
    /// All who waited have hung up, and the module knows: its attempt is the last one.
    pub(crate) gone: bool,
    /// How the last attempt that may have run ended.
    pub(crate) ran: Option<AttemptEnd>,
    /// An attempt could not be taken down, and did not go out.
    pub(crate) not_kept: bool,
    pub(crate) phase: Phase,
    pub(crate) waiting: Vec<Waiter<A>>,
    pub(crate) told: Contradictions,
    pub(crate) ask: A,
}

impl<A> Session<A> {
    /// One that nobody waits for and nothing is out for.
    pub(crate) fn new(a: Arrival<A>, paid: bool, deadline: Duration) -> Self {
        Session {
            sid: a.sid,
            title: a.title,
            class: a.class,
            paid,
            deadline,
            rung: 0,
            sent: 0,
            gone: false,
            ran: None,
            not_kept: false,
            phase: Phase::Deciding,
            waiting: Vec::new(),
            told: a.contradictions,
            ask: a.ask,
        }
    }

    /// The server where it plays or is being set up.
    pub(crate) fn at(&self) -> Option<ServerId> {
        match &self.phase {
            Phase::Deciding => None,
            Phase::Out { server, .. } => Some(*server),
            Phase::Playing { route, .. } => Some(route.server),
        }
    }
}
