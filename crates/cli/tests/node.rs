//! `cloverhollow node` as a process: bad clients, a configuration that changes, an end that loses nothing.

mod common;

use common::{ready, Life};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

/// Longer than anything waited for here; a test that reaches it has failed.
const LONG: Duration = Duration::from_secs(20);

struct Node {
    life: Life,
    address: SocketAddr,
    config: PathBuf,
}

fn config(channel: SocketAddr) -> String {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}, "channel": channel.to_string(),
        "known": {"cursor": 7, "cmds": [{"cursor": 7, "nodes": {"snapshot": true, "endpoints": []}}]},
        "settings": {
            "grades": [{"name": "clip", "aim": 800.0, "deadline": 2000.0, "effect": "idempotent"}],
            "domain": {"level-kb": [200.0, 800.0], "ladder-worth": [0.3, 1.0]},
            "limits": {"retry-after": true, "max-retry-after": 700.0, "most-tries": 3, "connect-timeout": 250.0},
        },
    })
    .to_string()
}

fn start(name: &str, channel: SocketAddr) -> Node {
    start_with(name, &config(channel))
}

fn start_with(name: &str, config: &str) -> Node {
    let dir = std::env::temp_dir().join(format!("cloverhollow-node-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("config.json");
    std::fs::write(&file, config).unwrap();
    let program = Command::new(env!("CARGO_BIN_EXE_cloverhollow"));
    let (life, ready) = ready(program, "node", &file);
    let address = ready["address"].as_str().unwrap().parse().unwrap();
    Node { life, address, config: file }
}

impl Node {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.life), signal).unwrap();
    }

    fn tested(&self) -> bool {
        let mut conn = self.connect();
        conn.write_all(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
        head(&mut conn).starts_with("RTSP/1.0 200 ")
    }
}

/// The next head that comes; what is there before a close or an end.
fn head(conn: &mut TcpStream) -> String {
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

fn setup(id: &str, class: &str, more: &str) -> String {
    format!("SETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nSession: {id}\r\nX-Service: {class}\r\nX-Setup-Ms: 1500\r\n{more}Content-Length: 0\r\n\r\n")
}

/// A channel that takes a connection and says nothing.
fn channel() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn asked(listener: &TcpListener) -> String {
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    head(&mut stream)
}

#[test]
fn whatever_comes_gets_an_answer_or_a_close_and_good_clients_go_on() {
    let (_listener, channel) = channel();
    let node = start("bad", channel);
    let good = setup("00000000000000a0", "clip", "X-Route: home:0;copies:1;top:1\r\n");
    let ask = |text: &[u8]| {
        let mut conn = node.connect();
        let _ = conn.write_all(text); // it may close before all of it is taken
        head(&mut conn)
    };
    let refused = ask(good.as_bytes());
    assert!(refused.starts_with("RTSP/1.0 503 "), "no servers: {refused}");
    assert!(refused.contains("\r\nRetry-After-Ms: 700\r\n"), "{refused}");
    // The platform starts one process and refuses it others.
    let pid = node.life.id();
    let children = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children"));
    assert_eq!(children.unwrap_or_default(), "", "it started no other");
    let huge = setup("00000000000000a1", "clip", "").replace("Length: 0", "Length: 60000000");
    let mut flood = huge.clone().into_bytes();
    flood.resize(4 << 20, b'x');
    let bad: [(&[u8], &str); 7] = [
        (b"\x00\x01\xfe noise", "400"),
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "400"),
        (huge.as_bytes(), "413"),
        (&flood, "413"),
        (b"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nContent-Length: -1\r\n\r\n", "400"),
        (b"SETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n", "400"),
        (b"SETUP rtsp://media/7f RTSP/1.0\r\n", "400"), // and then nothing
    ];
    for (text, want) in bad {
        let got = ask(text);
        assert!(
            got.starts_with(&format!("RTSP/1.0 {want} ")),
            "{:?}: {got:?}",
            String::from_utf8_lossy(&text[..40.min(text.len())])
        );
    }
    for bad in
        [setup("00000000000000a2", "gold", ""), setup("00000000000000a3", "clip", "X-Route: home:-1\r\n")]
    {
        let got = ask(bad.as_bytes());
        assert!(got.starts_with("RTSP/1.0 400 ") && got.contains("Session: 00000000000000a"), "{got}");
    }
    let mut silent = node.connect();
    assert!(head(&mut silent).starts_with("RTSP/1.0 400 "), "said nothing");
    // More than it takes, all silent: the next good one is served.
    let crowd: Vec<_> = (0..200).map(|_| node.connect()).collect();
    assert!(ask(good.as_bytes()).starts_with("RTSP/1.0 503 "));
    assert!(node.tested());
    drop(crowd);
}

#[test]
fn a_new_configuration_moves_the_channel_and_a_bad_one_changes_nothing() {
    let (first, at) = channel();
    let node = start("hup", at);
    assert!(asked(&first).to_lowercase().contains("last-event-id: 7"));
    std::fs::write(&node.config, "{").unwrap();
    node.signal(Signal::HUP);
    assert!(node.tested(), "it runs on");
    let (second, moved) = channel();
    std::fs::write(&node.config, config(moved)).unwrap();
    node.signal(Signal::HUP);
    let head = asked(&second);
    assert!(head.starts_with("GET /cmd/next ") && head.to_lowercase().contains("last-event-id: 7"), "{head}");
}

#[test]
fn after_sigterm_it_goes_on_answering_and_then_ends_by_itself() {
    let (_listener, at) = channel();
    let mut node = start("term", at);
    let mut conn = node.connect();
    node.signal(Signal::TERM);
    for id in ["00000000000000b0", "00000000000000b1"] {
        conn.write_all(setup(id, "clip", "").as_bytes()).unwrap();
        assert!(head(&mut conn).starts_with("RTSP/1.0 503 "));
        assert!(node.tested(), "new connections come up");
        std::thread::sleep(Duration::from_millis(300));
    }
    conn.shutdown(Shutdown::Both).unwrap();
    let since = Instant::now();
    let ended = loop {
        if let Some(status) = node.life.try_wait().unwrap() {
            break status;
        }
        assert!(since.elapsed() < LONG, "it does not end");
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(ended.success());
}

/// Datagram sockets that a process holds, by the system's own lists.
fn datagram_sockets(pid: u32) -> usize {
    let lists =
        ["udp", "udp6"].map(|l| std::fs::read_to_string(format!("/proc/{pid}/net/{l}")).unwrap_or_default());
    let inodes: Vec<&str> =
        lists.iter().flat_map(|l| l.lines().skip(1)).filter_map(|l| l.split_whitespace().nth(9)).collect();
    let held = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().flatten();
    let links = held.filter_map(|fd| std::fs::read_link(fd.path()).ok());
    let names = links.map(|l| l.to_string_lossy().into_owned());
    names.filter(|n| inodes.iter().any(|i| *n == format!("socket:[{i}]"))).count()
}

#[test]
fn settings_of_members_and_permits_open_no_datagram_socket_here() {
    let (listener, at) = channel();
    let mut text: serde_json::Value = serde_json::from_str(&config(at)).unwrap();
    let key = std::env::temp_dir().join("no-such-key");
    for at in ["", "settings"] {
        let of = if at.is_empty() { &mut text } else { &mut text[at] };
        of["members"] =
            json!({"listen": "127.0.0.1:0", "witnesses": ["127.0.0.1:9"], "keys": [{"id": 1, "file": key}]});
        of["out"] = json!({"fleet": 1});
    }
    let mut node = start_with("permits", &text.to_string());
    asked(&listener);
    assert!(node.tested());
    assert_eq!(datagram_sockets(node.life.id()), 0);
    // And it ends as ever: nobody is asked for a permit.
    node.signal(Signal::TERM);
    let begun = Instant::now();
    while node.life.try_wait().unwrap().is_none() {
        assert!(begun.elapsed() < LONG, "it ends by itself");
        std::thread::sleep(Duration::from_millis(10));
    }
}
