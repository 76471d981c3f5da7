//! A viewer's connection: sequential requests, each with exactly one response.
//!
//! At most a head of `listen.head_bytes`, a report of `listen.report_bytes` or one frame of a response is
//! buffered. Time limits: `listen.idle_ms` between requests; `listen.head_ms` for a head once its first byte
//! has arrived, and for a body.

mod conn;

pub(crate) use conn::{Disposition, ViewerConn};

use crate::event_loop::LoopEvent;
use crate::object;
use crate::upstream::{self, ResponseHints, ViewerRequest};
use crate::Shared;
use cloverhollow_hints::cmcd::{self, Record, REPORT_MIME_TYPE};
use cloverhollow_hints::{reconcile, Faults, Group};
use cloverhollow_http::{percent_decode, Method, RequestFrame, RequestHead};
use cloverhollow_net::{lingering_close, read_body, wait_closed, WireError};
use cloverhollow_session::arrival::{self, ArrivalError, Hints};
use cloverhollow_session::{Answer, Input};
use futures_util::StreamExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Answers 503 on a connection that is not served; none of its requests is read.
pub(crate) async fn reject(stream: TcpStream, retry_after: Duration, reason: &str, shared: &Shared) {
    let mut conn = ViewerConn::new(stream, shared);
    conn.keep_alive = false;
    conn.refuse(retry_after, reason, shared).await;
    lingering_close(conn.framed.into_inner()).await;
}

/// Serves a connection until it closes.
pub(crate) async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let listen = &shared.settings.listen;
    let port = stream.peer_addr().map_or(0, |a| a.port());
    let mut conn = ViewerConn::new(stream, &shared);
    loop {
        if conn.framed.read_buffer().is_empty() {
            let mut byte = [0];
            let first_byte =
                timeout(listen.idle_timeout_ms.get(), conn.framed.get_ref().peek(&mut byte)).await;
            if !matches!(first_byte, Ok(Ok(n)) if n > 0) {
                return; // idle for too long, closed, or failed
            }
        }
        let head = match timeout(listen.head_timeout_ms.get(), conn.framed.next()).await {
            Ok(Some(Ok(RequestFrame::Head(head)))) => head,
            Ok(Some(Err(WireError::Malformed(error)))) => {
                tracing::debug!(%error, "malformed request");
                return conn.send_final(error.status()).await;
            }
            Err(_) => return conn.send_final(408).await,
            Ok(_) => return,
        };
        conn.keep_alive = head.keep_alive;
        let max_bytes = listen.max_report_bytes.as_usize();
        let body = timeout(listen.head_timeout_ms.get(), read_body(&mut conn.framed, max_bytes)).await;
        let refused = match body {
            Ok(Ok(Some(body))) => {
                if handle_request(&mut conn, head, body, port, &shared).await == Disposition::Close {
                    return;
                }
                continue;
            }
            Ok(Ok(None)) => 413,
            Ok(Err(WireError::Malformed(error))) => error.status(),
            Ok(Err(WireError::Io(_))) => return,
            Err(_) => 408,
        };
        return conn.send_final(refused).await;
    }
}

async fn handle_request(
    conn: &mut ViewerConn,
    head: RequestHead,
    body: Vec<u8>,
    port: u16,
    shared: &Arc<Shared>,
) -> Disposition {
    match head.method {
        Method::Post if head.target.path() == shared.settings.mapping.report_path => {
            handle_reports(conn, &head, body, shared).await
        }
        Method::Get => handle_object(conn, head, port, shared).await,
        _ => conn.send_status(405).await,
    }
}

/// Handles event and response reports of players (CTA-5004-A), which show that a session is active or has
/// ended.
async fn handle_reports(
    conn: &mut ViewerConn,
    head: &RequestHead,
    body: Vec<u8>,
    shared: &Shared,
) -> Disposition {
    let is_report =
        head.headers.get_str("content-type").is_none_or(|t| t.trim().starts_with(REPORT_MIME_TYPE));
    let Some(body) = String::from_utf8(body).ok().filter(|_| is_report) else {
        return conn.send_status(400).await;
    };
    let mut faults = Faults::default();
    for record in cmcd::read_reports(&body, &mut faults) {
        let Some(sid) = record.sid.as_deref() else { continue };
        if let Some(route) = shared.routes.get(sid) {
            route.record_activity(shared.clock.now());
        }
        if let Some(reason) = arrival::end_reason(&record) {
            let _ = shared
                .event_tx
                .send(LoopEvent::from_input(Input::SessionEnded {
                    sid: sid.into(),
                    reason,
                    load: cloverhollow_session::Load::default(),
                }))
                .await;
        }
    }
    shared.stats.record_hints(&faults, cloverhollow_hints::Contradictions::default());
    conn.send_status(204).await
}

fn read_hints(head: &RequestHead) -> Hints {
    let mut faults = Faults::default();
    let (mut headers, mut query) = (Record::default(), Record::default());
    for group in Group::ALL {
        for line in head.headers.get_all(group.header()) {
            match std::str::from_utf8(line) {
                Ok(text) => headers.read_header(group, text, &mut faults),
                Err(_) => faults.add(cloverhollow_hints::Fault::Malformed),
            }
        }
    }
    if let Some(text) = head.target.query_argument(cmcd::QUERY_PARAM) {
        match percent_decode(text) {
            Some(text) => query.read_query(&text, &mut faults),
            None => faults.add(cloverhollow_hints::Fault::Malformed),
        }
    }
    let (record, contradictions) = reconcile(headers, query);
    Hints { record, faults, contradictions }
}

/// Handles an object request: the first one of a session is a set-up, later ones follow the route.
async fn handle_object(
    conn: &mut ViewerConn,
    head: RequestHead,
    port: u16,
    shared: &Arc<Shared>,
) -> Disposition {
    let started_at = Instant::now();
    let mut hints = read_hints(&head);
    if hints.record.sid.is_none() {
        // A viewer without a usable `sid` gets a session identified by its connection.
        let name = shared.settings.instance.name.as_str();
        hints.record.sid = Some(format!("~{name}-{port}").into());
    }
    let session_end = arrival::end_reason(&hints.record);
    let sid = hints.record.sid.clone().unwrap_or_default();
    if let Some(route) = shared.routes.get(&sid) {
        let request = ViewerRequest { target: head.target, hints: hints.record };
        let disposition = object::serve(conn, &request, &route, shared).await;
        if let Some(reason) = session_end {
            let _ = shared
                .event_tx
                .send(LoopEvent::from_input(Input::SessionEnded {
                    sid: route.sid.clone(),
                    reason,
                    load: cloverhollow_session::Load::default(),
                }))
                .await;
        }
        return disposition;
    }
    let request = Arc::new(ViewerRequest { target: head.target.clone(), hints: hints.record.clone() });
    let viewer = shared.next_viewer_id();
    let parsed = arrival::read(&shared.settings, viewer, head.target.path(), &hints, request.clone());
    let arrival = match parsed {
        Ok(arrival) => arrival,
        Err(ArrivalError::Path | ArrivalError::Class | ArrivalError::Sid) => {
            return conn.send_status(404).await
        }
    };
    let (reply_tx, mut reply_rx) = oneshot::channel();
    let sid = arrival.sid.clone();
    if shared.event_tx.send(LoopEvent::arrival(arrival, reply_tx)).await.is_err() {
        return Disposition::Close;
    }
    let answer = tokio::select! {
        answer = &mut reply_rx => answer,
        () = wait_closed(&conn.framed) => {
            let _ = shared.event_tx.send(LoopEvent::from_input(Input::Disconnected { viewer, sid })).await;
            return Disposition::Close;
        }
    };
    match answer {
        Ok(Answer::Stream { route, response }) => {
            let ResponseHints { cmsd_path, .. } = upstream::response_hints(&response.head, route.kbps());
            let hints = ResponseHints { cmsd_path, ..ResponseHints::default() };
            object::relay(conn, response.head, hints, response.connection, Some(&route), started_at, shared)
                .await
        }
        Ok(Answer::Follow(route)) => object::serve(conn, &request, &route, shared).await,
        Ok(Answer::Refused { retry_after, reason }) => conn.refuse(retry_after, reason.token(), shared).await,
        Ok(Answer::Failed { timed_out, reason }) => {
            conn.fail(if timed_out { 504 } else { 502 }, reason.token(), shared).await
        }
        // The event loop has ended: this front is stopping.
        Err(_) => Disposition::Close,
    }
}
