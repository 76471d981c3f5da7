//! `cloverhollow node` and its video servers: what crosses on the connections between them. Each test says itself which
//! byte comes when; both orders of a crossing are forced by stopping the process while they are written.

mod platform;

use platform::{config, head, message, setup, start, teardown, until, Channel, Link, Node, Server};
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
    // In one step with the answer the id can't be used; where the answer comes a step later it is set up anew, elsewhere than
    // on the connection that is given up.
    let anew = until("an answer or a new set-up", || {
        viewer.set_nonblocking(true).unwrap();
        let answered = viewer.peek(&mut [0]).is_ok();
        viewer.set_nonblocking(false).unwrap();
        let anew = server.accept_now();
        assert!(!(answered && anew.is_some()), "answered, and set up");
        (answered || anew.is_some()).then_some(anew)
    });
    let want = match anew {
        Some(mut link) => {
            assert_eq!(link.start(), Some(tag(id)));
            link.started(&tag(id));
            "RTSP/1.0 200 "
        }
        None => "RTSP/1.0 400 ",
    };
    let (second, _) = message(&mut viewer);
    assert!(second.starts_with(want), "{second}");
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

/// The status and body of the next answer.
fn answer(viewer: &mut std::net::TcpStream) -> (String, String) {
    let (head, body) = message(viewer);
    (head["RTSP/1.0 ".len()..][..3].to_owned(), body)
}

/// A paid set-up that may have run is never repeated: cut before or in its answer, or silent until its time is up.
#[test]
fn a_paid_set_up_whose_answer_is_cut_or_never_comes_fails_once_and_runs_once() {
    let cut: [(&str, Option<&str>); 4] = [
        ("closed", Some("")),
        ("cut", Some("{\"verb\":\"STARTED\",\"tag\":\"00000")),
        ("noise", Some("\u{1}\u{2} noise\n")),
        ("hung", None),
    ];
    for (name, said) in cut {
        let (node, _channel, server) = one(name);
        let mut viewer = node.connect();
        viewer.write_all(setup(0xb1, "paid", 400).as_bytes()).unwrap();
        let mut link = server.accept();
        assert_eq!(link.start(), Some(tag(0xb1)));
        if let Some(said) = said {
            link.stream.write_all(said.as_bytes()).unwrap();
            drop(link);
            assert_eq!(answer(&mut viewer).0, "502", "{name}");
            if !said.is_empty() {
                // What it had begun to say may have been its answer. Nothing else goes there first.
                let next = server.accept().line().expect("a release");
                assert_eq!((&next["verb"], &next["rc"]), (&"FINISH".into(), &16.into()), "{name}: {next}");
            }
        } else {
            assert_eq!(answer(&mut viewer).0, "504", "{name}");
            assert_eq!(finish(&mut link, 0xb1)["rc"], 16, "{name}");
            // The answer crosses its giving up, and comes again behind it: nobody gets it, and nothing else goes there.
            link.started(&tag(0xb1));
            link.started(&tag(0xb1));
            assert_eq!(link.line(), None, "{name}: closed");
        }
        assert!(node.tested());
        assert!(server.accept_now().is_none(), "{name}: it began again");
    }
}

/// A second copy of an answer comes while the session stands, and again after its end; one of an unknown id comes ahead.
#[test]
fn a_second_answer_hurts_no_session_and_one_of_an_unknown_id_is_given_up() {
    let (node, _channel, server) = one("twice");
    let mut viewer = node.connect();
    viewer.write_all(setup(0xb3, "clip", 2_000).as_bytes()).unwrap();
    let mut link = server.accept();
    assert_eq!(link.start(), Some(tag(0xb3)));
    link.started(&tag(0xbb));
    link.started(&tag(0xb3));
    assert_eq!(answer(&mut viewer), ("200".into(), "v=0 answer".into()));
    link.started(&tag(0xb3));
    // A test is answered behind all that came before it.
    let echo = serde_json::json!({"verb": "ECHO", "tag": tag(0xee), "opts": {}, "rc": 0});
    link.say(&echo);
    assert_eq!(finish(&mut link, 0xbb)["rc"], 16);
    let next = link.line().unwrap();
    assert_eq!(next["verb"], "ECHOED", "no word against what stands: {next}");
    viewer.write_all(teardown(0xb3, Some(31)).as_bytes()).unwrap();
    assert_eq!(finish(&mut link, 0xb3)["rc"], 31);
    assert!(message(&mut viewer).0.starts_with("RTSP/1.0 200 "));
    link.started(&tag(0xb3));
    assert_eq!(finish(&mut link, 0xb3)["rc"], 16, "after its end nobody holds it");
    assert!(node.tested());
}

/// A server says that a session stands which stands at another: a late answer to an attempt that has ended there. It is
/// taken back where it came from, and the session goes on.
#[test]
fn a_late_answer_of_one_server_is_taken_back_while_the_session_stands_at_another() {
    let (channel, servers) = (Channel::new(), [Server::new(), Server::new()]);
    let node = start("late", &config(channel.address(), &[servers[0].address(), servers[1].address()]));
    let mut viewer = node.connect();
    // Set-ups stay open, each on a connection of its own, until both servers have one.
    let (mut links, mut kept): ([Option<(String, Link)>; 2], _) = ([None, None], Vec::new());
    for id in 0xc0..0xe0 {
        viewer.write_all(setup(id, "clip", 2_000).as_bytes()).unwrap();
        let both = || servers.iter().enumerate().find_map(|(i, s)| Some((i, s.accept_now()?)));
        let (at, mut link) = platform::until("a connection", both);
        let tag = link.start().unwrap();
        match &mut links[at] {
            none @ None => *none = Some((tag, link)),
            Some(_) => kept.push(link),
        }
        if links.iter().all(Option::is_some) {
            break;
        }
    }
    let [Some((stands, mut here)), Some((_, mut there))] = links else { panic!("one server had them all") };
    here.started(&stands);
    let (head, _) = message(&mut viewer);
    assert!(head.starts_with("RTSP/1.0 200 ") && head.contains(&stands), "{head}");
    there.started(&stands);
    let line = there.line().unwrap();
    assert_eq!((&line["verb"], &line["tag"]), (&"FINISH".into(), &stands.clone().into()), "{line}");
    here.say(&serde_json::json!({"verb": "ECHO", "tag": tag(0xee), "opts": {}, "rc": 0}));
    assert_eq!(here.line().unwrap()["verb"], "ECHOED", "no word against it where it stands");
    here.finish(&stands, 16);
    let (released, _) = message(&mut viewer);
    assert!(released.starts_with("TEARDOWN ") && released.contains(&stands), "it stood: {released}");
}
