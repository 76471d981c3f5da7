//! The side address: `/health` and `/metrics` for operators, `/v1/knowledge` for peers.

mod feed;

use crate::members::{self, Fleet};
use crate::out;
use crate::peers::PATH;
use crate::Shared;
use bytes::Bytes;
use cloverhollow_http::{Limits, Method, RequestFrame, ResponseHead};
use cloverhollow_knowledge::{KnowledgeLevel, KnowledgeTransfers, LevelReason, MAX_PEERS};
use cloverhollow_net::{write_response, ServerCodec, ServerConn};
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
    level: Mutex<(KnowledgeLevel, LevelReason)>,
    peers: Mutex<BTreeSet<SocketAddr>>,
    feeds: Mutex<KnowledgeTransfers>,
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
            level: Mutex::new((KnowledgeLevel::Cold, LevelReason::NotStarted)),
            peers: Mutex::new(settings.addresses.iter().copied().collect()),
            feeds: Mutex::new(KnowledgeTransfers::new(
                settings.max_feeds.as_usize(),
                settings.retry_after_ms.get(),
            )),
            fleet,
        }
    }

    pub(crate) fn set_list(&self, list: &ServerList) {
        self.version.store(list.version(), Relaxed);
        self.serving.store(list.serving_count() as u64, Relaxed);
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
    pub(crate) fn set_level(&self, level: KnowledgeLevel, why: LevelReason) -> bool {
        std::mem::replace(&mut *lock(&self.level), (level, why)) != (level, why)
    }

    /// Waits until the warm start has ended, one way or the other, and, where a `list` is asked for, until
    /// discovery has told a whole one.
    pub(crate) async fn settled(&self, list: bool) {
        // Looked at now and then: it is a wait of some hundred milliseconds, once.
        while lock(&self.level).0 == KnowledgeLevel::Warming || (list && !self.told.load(Relaxed)) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// The younger process of this front's name, where there is one: then this one takes nothing new.
    pub(crate) fn stepped_back(&self) -> Option<SocketAddr> {
        self.fleet.as_ref()?.stepped_back()
    }

    /// The other fronts, where they are known.
    pub(crate) fn fleet(&self) -> Option<Arc<Fleet>> {
        self.fleet.clone()
    }

    /// How many fronts the decisions may reckon with, where fronts are counted: [`Fleet::counted`].
    pub(crate) fn counted(&self) -> Option<Option<usize>> {
        self.fleet.as_ref()?.counted()
    }

    /// Peers that are known from elsewhere.
    pub(crate) fn set_peers(&self, all: Vec<SocketAddr>) {
        let mut peers = lock(&self.peers);
        let room = MAX_PEERS.saturating_sub(peers.len());
        let new: Vec<_> = all.into_iter().filter(|p| !peers.contains(p)).take(room).collect();
        peers.extend(new);
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
    let mut conn = Framed::new(stream, ServerCodec::new(Limits::default()));
    let Some(Ok(RequestFrame::Head(request))) = conn.next().await else { return };
    let (status, body) = match request.target.path() {
        "/health" => health(shared, state),
        "/metrics" => (200, metrics(shared, state)),
        members::PAGE => match &state.fleet {
            Some(fleet) => (200, fleet.page().to_string()),
            None => (404, String::new()),
        },
        out::PATH => go_out(state, &request.method),
        members::PATH => return feed::tell_members(&mut conn, &request, state).await,
        PATH => return feed::knowledge(&mut conn, &request, shared, state).await,
        _ => (404, String::new()),
    };
    say(&mut conn, ResponseHead::new(status, body.len()), body).await;
}

async fn say(conn: &mut ServerConn, mut head: ResponseHead, body: impl Into<Bytes>) {
    head.keep_alive = false;
    let _ = write_response(conn, head, body).await;
}

/// An operator asks it to go out when it may.
fn go_out(state: &State, method: &Method) -> (u16, String) {
    match state.fleet().filter(|f| f.out().is_some()) {
        None => (404, String::new()),
        Some(_) if *method != Method::Post => (405, String::new()),
        Some(fleet) => {
            fleet.gate.asked.notify_one();
            (202, serde_json::json!({"asked": true}).to_string())
        }
    }
}

/// Whether `/health` says that it is ready.
pub(crate) fn is_ready(shared: &Shared, state: &State) -> bool {
    health(shared, state).0 == 200
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
        "level": level.as_str(),
        "level_why": level_why.as_str(),
        "knows_servers": shared.shelf.latest().server_count(),
        "list_version": state.version.load(Relaxed),
        "servers_serving": serving,
        "sessions": state.held.load(Relaxed),
        "playing": shared.routes.len(),
    });
    (if ready { 200 } else { 503 }, body.to_string())
}

fn metrics(shared: &Shared, state: &State) -> String {
    let mut text = shared.stats.to_prometheus();
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
