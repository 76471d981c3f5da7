//! A session manager with one video server, whose list entry changes while sessions are established.
#![allow(dead_code)] // each test binary uses a subset

use crate::platform::{
    config, endpoint, event, read_message, send_event, setup_request, start_node, wait_for, CommandChannel,
    Node, Server, ServerConnection, TIMEOUT,
};
use serde_json::{json, Value};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time limit of the protocol from the release by the server to the release at the viewer, including slack.
pub const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_050);
/// Additional time that the protocol allows for sessions that were handed over.
pub const HANDED_OVER_SLACK: Duration = Duration::from_millis(200);

/// Tag of a session in messages to video servers.
pub fn tag(id: u64) -> String {
    format!("{id:016x}")
}

/// A session manager, its only video server and the event stream that updates the server list.
pub struct ServerListFixture {
    pub node: Node,
    _channel: CommandChannel,
    stream: TcpStream,
    pub server: Server,
    cursor: u64,
    /// Session id of the next probe request.
    pub next_probe: u64,
}

impl ServerListFixture {
    pub fn new(name: &str) -> ServerListFixture {
        let (channel, server) = (CommandChannel::new(), Server::new());
        let node = start_node(name, &config(channel.address(), &[server.address()]));
        let (stream, _) = channel.accept_stream();
        ServerListFixture { node, _channel: channel, stream, server, cursor: 7, next_probe: 0xf000 }
    }

    /// Sends a list update: a snapshot, or changed entries.
    pub fn update_list(&mut self, snapshot: bool, entries: Vec<Value>) {
        self.cursor += 1;
        send_event(&mut self.stream, &event(self.cursor, snapshot, entries));
    }

    /// List entry of the server under the name with number `n`.
    pub fn list_entry(&self, n: usize, status: &str, since_ms: u64) -> Value {
        endpoint(n, self.server.address(), status, since_ms)
    }

    /// Removes the server from the list and waits until set-ups are refused because no server is left.
    pub fn remove_server(&mut self) {
        let removed = self.list_entry(0, "terminated", 0);
        self.update_list(false, vec![removed]);
        self.wait_until_no_servers();
    }

    /// Waits until set-ups are refused because no server is listed.
    pub fn wait_until_no_servers(&mut self) {
        let (node, next) = (&self.node, &mut self.next_probe);
        wait_for("a refusal", || {
            *next += 1;
            let mut viewer = node.connect();
            viewer.write_all(setup_request(*next, "clip", 100).as_bytes()).unwrap();
            read_message(&mut viewer).0.starts_with("RTSP/1.0 503 ").then_some(())
        });
    }

    /// Establishes a session on a new connection to the server.
    pub fn establish_on_new_connection(&self, id: u64) -> (TcpStream, ServerConnection) {
        let mut viewer = self.node.connect();
        viewer.write_all(setup_request(id, "clip", 2_000).as_bytes()).unwrap();
        let mut server_conn = self.server.accept();
        assert_eq!(server_conn.read_start(), Some(tag(id)));
        establish(&mut viewer, &mut server_conn, id);
        (viewer, server_conn)
    }

    /// Establishes a session after a list update, on the `older` or a new connection; retries until the update has taken
    /// effect. Returns the new connection, if there is one.
    pub fn establish_after_update(
        &mut self,
        id: u64,
        older: &mut ServerConnection,
    ) -> (TcpStream, Option<ServerConnection>) {
        let mut viewer = wait_for("a set-up that is not refused", || {
            let mut viewer = self.node.connect();
            viewer.write_all(setup_request(id, "clip", 2_000).as_bytes()).unwrap();
            viewer.set_nonblocking(true).unwrap();
            let started_at = Instant::now();
            while started_at.elapsed() < Duration::from_millis(50) {
                if viewer.peek(&mut [0]).is_ok() {
                    return None; // refused: the server is not listed yet
                }
                std::thread::sleep(Duration::from_millis(1));
            }
            viewer.set_nonblocking(false).unwrap();
            Some(viewer)
        });
        match self.server.try_accept() {
            Some(mut server_conn) => {
                assert_eq!(server_conn.read_start(), Some(tag(id)));
                establish(&mut viewer, &mut server_conn, id);
                (viewer, Some(server_conn))
            }
            None => {
                assert_eq!(older.read_start(), Some(tag(id)));
                establish(&mut viewer, older, id);
                (viewer, None)
            }
        }
    }
}

/// Confirms the set-up at the server and checks the response to the viewer.
pub fn establish(viewer: &mut TcpStream, server_conn: &mut ServerConnection, id: u64) {
    server_conn.send_started(&tag(id));
    let (head, _) = read_message(viewer);
    assert!(head.starts_with("RTSP/1.0 200 ") && head.contains(&tag(id)), "{head}");
}

/// Checks that the viewer receives the release of that session within [`RELEASE_TIMEOUT`].
pub fn assert_released(viewer: &mut TcpStream, id: u64, what: &str) {
    assert_released_within(viewer, id, RELEASE_TIMEOUT, what);
}

pub fn assert_released_within(viewer: &mut TcpStream, id: u64, within: Duration, what: &str) {
    viewer.set_read_timeout(Some(within)).unwrap();
    let started_at = Instant::now();
    match viewer.peek(&mut [0]) {
        Ok(n) if n > 0 => {}
        other => panic!("{what}: no release after {:?}: {other:?}", started_at.elapsed()),
    }
    viewer.set_read_timeout(Some(TIMEOUT)).unwrap();
    let (head, _) = read_message(viewer);
    assert!(head.starts_with("TEARDOWN ") && head.contains(&tag(id)), "{what}: {head}");
}

/// Checks that no message has arrived at the viewer so far.
pub fn assert_not_released(viewer: &mut TcpStream, what: &str) {
    viewer.set_nonblocking(true).unwrap();
    let received = viewer.peek(&mut [0]);
    viewer.set_nonblocking(false).unwrap();
    assert!(matches!(&received, Err(e) if e.kind() == ErrorKind::WouldBlock), "{what}: {received:?}");
}

/// Sends an ECHO on that connection and waits for its reply, by which all earlier lines on it have been processed. Returns
/// the lines that arrive before the reply.
pub fn wait_until_processed(server_conn: &mut ServerConnection) -> Vec<Value> {
    let echo_tag = tag(0xeeee);
    server_conn.send_line(&json!({"verb": "ECHO", "tag": echo_tag, "opts": {}, "rc": 0}));
    let mut earlier_lines = Vec::new();
    loop {
        let line = server_conn.read_line().expect("the echo is answered on its own connection");
        if line["verb"] == "ECHOED" && line["tag"] == *echo_tag {
            return earlier_lines;
        }
        earlier_lines.push(line);
    }
}
