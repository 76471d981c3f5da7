//! A viewer of the platform: sets a session up over RTSP, and watches until it or its server ends it.

use crate::exchange::{Got, Seen};
use crate::plan::Viewer;
use crate::standin::World;
use crate::viewer::{Audience, Try, CONNECT, LATE};
use bytes::{Bytes, BytesMut};
use cloverhollow_platform::rtsp::{self, Message, Method, Start};
use cloverhollow_settings::title_id;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// One viewer's connection.
struct Conn {
    stream: TcpStream,
    buf: BytesMut,
}

impl Conn {
    /// The next message; `None`: the connection is of no more use. Cancel-safe: what was read stays.
    async fn next(&mut self) -> Option<Message> {
        loop {
            match rtsp::decode(&mut self.buf) {
                Ok(Some(message)) => return Some(message),
                Ok(None) => {}
                Err(_) => return None,
            }
            if !matches!(self.stream.read_buf(&mut self.buf).await, Ok(n) if n > 0) {
                return None;
            }
        }
    }

    async fn write(&mut self, bytes: Bytes) -> Option<()> {
        self.stream.write_all(&bytes).await.ok()
    }
}

impl Audience {
    fn setup(&self, v: &Viewer, sid: &str, tries: u32) -> (Bytes, String) {
        let site = &self.script.front;
        let title = title_id(&v.title);
        let class = &site.classes.0[v.class];
        let (home, copies) = (site.first_cell(title), site.fleet.copies.value);
        let route = format!(
            "home:{home};copies:{copies};top:{};viewer:{:016x};again:{}",
            v.top,
            v.id,
            u8::from(tries > 0)
        );
        // Half of all sessions come to their end at their servers.
        let length = (v.id.is_multiple_of(2)).then(|| format!("len={}\r\n", v.length.as_millis().max(1)));
        let blob = format!("{:016x}\r\nc=IN IP4 10.0.0.1\r\n{}", v.seed, length.unwrap_or_default());
        let mut headers = vec![
            ("X-Service", class.name.as_str().to_owned()),
            ("X-Setup-Ms", class.deadline_ms.get().as_millis().to_string()),
            ("X-Route", route),
        ];
        if let Some(tenant) = site.tenants.get(v.tenant) {
            headers.push(("X-Account", tenant.name.as_str().to_owned()));
        }
        let uri = format!("rtsp://media/{title:016x}");
        (rtsp::request_with(Method::Setup, &uri, "1", sid, &headers, blob.as_bytes()), blob)
    }

    /// One try at a session; its id is never used again.
    pub(crate) async fn session_by_rtsp(&self, v: &Viewer, tries: u32, front: usize, world: &World) -> Try {
        let sid: Arc<str> = format!("{:016x}", (v.id as u64) << 16 | u64::from(tries)).into();
        let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(self.fronts.address(front))).await else {
            return Try::Lost;
        };
        let mut conn = Conn { stream, buf: BytesMut::new() };
        let class = &self.script.front.classes.0[v.class];
        let (call, patience) = (self.next_call.fetch_add(1, Relaxed), class.deadline_ms.get());
        let (title, begun) = (v.title.clone(), self.log.now());
        world.ask(&sid, v.class, &v.title);
        let called =
            Seen::Called { call, sid: sid.clone(), front, class: v.class, title, top: v.top, patience };
        self.log.put(called);
        let ended = |got| self.log.put(Seen::CallEnded { call, sid: sid.clone(), got });
        let (setup, blob) = self.setup(v, &sid, tries);
        // As one sees it whom the front hears late: it has left when its request is taken, and the front does not know.
        if let (Some(stays), false) = (v.hang_up, self.deaf.is_zero()) {
            sleep(stays).await;
            ended(Got::HungUp);
            self.log.put(Seen::ViewerOver { sid: sid.clone() });
            sleep(self.deaf).await;
            conn.write(setup).await;
            sleep(self.deaf).await;
            return Try::Done;
        }
        if conn.write(setup).await.is_none() {
            ended(Got::Lost);
            return Try::Lost;
        }
        let hang_up = v.hang_up.unwrap_or(patience + Duration::from_secs(60));
        let answer = tokio::select! {
            got = timeout(patience + LATE, conn.next()) => match got {
                Ok(Some(answer)) => answer,
                Ok(None) => {
                    ended(Got::Lost);
                    return Try::Lost;
                }
                Err(_) => {
                    ended(Got::TimeUp);
                    return Try::Again(Duration::ZERO);
                }
            },
            () = sleep(hang_up) => {
                ended(Got::HungUp);
                self.log.put(Seen::ViewerOver { sid: sid.clone() });
                // Some say so, others just close.
                if v.id.is_multiple_of(3) {
                    conn.write(rtsp::request(Method::Teardown, "rtsp://media/x", "2", &sid, &[])).await;
                }
                return Try::Done;
            }
        };
        let Start::Response { status } = answer.start else {
            ended(Got::Lost);
            return Try::Lost;
        };
        let ours = answer.header("Session") == Some(&*sid) && answer.header("CSeq") == Some("1");
        let wait = answer
            .header("Retry-After-Ms")
            .and_then(|w| w.parse().ok())
            .map_or(Duration::ZERO, Duration::from_millis);
        // An answer for another session, or with what no server gave for this one, is none.
        let good = ours && (status != 200 || answer.body == blob.as_bytes());
        let waited = self.log.now() - begun;
        ended(if good { Got::Status { status, reason: None } } else { Got::Lost });
        self.tally.answered(status, waited);
        match status {
            200 => {}
            502 | 504 if class.paid => return Try::Done,
            _ => return Try::Again(wait),
        }
        self.tally.playing(v, waited);
        self.watch(v, call, &sid, &mut conn).await
    }

    async fn watch(&self, v: &Viewer, call: u64, sid: &Arc<str>, conn: &mut Conn) -> Try {
        // One that its server ends waits for that; the other leaves by itself.
        let own = if v.id.is_multiple_of(2) { self.script.length_ms.get() } else { v.length };
        let until = Instant::now() + own;
        loop {
            let message = tokio::select! {
                message = conn.next() => message,
                () = sleep_until(until) => {
                    self.log.put(Seen::ViewerOver { sid: sid.clone() });
                    let reason = [("Reason", "cause=31".to_owned())];
                    conn.write(rtsp::request(Method::Teardown, "rtsp://media/x", "2", sid, &reason)).await;
                    // What is said to it meanwhile is read: a close with unread bytes would reset the word.
                    let _ = timeout(CONNECT, conn.next()).await;
                    return Try::Done;
                }
            };
            let Some(message) = message else {
                self.log.put(Seen::ViewerOver { sid: sid.clone() });
                self.tally.broke();
                return Try::Again(Duration::ZERO);
            };
            match message.start {
                Start::Request { method: Method::Teardown, .. }
                    if message.header("Session") == Some(&**sid) =>
                {
                    let reason = message.header("Reason").and_then(|r| r.strip_prefix("cause="));
                    let cause = reason.and_then(|c| c.parse().ok()).unwrap_or(0);
                    self.log.put(Seen::Released { sid: sid.clone(), cause });
                    if cause == cloverhollow_platform::lines::cause::DONE {
                        return Try::Done;
                    }
                    self.tally.broke();
                    return Try::Again(Duration::ZERO);
                }
                Start::Response { .. } => self.log.put(Seen::Stray { call, sid: sid.clone() }),
                Start::Request { .. } => {}
            }
        }
    }
}
