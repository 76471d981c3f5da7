//! A front in this process, scripted peers round it, raw bytes at its door.
#![allow(dead_code)] // each test file uses a part

use bytes::Bytes;
use cloverhollow::SessionPolicy;
use cloverhollow_front::Front;
use cloverhollow_http::{Framing, Limits, RequestFrame, RequestHead, ResponseFrame, ResponseHead};
use cloverhollow_net::{read_body, write_response, ServerCodec, ServerConn};
use cloverhollow_settings::FrontSettings;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Far over anything that these tests wait for: a hang fails, a busy machine does not.
pub const LONG: Duration = Duration::from_secs(20);

/// What a scripted server does with a set-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    Plays,
    ClosesUnread,
    ClosesAfterReading,
    ClosesInBody,
    SaysFull,
    Fails,
    Never,
}

/// A server that does as told, and keeps what it was asked.
pub struct Peer {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<String>>>,
}

impl Peer {
    pub async fn start(does: Does) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let kept = seen.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, does, kept.clone()));
            }
        });
        Peer { address, seen }
    }

    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }

    /// Set-ups that it read.
    pub fn setups(&self) -> usize {
        self.seen().iter().filter(|s| s.starts_with("setup")).count()
    }

    /// Waits until something that it saw fits.
    pub async fn wait(&self, what: impl Fn(&str) -> bool) {
        let found = async {
            while !self.seen().iter().any(|s| what(s)) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(LONG, found).await.unwrap_or_else(|_| panic!("never seen; only {:?}", self.seen()));
    }
}

fn text(head: &RequestHead, name: &str) -> String {
    head.headers.get_str(name).unwrap_or_default().to_string()
}

async fn serve(stream: TcpStream, does: Does, seen: Arc<Mutex<Vec<String>>>) {
    let mut conn: ServerConn = Framed::new(stream, ServerCodec::new(Limits::default()));
    if does == Does::ClosesUnread {
        return;
    }
    while let Some(Ok(RequestFrame::Head(head))) = conn.next().await {
        let Ok(Some(body)) = read_body(&mut conn, 1 << 16).await else { break };
        let put = |what: String| seen.lock().unwrap().push(what);
        if !body.is_empty() {
            put(format!("report {}", String::from_utf8_lossy(&body)));
            let _ = write_response(&mut conn, ResponseHead::new(204, 0), Bytes::new()).await;
            continue;
        }
        let hints =
            ["cmcd-object", "cmcd-request", "cmcd-session", "cmcd-status"].map(|h| text(&head, h)).join(" ");
        let setup = hints.contains("com.cloverhollow-setup");
        put(format!("{} {:?} {hints}", if setup { "setup" } else { "object" }, head.target));
        if !setup {
            let _ = write_response(&mut conn, ResponseHead::new(200, 2), "ok").await;
            continue;
        }
        let mut out = ResponseHead::new(200, 4);
        match does {
            Does::Plays => {
                out.headers.push("cmsd-dynamic", "\"peer\";etp=80000;com.cloverhollow-link=0.3");
                let _ = write_response(&mut conn, out, "play").await;
            }
            Does::ClosesInBody => {
                out.framing = Framing::Length(1_000_000);
                let _ = conn.feed(ResponseFrame::Head(out)).await;
                let _ = conn.send(ResponseFrame::Data("cut".into())).await;
                return;
            }
            Does::SaysFull => {
                let mut out = ResponseHead::new(503, 0);
                out.headers.push("cmsd-dynamic", "\"peer\";com.cloverhollow-unrun");
                let _ = write_response(&mut conn, out, Bytes::new()).await;
            }
            Does::Fails => {
                let _ = write_response(&mut conn, ResponseHead::new(500, 0), Bytes::new()).await;
            }
            Does::Never => {
                // Until the front closes it.
                let _ = conn.next().await;
                put("closed by the front".into());
                return;
            }
            Does::ClosesAfterReading | Does::ClosesUnread => return,
        }
    }
}

/// Discovery with one whole list, kept open.
pub async fn discovery(servers: &[SocketAddr]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let entries: Vec<_> = (servers.iter().enumerate())
        .map(|(i, a)| serde_json::json!({"id": i + 1, "address": a.to_string(), "state": "serving", "incarnation": 1}))
        .collect();
    let data =
        format!("data: {}\n\n", serde_json::json!({"kind": "whole", "version": 1, "servers": entries}));
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let data = data.clone();
            tokio::spawn(async move {
                let mut conn: ServerConn = Framed::new(stream, ServerCodec::new(Limits::default()));
                let _ = conn.next().await;
                let mut head = ResponseHead::new(200, 0);
                head.framing = Framing::Chunked;
                let _ = conn.feed(ResponseFrame::Head(head)).await;
                let _ = conn.send(ResponseFrame::Data(data.into())).await;
                while let Some(Ok(_)) = conn.next().await {}
            });
        }
    });
    address
}

pub struct Setup {
    pub front: Front,
    pub address: SocketAddr,
}

/// A front with these settings on top of the tests' own.
pub async fn front(discovery: SocketAddr, more: &str) -> Setup {
    let text = format!(
        "discovery: {{address: \"{discovery}\"}}\nside: {{address: \"127.0.0.1:0\"}}\n\
         classes:\n- {{name: paid, aim_ms: 1000, deadline_ms: 2000, paid: true}}\n\
         - {{name: clip, aim_ms: 1000, deadline_ms: 2000}}\nfleet: {{link_unit_kb: 1000000}}\n{more}\n"
    );
    let text = if more.contains("instance:") { text } else { text + "instance: {seed: 3}\n" };
    // `listen` comes from the test, with a port from the system unless it says otherwise.
    let text = if more.contains("listen:") { text } else { text + "listen: {address: \"127.0.0.1:0\"}\n" };
    let settings = Arc::new(FrontSettings::parse("test.yaml", &text).unwrap());
    let brain = SessionPolicy::new(settings.decisions(), 3);
    let front = Front::start(settings, brain, None).await.unwrap();
    Setup { address: front.address, front }
}

/// Waits until the front has a list.
pub async fn ready(s: &Setup) {
    let side = s.front.side_address.unwrap();
    let until = async {
        while !raw(side, "GET /health HTTP/1.1\r\nhost: x\r\n\r\n").await.starts_with("HTTP/1.1 200") {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LONG, until).await.expect("a list");
}

/// A front over these peers, ready.
pub async fn over(peers: &[&Peer], more: &str) -> Setup {
    let addresses: Vec<_> = peers.iter().map(|p| p.address).collect();
    let s = front(discovery(&addresses).await, more).await;
    ready(&s).await;
    s
}

/// Sends bytes and reads until the front closes.
pub async fn raw(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    read_all(&mut stream).await
}

pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut out = Vec::new();
    let _ = timeout(LONG, stream.read_to_end(&mut out)).await.expect("the front closes");
    String::from_utf8_lossy(&out).into_owned()
}

/// A viewer's request that closes afterwards.
pub fn get(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: front\r\nconnection: close\r\n{headers}\r\n")
}

pub fn sid(id: &str) -> String {
    format!("cmcd-session: sid=\"{id}\"\r\ncmcd-request: su\r\n")
}

pub fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("cloverhollow-front-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}
