//! Viewers of `cloverhollow node` that close, cancel or do not read while responses or releases are pending. The process is
//! stopped (SIGSTOP) while concurrent messages from both sides are put into its socket buffers.

#[path = "platform/line_server.rs"]
mod line_server;
mod platform;

use line_server::{pause, send_line, send_started, wait_until_received, LineServer};
use platform::*;
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

/// Session id as on the wire.
fn id(n: u64) -> String {
    format!("{n:016x}")
}

/// Sends a new set-up and checks that it is the next one at the server, and that it succeeds: no attempt was sent for a
/// viewer that left before.
fn assert_next_set_up_is(node: &Node, server: &LineServer, n: u64, context: &str) {
    assert!(node.passes_readiness_check(), "{context}");
    let mut new_viewer = node.connect();
    new_viewer.write_all(setup_request(n, "clip", 2_000).as_bytes()).unwrap();
    let (tag, server_conn) = server.read_start();
    assert_eq!(tag, id(n), "{context}: an attempt was sent for a viewer that had left");
    send_started(&server_conn, &tag);
    assert!(read_head(&mut new_viewer).starts_with("RTSP/1.0 200 "), "{context}");
}

/// Way in which a viewer leaves: its name and a function that returns the connection if it has to stay open.
type LeaveMethod = (&'static str, fn(TcpStream, u64) -> Option<TcpStream>);

const LEAVE_METHODS: [LeaveMethod; 4] = [
    ("full close", |conn, _| {
        drop(conn);
        None
    }),
    ("half close", |conn, _| {
        conn.shutdown(Shutdown::Write).unwrap();
        Some(conn)
    }),
    ("reset", |conn, _| {
        reset_connection(conn);
        None
    }),
    ("cancel", |mut conn, first_id| {
        let requests: String = (0..PIPELINED).map(|n| teardown_request(first_id + n, None)).collect();
        conn.write_all(requests.as_bytes()).unwrap();
        Some(conn)
    }),
];

/// More requests than the task of a connection reads at once.
const PIPELINED: u64 = 200;

#[test]
fn viewer_that_leaves_while_the_process_is_stopped_gets_no_attempt() {
    let (channel, server) = (CommandChannel::new(), LineServer::new());
    let node = start_node("still", &config(channel.address(), &[server.address]));
    let mut open = Vec::new();
    for (i, (how, leave)) in LEAVE_METHODS.into_iter().enumerate() {
        let first_id = 0x1000 * (i as u64 + 1);
        let mut conn = node.connect();
        // The connection has been accepted before the set-ups arrive.
        conn.write_all(READINESS_CHECK).unwrap();
        assert!(read_head(&mut conn).starts_with("RTSP/1.0 200 "));
        pause(&node);
        let requests: String = (0..PIPELINED).map(|n| setup_request(first_id + n, "clip", 2_000)).collect();
        conn.write_all(requests.as_bytes()).unwrap();
        open.push(leave(conn, first_id));
        node.signal(Signal::CONT);
        assert_next_set_up_is(&node, &server, first_id + 0xfff, how);
    }
}

#[test]
fn viewer_that_leaves_before_its_request_is_complete_gets_no_attempt() {
    let (channel, server) = (CommandChannel::new(), LineServer::new());
    let node = start_node("part", &config(channel.address(), &[server.address]));
    let request = setup_request(0x77, "clip", 2_000);
    for (i, (how, leave)) in LEAVE_METHODS[..3].iter().enumerate() {
        let mut conn = node.connect();
        conn.write_all(&request.as_bytes()[..request.len() - 1]).unwrap();
        let _open = leave(conn, 0);
        assert_next_set_up_is(&node, &server, 0x100 + i as u64, how);
    }
}

/// The viewer leaves at the moment its attempt fails and a retry would follow.
#[test]
fn viewer_that_leaves_as_an_attempt_fails_gets_no_retry() {
    let channel = CommandChannel::new();
    for (how, leave) in LEAVE_METHODS {
        let servers = [LineServer::new(), LineServer::new()];
        let addresses = servers.each_ref().map(|s| s.address);
        let node =
            start_node(&format!("between-{}", how.replace(' ', "-")), &config(channel.address(), &addresses));
        let next_start = || {
            wait_for("a set-up", || {
                let received = servers.iter().find_map(|s| s.lines.try_recv().ok());
                received.filter(|(line, _)| line["verb"] == "START")
            })
        };
        let mut conn = node.connect();
        conn.write_all(setup_request(1, "clip", 2_000).as_bytes()).unwrap();
        let (line, server_conn) = next_start();
        assert_eq!(line["tag"], id(1));
        pause(&node);
        send_line(&server_conn, json!({"verb": "FINISH", "tag": id(1), "opts": {}, "rc": 34}));
        let client = conn.local_addr().unwrap();
        let _open = leave(conn, 1);
        wait_until_received(&node, client);
        node.signal(Signal::CONT);
        assert!(node.passes_readiness_check());
        let mut new_viewer = node.connect();
        new_viewer.write_all(setup_request(2, "clip", 2_000).as_bytes()).unwrap();
        let (line, server_conn) = next_start();
        assert_eq!(line["tag"], id(2), "{how}: a retry for a viewer that had left");
        send_started(&server_conn, &id(2));
        assert!(read_head(&mut new_viewer).starts_with("RTSP/1.0 200 "), "{how}");
    }
}

/// The server's response and the viewer's departure are processed together: the session is released at its server.
#[test]
fn session_is_released_if_its_viewer_leaves_as_the_response_arrives() {
    let (channel, server) = (CommandChannel::new(), LineServer::new());
    let node = start_node("answer", &config(channel.address(), &[server.address]));
    for (i, (how, leave)) in LEAVE_METHODS.into_iter().enumerate() {
        let first_id = 0x1000 * (i as u64 + 1);
        let mut conn = node.connect();
        conn.write_all(setup_request(first_id, "paid", 2_000).as_bytes()).unwrap();
        let (tag, server_conn) = server.read_start();
        pause(&node);
        send_started(&server_conn, &tag);
        let client = conn.local_addr().unwrap();
        let _open = leave(conn, first_id);
        wait_until_received(&node, client);
        node.signal(Signal::CONT);
        let (finish, _) = server.lines.recv_timeout(TIMEOUT).expect("a FINISH at the server");
        assert_eq!((&finish["verb"], &finish["tag"]), (&json!("FINISH"), &json!(tag)), "{how}");
        assert_next_set_up_is(&node, &server, first_id + 0xfff, how);
    }
}

/// The viewer leaves while its attempt is in progress: the attempt is cancelled and not retried.
#[test]
fn attempt_in_progress_is_cancelled_if_its_viewer_leaves() {
    let (channel, server) = (CommandChannel::new(), LineServer::new());
    let node = start_node("out", &config(channel.address(), &[server.address]));
    for (i, (how, leave)) in LEAVE_METHODS.into_iter().enumerate() {
        let first_id = 0x1000 * (i as u64 + 1);
        let mut conn = node.connect();
        conn.write_all(setup_request(first_id, "clip", 2_000).as_bytes()).unwrap();
        let (tag, _server_conn) = server.read_start();
        let _open = leave(conn, first_id);
        let (finish, _) = server.lines.recv_timeout(TIMEOUT).expect("a FINISH at the server");
        assert_eq!((&finish["verb"], &finish["tag"]), (&json!("FINISH"), &json!(tag)), "{how}");
        assert_next_set_up_is(&node, &server, first_id + 0xfff, how);
    }
}

/// A set-up behind an invalid message on the same connection is refused without an attempt. Without this its attempt was
/// sent, and its response was queued after the close of the connection.
#[test]
fn set_up_behind_an_invalid_one_is_refused_without_an_attempt() {
    let (channel, server) = (CommandChannel::new(), LineServer::new());
    let node = start_node("behind", &config(channel.address(), &[server.address]));
    let mut conn = node.connect();
    let both = setup_request(0x10, "gold", 2_000) + &setup_request(0x11, "clip", 2_000);
    conn.write_all(both.as_bytes()).unwrap();
    assert!(read_head(&mut conn).starts_with("RTSP/1.0 400 "));
    let second = read_head(&mut conn);
    assert!(second.starts_with("RTSP/1.0 503 ") && second.contains(&id(0x11)), "{second:?}");
    assert_eq!(read_head(&mut conn), "", "the connection is closed afterwards");
    assert_next_set_up_is(&node, &server, 0x12, "behind");
}

/// A second request under an id in use on the same connection is invalid: the open request gets one error response, and
/// its attempt is cancelled.
#[test]
fn duplicate_session_id_is_refused_and_cancels_only_a_request_of_its_own_connection() {
    let (channel, server) = (CommandChannel::new(), LineServer::new());
    let node = start_node("twice", &config(channel.address(), &[server.address]));
    let mut conn = node.connect();
    conn.write_all(setup_request(0x20, "paid", 2_000).as_bytes()).unwrap();
    let (tag, server_conn) = server.read_start();
    conn.write_all(setup_request(0x20, "paid", 2_000).as_bytes()).unwrap();
    assert!(read_head(&mut conn).starts_with("RTSP/1.0 400 "));
    assert!(read_head(&mut conn).starts_with("RTSP/1.0 502 "));
    send_started(&server_conn, &tag);
    assert_eq!(read_head(&mut conn), "", "no third response");
    // A duplicate id from another connection does not affect the open request.
    let (mut first, mut second) = (node.connect(), node.connect());
    first.write_all(setup_request(0x21, "paid", 2_000).as_bytes()).unwrap();
    let (tag, server_conn) = server.read_start();
    second.write_all(setup_request(0x21, "paid", 2_000).as_bytes()).unwrap();
    assert!(read_head(&mut second).starts_with("RTSP/1.0 400 "));
    assert_eq!(read_head(&mut second), "");
    send_started(&server_conn, &tag);
    let (response, body) = read_message(&mut first);
    assert!(response.starts_with("RTSP/1.0 200 ") && body == "v=0 answer", "{response}");
}

/// More releases than a send queue used to hold: the connection was closed and the remaining ones were lost.
#[test]
fn releases_of_many_sessions_at_once_are_all_sent_on_one_connection() {
    const SESSIONS: u64 = 1_500;
    let (channel, closing_server) = (CommandChannel::new(), TcpListener::bind("127.0.0.1:0").unwrap());
    let node = start_node("many", &config(channel.address(), &[closing_server.local_addr().unwrap()]));
    assert!(node.passes_readiness_check());
    let mut conn = node.connect();
    for n in 0..SESSIONS {
        let handed_over = setup_request(n, "clip", 2_000).replace("viewer:", "at:s-00000000;viewer:");
        conn.write_all(handed_over.as_bytes()).unwrap();
    }
    drop(closing_server);
    let mut releases: Vec<String> = (0..SESSIONS).map(|_| read_head(&mut conn)).collect();
    assert!(
        releases.iter().all(|r| r.starts_with("TEARDOWN ") && r.contains("cause=41")),
        "{:?}",
        releases.last()
    );
    releases.sort();
    releases.dedup();
    assert_eq!(releases.len() as u64, SESSIONS);
    assert!(node.passes_readiness_check());
}

/// The last response after SIGTERM is queued in the step in which the process exits; it used to be never written.
#[test]
fn last_response_before_the_exit_is_written() {
    let (channel, server) = (CommandChannel::new(), LineServer::new());
    let mut node = start_node("last", &config(channel.address(), &[server.address]));
    let mut conn = node.connect();
    conn.write_all(setup_request(0x50, "paid", 3_000).as_bytes()).unwrap();
    let (_, _server_conn) = server.read_start();
    node.signal(Signal::TERM);
    assert!(node.passes_readiness_check() && node.passes_readiness_check(), "SIGTERM has been processed");
    // Stopped past its grace period, it finds that period and the viewer's deadline expired in the same step.
    pause(&node);
    std::thread::sleep(Duration::from_millis(4_500));
    node.signal(Signal::CONT);
    assert!(read_head(&mut conn).starts_with("RTSP/1.0 504 "));
    assert!(node.wait_for_exit().success());
}
