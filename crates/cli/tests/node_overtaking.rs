//! `cloverhollow node` and words of servers that come in another order than they were meant: before the answer, before the
//! session is handed over, on another connection, behind its close, or twice.

mod platform;
#[path = "platform/server_list.rs"]
mod server_list;

use platform::{config, message, reset, setup, start, until, Channel, Server};
use serde_json::{json, Value};
use server_list::{assert_plays_on, assert_released, assert_released_within, settle, stand, tag, Listed};
use server_list::{HANDED_OVER_SLACK, RELEASED_WITHIN};
use std::io::Write;
use std::time::Duration;

/// The answer is late on the connection of its set-up, and the session's end overtakes it on another.
#[test]
fn a_release_that_overtakes_the_answer_on_another_connection_ends_the_session() {
    let listed = Listed::new("overtakes");
    let (_first, mut older) = listed.stand_on_new(0xe1);
    let mut held = listed.node.connect();
    held.write_all(setup(0xe2, "clip", 2_000).as_bytes()).unwrap();
    assert_eq!(older.start(), Some(tag(0xe2)), "on the connection that is there");
    let mut viewer = listed.node.connect();
    viewer.write_all(setup(0xe3, "clip", 2_000).as_bytes()).unwrap();
    let mut newer = listed.server.accept();
    assert_eq!(newer.start(), Some(tag(0xe3)));
    older.finish(&tag(0xe3), 16);
    settle(&mut older);
    newer.started(&tag(0xe3));
    let (head, _) = message(&mut viewer);
    assert!(head.starts_with("RTSP/1.0 200 "), "{head}");
    assert_released(&mut viewer, 0xe3, "its end came first");
}

/// The word of a set-up that was given up comes while its connection is being closed; the session stands by another attempt.
#[test]
fn a_late_refusal_of_an_attempt_that_was_given_up_does_not_end_the_session() {
    let (channel, servers) = (Channel::new(), [Server::new(), Server::new()]);
    let mut config = config(channel.address(), &[servers[0].address(), servers[1].address()]);
    config["settings"]["grades"][0]["aim"] = 200.0.into();
    let node = start("late-refusal", &config);
    let mut viewer = node.connect();
    viewer.write_all(setup(0xe5, "clip", 2_000).as_bytes()).unwrap();
    let any = || servers.iter().find_map(Server::accept_now);
    let mut first = until("an attempt", any);
    assert_eq!(first.start(), Some(tag(0xe5)));
    let mut second = until("a further attempt", any);
    assert_eq!(second.start(), Some(tag(0xe5)));
    stand(&mut viewer, &mut second, 0xe5);
    first.finish(&tag(0xe5), 47);
    settle(&mut second);
    std::thread::sleep(Duration::from_millis(100));
    assert_plays_on(&mut viewer, "the refusal is of the other attempt");
}

/// After a restart of the session manager the server's release comes before the session is handed over.
#[test]
fn a_session_that_ended_before_it_was_handed_over_is_released() {
    let listed = Listed::new("handed-over-late");
    assert!(listed.node.tested());
    let (mut viewer, mut link) = listed.stand_on_new(0xe7);
    link.finish(&tag(0xe8), 16);
    settle(&mut link);
    let at = setup(0xe8, "clip", 4_000_000).replace(";viewer", ";at:s-00000000;viewer");
    viewer.write_all(at.as_bytes()).unwrap();
    assert_released_within(
        &mut viewer,
        0xe8,
        RELEASED_WITHIN + HANDED_OVER_SLACK,
        "handed over after its end",
    );
}

/// A server tests a connection: the answer goes on that connection.
#[test]
fn a_test_is_passed_on_the_connection_that_it_came_on() {
    let listed = Listed::new("echo");
    let (_first, mut older) = listed.stand_on_new(0xe9);
    let mut held = listed.node.connect();
    held.write_all(setup(0xea, "clip", 2_000).as_bytes()).unwrap();
    assert_eq!(older.start(), Some(tag(0xea)));
    let (_second, mut newer) = listed.stand_on_new(0xeb);
    settle(&mut older);
    settle(&mut newer);
}

/// Both copies of an answer come in one piece: the second is read before the session is known to stand.
#[test]
fn a_second_answer_in_one_piece_with_the_first_ends_no_session() {
    let listed = Listed::new("copy");
    let mut viewer = listed.node.connect();
    viewer.write_all(setup(0xf1, "clip", 2_000).as_bytes()).unwrap();
    let mut link = listed.server.accept();
    assert_eq!(link.start(), Some(tag(0xf1)));
    let answer = json!({"verb": "STARTED", "tag": tag(0xf1), "opts": {}, "blob": "v=0 answer"});
    link.stream.write_all(format!("{answer}\n{answer}\n").as_bytes()).unwrap();
    assert!(message(&mut viewer).0.starts_with("RTSP/1.0 200 "));
    assert_eq!(settle(&mut link), [] as [Value; 0], "no word against what stands");
    assert_plays_on(&mut viewer, "after the copy");
}

/// A connection is closed while its server hangs: when that goes on, it writes the release there before it hears of the close.
#[test]
fn a_release_that_a_hung_server_writes_on_a_connection_closed_meanwhile_reaches_the_viewer() {
    let listed = Listed::new("hung");
    let (mut viewer, mut older) = listed.stand_on_new(0xf3);
    let mut held = listed.node.connect();
    held.write_all(setup(0xf4, "clip", 2_000).as_bytes()).unwrap();
    assert_eq!(older.start(), Some(tag(0xf4)));
    let (_second, _newer) = listed.stand_on_new(0xf5);
    older.started(&tag(0xf4));
    // The newer one is kept for both sessions, the older one goes; the server does not notice for a while.
    until("the older connection is closed", || older.line().is_none().then_some(()));
    std::thread::sleep(Duration::from_millis(2_500));
    older.finish(&tag(0xf3), 16);
    assert_released(&mut viewer, 0xf3, "after the server went on");
}

/// The release has come to the viewer's machine, and its connection is reset before anybody read it.
#[test]
fn a_release_that_goes_with_its_viewers_connection_is_told_again_on_another() {
    let listed = Listed::new("reset");
    let (viewer, mut link) = listed.stand_on_new(0xf7);
    let mut other = listed.node.connect();
    other.write_all(setup(0xf8, "clip", 2_000).as_bytes()).unwrap();
    assert_eq!(link.start(), Some(tag(0xf8)), "on the connection that is there");
    stand(&mut other, &mut link, 0xf8);
    link.finish(&tag(0xf7), 16);
    assert!(viewer.peek(&mut [0]).unwrap() > 0, "it has come");
    reset(viewer);
    assert_released(&mut other, 0xf7, "its first connection was reset");
}
