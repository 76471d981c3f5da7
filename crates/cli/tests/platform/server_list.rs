//! A session manager with one server, whose list changes while sessions stand.
#![allow(dead_code)] // each test file uses a part

use crate::platform::{
    config, endpoint, event, message, setup, start, tell, until, Channel, Link, Node, Server, LONG,
};
use serde_json::{json, Value};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The protocol's limit from the server's release to the client's, with its slack.
pub const RELEASED_WITHIN: Duration = Duration::from_millis(1_050);
/// Sessions handed over count for the rules so much later.
pub const HANDED_OVER_SLACK: Duration = Duration::from_millis(200);

pub fn tag(id: u64) -> String {
    format!("{id:016x}")
}

/// A process with one server, and the stream on which its list changes.
pub struct Listed {
    pub node: Node,
    _channel: Channel,
    stream: TcpStream,
    pub server: Server,
    cursor: u64,
    pub next_probe: u64,
}

impl Listed {
    pub fn new(name: &str) -> Listed {
        let (channel, server) = (Channel::new(), Server::new());
        let node = start(name, &config(channel.address(), &[server.address()]));
        let (stream, _) = channel.watched();
        Listed { node, _channel: channel, stream, server, cursor: 7, next_probe: 0xf000 }
    }

    pub fn tell(&mut self, snapshot: bool, entries: Vec<Value>) {
        self.cursor += 1;
        tell(&mut self.stream, &event(self.cursor, snapshot, entries));
    }

    /// The server's state, under number `n` of the list.
    pub fn listed(&self, n: usize, status: &str, since: u64) -> Value {
        endpoint(n, self.server.address(), status, since)
    }

    /// Tells that the server has left, and waits until set-ups are refused for want of a server.
    pub fn leave(&mut self) {
        let gone = self.listed(0, "terminated", 0);
        self.tell(false, vec![gone]);
        self.await_no_servers();
    }

    pub fn await_no_servers(&mut self) {
        let (node, next) = (&self.node, &mut self.next_probe);
        until("a refusal", || {
            *next += 1;
            let mut viewer = node.connect();
            viewer.write_all(setup(*next, "clip", 100).as_bytes()).unwrap();
            message(&mut viewer).0.starts_with("RTSP/1.0 503 ").then_some(())
        });
    }

    /// Sets a session up on a new connection to the server; it stands.
    pub fn stand_on_new(&self, id: u64) -> (TcpStream, Link) {
        let mut viewer = self.node.connect();
        viewer.write_all(setup(id, "clip", 2_000).as_bytes()).unwrap();
        let mut link = self.server.accept();
        assert_eq!(link.start(), Some(tag(id)));
        stand(&mut viewer, &mut link, id);
        (viewer, link)
    }

    /// Sets a session up after the list has changed, on whichever connection it goes; probes until the change is taken in.
    pub fn stand_again(&mut self, id: u64, older: &mut Link) -> (TcpStream, Option<Link>) {
        let mut viewer = until("a set-up is begun", || {
            let mut viewer = self.node.connect();
            viewer.write_all(setup(id, "clip", 2_000).as_bytes()).unwrap();
            viewer.set_nonblocking(true).unwrap();
            let begun = Instant::now();
            while begun.elapsed() < Duration::from_millis(50) {
                if viewer.peek(&mut [0]).is_ok() {
                    return None; // refused: the server is not listed yet
                }
                std::thread::sleep(Duration::from_millis(1));
            }
            viewer.set_nonblocking(false).unwrap();
            Some(viewer)
        });
        match self.server.accept_now() {
            Some(mut link) => {
                assert_eq!(link.start(), Some(tag(id)));
                stand(&mut viewer, &mut link, id);
                (viewer, Some(link))
            }
            None => {
                assert_eq!(older.start(), Some(tag(id)));
                stand(&mut viewer, older, id);
                (viewer, None)
            }
        }
    }
}

pub fn stand(viewer: &mut TcpStream, link: &mut Link, id: u64) {
    link.started(&tag(id));
    let (head, _) = message(viewer);
    assert!(head.starts_with("RTSP/1.0 200 ") && head.contains(&tag(id)), "{head}");
}

/// The viewer is released from that session, in the protocol's time from now.
pub fn assert_released(viewer: &mut TcpStream, id: u64, what: &str) {
    assert_released_within(viewer, id, RELEASED_WITHIN, what);
}

pub fn assert_released_within(viewer: &mut TcpStream, id: u64, within: Duration, what: &str) {
    viewer.set_read_timeout(Some(within)).unwrap();
    let begun = Instant::now();
    match viewer.peek(&mut [0]) {
        Ok(n) if n > 0 => {}
        other => panic!("{what}: no release after {:?}: {other:?}", begun.elapsed()),
    }
    viewer.set_read_timeout(Some(LONG)).unwrap();
    let (head, _) = message(viewer);
    assert!(head.starts_with("TEARDOWN ") && head.contains(&tag(id)), "{what}: {head}");
}

/// Nothing has come for the viewer by now.
pub fn assert_plays_on(viewer: &mut TcpStream, what: &str) {
    viewer.set_nonblocking(true).unwrap();
    let came = viewer.peek(&mut [0]);
    viewer.set_nonblocking(false).unwrap();
    assert!(matches!(&came, Err(e) if e.kind() == ErrorKind::WouldBlock), "{what}: {came:?}");
}

/// Has the node answer a test on that connection: all that was written on it before has been taken in. What comes before
/// the answer is given back.
pub fn settle(link: &mut Link) -> Vec<Value> {
    let test = tag(0xeeee);
    link.say(&json!({"verb": "ECHO", "tag": test, "opts": {}, "rc": 0}));
    let mut before = Vec::new();
    loop {
        let line = link.line().expect("the test is passed on its own connection");
        if line["verb"] == "ECHOED" && line["tag"] == *test {
            return before;
        }
        before.push(line);
    }
}
