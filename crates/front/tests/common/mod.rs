//! Test helpers: a front in this process, scripted servers, raw requests.
#![allow(dead_code)] // each test binary uses some of the helpers

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

/// Time limit far above any wait of these tests: a hang fails, a busy machine does not.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Scripted reaction of a server to a set-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Script {
    Serves,
    ClosesOnAccept,
    ClosesAfterReading,
    ClosesInBody,
    ReportsFull,
    ReturnsError,
    NeverResponds,
}

/// Scripted server that records the requests it received.
pub struct TestServer {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<String>>>,
}

impl TestServer {
    pub async fn start(script: Script) -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let recorded = requests.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, script, recorded.clone()));
            }
        });
        TestServer { address, requests }
    }

    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns the number of set-up requests received.
    pub fn setups(&self) -> usize {
        self.requests().iter().filter(|s| s.starts_with("setup")).count()
    }

    /// Waits until a recorded request matches the predicate.
    pub async fn wait_for(&self, predicate: impl Fn(&str) -> bool) {
        let found = async {
            while !self.requests().iter().any(|request| predicate(request)) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TEST_TIMEOUT, found)
            .await
            .unwrap_or_else(|_| panic!("no matching request; received {:?}", self.requests()));
    }
}

fn header_text(head: &RequestHead, name: &str) -> String {
    head.headers.get_str(name).unwrap_or_default().to_string()
}

async fn serve(stream: TcpStream, script: Script, requests: Arc<Mutex<Vec<String>>>) {
    let mut conn: ServerConn = Framed::new(stream, ServerCodec::new(Limits::default()));
    if script == Script::ClosesOnAccept {
        return;
    }
    while let Some(Ok(RequestFrame::Head(head))) = conn.next().await {
        let Ok(Some(body)) = read_body(&mut conn, 1 << 16).await else { break };
        let record = |entry: String| requests.lock().unwrap().push(entry);
        if !body.is_empty() {
            record(format!("report {}", String::from_utf8_lossy(&body)));
            let _ = write_response(&mut conn, ResponseHead::new(204, 0), Bytes::new()).await;
            continue;
        }
        let hints = ["cmcd-object", "cmcd-request", "cmcd-session", "cmcd-status"]
            .map(|h| header_text(&head, h))
            .join(" ");
        let setup = hints.contains("com.cloverhollow-setup");
        record(format!("{} {:?} {hints}", if setup { "setup" } else { "object" }, head.target));
        if !setup {
            let _ = write_response(&mut conn, ResponseHead::new(200, 2), "ok").await;
            continue;
        }
        let mut response = ResponseHead::new(200, 4);
        match script {
            Script::Serves => {
                response.headers.push("cmsd-dynamic", "\"peer\";etp=80000;com.cloverhollow-link=0.3");
                let _ = write_response(&mut conn, response, "play").await;
            }
            Script::ClosesInBody => {
                response.framing = Framing::Length(1_000_000);
                let _ = conn.feed(ResponseFrame::Head(response)).await;
                let _ = conn.send(ResponseFrame::Data("cut".into())).await;
                return;
            }
            Script::ReportsFull => {
                let mut response = ResponseHead::new(503, 0);
                response.headers.push("cmsd-dynamic", "\"peer\";com.cloverhollow-unrun");
                let _ = write_response(&mut conn, response, Bytes::new()).await;
            }
            Script::ReturnsError => {
                let _ = write_response(&mut conn, ResponseHead::new(500, 0), Bytes::new()).await;
            }
            Script::NeverResponds => {
                // Returns once the front closes the connection.
                let _ = conn.next().await;
                record("closed by the front".into());
                return;
            }
            Script::ClosesAfterReading | Script::ClosesOnAccept => return,
        }
    }
}

/// Starts a discovery service that sends one full list and keeps the stream open.
pub async fn start_discovery(servers: &[SocketAddr]) -> SocketAddr {
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

pub struct TestFront {
    pub front: Front,
    pub address: SocketAddr,
}

/// Starts a front with `extra_settings` added to the defaults of the tests.
pub async fn start_front(discovery: SocketAddr, extra_settings: &str) -> TestFront {
    let text = format!(
        "discovery: {{address: \"{discovery}\"}}\nside: {{address: \"127.0.0.1:0\"}}\n\
         classes:\n- {{name: paid, aim_ms: 1000, deadline_ms: 2000, paid: true}}\n\
         - {{name: clip, aim_ms: 1000, deadline_ms: 2000}}\nfleet: {{link_unit_kb: 1000000}}\n{extra_settings}\n"
    );
    let text = if extra_settings.contains("instance:") { text } else { text + "instance: {seed: 3}\n" };
    // A port chosen by the system, unless the test sets `listen`.
    let text =
        if extra_settings.contains("listen:") { text } else { text + "listen: {address: \"127.0.0.1:0\"}\n" };
    let settings = Arc::new(FrontSettings::parse("test.yaml", &text).unwrap());
    let policy = SessionPolicy::new(settings.decisions(), 3);
    let front = Front::start(settings, policy, None).await.unwrap();
    TestFront { address: front.address, front }
}

/// Waits until the front reports ready.
pub async fn wait_ready(front: &TestFront) {
    let side = front.front.side_address.unwrap();
    let is_ready = async {
        while !send_raw(side, "GET /health HTTP/1.1\r\nhost: x\r\n\r\n").await.starts_with("HTTP/1.1 200") {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, is_ready).await.expect("the front becomes ready");
}

/// Starts a front over these servers and waits until it is ready.
pub async fn start_ready_front(servers: &[&TestServer], extra_settings: &str) -> TestFront {
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let front = start_front(start_discovery(&addresses).await, extra_settings).await;
    wait_ready(&front).await;
    front
}

/// Sends bytes and reads until the front closes the connection.
pub async fn send_raw(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    read_all(&mut stream).await
}

pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let _ = timeout(TEST_TIMEOUT, stream.read_to_end(&mut response))
        .await
        .expect("the front closes the connection");
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns a request after which the connection closes.
pub fn get_request(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: front\r\nconnection: close\r\n{headers}\r\n")
}

pub fn session_headers(id: &str) -> String {
    format!("cmcd-session: sid=\"{id}\"\r\ncmcd-request: su\r\n")
}

pub fn temp_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("cloverhollow-front-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}
