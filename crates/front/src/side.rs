//! The side address: `/health` and `/metrics` for operators, `/v1/knowledge` for peers.

use crate::members::{self, Fleet};
use crate::peers::{AFTER, FORMAT_ARG, FROM, HOLD_OFF, NONCE, PATH};
use crate::Shared;
use bytes::Bytes;
use cloverhollow_http::{Limits, RequestFrame, RequestHead, ResponseHead};
use cloverhollow_knowledge::{wire, Feeds, Level, Why, MOST_PEERS};
use cloverhollow_net::{answer, ServerConn, ServerSide};
use cloverhollow_session::ServerList;
use futures_util::StreamExt;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Most side connections at once; a further one is closed.
const MOST: usize = 128;
/// Time for one of them, from accept to answer.
const WITHIN: Duration = Duration::from_secs(5);

/// What the front's tasks say of themselves.
#[derive(Debug)]
pub(crate) struct State {
    version: AtomicU64,
    serving: AtomicU64,
    held: AtomicU64,
    /// Discovery has told a whole list since the start.
    told: AtomicBool,
    /// What is proven of earlier lives, and how often they died.
    before: OnceLock<(String, usize)>,
    /// Viewers are taken from then on, on the front's clock, ms.
    open_ms: AtomicU64,
    level: Mutex<(Level, Why)>,
    peers: Mutex<BTreeSet<SocketAddr>>,
    feeds: Mutex<Feeds>,
    fleet: Option<Arc<Fleet>>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    pub(crate) fn new(settings: &cloverhollow_settings::Peers, fleet: Option<Arc<Fleet>>) -> Self {
        State {
            version: AtomicU64::new(0),
            serving: AtomicU64::new(0),
            held: AtomicU64::new(0),
            told: AtomicBool::new(false),
            before: OnceLock::new(),
            open_ms: AtomicU64::new(0),
            level: Mutex::new((Level::Cold, Why::NotBegun)),
            peers: Mutex::new(settings.addresses.iter().copied().collect()),
            feeds: Mutex::new(Feeds::new(settings.feeds.count(), settings.hold_off_ms.get())),
            fleet,
        }
    }

    pub(crate) fn set_list(&self, list: &ServerList) {
        self.version.store(list.version(), Relaxed);
        self.serving.store(list.serving() as u64, Relaxed);
    }

    pub(crate) fn set_held(&self, held: usize) {
        self.held.store(held as u64, Relaxed);
    }

    pub(crate) fn set_told(&self) {
        self.told.store(true, Relaxed);
    }

    /// Sets what is known of earlier lives, and when viewers are taken by it.
    pub(crate) fn set_before(&self, proven: String, deaths: usize, open: Duration) {
        let _ = self.before.set((proven, deaths));
        self.open_ms.store(open.as_millis() as u64, Relaxed);
    }

    /// How long until viewers are taken.
    pub(crate) fn closed_for(&self, now: Duration) -> Duration {
        Duration::from_millis(self.open_ms.load(Relaxed)).saturating_sub(now)
    }

    /// Sets how warm the front is; whether that changed.
    pub(crate) fn set_level(&self, level: Level, why: Why) -> bool {
        std::mem::replace(&mut *lock(&self.level), (level, why)) != (level, why)
    }

    /// Waits until the warm start has ended, one way or the other, and, where a `list` is asked for, until
    /// discovery has told a whole one.
    pub(crate) async fn settled(&self, list: bool) {
        // Looked at now and then: it is a wait of some hundred milliseconds, once.
        while lock(&self.level).0 == Level::Warming || (list && !self.told.load(Relaxed)) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// The younger process of this front's name, where there is one: then this one takes nothing new.
    pub(crate) fn stepped_back(&self) -> Option<SocketAddr> {
        self.fleet.as_ref()?.stepped_back()
    }

    /// How many fronts the decisions may reckon with, where fronts are counted: [`Fleet::counted`].
    pub(crate) fn counted(&self) -> Option<Option<usize>> {
        self.fleet.as_ref()?.counted()
    }

    /// Peers that are known from elsewhere.
    pub(crate) fn set_peers(&self, all: Vec<SocketAddr>) {
        let mut peers = lock(&self.peers);
        let room = MOST_PEERS.saturating_sub(peers.len());
        let new: Vec<_> = all.into_iter().filter(|p| !peers.contains(p)).take(room).collect();
        peers.extend(new);
    }
}

/// Ends a feed however its connection ends.
struct Feeding<'a>(&'a State);

impl Drop for Feeding<'_> {
    fn drop(&mut self) {
        lock(&self.0.feeds).end();
    }
}

pub(crate) async fn run(listener: TcpListener, shared: Arc<Shared>, state: Arc<State>) {
    let room = Arc::new(tokio::sync::Semaphore::new(MOST));
    // Dropped with this future, and the connections' tasks with it.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = room.clone().try_acquire_owned() else { continue };
        let (shared, state) = (shared.clone(), state.clone());
        connections.spawn(async move {
            let _ = timeout(WITHIN, one(stream, &shared, &state)).await;
            drop(permit);
        });
    }
}

async fn one(stream: TcpStream, shared: &Shared, state: &State) {
    let mut conn = Framed::new(stream, ServerSide::new(Limits::default()));
    let Some(Ok(RequestFrame::Head(request))) = conn.next().await else { return };
    let (status, body) = match request.target.path() {
        "/health" => health(shared, state),
        "/metrics" => (200, metrics(shared, state)),
        members::PAGE => match &state.fleet {
            Some(fleet) => (200, fleet.page().to_string()),
            None => (404, String::new()),
        },
        members::PATH => return tell_members(&mut conn, &request, state).await,
        PATH => return knowledge(&mut conn, &request, shared, state).await,
        _ => (404, String::new()),
    };
    say(&mut conn, ResponseHead::new(status, body.len()), body).await;
}

async fn say(conn: &mut ServerConn, mut head: ResponseHead, body: impl Into<Bytes>) {
    head.keep_alive = false;
    let _ = answer(conn, head, body).await;
}

fn health(shared: &Shared, state: &State) -> (u16, String) {
    let serving = state.serving.load(Relaxed);
    let (level, level_why) = *lock(&state.level);
    let closed = state.closed_for(shared.clock.now());
    let (proven, deaths) = state.before.get().cloned().unwrap_or_default();
    let failing = shared.journal.status.failing();
    let why = if let Some(other) = state.stepped_back() {
        format!("another, younger process bears this name, at {other}")
    } else if !closed.is_zero() {
        format!("{deaths} deaths one after the other: closed for {} ms", closed.as_millis())
    } else if let Some(error) = &failing {
        format!("paid set-ups cannot be taken down: {error}")
    } else if serving == 0 {
        "no server takes new work".into()
    } else {
        "serving".into()
    };
    let ready = why == "serving";
    let body = serde_json::json!({
        "name": shared.settings.instance.name.as_str(),
        "ready": ready,
        "why": why,
        "before": proven,
        "deaths": deaths,
        "level": level.word(),
        "level_why": level_why.words(),
        "knows_servers": shared.shelf.view().servers(),
        "list_version": state.version.load(Relaxed),
        "servers_serving": serving,
        "sessions": state.held.load(Relaxed),
        "playing": shared.routes.len(),
    });
    (if ready { 200 } else { 503 }, body.to_string())
}

fn metrics(shared: &Shared, state: &State) -> String {
    let mut text = shared.stats.text();
    for (name, n) in
        [("sessions", &state.held), ("servers_serving", &state.serving), ("list_version", &state.version)]
    {
        text.push_str(&format!("cloverhollow_{name} {}\n", n.load(Relaxed)));
    }
    let status = &shared.journal.status;
    for (name, n) in [("kept", &status.kept), ("refused", &status.refused), ("writes", &status.writes)] {
        text.push_str(&format!("cloverhollow_deeds_{name}_total {}\n", n.load(Relaxed)));
    }
    text.push_str(&format!("cloverhollow_level {}\n", lock(&state.level).0 as u8));
    text
}

/// A member asks for all that this one holds of the others.
async fn tell_members(conn: &mut ServerConn, request: &RequestHead, state: &State) {
    let nonce = request.target.argument(members::NONCE).and_then(|t| t.parse::<u64>().ok());
    let body = nonce.and_then(|nonce| state.fleet.as_ref()?.records(nonce));
    let status = if body.is_some() { 200 } else { 404 };
    let body = body.unwrap_or_default();
    say(conn, ResponseHead::new(status, body.len()), body).await;
}

/// A peer asks: the whole, a delta, or the rest of what was cut off.
async fn knowledge(conn: &mut ServerConn, request: &RequestHead, shared: &Shared, state: &State) {
    let number = |name: &str| request.target.argument(name).and_then(|t| t.parse::<u64>().ok());
    let Some(nonce) = number(NONCE) else { return say(conn, ResponseHead::new(400, 0), Bytes::new()).await };
    if number(FORMAT_ARG) != Some(wire::FORMAT.into()) {
        return say(conn, ResponseHead::new(406, 0), Bytes::new()).await;
    }
    let begun = lock(&state.feeds).begin();
    if let Err(refused) = begun {
        let mut head = ResponseHead::new(503, 0);
        head.headers.push("retry-after", refused.after.as_secs_f64().ceil().to_string());
        head.headers.push(HOLD_OFF, refused.after.as_millis().to_string());
        return say(conn, head, Bytes::new()).await;
    }
    let _feeding = Feeding(state);
    shared.stats.peer_fed.fetch_add(1, Relaxed);
    let now = shared.clock.now();
    let text = |name: &str| request.headers.text(name);
    let tag = text("if-range").and_then(|t| t.trim_matches('"').parse().ok());
    let from = text("range").and_then(|r| r.strip_prefix("bytes=")?.strip_suffix('-')?.parse::<usize>().ok());
    let kept = tag.and_then(|tag| lock(&state.feeds).kept(now, tag));
    let (status, kept, from) = match (kept, from) {
        (Some(kept), Some(from)) if from <= kept.bytes.len() => (206, kept, from),
        _ => {
            if let Some(peer) = request.target.argument(FROM).and_then(|a| a.parse().ok()) {
                state.set_peers(vec![peer]);
            }
            let peers = lock(&state.peers).iter().copied().take(MOST_PEERS).collect();
            let level = lock(&state.level).0;
            let begun = std::time::Instant::now();
            let message = shared.shelf.view().message(now, nonce, number(AFTER), level, peers);
            let Ok(bytes) = message.encode() else {
                return say(conn, ResponseHead::new(500, 0), Bytes::new()).await;
            };
            shared.stats.peer_fed_us.fetch_add(begun.elapsed().as_micros() as u64, Relaxed);
            (200, lock(&state.feeds).keep(now, bytes), 0)
        }
    };
    let rest = Bytes::copy_from_slice(&kept.bytes[from..]);
    shared.stats.peer_fed_bytes.fetch_add(rest.len() as u64, Relaxed);
    let mut head = ResponseHead::new(status, rest.len());
    head.headers.push("content-type", "application/vnd.cloverhollow.knowledge");
    head.headers.push("etag", format!("\"{}\"", kept.tag));
    if status == 206 {
        let last = kept.bytes.len().saturating_sub(1);
        head.headers.push("content-range", format!("bytes {from}-{last}/{}", kept.bytes.len()));
    }
    say(conn, head, rest).await;
}
