//! Later objects of established sessions, and the relay of server responses to viewers.

use crate::connection_pool::{AcquireError, PooledConnection};
use crate::event_loop::LoopEvent;
use crate::upstream::{self, ResponseHints, ViewerRequest};
use crate::viewer::{Disposition, ViewerConn};
use crate::Shared;
use bytes::Bytes;
use cloverhollow_hints::cmsd;
use cloverhollow_http::{ResponseFrame, ResponseHead};
use cloverhollow_net::WireError;
use cloverhollow_session::{Input, Route};
use futures_util::{FutureExt, SinkExt};
use std::sync::atomic::Ordering::Relaxed;
use std::time::Instant;
use tokio::time::timeout;

/// Reason why an object was not fetched.
enum FetchError {
    /// All of the front's connections to the server are in use; the session continues.
    PoolExhausted,
    /// The server no longer holds the session, or does not respond.
    Lost { timed_out: bool },
}

/// Fetches an object and relays it. Sends exactly one response in every case.
pub(crate) async fn serve(
    viewer_conn: &mut ViewerConn,
    request: &ViewerRequest,
    route: &Route,
    shared: &Shared,
) -> Disposition {
    let fetch_guard = route.begin_fetch();
    let disposition = fetch_and_relay(viewer_conn, request, route, shared).await;
    // Activity is recorded before the session can count as idle. If the viewer disconnects, this future is
    // dropped and the idle time runs from the previous record.
    route.record_activity(shared.clock.now());
    drop(fetch_guard);
    disposition
}

async fn fetch_and_relay(
    viewer_conn: &mut ViewerConn,
    request: &ViewerRequest,
    route: &Route,
    shared: &Shared,
) -> Disposition {
    let started_at = Instant::now();
    route.record_activity(shared.clock.now());
    shared.stats.objects.fetch_add(1, Relaxed);
    match fetch(request, route, shared).await {
        Ok((head, server_conn)) => {
            let hints = upstream::response_hints(&head, route.kbps());
            if hints.unknown_session {
                report_session_lost(route, shared).await;
                return viewer_conn.fail(502, "unknown-session", shared).await;
            }
            let settings = &shared.settings.load_reports;
            let (interval, short_interval) =
                (settings.interval_ms.get(), settings.short_delivery_interval_ms.get());
            if let Some(load) =
                route.report_throttle.take_due(shared.clock.now(), hints.load, interval, short_interval)
            {
                let (request_id, server) = (route.request, route.server);
                // An event loop that is behind can do without one load report.
                let _ = shared.event_tx.try_send(LoopEvent::from_input(Input::LoadReport {
                    request: request_id,
                    server,
                    load,
                }));
            }
            relay(viewer_conn, head, hints, server_conn, Some(route), started_at, shared).await
        }
        Err(FetchError::PoolExhausted) => {
            viewer_conn.refuse(shared.settings.limits.max_retry_after_ms.get(), "front-full", shared).await
        }
        Err(FetchError::Lost { timed_out }) => {
            report_session_lost(route, shared).await;
            viewer_conn.fail(if timed_out { 504 } else { 502 }, "session-lost", shared).await
        }
    }
}

async fn report_session_lost(route: &Route, shared: &Shared) {
    let _ = shared.event_tx.send(LoopEvent::from_input(Input::SessionLost { request: route.request })).await;
}

/// Requests an object and returns the head of the response, with a limit of `servers.object_ms` for each try.
///
/// A reused connection that closes before the response is tried once more on a new one, which is safe because
/// later objects set nothing up.
async fn fetch(
    request: &ViewerRequest,
    route: &Route,
    shared: &Shared,
) -> Result<(ResponseHead, PooledConnection), FetchError> {
    let mut require_new = false;
    loop {
        let server_conn = shared.pools.acquire(route.server, route.address, require_new).await;
        let mut server_conn = server_conn.map_err(|e| match e {
            AcquireError::PoolExhausted => FetchError::PoolExhausted,
            AcquireError::ConnectFailed(_) => FetchError::Lost { timed_out: false },
        })?;
        let head = upstream::object_request(request, route, shared);
        let exchange = async {
            server_conn.client().send_request(head, Bytes::new()).await?;
            server_conn.client().read_head().await
        };
        match timeout(shared.settings.servers.head_timeout_ms.get(), exchange).await {
            Ok(Ok(head)) => return Ok((head, server_conn)),
            Ok(Err(_)) if server_conn.reused => require_new = true,
            Ok(Err(_)) => return Err(FetchError::Lost { timed_out: false }),
            Err(_) => return Err(FetchError::Lost { timed_out: true }),
        }
    }
}

/// Relays a response as it arrives; at most one frame is buffered.
///
/// The viewer has `listen.write_ms` to accept each part, the server `servers.body_ms` to send it.
pub(crate) async fn relay(
    viewer_conn: &mut ViewerConn,
    head: ResponseHead,
    hints: ResponseHints,
    mut server_conn: PooledConnection,
    route: Option<&Route>,
    started_at: Instant,
    shared: &Shared,
) -> Disposition {
    let hop = upstream::own_cmsd_hop(shared, route, started_at.elapsed().as_millis() as u32);
    let mut relayed_head =
        ResponseHead { keep_alive: viewer_conn.keep_alive, ..ResponseHead::new(head.status, 0) };
    relayed_head.framing = head.framing;
    relayed_head.headers = head.headers.without(cmsd::DYNAMIC_HEADER);
    relayed_head.headers.push(cmsd::DYNAMIC_HEADER, hop.append_to(&hints.cmsd_path));
    relayed_head.headers.push("via", shared.via.clone());
    let write_timeout = shared.settings.listen.write_timeout_ms.get();
    let relay_body = async {
        viewer_conn.framed.feed(ResponseFrame::Head(relayed_head)).await?;
        loop {
            // Flushed only when the server has no more data ready: a small response goes out in one write.
            let ready = server_conn.client().read_body_chunk().now_or_never();
            let data = match ready {
                Some(data) => data?,
                None => {
                    timeout(write_timeout, viewer_conn.framed.flush())
                        .await
                        .map_err(|_| timeout_error())??;
                    let next = timeout(
                        shared.settings.servers.body_timeout_ms.get(),
                        server_conn.client().read_body_chunk(),
                    )
                    .await;
                    next.map_err(|_| timeout_error())??
                }
            };
            match data {
                Some(data) => {
                    timeout(write_timeout, viewer_conn.framed.feed(ResponseFrame::Data(data)))
                        .await
                        .map_err(|_| timeout_error())??;
                }
                None => break,
            }
        }
        timeout(write_timeout, viewer_conn.framed.send(ResponseFrame::End))
            .await
            .map_err(|_| timeout_error())??;
        Ok::<(), WireError>(())
    };
    match relay_body.await {
        Ok(()) => {
            server_conn.return_to_pool();
            viewer_conn.disposition()
        }
        // The response has begun, so the buffered part is flushed and the close shows the viewer that it was
        // cut. Guards against a response that is buffered but never written, as if the front had not
        // answered.
        Err(e) => {
            let _ = timeout(write_timeout, viewer_conn.framed.flush()).await;
            tracing::debug!(session = route.map(|r| &*r.sid), error = %e, "response cut off");
            Disposition::Close
        }
    }
}

fn timeout_error() -> WireError {
    std::io::Error::from(std::io::ErrorKind::TimedOut).into()
}
