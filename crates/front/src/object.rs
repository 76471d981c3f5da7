//! Later objects of a session that plays, and the relay of any server's answer to its viewer.

use crate::desk::Mail;
use crate::pool::{Lease, LeaseError};
use crate::upstream::{self, Ask, Told};
use crate::viewer::{Flow, ViewerConn};
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

/// Why a later object was not had.
enum Miss {
    /// The front's own connections are all in use: the session plays on.
    Busy,
    /// The server has lost the session, or is lost itself.
    Lost { late: bool },
}

/// Fetches a later object and relays it. One answer in any case.
pub(crate) async fn serve(conn: &mut ViewerConn, ask: &Ask, route: &Route, shared: &Shared) -> Flow {
    let fetching = route.begin_fetch();
    let flow = answer(conn, ask, route, shared).await;
    // Heard of before it may count as idle. If the viewer goes, this is dropped, and its idle time counts from before.
    route.record_activity(shared.clock.now());
    drop(fetching);
    flow
}

async fn answer(conn: &mut ViewerConn, ask: &Ask, route: &Route, shared: &Shared) -> Flow {
    let begun = Instant::now();
    route.record_activity(shared.clock.now());
    shared.stats.objects.fetch_add(1, Relaxed);
    match fetch(ask, route, shared).await {
        Ok((head, lease)) => {
            let told = upstream::told(&head, route.kbps());
            if told.unknown {
                lose(route, shared).await;
                return conn.fail(502, "unknown-session", shared).await;
            }
            let settings = &shared.settings.load_reports;
            let (every, short) = (settings.interval_ms.get(), settings.short_delivery_interval_ms.get());
            if let Some(load) = route.report_throttle.take_due(shared.clock.now(), told.load, every, short) {
                let (request, server) = (route.request, route.server);
                // A desk that is behind can do without one reading.
                let _ = shared.desk.try_send(Mail::of(Input::LoadReport { request, server, load }));
            }
            relay(conn, head, told, lease, Some(route), begun, shared).await
        }
        Err(Miss::Busy) => {
            conn.refuse(shared.settings.limits.max_retry_after_ms.get(), "front-full", shared).await
        }
        Err(Miss::Lost { late }) => {
            lose(route, shared).await;
            conn.fail(if late { 504 } else { 502 }, "session-lost", shared).await
        }
    }
}

async fn lose(route: &Route, shared: &Shared) {
    let _ = shared.desk.send(Mail::of(Input::SessionLost { request: route.request })).await;
}

/// The head of the object's answer, within `servers.object_ms` a try. A used connection that closes before
/// its answer is tried once more on a new one: later objects set nothing up.
async fn fetch(ask: &Ask, route: &Route, shared: &Shared) -> Result<(ResponseHead, Lease), Miss> {
    let mut fresh = false;
    loop {
        let lease = shared.pools.lease(route.server, route.address, fresh).await;
        let mut lease = lease.map_err(|e| match e {
            LeaseError::Busy => Miss::Busy,
            LeaseError::NotConnected(_) => Miss::Lost { late: false },
        })?;
        let head = upstream::object_head(ask, route, shared);
        let exchange = async {
            lease.conn().send_request(head, Bytes::new()).await?;
            lease.conn().read_head().await
        };
        match timeout(shared.settings.servers.head_timeout_ms.get(), exchange).await {
            Ok(Ok(head)) => return Ok((head, lease)),
            Ok(Err(_)) if lease.used => fresh = true,
            Ok(Err(_)) => return Err(Miss::Lost { late: false }),
            Err(_) => return Err(Miss::Lost { late: true }),
        }
    }
}

/// Passes an answer on as it comes: at most one frame is held. The viewer has `listen.write_ms` to take each
/// part, the server `servers.body_ms` to send it.
pub(crate) async fn relay(
    conn: &mut ViewerConn,
    head: ResponseHead,
    told: Told,
    mut lease: Lease,
    route: Option<&Route>,
    begun: Instant,
    shared: &Shared,
) -> Flow {
    let hop = upstream::own_hop(shared, route, begun.elapsed().as_millis() as u32);
    let mut out = ResponseHead { keep_alive: conn.keep_alive, ..ResponseHead::new(head.status, 0) };
    out.framing = head.framing;
    out.headers = head.headers.without(cmsd::DYNAMIC_HEADER);
    out.headers.push(cmsd::DYNAMIC_HEADER, hop.append_to(&told.path));
    out.headers.push("via", shared.via.clone());
    let write = shared.settings.listen.write_timeout_ms.get();
    let passed = async {
        conn.framed.feed(ResponseFrame::Head(out)).await?;
        loop {
            // Flushed only when the server has nothing more at hand: small answers go out in one write.
            let ready = lease.conn().read_body_chunk().now_or_never();
            let data = match ready {
                Some(data) => data?,
                None => {
                    timeout(write, conn.framed.flush()).await.map_err(|_| late())??;
                    let next = timeout(
                        shared.settings.servers.body_timeout_ms.get(),
                        lease.conn().read_body_chunk(),
                    )
                    .await;
                    next.map_err(|_| late())??
                }
            };
            match data {
                Some(data) => {
                    timeout(write, conn.framed.feed(ResponseFrame::Data(data)))
                        .await
                        .map_err(|_| late())??;
                }
                None => break,
            }
        }
        timeout(write, conn.framed.send(ResponseFrame::End)).await.map_err(|_| late())??;
        Ok::<(), WireError>(())
    };
    match passed.await {
        Ok(()) => {
            lease.give_back();
            conn.flow()
        }
        // Its one answer has begun: what there is of it goes out, and the close shows the viewer the cut.
        // Guards against an answer that was fed and never written, as if the front had said nothing.
        Err(e) => {
            let _ = timeout(write, conn.framed.flush()).await;
            tracing::debug!(session = route.map(|r| &*r.sid), error = %e, "answer cut");
            Flow::Close
        }
    }
}

fn late() -> WireError {
    std::io::Error::from(std::io::ErrorKind::TimedOut).into()
}
