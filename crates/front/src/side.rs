//! `/health` and `/metrics` for operators.

use crate::Shared;
use cloverhollow_http::{Limits, RequestFrame, ResponseHead};
use cloverhollow_net::{answer, ServerSide};
use cloverhollow_session::ServerList;
use futures_util::StreamExt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Most side connections at once; a further one is closed.
const MOST: usize = 32;
/// Time for one of them, from accept to answer.
const WITHIN: Duration = Duration::from_secs(5);

/// What the desk says of itself.
#[derive(Debug, Default)]
pub(crate) struct State {
    version: AtomicU64,
    serving: AtomicU64,
    held: AtomicU64,
}

impl State {
    pub(crate) fn set_list(&self, list: &ServerList) {
        self.version.store(list.version(), Relaxed);
        self.serving.store(list.serving() as u64, Relaxed);
    }

    pub(crate) fn set_held(&self, held: usize) {
        self.held.store(held as u64, Relaxed);
    }
}

pub(crate) async fn run(listener: TcpListener, shared: Arc<Shared>, state: Arc<State>) {
    let room = Arc::new(tokio::sync::Semaphore::new(MOST));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = room.clone().try_acquire_owned() else { continue };
        let (shared, state) = (shared.clone(), state.clone());
        tokio::spawn(async move {
            let _ = timeout(WITHIN, one(stream, &shared, &state)).await;
            drop(permit);
        });
    }
}

async fn one(stream: TcpStream, shared: &Shared, state: &State) {
    let mut conn = Framed::new(stream, ServerSide::new(Limits::default()));
    let Some(Ok(RequestFrame::Head(request))) = conn.next().await else { return };
    let (version, serving, held) =
        (state.version.load(Relaxed), state.serving.load(Relaxed), state.held.load(Relaxed));
    let (status, body) = match request.target.path() {
        "/health" => {
            let ready = serving > 0;
            let body = serde_json::json!({
                "name": shared.settings.instance.name.as_str(),
                "ready": ready,
                "why": if ready { "serving" } else { "no server takes new work" },
                "list_version": version,
                "servers_serving": serving,
                "sessions": held,
                "playing": shared.routes.len(),
            });
            (if ready { 200 } else { 503 }, body.to_string())
        }
        "/metrics" => {
            let mut text = shared.stats.text();
            for (name, n) in [("sessions", held), ("servers_serving", serving), ("list_version", version)] {
                text.push_str(&format!("cloverhollow_{name} {n}\n"));
            }
            (200, text)
        }
        _ => (404, String::new()),
    };
    let mut head = ResponseHead::new(status, body.len());
    head.keep_alive = false;
    let _ = answer(&mut conn, head, body).await;
}
