//! Messages between `cloverhollow node` and its video servers that cross each other or are lost. Tests control the order
//! of bytes; both orders of concurrent messages are forced by stopping the process while they are written.

mod platform;

use platform::{
    config, read_head, read_message, setup_request, start_node, teardown_request, wait_for, CommandChannel,
    Node, Server, ServerConnection,
};
use rustix::process::Signal;
use serde_json::Value;
use std::io::Write;

/// Starts a session manager with one video server.
fn start_with_server(name: &str) -> (Node, CommandChannel, Server) {
    let (channel, server) = (CommandChannel::new(), Server::new());
    let node = start_node(name, &config(channel.address(), &[server.address()]));
    (node, channel, server)
}

/// Tag of a session in messages to video servers.
fn tag(id: u64) -> String {
    format!("{id:016x}")
}

/// Waits for the FINISH of that session on the connection.
fn read_finish(server_conn: &mut ServerConnection, id: u64) -> Value {
    loop {
        let line = server_conn.read_line().expect("a FINISH at the server");
        if line["verb"] == "FINISH" && line["tag"] == tag(id) {
            return line;
        }
    }
}

/// The cancellation by the viewer and the response of the server are processed together, in either order: the session is
/// released at its server.
#[test]
fn session_established_as_its_viewer_cancels_is_released_at_its_server() {
    for (id, response_first) in [(0xa1, false), (0xa2, true)] {
        let (node, _channel, server) = start_with_server(&format!("begins-{response_first}"));
        let mut viewer = node.connect();
        viewer.write_all(setup_request(id, "clip", 2_000).as_bytes()).unwrap();
        let mut server_conn = server.accept();
        assert_eq!(server_conn.read_start(), Some(tag(id)));
        node.signal(Signal::STOP);
        if response_first {
            server_conn.send_started(&tag(id));
        }
        viewer.write_all(teardown_request(id, None).as_bytes()).unwrap();
        if !response_first {
            server_conn.send_started(&tag(id));
        }
        node.signal(Signal::CONT);
        read_finish(&mut server_conn, id);
        assert!(read_head(&mut viewer).starts_with("RTSP/1.0 200 "), "the cancellation is confirmed");
        assert!(node.passes_readiness_check());
    }
}

/// As before, and the viewer sends a new set-up under the same id in the same moment.
#[test]
fn cancelled_session_is_released_although_its_id_is_requested_again() {
    let (node, _channel, server) = start_with_server("again");
    let mut viewer = node.connect();
    let id = 0xa3;
    viewer.write_all(setup_request(id, "clip", 2_000).as_bytes()).unwrap();
    let mut server_conn = server.accept();
    assert_eq!(server_conn.read_start(), Some(tag(id)));
    node.signal(Signal::STOP);
    viewer.write_all((teardown_request(id, None) + &setup_request(id, "clip", 2_000)).as_bytes()).unwrap();
    server_conn.send_started(&tag(id));
    node.signal(Signal::CONT);
    read_finish(&mut server_conn, id);
    let (response, _) = read_message(&mut viewer);
    assert!(response.starts_with("RTSP/1.0 200 "), "{response}");
    // If the server's response is processed in the same step, the id is refused. If it is processed in a later step, the id
    // is set up again, on another connection than the one being closed.
    let new_conn = wait_for("a response or a new set-up", || {
        viewer.set_nonblocking(true).unwrap();
        let answered = viewer.peek(&mut [0]).is_ok();
        viewer.set_nonblocking(false).unwrap();
        let new_conn = server.try_accept();
        assert!(!(answered && new_conn.is_some()), "both a response and a new set-up");
        (answered || new_conn.is_some()).then_some(new_conn)
    });
    let expected = match new_conn {
        Some(mut server_conn) => {
            assert_eq!(server_conn.read_start(), Some(tag(id)));
            server_conn.send_started(&tag(id));
            "RTSP/1.0 200 "
        }
        None => "RTSP/1.0 400 ",
    };
    let (second, _) = read_message(&mut viewer);
    assert!(second.starts_with(expected), "{second}");
}

/// As before, but the server's response comes before the new request: the first session is released before the id is set
/// up again.
#[test]
fn cancelled_session_is_released_before_its_id_is_set_up_again() {
    let (node, _channel, server) = start_with_server("released-first");
    let (mut viewer, id) = (node.connect(), 0xa4);
    viewer.write_all(setup_request(id, "clip", 2_000).as_bytes()).unwrap();
    let mut server_conn = server.accept();
    assert_eq!(server_conn.read_start(), Some(tag(id)));
    let mut other = node.connect();
    node.signal(Signal::STOP);
    viewer.write_all(teardown_request(id, None).as_bytes()).unwrap();
    server_conn.send_started(&tag(id));
    other.write_all(setup_request(id, "clip", 2_000).as_bytes()).unwrap();
    node.signal(Signal::CONT);
    let next = server_conn.read_line().expect("a FINISH at the server");
    assert_eq!(
        (&next["verb"], &next["tag"]),
        (&"FINISH".into(), &tag(id).into()),
        "released before the new set-up"
    );
}

/// Reads the status and body of the next response.
fn read_response(viewer: &mut std::net::TcpStream) -> (String, String) {
    let (head, body) = read_message(viewer);
    (head["RTSP/1.0 ".len()..][..3].to_owned(), body)
}

/// A paid set-up that may have been executed is not retried: the server closes before or within its response, or stays
/// silent past the deadline.
#[test]
fn paid_set_up_with_a_truncated_or_missing_response_fails_without_a_retry() {
    let cases: [(&str, Option<&str>); 4] = [
        ("closed", Some("")),
        ("cut", Some("{\"verb\":\"STARTED\",\"tag\":\"00000")),
        ("noise", Some("\u{1}\u{2} noise\n")),
        ("hung", None),
    ];
    for (name, bytes) in cases {
        let (node, _channel, server) = start_with_server(name);
        let mut viewer = node.connect();
        viewer.write_all(setup_request(0xb1, "paid", 400).as_bytes()).unwrap();
        let mut server_conn = server.accept();
        assert_eq!(server_conn.read_start(), Some(tag(0xb1)));
        if let Some(bytes) = bytes {
            server_conn.stream.write_all(bytes.as_bytes()).unwrap();
            drop(server_conn);
            assert_eq!(read_response(&mut viewer).0, "502", "{name}");
            if !bytes.is_empty() {
                // The bytes may be the start of its response, so the session is released before anything else is sent.
                let next = server.accept().read_line().expect("a release");
                assert_eq!((&next["verb"], &next["rc"]), (&"FINISH".into(), &16.into()), "{name}: {next}");
            }
        } else {
            assert_eq!(read_response(&mut viewer).0, "504", "{name}");
            assert_eq!(read_finish(&mut server_conn, 0xb1)["rc"], 16, "{name}");
            // The response crosses the FINISH and comes a second time: it is dropped, and nothing else is sent there.
            server_conn.send_started(&tag(0xb1));
            server_conn.send_started(&tag(0xb1));
            assert_eq!(server_conn.read_line(), None, "{name}: the connection is closed");
        }
        assert!(node.passes_readiness_check());
        assert!(server.try_accept().is_none(), "{name}: the set-up was retried");
    }
}

/// A duplicate response arrives while the session is established and after its end; a response with an unknown id arrives
/// first.
#[test]
fn duplicate_response_keeps_the_session_and_an_unknown_id_is_released() {
    let (node, _channel, server) = start_with_server("twice");
    let mut viewer = node.connect();
    viewer.write_all(setup_request(0xb3, "clip", 2_000).as_bytes()).unwrap();
    let mut server_conn = server.accept();
    assert_eq!(server_conn.read_start(), Some(tag(0xb3)));
    server_conn.send_started(&tag(0xbb));
    server_conn.send_started(&tag(0xb3));
    assert_eq!(read_response(&mut viewer), ("200".into(), "v=0 answer".into()));
    server_conn.send_started(&tag(0xb3));
    // The reply to an ECHO follows everything caused by earlier lines.
    let echo = serde_json::json!({"verb": "ECHO", "tag": tag(0xee), "opts": {}, "rc": 0});
    server_conn.send_line(&echo);
    assert_eq!(read_finish(&mut server_conn, 0xbb)["rc"], 16);
    let next = server_conn.read_line().unwrap();
    assert_eq!(next["verb"], "ECHOED", "no FINISH for an established session: {next}");
    viewer.write_all(teardown_request(0xb3, Some(31)).as_bytes()).unwrap();
    assert_eq!(read_finish(&mut server_conn, 0xb3)["rc"], 31);
    assert!(read_message(&mut viewer).0.starts_with("RTSP/1.0 200 "));
    server_conn.send_started(&tag(0xb3));
    assert_eq!(
        read_finish(&mut server_conn, 0xb3)["rc"],
        16,
        "a response after the end of the session is released"
    );
    assert!(node.passes_readiness_check());
}

/// A server confirms a session that is established at another server, as a late response to an attempt that has ended. The
/// session is released at the first server and stays established at the other.
#[test]
fn late_response_of_one_server_is_released_while_the_session_is_established_at_another() {
    let (channel, servers) = (CommandChannel::new(), [Server::new(), Server::new()]);
    let node = start_node("late", &config(channel.address(), &[servers[0].address(), servers[1].address()]));
    let mut viewer = node.connect();
    // Set-ups stay pending, each on its own connection, until both servers have one.
    let (mut server_conns, mut others): ([Option<(String, ServerConnection)>; 2], _) =
        ([None, None], Vec::new());
    for id in 0xc0..0xe0 {
        viewer.write_all(setup_request(id, "clip", 2_000).as_bytes()).unwrap();
        let any_server = || servers.iter().enumerate().find_map(|(i, s)| Some((i, s.try_accept()?)));
        let (index, mut server_conn) = platform::wait_for("a connection", any_server);
        let tag = server_conn.read_start().unwrap();
        match &mut server_conns[index] {
            first @ None => *first = Some((tag, server_conn)),
            Some(_) => others.push(server_conn),
        }
        if server_conns.iter().all(Option::is_some) {
            break;
        }
    }
    let [Some((established, mut own_server)), Some((_, mut other_server))] = server_conns else {
        panic!("one server got all set-ups")
    };
    own_server.send_started(&established);
    let (head, _) = read_message(&mut viewer);
    assert!(head.starts_with("RTSP/1.0 200 ") && head.contains(&established), "{head}");
    other_server.send_started(&established);
    let line = other_server.read_line().unwrap();
    assert_eq!((&line["verb"], &line["tag"]), (&"FINISH".into(), &established.clone().into()), "{line}");
    own_server.send_line(&serde_json::json!({"verb": "ECHO", "tag": tag(0xee), "opts": {}, "rc": 0}));
    assert_eq!(own_server.read_line().unwrap()["verb"], "ECHOED", "no FINISH at the server of the session");
    own_server.send_finish(&established, 16);
    let (released, _) = read_message(&mut viewer);
    assert!(
        released.starts_with("TEARDOWN ") && released.contains(&established),
        "the session was established: {released}"
    );
}
