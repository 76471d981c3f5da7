//! Releases of `cloverhollow node` whose session's own connection is gone: on which connection of viewers they are written,
//! and when.

mod platform;
#[path = "platform/server_list.rs"]
mod server_list;

use platform::{
    read_message, reset_connection, setup_request, teardown_request, wait_for, Node, ServerConnection,
    READINESS_CHECK,
};
use server_list::{
    assert_not_released, assert_released, assert_released_within, establish, tag, wait_until_processed,
    ServerListFixture, RELEASE_TIMEOUT,
};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Time of the protocol to release a session of which no release could be sent at its end, including slack.
const LATE_RELEASE_TIMEOUT: Duration = Duration::from_millis(8_050);

/// Sends a request and checks the status of its response.
fn expect_status(viewer: &mut TcpStream, request: &[u8], status: &str) {
    viewer.write_all(request).unwrap();
    let (head, _) = read_message(viewer);
    assert!(head.starts_with(&format!("RTSP/1.0 {status} ")), "{head}");
}

/// A session manager without servers, and a session whose own connection has been reset.
fn orphan_session(name: &str, id: u64) -> (ServerListFixture, ServerConnection) {
    let mut fixture = ServerListFixture::new(name);
    let (viewer, server_conn) = fixture.establish_on_new_connection(id);
    fixture.remove_server();
    reset_connection(viewer);
    (fixture, server_conn)
}

/// Opens a viewer's connection on which one set-up is refused.
fn connect_and_be_refused(node: &Node, id: u64) -> TcpStream {
    let mut viewer = node.connect();
    expect_status(&mut viewer, setup_request(id, "clip", 500).as_bytes(), "503");
    viewer
}

/// Guards against review case 2: a release was kept back while the viewers' connection carried nothing but refused set-ups.
#[test]
fn release_is_written_on_a_connection_whose_set_ups_were_refused() {
    let (fixture, mut server_conn) = orphan_session("release-refused", 0xa1);
    let mut next = connect_and_be_refused(&fixture.node, 0xb1);
    server_conn.send_finish(&tag(0xa1), 16);
    assert_released(&mut next, 0xa1, "the connection carried a refused set-up");
}

/// Guards against a release that waits for the answer to a set-up that is open, or is given up, on the only connection.
#[test]
fn release_is_written_on_a_connection_with_an_open_or_abandoned_set_up() {
    for abandoned in [false, true] {
        let fixture = ServerListFixture::new(&format!("release-open-{abandoned}"));
        let (viewer, mut server_conn) = fixture.establish_on_new_connection(0xa2);
        reset_connection(viewer);
        let mut next = fixture.node.connect();
        next.write_all(setup_request(0xb2, "clip", 2_000).as_bytes()).unwrap();
        assert_eq!(server_conn.read_start(), Some(tag(0xb2)), "on the idle connection");
        if abandoned {
            expect_status(&mut next, teardown_request(0xb2, None).as_bytes(), "200");
        }
        server_conn.send_finish(&tag(0xa2), 16);
        assert_released(&mut next, 0xa2, if abandoned { "abandoned" } else { "open" });
    }
}

/// Guards against a release that misses the first request on the first connection after its session's end.
#[test]
fn release_without_any_connection_is_written_with_the_next_refused_set_up() {
    let (fixture, mut server_conn) = orphan_session("release-next", 0xa3);
    server_conn.send_finish(&tag(0xa3), 16);
    wait_until_processed(&mut server_conn);
    let mut next = fixture.node.connect();
    next.write_all(setup_request(0xb3, "clip", 500).as_bytes()).unwrap();
    let heads = [read_message(&mut next).0, read_message(&mut next).0];
    let is_release = |head: &String| head.starts_with("TEARDOWN ") && head.contains(&tag(0xa3));
    assert!(heads.iter().any(is_release), "{heads:?}");
}

/// Guards against the loss of a release on a connection whose viewer does not acknowledge it and then closes.
#[test]
fn release_without_acknowledgement_is_written_again_once_its_connection_ends() {
    let (fixture, mut server_conn) = orphan_session("release-again", 0xa4);
    let mut older = connect_and_be_refused(&fixture.node, 0xb4);
    let mut newer = connect_and_be_refused(&fixture.node, 0xb5);
    server_conn.send_finish(&tag(0xa4), 16);
    assert_released(&mut newer, 0xa4, "on the newest connection");
    // Longer than a release counts as unread on a connection that carried sessions.
    std::thread::sleep(Duration::from_millis(1_200));
    assert_not_released(&mut older, "one connection at a time");
    drop(newer);
    assert_released(&mut older, 0xa4, "the other connection has ended");
    expect_status(&mut older, &acknowledgement(0xa4), "503");
    drop(older);
    let mut last = connect_and_be_refused(&fixture.node, 0xb6);
    std::thread::sleep(RELEASE_TIMEOUT);
    assert_not_released(&mut last, "acknowledged");
}

/// Acknowledges a release; a set-up follows, whose refusal tells that both were handled.
fn acknowledgement(id: u64) -> Vec<u8> {
    let acknowledged =
        format!("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: {}\r\nContent-Length: 0\r\n\r\n", tag(id));
    (acknowledged + &setup_request(id + 0xf00, "clip", 500)).into_bytes()
}

/// Guards against a release that is never written because viewers only ping on the connection that they keep open. A new
/// connection is no test's only after a while, so the release may come late there.
#[test]
fn release_is_written_in_time_on_a_connection_that_is_kept_open_with_pings() {
    let (fixture, mut server_conn) = orphan_session("release-pings", 0xa5);
    let mut next = fixture.node.connect();
    expect_status(&mut next, READINESS_CHECK, "200");
    server_conn.send_finish(&tag(0xa5), 16);
    assert_released_within(&mut next, 0xa5, LATE_RELEASE_TIMEOUT, "pings only");
}

/// Guards against the loss of a release that waits in the send queue of a connection whose viewer has stopped reading: the
/// connection is closed after a time-out, by which the release counted as read.
#[test]
fn release_queued_for_a_viewer_that_stopped_reading_is_written_on_the_next_connection() {
    let mut fixture = ServerListFixture::new("release-stuck");
    let mut stuck = connect_with_small_receive_buffer(&fixture.node);
    stuck.write_all(setup_request(0xa6, "clip", 2_000).as_bytes()).unwrap();
    let mut server_conn = fixture.server.accept();
    assert_eq!(server_conn.read_start(), Some(tag(0xa6)));
    establish(&mut stuck, &mut server_conn, 0xa6);
    fixture.remove_server();
    fill_socket_buffers(&fixture.node, &mut stuck);
    let mut next = connect_and_be_refused(&fixture.node, 0xb7);
    server_conn.send_finish(&tag(0xa6), 16);
    assert_released_within(&mut next, 0xa6, LATE_RELEASE_TIMEOUT, "the viewer had stopped reading");
}

/// Requests responses until the system accepts no more of them: its send queue does not grow any more. What waits in the
/// process stays below the limit at which the connection is closed at once.
fn fill_socket_buffers(node: &Node, stuck: &mut TcpStream) {
    let (mut previous, mut unchanged) = (String::new(), 0);
    wait_for("full socket buffers", || {
        stuck.write_all(&READINESS_CHECK.repeat(1_000)).unwrap();
        assert!(node.passes_readiness_check());
        let queued = node.socket_columns(stuck.local_addr().unwrap()).expect("the connection").swap_remove(4);
        unchanged = if queued == previous { unchanged + 1 } else { 0 };
        previous = queued;
        (unchanged == 5).then_some(())
    });
}

fn connect_with_small_receive_buffer(node: &Node) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect(&node.address.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(platform::TIMEOUT)).unwrap();
    stream
}
