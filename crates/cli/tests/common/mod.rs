//! Runs fronts as child processes against a fake video server and a fake discovery service.
#![allow(dead_code)] // each test binary uses a subset

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::Sender;
use std::time::Duration;

/// Time limit for everything that these tests wait for.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Event observed by the fake video server.
#[derive(Debug, PartialEq)]
pub enum ServerEvent {
    /// A set-up for this session id arrived.
    Setup(String),
    /// The connection of the held set-up was closed.
    Closed,
}

/// Reads a request head; `None` if the connection ends before the empty line.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    let mut head = String::new();
    while let Some(Ok(line)) = lines.next() {
        if line.is_empty() {
            return Some(head);
        }
        head += &(line + "\n");
    }
    None
}

/// Starts a video server that never answers the first set-up and answers all others at once.
pub fn start_server(events: Sender<ServerEvent>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut first = true;
        for stream in listener.incoming() {
            let (mut stream, events, hold) = (stream.unwrap(), events.clone(), std::mem::take(&mut first));
            std::thread::spawn(move || {
                let Some(head) = read_head(&mut stream) else { return };
                if head.starts_with("POST") {
                    let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n");
                    return;
                }
                let sid = head.split("sid=\"").nth(1).and_then(|s| s.split('"').next()).unwrap_or_default();
                let _ = events.send(ServerEvent::Setup(sid.into()));
                if hold {
                    let _ = stream.read(&mut [0; 1]);
                    let _ = events.send(ServerEvent::Closed);
                    return;
                }
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nplay");
                let _ = stream.read(&mut [0; 1]);
            });
        }
    });
    address
}

/// Starts a discovery service that lists this server as serving and then stays silent.
pub fn start_discovery(server: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                let _ = read_head(&mut stream);
                let list = format!(
                    "data: {{\"kind\":\"whole\",\"version\":1,\"servers\":[{{\"id\":1,\"address\":\"{server}\",\"state\":\"serving\",\"incarnation\":1}}]}}\n\n"
                );
                let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{list}").as_bytes());
                let _ = stream.read(&mut [0; 1]);
            });
        }
    });
    address
}

/// Child process that is killed when the test ends, also by a panic.
pub struct ProcessGuard(Child);

impl From<Child> for ProcessGuard {
    fn from(child: Child) -> ProcessGuard {
        ProcessGuard(child)
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl std::ops::Deref for ProcessGuard {
    type Target = Child;

    fn deref(&self) -> &Child {
        &self.0
    }
}

impl std::ops::DerefMut for ProcessGuard {
    fn deref_mut(&mut self) -> &mut Child {
        &mut self.0
    }
}

/// Starts a front and returns its process, viewer address and side address.
pub fn start_front(config: &Path) -> (ProcessGuard, SocketAddr, SocketAddr) {
    start_with(Command::new(env!("CARGO_BIN_EXE_cloverhollow")), config)
}

/// Starts a front whose process cannot write to any file, as on a full disk.
pub fn start_front_on_full_disk(config: &Path) -> (ProcessGuard, SocketAddr, SocketAddr) {
    let mut shell = Command::new("sh");
    let script = "trap '' XFSZ; ulimit -f 0; exec \"$0\" \"$@\"";
    shell.args(["-c", script, env!("CARGO_BIN_EXE_cloverhollow")]);
    start_with(shell, config)
}

fn start_with(command: Command, config: &Path) -> (ProcessGuard, SocketAddr, SocketAddr) {
    let (process, ready) = spawn_until_ready(command, "serve", config);
    let address = |key: &str| ready[key].as_str().unwrap().parse().unwrap();
    (process, address("address"), address("side"))
}

/// Spawns a process, waits for its ready line and returns both.
pub fn spawn_until_ready(
    mut command: Command,
    subcommand: &str,
    config: &Path,
) -> (ProcessGuard, serde_json::Value) {
    let mut child = command
        .args([subcommand, "--log-level", "error", "--config"])
        .arg(config)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    (ProcessGuard(child), serde_json::from_str(&line).unwrap())
}

/// Sends a GET request and returns the connection, with an empty buffer for [`read_response`].
pub fn send_get(address: SocketAddr, path: &str, hints: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let _ = write!(stream, "GET {path} HTTP/1.1\r\nhost: f\r\nconnection: close\r\n{hints}\r\n");
    (stream, String::new())
}

/// Reads until the connection closes.
pub fn read_response(mut request: (TcpStream, String)) -> String {
    let _ = request.0.read_to_string(&mut request.1);
    request.1
}

/// Waits until `/health` reports that the front is ready.
pub fn wait_until_ready(side: SocketAddr) {
    while !read_response(send_get(side, "/health", "")).contains("\"ready\":true") {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Creates an empty directory for the files of a test.
pub fn temp_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("cloverhollow-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Writes settings with a paid class to `dir`. `keep_options` is appended to the fields of `keep`.
pub fn write_settings(dir: &Path, discovery: SocketAddr, keep_options: &str) -> PathBuf {
    let config = dir.join("front.yaml");
    let text = format!(
        "listen: {{address: \"127.0.0.1:0\"}}\nside: {{address: \"127.0.0.1:0\"}}\n\
         discovery: {{address: \"{discovery}\"}}\nkeep: {{file: \"{}\"{keep_options}}}\n\
         classes:\n- {{name: paid, aim_ms: 1000, deadline_ms: 15000, paid: true}}\n",
        dir.join("front.keep").display()
    );
    std::fs::write(&config, text).unwrap();
    config
}
