//! `cloverhollow node` and its video servers: what crosses on the connections between them. Each test says itself which
//! byte comes when; both orders of a crossing are forced by stopping the process while they are written.

mod platform;

use platform::{config, head, message, setup, start, teardown, Channel, Link, Node, Server};
use rustix::process::Signal;
use serde_json::Value;
use std::io::Write;

/// A process with one video server.
fn one(name: &str) -> (Node, Channel, Server) {
    let (channel, server) = (Channel::new(), Server::new());
    let node = start(name, &config(channel.address(), &[server.address()]));
    (node, channel, server)
}

fn tag(id: u64) -> String {
    format!("{id:016x}")
}

/// The next release, or giving up, of that session on the connection.
fn finish(link: &mut Link, id: u64) -> Value {
    loop {
        let line = link.line().expect("the server is told of its end");
        if line["verb"] == "FINISH" && line["tag"] == tag(id) {
            return line;
        }
    }
}

/// The viewer's word and the server's come in one instant, in either order: what the server has begun is taken back.
#[test]
fn a_session_that_begins_in_the_instant_in_which_its_viewer_goes_is_released_at_its_server() {
    for (id, answer_first) in [(0xa1, false), (0xa2, true)] {
        let (node, _channel, server) = one(&format!("begins-{answer_first}"));
        let mut viewer = node.connect();
        viewer.write_all(setup(id, "clip", 2_000).as_bytes()).unwrap();
        let mut link = server.accept();
        assert_eq!(link.start(), Some(tag(id)));
        node.signal(Signal::STOP);
        if answer_first {
            link.started(&tag(id));
        }
        viewer.write_all(teardown(id, None).as_bytes()).unwrap();
        if !answer_first {
            link.started(&tag(id));
        }
        node.signal(Signal::CONT);
        finish(&mut link, id);
        assert!(head(&mut viewer).starts_with("RTSP/1.0 200 "), "its word was heard");
        assert!(node.tested());
    }
}

/// As before, and the viewer comes again under the same id in that instant.
#[test]
fn a_session_that_nobody_holds_any_more_is_released_though_its_id_comes_again() {
    let (node, _channel, server) = one("again");
    let mut viewer = node.connect();
    let id = 0xa3;
    viewer.write_all(setup(id, "clip", 2_000).as_bytes()).unwrap();
    let mut link = server.accept();
    assert_eq!(link.start(), Some(tag(id)));
    node.signal(Signal::STOP);
    viewer.write_all((teardown(id, None) + &setup(id, "clip", 2_000)).as_bytes()).unwrap();
    link.started(&tag(id));
    node.signal(Signal::CONT);
    finish(&mut link, id);
    let (heard, _) = message(&mut viewer);
    assert!(heard.starts_with("RTSP/1.0 200 "), "{heard}");
    let (refused, _) = message(&mut viewer);
    assert!(refused.starts_with("RTSP/1.0 400 "), "{refused}");
}

/// As before, but the answer comes between the two: the id is asked for anew when the first session's end is known.
#[test]
fn a_session_that_nobody_holds_any_more_is_released_before_its_id_is_set_up_again() {
    let (node, _channel, server) = one("anew");
    let (mut viewer, id) = (node.connect(), 0xa4);
    viewer.write_all(setup(id, "clip", 2_000).as_bytes()).unwrap();
    let mut link = server.accept();
    assert_eq!(link.start(), Some(tag(id)));
    let mut other = node.connect();
    node.signal(Signal::STOP);
    viewer.write_all(teardown(id, None).as_bytes()).unwrap();
    link.started(&tag(id));
    other.write_all(setup(id, "clip", 2_000).as_bytes()).unwrap();
    node.signal(Signal::CONT);
    let next = link.line().expect("the server is told of its end");
    assert_eq!((&next["verb"], &next["tag"]), (&"FINISH".into(), &tag(id).into()), "before it begins anew");
}
