//! `cloverhollow node` and a process that comes up at the address of a video server that has died or was replaced: it gets
//! no messages about the sessions of its predecessor.

mod platform;
#[path = "platform/server_list.rs"]
mod server_list;

use platform::{
    config, endpoint, event, read_message, reset_connection, send_event, setup_request, start_node, wait_for,
    CommandChannel, Node, Server, ServerConnection,
};
use serde_json::Value;
use server_list::{establish, tag};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// Sessions at the first server.
const SESSIONS: u64 = 11;

/// A session manager with sessions at its only server, all on one connection.
struct Fixture {
    node: Node,
    _channel: CommandChannel,
    stream: TcpStream,
    viewer: TcpStream,
    address: SocketAddr,
    listener: Option<Server>,
    server_conn: Option<ServerConnection>,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        let (channel, server) = (CommandChannel::new(), Server::new());
        let address = server.address();
        let node = start_node(&format!("successor-{name}"), &config(channel.address(), &[address]));
        let (stream, _) = channel.accept_stream();
        let mut viewer = node.connect();
        let mut server_conn = None;
        for id in 1..=SESSIONS {
            viewer.write_all(setup_request(id, "clip", 2_000).as_bytes()).unwrap();
            let server_conn = server_conn.get_or_insert_with(|| server.accept());
            assert_eq!(server_conn.read_start(), Some(tag(id)));
            establish(&mut viewer, server_conn, id);
        }
        Fixture { node, _channel: channel, stream, viewer, address, listener: Some(server), server_conn }
    }

    /// Has the server die, and another process come up at its address at once. Returns the new process and the connection
    /// that the session manager has made to it.
    fn replace_dead_server(&mut self, reset: bool) -> (Server, ServerConnection) {
        self.listener = None;
        let successor = Server::at(self.address);
        let server_conn = self.server_conn.take().unwrap();
        if reset {
            reset_connection(server_conn.stream.try_clone().unwrap());
        }
        drop(server_conn);
        let server_conn = successor.accept();
        (successor, server_conn)
    }

    /// Tells the session manager of the new process, and waits until it has released the sessions of the former one.
    fn list_successor(&mut self, entries: Vec<Value>) {
        send_event(&mut self.stream, &event(8, false, entries));
        for _ in 1..=SESSIONS {
            let (head, _) = read_message(&mut self.viewer);
            assert!(head.starts_with("TEARDOWN "), "{head}");
        }
    }
}

fn unix_ms() -> u64 {
    std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64
}

/// Entries for another name at the address.
fn renamed(address: SocketAddr, since_ms: u64) -> Vec<Value> {
    vec![endpoint(0, address, "terminated", 0), endpoint(1, address, "in_service", since_ms)]
}

/// Checks that the new process has received nothing about the first sessions, on its connections so far and on those that
/// are opened for a set-up now.
fn assert_nothing_received(fixture: &Fixture, successor: &Server, conns: Vec<ServerConnection>, form: &str) {
    let mut viewer = fixture.node.connect();
    viewer.write_all(setup_request(0x77, "clip", 2_000).as_bytes()).unwrap();
    let mut conns = conns;
    let mut last = wait_for("a connection for a set-up", || {
        let mut conn = successor.try_accept()?;
        let line = conn.read_line();
        match line {
            Some(line) if line["verb"] == "START" => Some(conn),
            line => panic!("{form}: {line:?}"),
        }
    });
    establish(&mut viewer, &mut last, 0x77);
    conns.push(last);
    conns.extend(std::iter::from_fn(|| successor.try_accept()));
    for mut conn in conns {
        while let Some(line) = conn.try_read_line() {
            let sid = line["tag"].as_str().unwrap().to_owned();
            assert!((1..=SESSIONS).all(|id| tag(id) != sid), "{form}: {line}");
        }
    }
}

/// Guards against releases of a dead process's sessions that are sent to the next process at its address.
#[test]
fn process_at_the_address_of_a_dead_server_gets_no_releases_of_its_sessions() {
    for (form, reset, same_name, has_start) in [
        ("reset, another name, its start told", true, false, true),
        ("reset, another name", true, false, false),
        ("close, another name", false, false, false),
        ("reset, the same name, its start told", true, true, true),
    ] {
        let mut fixture = Fixture::new(&form.replace([',', ' '], "-"));
        let (successor, server_conn) = fixture.replace_dead_server(reset);
        let since_ms = if has_start { unix_ms() } else { 0 };
        let address = fixture.address;
        let same = vec![endpoint(0, address, "in_service", since_ms)];
        fixture.list_successor(if same_name { same } else { renamed(address, since_ms) });
        assert_nothing_received(&fixture, &successor, vec![server_conn], form);
    }
}

/// Guards against the same where a session has been set up at the new process before the list told of it.
#[test]
fn session_at_the_new_process_does_not_make_it_the_dead_one() {
    let mut fixture = Fixture::new("early-session");
    let (successor, mut server_conn) = fixture.replace_dead_server(true);
    let mut viewer = fixture.node.connect();
    viewer.write_all(setup_request(0x50, "clip", 2_000).as_bytes()).unwrap();
    assert_eq!(server_conn.read_start(), Some(tag(0x50)));
    establish(&mut viewer, &mut server_conn, 0x50);
    let entries = renamed(fixture.address, 0);
    fixture.list_successor(entries);
    assert_nothing_received(&fixture, &successor, vec![server_conn], "early session");
}

/// Guards against releases that a process did not read before it ended, and that are sent to its successor then.
#[test]
fn releases_that_a_replaced_process_did_not_read_are_not_sent_to_its_successor() {
    let mut fixture = Fixture::new("unread");
    fixture.listener = None;
    let successor = Server::at(fixture.address);
    // Start times in the list have a resolution of 1 ms.
    std::thread::sleep(std::time::Duration::from_millis(20));
    fixture.list_successor(vec![endpoint(0, fixture.address, "in_service", unix_ms())]);
    reset_connection(fixture.server_conn.take().unwrap().stream);
    assert_nothing_received(&fixture, &successor, Vec::new(), "unread releases");
}
