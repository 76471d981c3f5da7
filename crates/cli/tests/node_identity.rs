//! `cloverhollow node` and servers that leave the list and come back, restart, move or are renamed while they run: what
//! such a process says on any of its connections counts for the session, and what it is owed reaches it.

mod platform;

use platform::{
    config, endpoint, event, message, setup, start, tell, until, Channel, Link, Node, Server, LONG,
};
use serde_json::{json, Value};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The protocol's limit from the server's release to the client's, with its slack.
const RELEASED_WITHIN: Duration = Duration::from_millis(1_050);
/// Sessions handed over count for the rules so much later.
const HANDED_OVER_SLACK: Duration = Duration::from_millis(200);

fn tag(id: u64) -> String {
    format!("{id:016x}")
}

/// A process with one server, and the stream on which its list changes.
struct Listed {
    node: Node,
    _channel: Channel,
    stream: TcpStream,
    server: Server,
    cursor: u64,
    next_probe: u64,
}

impl Listed {
    fn new(name: &str) -> Listed {
        let (channel, server) = (Channel::new(), Server::new());
        let node = start(name, &config(channel.address(), &[server.address()]));
        let (stream, _) = channel.watched();
        Listed { node, _channel: channel, stream, server, cursor: 7, next_probe: 0xf000 }
    }

    fn tell(&mut self, snapshot: bool, entries: Vec<Value>) {
        self.cursor += 1;
        tell(&mut self.stream, &event(self.cursor, snapshot, entries));
    }

    /// The server's state, under number `n` of the list.
    fn listed(&self, n: usize, status: &str, since: u64) -> Value {
        endpoint(n, self.server.address(), status, since)
    }

    /// Tells that the server has left, and waits until set-ups are refused for want of a server.
    fn leave(&mut self) {
        let gone = self.listed(0, "terminated", 0);
        self.tell(false, vec![gone]);
        self.await_no_servers();
    }

    fn await_no_servers(&mut self) {
        let (node, next) = (&self.node, &mut self.next_probe);
        until("a refusal", || {
            *next += 1;
            let mut viewer = node.connect();
            viewer.write_all(setup(*next, "clip", 100).as_bytes()).unwrap();
            message(&mut viewer).0.starts_with("RTSP/1.0 503 ").then_some(())
        });
    }

    /// Sets a session up on a new connection to the server; it stands.
    fn stand_on_new(&self, id: u64) -> (TcpStream, Link) {
        let mut viewer = self.node.connect();
        viewer.write_all(setup(id, "clip", 2_000).as_bytes()).unwrap();
        let mut link = self.server.accept();
        assert_eq!(link.start(), Some(tag(id)));
        stand(&mut viewer, &mut link, id);
        (viewer, link)
    }

    /// Sets a session up after the list has changed, on whichever connection it goes; probes until the change is taken in.
    fn stand_again(&mut self, id: u64, older: &mut Link) -> (TcpStream, Option<Link>) {
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

fn stand(viewer: &mut TcpStream, link: &mut Link, id: u64) {
    link.started(&tag(id));
    let (head, _) = message(viewer);
    assert!(head.starts_with("RTSP/1.0 200 ") && head.contains(&tag(id)), "{head}");
}

/// The viewer is released from that session, in the protocol's time from now.
fn assert_released(viewer: &mut TcpStream, id: u64, what: &str) {
    assert_released_within(viewer, id, RELEASED_WITHIN, what);
}

fn assert_released_within(viewer: &mut TcpStream, id: u64, within: Duration, what: &str) {
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
fn assert_plays_on(viewer: &mut TcpStream, what: &str) {
    viewer.set_nonblocking(true).unwrap();
    let came = viewer.peek(&mut [0]);
    viewer.set_nonblocking(false).unwrap();
    assert!(matches!(&came, Err(e) if e.kind() == ErrorKind::WouldBlock), "{what}: {came:?}");
}

/// Has the node answer a test on that connection: all that was written on it before has been taken in. What comes before
/// the answer is given back.
fn settle(link: &mut Link) -> Vec<Value> {
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

/// Issue 44: the process writes the release on the connection that was opened before it left the list.
#[test]
fn a_release_on_a_connection_opened_before_its_server_left_and_came_back_reaches_the_viewer() {
    let mut listed = Listed::new("left-and-back");
    let (mut first, mut older) = listed.stand_on_new(0xa1);
    older.finish(&tag(0xa1), 16);
    assert_released(&mut first, 0xa1, "before the server left");
    listed.leave();
    let back = listed.listed(0, "in_service", 0);
    listed.tell(false, vec![back]);
    let (mut viewer, _newer) = listed.stand_again(0xa2, &mut older);
    older.finish(&tag(0xa2), 16);
    assert_released(&mut viewer, 0xa2, "after its return");
}

/// As above with the server missing from one whole list and named by the next, and with both words in one event.
#[test]
fn a_release_reaches_the_viewer_whichever_way_the_list_told_of_the_return() {
    for way in ["snapshot", "batch"] {
        let mut listed = Listed::new(&format!("back-by-{way}"));
        let (mut first, mut older) = listed.stand_on_new(0xa3);
        older.finish(&tag(0xa3), 16);
        assert_released(&mut first, 0xa3, way);
        let (gone, back) = (listed.listed(0, "terminated", 0), listed.listed(0, "in_service", 0));
        if way == "snapshot" {
            listed.tell(true, vec![]);
            listed.await_no_servers();
            listed.tell(true, vec![back]);
        } else {
            listed.tell(false, vec![gone, back]);
            std::thread::sleep(Duration::from_millis(100));
        }
        let (mut viewer, _newer) = listed.stand_again(0xa4, &mut older);
        older.finish(&tag(0xa4), 16);
        assert_released(&mut viewer, 0xa4, way);
    }
}

/// The session is not over because its server leaves the list, nor because the same process is listed again.
#[test]
fn a_session_that_plays_on_while_its_server_leaves_and_comes_back_is_released_when_its_server_says_so() {
    let mut listed = Listed::new("plays-on");
    let (mut viewer, mut link) = listed.stand_on_new(0xb1);
    listed.leave();
    assert_plays_on(&mut viewer, "while its server is not listed");
    let back = listed.listed(0, "in_service", 0);
    listed.tell(false, vec![back]);
    let (_second, newer) = listed.stand_again(0xb2, &mut link);
    settle(newer.map_or(&mut link, |newer| Box::leak(Box::new(newer))));
    assert_plays_on(&mut viewer, "its process has returned");
    link.finish(&tag(0xb1), 16);
    assert_released(&mut viewer, 0xb1, "its end");
}

/// The viewer leaves after the return: the release that is owed reaches the process, and the rest plays on.
#[test]
fn a_release_that_is_owed_reaches_a_process_that_left_and_came_back() {
    let mut listed = Listed::new("owed-after-return");
    let (mut viewer, mut link) = listed.stand_on_new(0xb3);
    listed.leave();
    let back = listed.listed(0, "in_service", 0);
    listed.tell(false, vec![back]);
    let (_second, newer) = listed.stand_again(0xb4, &mut link);
    viewer.write_all(platform::teardown(0xb3, Some(31)).as_bytes()).unwrap();
    let line = newer.unwrap_or(link).line().expect("the release");
    assert_eq!((&line["verb"], &line["tag"], &line["rc"]), (&"FINISH".into(), &tag(0xb3).into(), &31.into()));
}

/// The process is listed under another name at its address; its connections are the same.
#[test]
fn a_release_on_a_connection_opened_under_the_former_name_of_its_process_reaches_the_viewer() {
    let mut listed = Listed::new("renamed");
    let (mut first, mut older) = listed.stand_on_new(0xc1);
    older.finish(&tag(0xc1), 16);
    assert_released(&mut first, 0xc1, "under its first name");
    let renamed = vec![listed.listed(0, "terminated", 0), listed.listed(1, "in_service", 0)];
    listed.tell(false, renamed);
    std::thread::sleep(Duration::from_millis(100));
    let (mut viewer, _newer) = listed.stand_again(0xc2, &mut older);
    older.finish(&tag(0xc2), 16);
    assert_released(&mut viewer, 0xc2, "under its second name");
}

/// A second copy of an answer on the connection opened under the former name is no word against the session.
#[test]
fn a_second_answer_on_a_connection_opened_under_the_former_name_ends_no_session() {
    let mut listed = Listed::new("renamed-answer");
    let (mut first, mut older) = listed.stand_on_new(0xc3);
    older.finish(&tag(0xc3), 16);
    assert_released(&mut first, 0xc3, "under its first name");
    let renamed = vec![listed.listed(0, "terminated", 0), listed.listed(1, "in_service", 0)];
    listed.tell(false, renamed);
    std::thread::sleep(Duration::from_millis(100));
    let (mut viewer, newer) = listed.stand_again(0xc4, &mut older);
    let mut newer = newer.expect("a new server gets a connection of its own");
    older.started(&tag(0xc4));
    // It may be closed from here on: what the process is told comes on either.
    std::thread::sleep(Duration::from_millis(200));
    assert!(settle(&mut newer).iter().all(|line| line["verb"] != "FINISH"), "no word against what stands");
    assert_plays_on(&mut viewer, "after the copy");
    let told = std::iter::from_fn(|| older.line_now()).any(|line| line["verb"] == "FINISH");
    assert!(!told, "no word against what stands, on the older connection");
}

/// Another name at the address is another server: sessions of the former are cut, and a process that lives all the same is
/// told to let them go.
#[test]
fn a_process_whose_name_was_replaced_is_told_to_let_its_sessions_go() {
    let mut listed = Listed::new("replaced-name");
    let (mut viewer, mut link) = listed.stand_on_new(0xc5);
    let renamed = vec![listed.listed(0, "terminated", 0), listed.listed(1, "in_service", 0)];
    listed.tell(false, renamed);
    assert_released(&mut viewer, 0xc5, "its server is replaced");
    let line = link.line().expect("the release");
    assert_eq!((&line["verb"], &line["tag"]), (&"FINISH".into(), &tag(0xc5).into()), "{line}");
}

/// A name that is listed at another address is another process: sessions of the former are cut and released there, and
/// nothing about them goes to the new one.
#[test]
fn a_release_that_is_owed_to_a_server_that_moved_goes_to_its_former_process() {
    let mut listed = Listed::new("moved");
    let (mut viewer, mut link) = listed.stand_on_new(0xd1);
    let moved = Server::new();
    listed.tell(false, vec![endpoint(0, moved.address(), "in_service", 0)]);
    let mut newer = until("a set-up at the new address", || {
        listed.next_probe += 1;
        let mut probe = listed.node.connect();
        probe.write_all(setup(listed.next_probe, "clip", 50).as_bytes()).unwrap();
        let _ = message(&mut probe);
        moved.accept_now()
    });
    viewer.write_all(platform::teardown(0xd1, Some(31)).as_bytes()).unwrap();
    let told = until("the former process is told", || {
        link.line_now().filter(|line| line["verb"] == "FINISH" && line["tag"] == *tag(0xd1))
    });
    assert_eq!(told["tag"], *tag(0xd1));
    newer.stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let strayed = std::iter::from_fn(|| newer.line_now()).any(|line| line["tag"] == *tag(0xd1));
    assert!(!strayed, "the new process knows nothing of it");
}

/// The process is another one, by its start. What is owed to it does not go where the one before is gone without a word.
#[test]
fn a_release_that_is_owed_to_a_restarted_server_goes_to_its_new_process() {
    let mut listed = Listed::new("restarted");
    let (mut first, mut older) = listed.stand_on_new(0xd3);
    // The list tells starts in whole milliseconds.
    std::thread::sleep(Duration::from_millis(20));
    let since = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
    let restarted = listed.listed(0, "in_service", since);
    listed.tell(false, vec![restarted]);
    assert_released(&mut first, 0xd3, "its process is another");
    let (mut viewer, newer) = listed.stand_again(0xd4, &mut older);
    let mut newer = newer.expect("the connection to the process before carries nothing more");
    viewer.write_all(platform::teardown(0xd4, Some(31)).as_bytes()).unwrap();
    let line = newer.line().expect("the release");
    assert_eq!((&line["verb"], &line["tag"]), (&"FINISH".into(), &tag(0xd4).into()), "{line}");
}

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
