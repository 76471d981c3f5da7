//! Runs a session manager as a child process, with viewers, fake video servers and a fake command channel whose bytes
//! the test controls.
#![allow(dead_code)] // each test binary uses a subset

#[path = "../common/mod.rs"]
mod common;
mod fakes;

#[allow(unused_imports)] // each test binary uses a subset
pub use common::{spawn_until_ready, temp_dir, ProcessGuard, TIMEOUT};
pub use fakes::*;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Ping of a viewer, by which the platform checks that a session manager is ready.
pub const READINESS_CHECK: &[u8] =
    b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n";

/// Process of a session manager, killed when the test ends.
pub struct Node {
    pub process: ProcessGuard,
    pub address: SocketAddr,
    pub config: PathBuf,
}

/// Configuration without effective limits: two classes (`clip`, which may be retried, and `paid`, which may not) and the
/// given servers, in service and warm. Tests override the fields they are about.
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

/// Server-list event of the command channel.
pub fn event(cursor: u64, snapshot: bool, endpoints: Vec<Value>) -> Value {
    json!({"cursor": cursor, "nodes": {"index": cursor, "snapshot": snapshot, "endpoints": endpoints}})
}

/// List entry of server `s-0000000N`. `since_ms` is the start of the server in Unix ms, or 0 for a warm server.
pub fn endpoint(n: usize, address: SocketAddr, status: &str, since_ms: u64) -> Value {
    json!({"name": format!("s-{n:08x}"), "address": address.to_string(), "zone": "east", "type": "std", "group": n,
        "status": status, "weight": 4.0, "since_ms": since_ms})
}

/// Starts a session manager and waits until it is ready; its log goes to the standard error of the test.
pub fn start_node(name: &str, config: &Value) -> Node {
    start_node_with(Command::new(env!("CARGO_BIN_EXE_cloverhollow")), name, config)
}

/// As [`start_node`], with a limit on file descriptors set by the operating system.
pub fn start_node_with_descriptors(name: &str, config: &Value, max_descriptors: u32) -> Node {
    let mut shell = Command::new("sh");
    let script = format!("ulimit -n {max_descriptors}; exec \"$0\" \"$@\"");
    shell.args(["-c", &script, env!("CARGO_BIN_EXE_cloverhollow")]);
    start_node_with(shell, name, config)
}

/// As [`start_node`], with the log at its default level in a file.
pub fn start_node_with_log(name: &str, config: &Value, log: &Path) -> Node {
    let mut shell = Command::new("sh");
    shell.args(["-c", "exec \"$0\" node --config \"$5\"", env!("CARGO_BIN_EXE_cloverhollow")]);
    shell.stderr(Stdio::from(File::create(log).unwrap()));
    start_node_with(shell, name, config)
}

fn start_node_with(program: Command, name: &str, config: &Value) -> Node {
    let file = temp_dir(&format!("node-{name}")).join("config.json");
    std::fs::write(&file, config.to_string()).unwrap();
    let (process, ready) = common::spawn_until_ready(program, "node", &file);
    let address = ready["address"].as_str().unwrap().parse().unwrap();
    Node { process, address, config: file }
}

impl Node {
    pub fn connect(&self) -> TcpStream {
        with_read_timeout(TcpStream::connect(self.address).unwrap())
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.process), signal).unwrap();
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload_config(&self, config: &Value) {
        std::fs::write(&self.config, config.to_string()).unwrap();
        self.signal(Signal::HUP);
    }

    /// Returns whether the readiness check of the platform succeeds.
    pub fn passes_readiness_check(&self) -> bool {
        let mut conn = self.connect();
        conn.write_all(READINESS_CHECK).unwrap();
        read_head(&mut conn).starts_with("RTSP/1.0 200 ")
    }

    /// Columns of the system's table of sockets for the session manager's end of that client's connection; `None` once the
    /// connection is gone. The state is column 3; column 4 has the numbers of unsent and of unread bytes.
    pub fn socket_columns(&self, client: SocketAddr) -> Option<Vec<String>> {
        let ends = [self.address, client].map(|a| format!(":{:04X}", a.port()));
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let mut rows =
            table.lines().map(|line| line.split_whitespace().map(str::to_owned).collect::<Vec<_>>());
        rows.find(|r| r[1].ends_with(&ends[0]) && r[2].ends_with(&ends[1]))
    }

    /// Waits until the process exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for("the process exits", || self.process.try_wait().unwrap())
    }
}

/// Polls until `find` returns a value; panics after [`TIMEOUT`].
pub fn wait_for<T>(what: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(started_at.elapsed() < TIMEOUT, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn with_read_timeout(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Reads the next message head, without the body; returns the bytes so far if the connection closes or is reset.
pub fn read_head(conn: &mut TcpStream) -> String {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        match conn.read(&mut byte) {
            Ok(1) => text.push(byte[0]),
            Ok(_) => break,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => break,
            Err(e) => panic!("neither a response nor a close: {e}"),
        }
    }
    String::from_utf8(text).unwrap()
}

/// Reads the next message: head and body.
pub fn read_message(conn: &mut TcpStream) -> (String, String) {
    let head = read_head(conn);
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).and_then(|n| n.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    conn.read_exact(&mut body).unwrap();
    (head, String::from_utf8(body).unwrap())
}

/// Set-up request of a viewer that waits `wait_ms` for the response.
pub fn setup_request(id: u64, class: &str, wait_ms: u64) -> String {
    let (route, blob) = ("home:0;copies:9;top:1;viewer:00000000b4d65521", format!("v=0 {id}"));
    format!(
        "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: {id:016x}\r\nX-Service: {class}\r\n\
         X-Setup-Ms: {wait_ms}\r\nX-Route: {route}\r\nContent-Length: {}\r\n\r\n{blob}",
        blob.len()
    )
}

/// Teardown request of a viewer: cancels a set-up, or with `cause` ends a session.
pub fn teardown_request(id: u64, cause: Option<i64>) -> String {
    let reason = cause.map(|c| format!("Reason: cause={c}\r\n")).unwrap_or_default();
    format!("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id:016x}\r\n{reason}Content-Length: 0\r\n\r\n")
}

/// Closes a connection with a TCP reset.
pub fn reset_connection(conn: TcpStream) {
    socket2::SockRef::from(&conn).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Number of file descriptors that a process holds.
pub fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count()
}
