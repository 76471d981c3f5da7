//! A viewer's connection: sequential requests, each with exactly one response. It holds at most a head of
//! `listen.head_bytes`, a report of `listen.report_bytes` or one frame of a response. Time limits: `listen.idle_ms`
//! between requests; `listen.head_ms` for a head once its first byte has arrived, and for a body.

use crate::desk::Mail;
use crate::object;
use crate::upstream::{self, Ask, Told};
use crate::Shared;
use cloverhollow_hints::cmcd::{self, Record, REPORT_MIME_TYPE};
use cloverhollow_hints::cmsd;
use cloverhollow_hints::{reconcile, Faults, Group};
use cloverhollow_http::{percent_decode, Limits, Method, RequestFrame, RequestHead, ResponseHead};
use cloverhollow_net::{
    lingering_close, read_body, wait_closed, write_response, ServerCodec, ServerConn, WireError,
};
use cloverhollow_session::arrival::{self, ArrivalError, Hints};
use cloverhollow_session::{Answer, Input};
use futures_util::StreamExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Whether the connection serves on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flow {
    Next,
    Close,
}

/// A viewer's connection and whether it stays open after the answer at hand.
pub(crate) struct ViewerConn {
    pub(crate) framed: ServerConn,
    pub(crate) keep_alive: bool,
    write: Duration,
}

impl ViewerConn {
    fn new(stream: TcpStream, shared: &Shared) -> Self {
        let listen = &shared.settings.listen;
        let limits = Limits {
            max_head_bytes: listen.max_head_bytes.as_usize(),
            max_headers: listen.max_headers.as_usize(),
            ..Limits::default()
        };
        let framed = Framed::with_capacity(stream, ServerCodec::new(limits), 2048);
        ViewerConn { framed, keep_alive: true, write: listen.write_timeout_ms.get() }
    }

    /// Whether to go on, after a whole answer.
    pub(crate) fn flow(&self) -> Flow {
        if self.keep_alive {
            Flow::Next
        } else {
            Flow::Close
        }
    }

    async fn send(&mut self, mut head: ResponseHead, body: &'static str) -> Flow {
        head.keep_alive = self.keep_alive;
        head.framing = cloverhollow_http::Framing::Length(body.len() as u64);
        match timeout(self.write, write_response(&mut self.framed, head, body)).await {
            Ok(Ok(())) => self.flow(),
            _ => Flow::Close,
        }
    }

    /// An answer without a session's hints.
    pub(crate) async fn plain(&mut self, status: u16) -> Flow {
        self.send(ResponseHead::new(status, 0), "").await
    }

    /// An answer after which nothing more is read as a request: where the next one begins is unknown.
    async fn last_word(mut self, status: u16) {
        self.keep_alive = false;
        self.plain(status).await;
        lingering_close(self.framed.into_inner()).await;
    }

    async fn no_session(
        &mut self,
        status: u16,
        reason: &str,
        after: Option<Duration>,
        shared: &Shared,
    ) -> Flow {
        let mut head = ResponseHead::new(status, 0);
        if let Some(after) = after {
            // Whole seconds only (RFC 9110, section 10.2.3): never sooner than the hold-off.
            head.headers.push("retry-after", after.as_secs_f64().ceil().to_string());
        }
        let hop = cmsd::Hop { reason: Some(reason.into()), ..upstream::own_hop(shared, None, 0) };
        head.headers.push(cmsd::DYNAMIC_HEADER, hop.serialize());
        self.send(head, "").await
    }

    /// 503: nothing ran, come back after this.
    pub(crate) async fn refuse(&mut self, after: Duration, reason: &str, shared: &Shared) -> Flow {
        self.no_session(503, reason, Some(after), shared).await
    }

    /// 502 or 504: something may have run.
    pub(crate) async fn fail(&mut self, status: u16, reason: &str, shared: &Shared) -> Flow {
        self.no_session(status, reason, None, shared).await
    }
}

/// Answers a connection that is not served; no request of it is read.
pub(crate) async fn turn_away(stream: TcpStream, after: Duration, reason: &str, shared: &Shared) {
    let mut conn = ViewerConn::new(stream, shared);
    conn.keep_alive = false;
    conn.refuse(after, reason, shared).await;
    lingering_close(conn.framed.into_inner()).await;
}

/// Serves a connection to its end.
pub(crate) async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let listen = &shared.settings.listen;
    let port = stream.peer_addr().map_or(0, |a| a.port());
    let mut conn = ViewerConn::new(stream, &shared);
    loop {
        if conn.framed.read_buffer().is_empty() {
            let mut byte = [0];
            let first = timeout(listen.idle_timeout_ms.get(), conn.framed.get_ref().peek(&mut byte)).await;
            if !matches!(first, Ok(Ok(n)) if n > 0) {
                return; // idle for too long, closed or broken
            }
        }
        let head = match timeout(listen.head_timeout_ms.get(), conn.framed.next()).await {
            Ok(Some(Ok(RequestFrame::Head(head)))) => head,
            Ok(Some(Err(WireError::Malformed(m)))) => {
                tracing::debug!(error = %m, "malformed request");
                return conn.last_word(m.status()).await;
            }
            Err(_) => return conn.last_word(408).await,
            Ok(_) => return,
        };
        conn.keep_alive = head.keep_alive;
        let max_bytes = listen.max_report_bytes.as_usize();
        let body = timeout(listen.head_timeout_ms.get(), read_body(&mut conn.framed, max_bytes)).await;
        let refused = match body {
            Ok(Ok(Some(body))) => {
                if request(&mut conn, head, body, port, &shared).await == Flow::Close {
                    return;
                }
                continue;
            }
            Ok(Ok(None)) => 413,
            Ok(Err(WireError::Malformed(m))) => m.status(),
            Ok(Err(WireError::Io(_))) => return,
            Err(_) => 408,
        };
        return conn.last_word(refused).await;
    }
}

async fn request(
    conn: &mut ViewerConn,
    head: RequestHead,
    body: Vec<u8>,
    port: u16,
    shared: &Arc<Shared>,
) -> Flow {
    match head.method {
        Method::Post if head.target.path() == shared.settings.mapping.report_path => {
            reports(conn, &head, body, shared).await
        }
        Method::Get => object(conn, head, port, shared).await,
        _ => conn.plain(405).await,
    }
}

/// Event and response reports of players (CTA-5004-A): they tell that a session lives or is over.
async fn reports(conn: &mut ViewerConn, head: &RequestHead, body: Vec<u8>, shared: &Shared) -> Flow {
    let wanted = head.headers.get_str("content-type").is_none_or(|t| t.trim().starts_with(REPORT_MIME_TYPE));
    let Some(body) = String::from_utf8(body).ok().filter(|_| wanted) else { return conn.plain(400).await };
    let mut faults = Faults::default();
    for record in cmcd::read_reports(&body, &mut faults) {
        let Some(sid) = record.sid.as_deref() else { continue };
        if let Some(route) = shared.routes.get(sid) {
            route.record_activity(shared.clock.now());
        }
        if let Some(why) = arrival::end_reason(&record) {
            let _ = shared
                .desk
                .send(Mail::of(Input::SessionEnded {
                    sid: sid.into(),
                    reason: why,
                    load: cloverhollow_session::Load::default(),
                }))
                .await;
        }
    }
    shared.stats.record_hints(&faults, cloverhollow_hints::Contradictions::default());
    conn.plain(204).await
}

fn hints(head: &RequestHead) -> Hints {
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

/// An object of a session: the first one is the call, later ones follow the route.
async fn object(conn: &mut ViewerConn, head: RequestHead, port: u16, shared: &Arc<Shared>) -> Flow {
    let begun = Instant::now();
    let mut hints = hints(&head);
    if hints.record.sid.is_none() {
        // A viewer without a usable id still gets its session: the connection stands in.
        let name = shared.settings.instance.name.as_str();
        hints.record.sid = Some(format!("~{name}-{port}").into());
    }
    let over = arrival::end_reason(&hints.record);
    let sid = hints.record.sid.clone().unwrap_or_default();
    if let Some(route) = shared.routes.get(&sid) {
        let ask = Ask { target: head.target, hints: hints.record };
        let flow = object::serve(conn, &ask, &route, shared).await;
        if let Some(why) = over {
            let _ = shared
                .desk
                .send(Mail::of(Input::SessionEnded {
                    sid: route.sid.clone(),
                    reason: why,
                    load: cloverhollow_session::Load::default(),
                }))
                .await;
        }
        return flow;
    }
    let ask = Arc::new(Ask { target: head.target.clone(), hints: hints.record.clone() });
    let viewer = shared.viewer();
    let read = arrival::read(&shared.settings, viewer, head.target.path(), &hints, ask.clone());
    let arrival = match read {
        Ok(arrival) => arrival,
        Err(ArrivalError::Path | ArrivalError::Class | ArrivalError::Sid) => return conn.plain(404).await,
    };
    let (reply, mut replied) = oneshot::channel();
    let sid = arrival.sid.clone();
    if shared.desk.send(Mail::call(arrival, reply)).await.is_err() {
        return Flow::Close;
    }
    let answer = tokio::select! {
        answer = &mut replied => answer,
        () = wait_closed(&conn.framed) => {
            let _ = shared.desk.send(Mail::of(Input::Disconnected { viewer, sid })).await;
            return Flow::Close;
        }
    };
    match answer {
        Ok(Answer::Stream { route, response: answer }) => {
            let Told { path, .. } = upstream::told(&answer.head, route.kbps());
            let told = Told { path, ..Told::default() };
            object::relay(conn, answer.head, told, answer.lease, Some(&route), begun, shared).await
        }
        Ok(Answer::Follow(route)) => object::serve(conn, &ask, &route, shared).await,
        Ok(Answer::Refused { retry_after, reason }) => conn.refuse(retry_after, reason.token(), shared).await,
        Ok(Answer::Failed { timed_out: late, reason }) => {
            conn.fail(if late { 504 } else { 502 }, reason.token(), shared).await
        }
        // The desk is gone: this front is stopping.
        Err(_) => Flow::Close,
    }
}
