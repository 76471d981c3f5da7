//! `cloverhollow node` and messages of servers that arrive out of order: before the response, before the session is handed
//! over, on another connection, after its close, or twice.

mod platform;
#[path = "platform/server_list.rs"]
mod server_list;

use platform::{
    config, read_message, reset_connection, setup_request, start_node, wait_for, CommandChannel, Server,
};
use serde_json::{json, Value};
use server_list::{
    assert_not_released, assert_released, assert_released_within, establish, tag, wait_until_processed,
    ServerListFixture,
};
use server_list::{HANDED_OVER_SLACK, RELEASE_TIMEOUT};
use std::io::Write;
use std::time::Duration;

/// The response is late on the connection of its set-up, and the release of the session overtakes it on another.
#[test]
fn release_that_overtakes_the_response_on_another_connection_ends_the_session() {
    let fixture = ServerListFixture::new("overtakes");
    let (_first, mut older) = fixture.establish_on_new_connection(0xe1);
    let mut pending_viewer = fixture.node.connect();
    pending_viewer.write_all(setup_request(0xe2, "clip", 2_000).as_bytes()).unwrap();
    assert_eq!(older.read_start(), Some(tag(0xe2)), "sent on the existing connection");
    let mut viewer = fixture.node.connect();
    viewer.write_all(setup_request(0xe3, "clip", 2_000).as_bytes()).unwrap();
    let mut newer = fixture.server.accept();
    assert_eq!(newer.read_start(), Some(tag(0xe3)));
    older.send_finish(&tag(0xe3), 16);
    wait_until_processed(&mut older);
    newer.send_started(&tag(0xe3));
    let (head, _) = read_message(&mut viewer);
    assert!(head.starts_with("RTSP/1.0 200 "), "{head}");
    assert_released(&mut viewer, 0xe3, "its release arrived first");
}

/// The refusal of a cancelled attempt arrives while its connection is being closed; the session is established by another
/// attempt.
#[test]
fn late_refusal_of_a_cancelled_attempt_does_not_end_the_session() {
    let (channel, servers) = (CommandChannel::new(), [Server::new(), Server::new()]);
    let mut config = config(channel.address(), &[servers[0].address(), servers[1].address()]);
    config["settings"]["grades"][0]["aim"] = 200.0.into();
    let node = start_node("late-refusal", &config);
    let mut viewer = node.connect();
    viewer.write_all(setup_request(0xe5, "clip", 2_000).as_bytes()).unwrap();
    let accept_any = || servers.iter().find_map(Server::try_accept);
    let mut first = wait_for("an attempt", accept_any);
    assert_eq!(first.read_start(), Some(tag(0xe5)));
    let mut second = wait_for("a retry", accept_any);
    assert_eq!(second.read_start(), Some(tag(0xe5)));
    establish(&mut viewer, &mut second, 0xe5);
    first.send_finish(&tag(0xe5), 47);
    wait_until_processed(&mut second);
    std::thread::sleep(Duration::from_millis(100));
    assert_not_released(&mut viewer, "the refusal belongs to the other attempt");
}

/// After a restart of the session manager the release by the server arrives before the session is handed over.
#[test]
fn session_that_ended_before_its_handover_is_released() {
    let fixture = ServerListFixture::new("handed-over-late");
    assert!(fixture.node.passes_readiness_check());
    let (mut viewer, mut server_conn) = fixture.establish_on_new_connection(0xe7);
    server_conn.send_finish(&tag(0xe8), 16);
    wait_until_processed(&mut server_conn);
    let handed_over = setup_request(0xe8, "clip", 4_000_000).replace(";viewer", ";at:s-00000000;viewer");
    viewer.write_all(handed_over.as_bytes()).unwrap();
    assert_released_within(
        &mut viewer,
        0xe8,
        RELEASE_TIMEOUT + HANDED_OVER_SLACK,
        "handed over after its release",
    );
}

/// The reply to an ECHO is sent on the connection of the ECHO.
#[test]
fn echo_is_answered_on_its_own_connection() {
    let fixture = ServerListFixture::new("echo");
    let (_first, mut older) = fixture.establish_on_new_connection(0xe9);
    let mut pending_viewer = fixture.node.connect();
    pending_viewer.write_all(setup_request(0xea, "clip", 2_000).as_bytes()).unwrap();
    assert_eq!(older.read_start(), Some(tag(0xea)));
    let (_second, mut newer) = fixture.establish_on_new_connection(0xeb);
    wait_until_processed(&mut older);
    wait_until_processed(&mut newer);
}

/// Both copies of a response arrive in one segment: the second is read before the session is known to be established.
#[test]
fn duplicate_response_in_one_segment_with_the_first_ends_no_session() {
    let fixture = ServerListFixture::new("copy");
    let mut viewer = fixture.node.connect();
    viewer.write_all(setup_request(0xf1, "clip", 2_000).as_bytes()).unwrap();
    let mut server_conn = fixture.server.accept();
    assert_eq!(server_conn.read_start(), Some(tag(0xf1)));
    let answer = json!({"verb": "STARTED", "tag": tag(0xf1), "opts": {}, "blob": "v=0 answer"});
    server_conn.stream.write_all(format!("{answer}\n{answer}\n").as_bytes()).unwrap();
    assert!(read_message(&mut viewer).0.starts_with("RTSP/1.0 200 "));
    assert_eq!(
        wait_until_processed(&mut server_conn),
        [] as [Value; 0],
        "no FINISH for an established session"
    );
    assert_not_released(&mut viewer, "after the duplicate");
}

/// A connection is closed while its server hangs. When the server resumes, it writes the release there before it notices
/// the close.
#[test]
fn release_from_a_resumed_server_on_a_closed_connection_reaches_the_viewer() {
    let fixture = ServerListFixture::new("hung");
    let (mut viewer, mut older) = fixture.establish_on_new_connection(0xf3);
    let mut pending_viewer = fixture.node.connect();
    pending_viewer.write_all(setup_request(0xf4, "clip", 2_000).as_bytes()).unwrap();
    assert_eq!(older.read_start(), Some(tag(0xf4)));
    let (_second, _newer) = fixture.establish_on_new_connection(0xf5);
    older.send_started(&tag(0xf4));
    // The newer connection serves both sessions and the older one is closed, which the server does not notice for a while.
    wait_for("the older connection is closed", || older.read_line().is_none().then_some(()));
    std::thread::sleep(Duration::from_millis(2_500));
    older.send_finish(&tag(0xf3), 16);
    assert_released(&mut viewer, 0xf3, "after the server resumed");
}

/// The release has reached the viewer's host, and its connection is reset before the viewer reads it.
#[test]
fn release_lost_with_the_connection_of_its_viewer_is_resent_on_another() {
    let fixture = ServerListFixture::new("reset");
    let (viewer, mut server_conn) = fixture.establish_on_new_connection(0xf7);
    let mut other = fixture.node.connect();
    other.write_all(setup_request(0xf8, "clip", 2_000).as_bytes()).unwrap();
    assert_eq!(server_conn.read_start(), Some(tag(0xf8)), "sent on the existing connection");
    establish(&mut other, &mut server_conn, 0xf8);
    server_conn.send_finish(&tag(0xf7), 16);
    assert!(viewer.peek(&mut [0]).unwrap() > 0, "the release has arrived");
    reset_connection(viewer);
    assert_released(&mut other, 0xf7, "its first connection was reset");
}
