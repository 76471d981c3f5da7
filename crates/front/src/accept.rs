//! Viewers' connections are taken, or turned away.

use crate::{side, viewer, Shared};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Most connections past the cap that are being told so at a time.
const TURNED_AWAY: usize = 256;

/// Takes connections, `listen.connections` at a time; one past them gets 503 at once.
/// While the front is closed after deaths, each gets 503 with when to come back.
pub(crate) async fn accept(listener: TcpListener, shared: Arc<Shared>, state: Arc<side::State>) {
    let room = Arc::new(Semaphore::new(shared.settings.listen.max_connections.as_usize()));
    let turning = Arc::new(Semaphore::new(TURNED_AWAY));
    // Dropped with this future, and the connections' tasks with it.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    // Out of file descriptors, most likely: others must end first.
                    tracing::warn!(error = %e, "cannot accept");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
            Some(_) = connections.join_next() => continue,
        };
        let _ = stream.set_nodelay(true);
        let closed = state.closed_for(shared.clock.now());
        let stepped_back = state.stepped_back().is_some();
        let (after, reason) = match (stepped_back, closed.is_zero()) {
            (true, _) => (Duration::from_secs(1), "two-lives"),
            (_, true) => (Duration::from_secs(1), "front-full"),
            (_, false) => (closed, "backing-off"),
        };
        match room.clone().try_acquire_owned() {
            Ok(permit) if closed.is_zero() && !stepped_back => {
                let shared = shared.clone();
                connections.spawn(async move {
                    viewer::serve(stream, shared).await;
                    drop(permit);
                });
            }
            // Past that bound too, it is just closed.
            _ => {
                if let Ok(permit) = turning.clone().try_acquire_owned() {
                    let shared = shared.clone();
                    connections.spawn(async move {
                        viewer::turn_away(stream, after, reason, &shared).await;
                        drop(permit);
                    });
                }
            }
        }
    }
}
