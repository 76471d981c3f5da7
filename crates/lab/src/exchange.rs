//! What passed over the sockets, as the stand-ins and viewers saw it: the only thing that rules are checked
//! from.

use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How an answer to a viewer's request looked.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Got {
    /// A status, with the reason in CMSD.
    Status {
        /// The status code.
        status: u16,
        /// The front's reason.
        reason: Option<String>,
    },
    /// The connection was refused, or broke before an answer.
    Lost,
    /// The viewer hung up by itself.
    HungUp,
    /// The viewer's time was up.
    TimeUp,
}

/// One thing that was seen.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)] // the names say it
pub enum Seen {
    /// A front process listens.
    FrontUp { front: usize },
    /// A front process was killed.
    FrontDown { front: usize },
    /// A front process stands still.
    FrontFrozen { front: usize },
    /// It runs on.
    FrontThawed { front: usize },
    /// A front process was told to stop.
    FrontTerminated { front: usize },
    /// A front process that was told to stop has ended by itself; that it is down follows.
    FrontExited { front: usize },
    /// A front process ended by itself though nobody had told it to.
    FrontCrashed { front: usize, how: String },
    /// A front process holds more than it may.
    OverLimit { front: usize, what: String },
    /// The list changes.
    ListChanged { version: u64 },
    /// The list was written to a front up to that version.
    ListAt { front: usize, version: u64 },
    /// Discovery is out of order for a front, or for all of them, from now on.
    DiscoveryOff { front: Option<usize> },
    /// It is in order again.
    DiscoveryOn { front: Option<usize> },
    /// A client sent what can't be used; how long until it got an answer or a close.
    BadClient { front: usize, kind: &'static str, took: Option<Duration> },
    /// A list was written to a front's stream: servers that take no new work, and those that do with their
    /// incarnation.
    ListTold { front: usize, stopped: Vec<u64>, serving: Vec<(u64, u64)> },
    /// A server's process started; `cold`: just now, and not long ago.
    ServerUp { server: u64, incarnation: u64, streams: usize, cold: bool },
    /// A server's process ended, or stands still for good.
    ServerDown { server: u64 },
    /// It fell over under too many set-ups.
    ServerToppled { server: u64 },
    /// A set-up was read by a server; `arrived`: when it came in, earlier where the server stood still.
    SetupRead {
        server: u64,
        front: usize,
        sid: Arc<str>,
        class: usize,
        title: String,
        kbps: u32,
        ran: bool,
        arrived: Duration,
    },
    /// The exchange of that set-up ended: answered, or its connection closed.
    SetupClosed { server: u64, sid: Arc<str>, status: Option<u16> },
    /// A later object was asked for.
    Object { server: u64, front: usize, sid: Arc<str>, kbps: u32 },
    /// A wire held back or delayed what a front wrote to a server, and carries it now; `entered`: when it came in.
    WireLate { front: usize, server: u64, entered: Duration },
    /// A server let a session go.
    SessionEnded { server: u64, sid: Arc<str> },
    /// A server had no open connection for the release of a session.
    ReleaseUnsent { server: u64, sid: Arc<str> },
    /// A server wrote the release of a session on an open connection.
    ReleaseWritten { server: u64, sid: Arc<str> },
    /// A viewer sends the first request of a session; `call` is never used twice.
    Called {
        call: u64,
        sid: Arc<str>,
        front: usize,
        class: usize,
        title: String,
        top: usize,
        patience: Duration,
    },
    /// What it got.
    CallEnded { call: u64, sid: Arc<str>, got: Got },
    /// Bytes came on a viewer's connection that answer nothing.
    Stray { call: u64, sid: Arc<str> },
    /// A viewer of the platform is told that its session is over.
    Released { sid: Arc<str>, cause: i64 },
    /// A session that stands was handed over to a front that has started anew.
    HandedOver { sid: Arc<str>, front: usize },
    /// A viewer's session is over as far as it is concerned.
    ViewerOver { sid: Arc<str> },
}

/// With its time since the day began.
#[derive(Clone, Debug, Serialize)]
pub struct Exchange {
    /// When.
    pub at: Duration,
    /// What.
    #[serde(flatten)]
    pub seen: Seen,
}

/// Takes exchanges down, in the order of their times.
#[derive(Debug)]
pub struct Log {
    start: Instant,
    all: Mutex<Vec<Exchange>>,
}

impl Log {
    /// Begins now.
    pub fn begin() -> Self {
        Log { start: Instant::now(), all: Mutex::default() }
    }

    /// Time since the day began.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Takes one down.
    pub fn put(&self, seen: Seen) {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.start.elapsed();
        all.push(Exchange { at, seen });
    }

    /// Those after the first `n`.
    pub fn after(&self, n: usize) -> Vec<Exchange> {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.get(n..).unwrap_or_default().to_vec()
    }

    /// All of them.
    pub fn take(&self) -> Vec<Exchange> {
        std::mem::take(&mut self.all.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
