//! What a video server holds, and how it is set to behave.

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::process::Child;
use std::sync::Arc;
use std::time::Duration;

/// What the server does with a set-up.
#[derive(Clone, Copy, PartialEq)]
pub enum Reply {
    /// It answers after its set-up time: the session stands.
    Stands,
    /// It is full (cause 34), said after its set-up time.
    Full,
    /// It answers with an error (cause 47): it does not hold the title.
    Error,
}

pub struct State {
    pub reply: Reply,
    pub setup_time: Duration,
    /// The most connections that it takes, over all session managers.
    pub most_connections: usize,
    /// Sessions that stand, and the connection of their set-up.
    pub sessions: BTreeMap<String, u64>,
    /// Time and session of each set-up that has come.
    pub starts: Vec<(f64, String)>,
    /// Time and session of each release that the session manager sent.
    pub finishes: Vec<(f64, String)>,
    /// The machine is gone: it reads and writes nothing, and takes no connection.
    pub vanished: bool,
    pub connections: BTreeMap<u64, Arc<TcpStream>>,
    /// Those of them that other session managers have opened.
    pub others: BTreeSet<u64>,
    /// Connections that come now are of other session managers.
    pub is_filled: bool,
    /// Their process.
    pub held_by_others: Option<Child>,
    pub last_connection: u64,
}

impl State {
    pub fn new() -> Self {
        State {
            reply: Reply::Stands,
            setup_time: Duration::from_millis(100),
            most_connections: 1_000,
            sessions: BTreeMap::new(),
            starts: Vec::new(),
            finishes: Vec::new(),
            vanished: false,
            connections: BTreeMap::new(),
            others: BTreeSet::new(),
            is_filled: false,
            held_by_others: None,
            last_connection: 0,
        }
    }

    pub fn replies(&self) -> (Reply, Duration) {
        (self.reply, self.setup_time)
    }

    /// Closing a connection gives up the set-ups open on it; so does a release.
    pub fn is_given_up(&self, n: u64, sid: &str) -> bool {
        !self.connections.contains_key(&n) || self.finishes.iter().any(|(_, s)| s == sid)
    }

    pub fn has_room(&self) -> bool {
        self.connections.len() < self.most_connections
    }
}
