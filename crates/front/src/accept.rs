//! Accept loop of the viewers' listener, with its connection limit.

use crate::{side_endpoint, viewer, Shared};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Maximum number of connections over the limit that are being answered with 503 at the same time.
const MAX_REJECTIONS: usize = 256;

/// Accepts viewers' connections and serves up to `listen.connections` of them; further ones get 503.
///
/// While the front is closed after repeated crashes, or superseded by a newer process of its name, every
/// connection gets 503 with `Retry-After`.
pub(crate) async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    status: Arc<side_endpoint::FrontStatus>,
) {
    let connection_slots = Arc::new(Semaphore::new(shared.settings.listen.max_connections.as_usize()));
    let rejection_slots = Arc::new(Semaphore::new(MAX_REJECTIONS));
    // Dropping this future drops the set, which aborts the connections' tasks.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    // Usually out of file descriptors: other connections must close first.
                    tracing::warn!(error = %e, "cannot accept a connection");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
            Some(_) = connections.join_next() => continue,
        };
        let _ = stream.set_nodelay(true);
        let time_until_open = status.time_until_open(shared.clock.now());
        let superseded = status.superseded_by().is_some();
        let (retry_after, reason) = match (superseded, time_until_open.is_zero()) {
            (true, _) => (Duration::from_secs(1), "two-lives"),
            (_, true) => (Duration::from_secs(1), "front-full"),
            (_, false) => (time_until_open, "backing-off"),
        };
        match connection_slots.clone().try_acquire_owned() {
            Ok(slot) if time_until_open.is_zero() && !superseded => {
                let shared = shared.clone();
                connections.spawn(async move {
                    viewer::serve(stream, shared).await;
                    drop(slot);
                });
            }
            // Over the second limit as well, the connection is closed without a response.
            _ => {
                if let Ok(slot) = rejection_slots.clone().try_acquire_owned() {
                    let shared = shared.clone();
                    connections.spawn(async move {
                        viewer::reject(stream, retry_after, reason, &shared).await;
                        drop(slot);
                    });
                }
            }
        }
    }
}
