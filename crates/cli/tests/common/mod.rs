//! Fronts as processes, with a scripted server and discovery.
#![allow(dead_code)] // each test file uses a part

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::Sender;
use std::time::Duration;

pub const LONG: Duration = Duration::from_secs(20);

/// What the server saw.
#[derive(Debug, PartialEq)]
pub enum Saw {
    Setup(String),
    Closed,
}

pub fn head_of(stream: &mut TcpStream) -> Option<String> {
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

/// Holds the first set-up until its connection closes, answers all others at once.
pub fn server(saw: Sender<Saw>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut first = true;
        for stream in listener.incoming() {
            let (mut stream, saw, hold) = (stream.unwrap(), saw.clone(), std::mem::take(&mut first));
            std::thread::spawn(move || {
                let Some(head) = head_of(&mut stream) else { return };
                if head.starts_with("POST") {
                    let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n");
                    return;
                }
                let sid = head.split("sid=\"").nth(1).and_then(|s| s.split('"').next()).unwrap_or_default();
                let _ = saw.send(Saw::Setup(sid.into()));
                if hold {
                    let _ = stream.read(&mut [0; 1]);
                    let _ = saw.send(Saw::Closed);
                    return;
                }
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nplay");
                let _ = stream.read(&mut [0; 1]);
            });
        }
    });
    address
}

pub fn discovery(server: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                let _ = head_of(&mut stream);
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

/// A front's process: ended with the test, however that ends.
pub struct Life(Child);

impl From<Child> for Life {
    fn from(child: Child) -> Life {
        Life(child)
    }
}

impl Drop for Life {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl std::ops::Deref for Life {
    type Target = Child;

    fn deref(&self) -> &Child {
        &self.0
    }
}

impl std::ops::DerefMut for Life {
    fn deref_mut(&mut self) -> &mut Child {
        &mut self.0
    }
}

pub fn front(config: &Path) -> (Life, SocketAddr, SocketAddr) {
    started(Command::new(env!("CARGO_BIN_EXE_cloverhollow")), config)
}

/// A front whose process may write no byte to any file, as on a full disk.
pub fn front_without_room(config: &Path) -> (Life, SocketAddr, SocketAddr) {
    let mut shell = Command::new("sh");
    let script = "trap '' XFSZ; ulimit -f 0; exec \"$0\" \"$@\"";
    shell.args(["-c", script, env!("CARGO_BIN_EXE_cloverhollow")]);
    started(shell, config)
}

fn started(command: Command, config: &Path) -> (Life, SocketAddr, SocketAddr) {
    let (life, ready) = ready(command, "serve", config);
    let of = |key: &str| ready[key].as_str().unwrap().parse().unwrap();
    (life, of("address"), of("side"))
}

/// A process that has said that it is ready, and what it said.
pub fn ready(mut command: Command, word: &str, config: &Path) -> (Life, serde_json::Value) {
    let mut child = command
        .args([word, "--log-level", "error", "--config"])
        .arg(config)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    (Life(child), serde_json::from_str(&line).unwrap())
}

pub fn ask(address: SocketAddr, path: &str, hints: &str) -> (TcpStream, String) {
    let mut s = TcpStream::connect(address).unwrap();
    s.set_read_timeout(Some(LONG)).unwrap();
    let _ = write!(s, "GET {path} HTTP/1.1\r\nhost: f\r\nconnection: close\r\n{hints}\r\n");
    (s, String::new())
}

pub fn whole(mut asked: (TcpStream, String)) -> String {
    let _ = asked.0.read_to_string(&mut asked.1);
    asked.1
}

pub fn until_ready(side: SocketAddr) {
    while !whole(ask(side, "/health", "")).contains("\"ready\":true") {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A new folder for a test's files.
pub fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("cloverhollow-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Settings with a paid class, kept in that folder.
pub fn settings(dir: &Path, discovery: SocketAddr, more: &str) -> PathBuf {
    let config = dir.join("front.yaml");
    let text = format!(
        "listen: {{address: \"127.0.0.1:0\"}}\nside: {{address: \"127.0.0.1:0\"}}\n\
         discovery: {{address: \"{discovery}\"}}\nkeep: {{file: \"{}\"{more}}}\n\
         classes:\n- {{name: paid, aim_ms: 1000, deadline_ms: 15000, paid: true}}\n",
        dir.join("front.keep").display()
    );
    std::fs::write(&config, text).unwrap();
    config
}
