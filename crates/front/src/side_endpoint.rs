//! Side endpoint: `/health`, `/metrics`, `/v1/fleet` and `/v1/out` for operators, `/v1/knowledge` and
//! `/v1/members` for other fronts.

mod transfers;

use crate::members::{self, FleetMember};
use crate::out_of_service;
use crate::peers;
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

/// Maximum number of concurrent connections; further ones are closed.
const MAX_CONNECTIONS: usize = 128;
/// Time limit of a connection, from accept to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Status that the front's tasks publish for operators and for each other.
#[derive(Debug)]
pub(crate) struct FrontStatus {
    list_version: AtomicU64,
    servers_serving: AtomicU64,
    sessions: AtomicU64,
    /// True once discovery has sent a full list since the start.
    full_list_received: AtomicBool,
    /// Trust in the records of previous incarnations, and the number of crashes in a row.
    previous_incarnations: OnceLock<(String, usize)>,
    /// Time from which viewers are accepted, on the front's clock, ms.
    accepts_from_ms: AtomicU64,
    level: Mutex<(KnowledgeLevel, LevelReason)>,
    peers: Mutex<BTreeSet<SocketAddr>>,
    transfers: Mutex<KnowledgeTransfers>,
    fleet: Option<Arc<FleetMember>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FrontStatus {
    pub(crate) fn new(settings: &cloverhollow_settings::Peers, fleet: Option<Arc<FleetMember>>) -> Self {
        FrontStatus {
            list_version: AtomicU64::new(0),
            servers_serving: AtomicU64::new(0),
            sessions: AtomicU64::new(0),
            full_list_received: AtomicBool::new(false),
            previous_incarnations: OnceLock::new(),
            accepts_from_ms: AtomicU64::new(0),
            level: Mutex::new((KnowledgeLevel::Cold, LevelReason::NotStarted)),
            peers: Mutex::new(settings.addresses.iter().copied().collect()),
            transfers: Mutex::new(KnowledgeTransfers::new(
                settings.max_feeds.as_usize(),
                settings.retry_after_ms.get(),
            )),
            fleet,
        }
    }

    pub(crate) fn set_list(&self, list: &ServerList) {
        self.list_version.store(list.version(), Relaxed);
        self.servers_serving.store(list.serving_count() as u64, Relaxed);
    }

    pub(crate) fn set_session_count(&self, count: usize) {
        self.sessions.store(count as u64, Relaxed);
    }

    pub(crate) fn set_full_list_received(&self) {
        self.full_list_received.store(true, Relaxed);
    }

    /// Sets the trust in previous incarnations, and the time from which viewers are accepted.
    pub(crate) fn set_previous_incarnations(&self, trust: String, crashes: usize, accepts_from: Duration) {
        let _ = self.previous_incarnations.set((trust, crashes));
        self.accepts_from_ms.store(accepts_from.as_millis() as u64, Relaxed);
    }

    /// Returns the time until viewers are accepted.
    pub(crate) fn time_until_open(&self, now: Duration) -> Duration {
        Duration::from_millis(self.accepts_from_ms.load(Relaxed)).saturating_sub(now)
    }

    /// Sets the warm-up level and its reason. Returns true if either changed.
    pub(crate) fn set_level(&self, level: KnowledgeLevel, reason: LevelReason) -> bool {
        std::mem::replace(&mut *lock(&self.level), (level, reason)) != (level, reason)
    }

    /// Waits until the warm start has ended, and, if `needs_list`, until discovery has sent a full list.
    pub(crate) async fn wait_for_warm_start(&self, needs_list: bool) {
        // Polled: this is a single wait of a few hundred milliseconds.
        while lock(&self.level).0 == KnowledgeLevel::Warming
            || (needs_list && !self.full_list_received.load(Relaxed))
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns the address of a newer process with this front's name. While there is one, this front accepts
    /// nothing new.
    pub(crate) fn superseded_by(&self) -> Option<SocketAddr> {
        self.fleet.as_ref()?.superseded_by()
    }

    /// Returns this front's fleet member, if membership is enabled.
    pub(crate) fn fleet(&self) -> Option<Arc<FleetMember>> {
        self.fleet.clone()
    }

    /// Returns the number of fronts that the policy may assume; see [`FleetMember::fleet_size`].
    pub(crate) fn fleet_size(&self) -> Option<Option<usize>> {
        self.fleet.as_ref()?.fleet_size()
    }

    /// Adds peers that were discovered while running, up to [`MAX_PEERS`] in total.
    pub(crate) fn add_peers(&self, all: Vec<SocketAddr>) {
        let mut peers = lock(&self.peers);
        let capacity = MAX_PEERS.saturating_sub(peers.len());
        let new: Vec<_> = all.into_iter().filter(|peer| !peers.contains(peer)).take(capacity).collect();
        peers.extend(new);
    }
}

pub(crate) async fn run(listener: TcpListener, shared: Arc<Shared>, status: Arc<FrontStatus>) {
    let slots = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    // Dropping this future drops the set, which aborts the connections' tasks.
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
        let Ok(slot) = slots.clone().try_acquire_owned() else { continue };
        let (shared, status) = (shared.clone(), status.clone());
        connections.spawn(async move {
            let _ = timeout(REQUEST_TIMEOUT, serve_connection(stream, &shared, &status)).await;
            drop(slot);
        });
    }
}

async fn serve_connection(stream: TcpStream, shared: &Shared, status: &FrontStatus) {
    let mut conn = Framed::new(stream, ServerCodec::new(Limits::default()));
    let Some(Ok(RequestFrame::Head(request))) = conn.next().await else { return };
    let (code, body) = match request.target.path() {
        "/health" => health(shared, status),
        "/metrics" => (200, metrics(shared, status)),
        members::STATUS_PAGE_PATH => match &status.fleet {
            Some(fleet) => (200, fleet.status_page().to_string()),
            None => (404, String::new()),
        },
        out_of_service::PATH => request_leave(status, &request.method),
        members::PATH => return transfers::send_member_list(&mut conn, &request, status).await,
        peers::PATH => return transfers::send_knowledge(&mut conn, &request, shared, status).await,
        _ => (404, String::new()),
    };
    respond(&mut conn, ResponseHead::new(code, body.len()), body).await;
}

async fn respond(conn: &mut ServerConn, mut head: ResponseHead, body: impl Into<Bytes>) {
    head.keep_alive = false;
    let _ = write_response(conn, head, body).await;
}

/// Handles an operator's request that this front leave service once it holds a permit.
fn request_leave(status: &FrontStatus, method: &Method) -> (u16, String) {
    match status.fleet().filter(|f| f.permits().is_some()) {
        None => (404, String::new()),
        Some(_) if *method != Method::Post => (405, String::new()),
        Some(fleet) => {
            fleet.signals.leave_requested.notify_one();
            (202, serde_json::json!({"asked": true}).to_string())
        }
    }
}

/// Returns true if `/health` reports ready.
pub(crate) fn is_ready(shared: &Shared, status: &FrontStatus) -> bool {
    health(shared, status).0 == 200
}

fn health(shared: &Shared, status: &FrontStatus) -> (u16, String) {
    let serving = status.servers_serving.load(Relaxed);
    let (level, level_reason) = *lock(&status.level);
    let time_until_open = status.time_until_open(shared.clock.now());
    let (trust, crashes) = status.previous_incarnations.get().cloned().unwrap_or_default();
    let write_error = shared.log.status.write_error();
    let reason = if let Some(other) = status.superseded_by() {
        format!("another, younger process bears this name, at {other}")
    } else if !time_until_open.is_zero() {
        format!("{crashes} deaths one after the other: closed for {} ms", time_until_open.as_millis())
    } else if let Some(error) = &write_error {
        format!("paid set-ups cannot be taken down: {error}")
    } else if serving == 0 {
        "no server takes new work".into()
    } else {
        "serving".into()
    };
    let ready = reason == "serving";
    let body = serde_json::json!({
        "name": shared.settings.instance.name.as_str(),
        "ready": ready,
        "why": reason,
        "before": trust,
        "deaths": crashes,
        "level": level.as_str(),
        "level_why": level_reason.as_str(),
        "knows_servers": shared.knowledge.latest().server_count(),
        "list_version": status.list_version.load(Relaxed),
        "servers_serving": serving,
        "sessions": status.sessions.load(Relaxed),
        "playing": shared.routes.len(),
    });
    (if ready { 200 } else { 503 }, body.to_string())
}

fn metrics(shared: &Shared, status: &FrontStatus) -> String {
    let mut text = shared.stats.to_prometheus();
    for (name, n) in [
        ("sessions", &status.sessions),
        ("servers_serving", &status.servers_serving),
        ("list_version", &status.list_version),
    ] {
        text.push_str(&format!("cloverhollow_{name} {}\n", n.load(Relaxed)));
    }
    let log_status = &shared.log.status;
    for (name, n) in
        [("kept", &log_status.persisted), ("refused", &log_status.rejected), ("writes", &log_status.writes)]
    {
        text.push_str(&format!("cloverhollow_deeds_{name}_total {}\n", n.load(Relaxed)));
    }
    text.push_str(&format!("cloverhollow_level {}\n", lock(&status.level).0 as u8));
    text
}
