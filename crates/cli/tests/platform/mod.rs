//! A session manager as a process, and what stands round it: a viewer, a video server and a command channel that do
//! byte for byte what a test says, and nothing by themselves.
#![allow(dead_code)] // each test file uses a part

#[path = "../common/mod.rs"]
mod common;
mod fakes;

#[allow(unused_imports)] // each test file uses a part
pub use common::{folder, ready, Life, LONG};
pub use fakes::*;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, ExitStatus};
use std::time::{Duration, Instant};

/// A session manager's process, ended with the test.
pub struct Node {
    pub life: Life,
    pub address: SocketAddr,
    pub config: PathBuf,
}

/// A configuration in which nothing binds: two classes (`clip`, which may be repeated, and `paid`), the given servers in
/// service, warm. Tests change what they are about.
pub fn config(channel: SocketAddr, servers: &[SocketAddr]) -> Value {
    let entries: Vec<_> =
        servers.iter().enumerate().map(|(i, at)| endpoint(i, *at, "in_service", 0)).collect();
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}, "channel": channel.to_string(),
        "known": {"cursor": 7, "cmds": [event(7, true, entries)]},
        "settings": {
            "balancers": 1, "index": 0, "zone": "east", "kinds": ["std"], "discovery": "pushed",
            "grades": [
                {"name": "clip", "aim": 800.0, "deadline": 2000.0, "effect": "idempotent", "importance": 1.0},
                {"name": "paid", "aim": 1000.0, "deadline": 3000.0, "effect": "at_most_once", "importance": 3.0},
            ],
            "domain": {"level-kb": [200.0, 800.0], "ladder-worth": [0.3, 1.0], "link-unit-kb": 100_000.0,
                "places-by-kind": [500.0], "told-every": 3000.0, "told-late": 1000.0},
            "limits": {"retry-after": true, "max-retry-after": 700.0, "most-tries": 3, "connect-timeout": 250.0,
                "idle-close": 15_000.0},
        },
    })
}

/// An event of the command channel.
pub fn event(cursor: u64, snapshot: bool, endpoints: Vec<Value>) -> Value {
    json!({"cursor": cursor, "nodes": {"index": cursor, "snapshot": snapshot, "endpoints": endpoints}})
}

/// An entry of the list: server `s-0000000N`. `since`: Unix ms of a late start, or 0.
pub fn endpoint(n: usize, address: SocketAddr, status: &str, since: u64) -> Value {
    json!({"name": format!("s-{n:08x}"), "address": address.to_string(), "zone": "east", "type": "std", "group": n,
        "status": status, "weight": 4.0, "since_ms": since})
}

/// Starts one that is to be ready; its log goes to the test's standard error.
pub fn start(name: &str, config: &Value) -> Node {
    start_by(Command::new(env!("CARGO_BIN_EXE_cloverhollow")), name, config)
}

/// As [`start`], with at most so many descriptors by the system's own limit.
pub fn start_with_descriptors(name: &str, config: &Value, most: u32) -> Node {
    let mut shell = Command::new("sh");
    let script = format!("ulimit -n {most}; exec \"$0\" \"$@\"");
    shell.args(["-c", &script, env!("CARGO_BIN_EXE_cloverhollow")]);
    start_by(shell, name, config)
}

fn start_by(program: Command, name: &str, config: &Value) -> Node {
    let file = folder(&format!("node-{name}")).join("config.json");
    std::fs::write(&file, config.to_string()).unwrap();
    let (life, ready) = common::ready(program, "node", &file);
    let address = ready["address"].as_str().unwrap().parse().unwrap();
    Node { life, address, config: file }
}

impl Node {
    pub fn connect(&self) -> TcpStream {
        patient(TcpStream::connect(self.address).unwrap())
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.life), signal).unwrap();
    }

    /// Writes another configuration and has it read.
    pub fn configure(&self, config: &Value) {
        std::fs::write(&self.config, config.to_string()).unwrap();
        self.signal(Signal::HUP);
    }

    /// Whether its readiness test is passed.
    pub fn tested(&self) -> bool {
        let mut conn = self.connect();
        conn.write_all(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
        head(&mut conn).starts_with("RTSP/1.0 200 ")
    }

    /// How it ended; it must.
    pub fn ended(&mut self) -> ExitStatus {
        until("it ends", || self.life.try_wait().unwrap())
    }
}

/// What `look` finds; it must come.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begun.elapsed() < LONG, "not seen: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn patient(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// The next head that comes, without the body; what is there before a close or an end.
pub fn head(conn: &mut TcpStream) -> String {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        match conn.read(&mut byte) {
            Ok(1) => text.push(byte[0]),
            Ok(_) => break,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => break,
            Err(e) => panic!("neither an answer nor a close: {e}"),
        }
    }
    String::from_utf8(text).unwrap()
}

/// The next message, head and body.
pub fn message(conn: &mut TcpStream) -> (String, String) {
    let head = head(conn);
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).and_then(|n| n.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    conn.read_exact(&mut body).unwrap();
    (head, String::from_utf8(body).unwrap())
}

/// A viewer's set-up, which waits for `left` ms.
pub fn setup(id: u64, class: &str, left: u64) -> String {
    let (route, blob) = ("home:0;copies:9;top:1;viewer:00000000b4d65521", format!("v=0 {id}"));
    format!(
        "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: {id:016x}\r\nX-Service: {class}\r\n\
         X-Setup-Ms: {left}\r\nX-Route: {route}\r\nContent-Length: {}\r\n\r\n{blob}",
        blob.len()
    )
}

/// A viewer's word that it gives a set-up up, or is done with a session (`cause`).
pub fn teardown(id: u64, cause: Option<i64>) -> String {
    let reason = cause.map(|c| format!("Reason: cause={c}\r\n")).unwrap_or_default();
    format!("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id:016x}\r\n{reason}Content-Length: 0\r\n\r\n")
}

/// Ends a connection by a reset.
pub fn reset(conn: TcpStream) {
    socket2::SockRef::from(&conn).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Descriptors that a process holds.
pub fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count()
}
