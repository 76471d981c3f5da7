//! A front process killed outright while a paid set-up is out: the server sees it close, the viewer gets no
//! second word, and the front that comes back, with what it kept, sets that viewer's new session up once.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

const LONG: Duration = Duration::from_secs(20);

/// What the server saw.
#[derive(Debug, PartialEq)]
enum Saw {
    Setup(String),
    Closed,
}

fn head_of(stream: &mut TcpStream) -> Option<String> {
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
fn server(saw: Sender<Saw>) -> SocketAddr {
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

fn discovery(server: SocketAddr) -> SocketAddr {
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

fn front(config: &Path) -> (Child, SocketAddr, SocketAddr) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cloverhollow"))
        .args(["serve", "--log-level", "error", "--config"])
        .arg(config)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let ready: serde_json::Value = serde_json::from_str(&line).unwrap();
    let of = |key: &str| ready[key].as_str().unwrap().parse().unwrap();
    (child, of("address"), of("side"))
}

fn ask(address: SocketAddr, path: &str, hints: &str) -> (TcpStream, String) {
    let mut s = TcpStream::connect(address).unwrap();
    s.set_read_timeout(Some(LONG)).unwrap();
    let _ = write!(s, "GET {path} HTTP/1.1\r\nhost: f\r\nconnection: close\r\n{hints}\r\n");
    (s, String::new())
}

fn whole(mut asked: (TcpStream, String)) -> String {
    let _ = asked.0.read_to_string(&mut asked.1);
    asked.1
}

fn until_ready(side: SocketAddr) {
    while !whole(ask(side, "/health", "")).contains("\"ready\":true") {
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_front_killed_with_a_paid_attempt_out_answers_nothing_and_its_next_life_sets_up_once() {
    let dir = std::env::temp_dir().join(format!("cloverhollow-killed-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    let (tx, saw): (Sender<Saw>, Receiver<Saw>) = channel();
    let discovery = discovery(server(tx));
    let config = dir.join("front.yaml");
    let keep = dir.join("front.keep");
    std::fs::write(
        &config,
        format!(
            "listen: {{address: \"127.0.0.1:0\"}}\nside: {{address: \"127.0.0.1:0\"}}\n\
             discovery: {{address: \"{discovery}\"}}\nkeep: {{file: \"{}\"}}\n\
             classes:\n- {{name: paid, aim_ms: 1000, deadline_ms: 15000, paid: true}}\n",
            keep.display()
        ),
    )
    .unwrap();
    let (mut child, address, side) = front(&config);
    until_ready(side);
    let viewer = ask(address, "/club/paid/t/0", "cmcd-session: sid=\"one\"\r\ncmcd-request: su\r\n");
    assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Setup("one".into()));
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Closed);
    assert_eq!(whole(viewer), "", "no answer, rather than a wrong one");
    let (mut child, address, side) = front(&config);
    until_ready(side);
    // A player that goes on with the old session is told that it may have been set up; with a new one, as
    // players take for a new try, it plays.
    let old =
        whole(ask(address, "/club/paid/t/1", "cmcd-session: sid=\"one\"\r\ncmcd-request: bl=2000,sta=p\r\n"));
    assert!(old.starts_with("HTTP/1.1 502") && old.contains("set-up-before"), "{old}");
    let new = whole(ask(address, "/club/paid/t/0", "cmcd-session: sid=\"two\"\r\ncmcd-request: su\r\n"));
    assert!(new.starts_with("HTTP/1.1 200") && new.ends_with("play"), "{new}");
    assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Setup("two".into()));
    assert!(saw.try_recv().is_err(), "and nothing else was sent");
    let _ = child.kill();
    let _ = child.wait();
}
