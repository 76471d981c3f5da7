//! The viewers' side of `cloverhollow node`: who closes, cancels or does not read, in each instant in which something is
//! owed. The process stands still (SIGSTOP) while both sides of a crossing are put on its sockets.

#[path = "platform/line_server.rs"]
mod line_server;
mod platform;

use line_server::{arrived, say, stand_still, started, Wire};
use platform::{config, head, message, reset, setup, start, teardown, until, Channel, Node, LONG};
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

fn id(n: u64) -> String {
    format!("{n:016x}")
}

/// The next set-up that any server sees is this one, and it is served: nothing began for those before.
fn only_a_good_one_is_begun(node: &Node, wire: &Wire, n: u64, when: &str) {
    assert!(node.tested(), "{when}");
    let mut good = node.connect();
    good.write_all(setup(n, "clip", 2_000).as_bytes()).unwrap();
    let (tag, link) = wire.start();
    assert_eq!(tag, id(n), "{when}: an attempt went out for one who had left");
    started(&link, &tag);
    assert!(head(&mut good).starts_with("RTSP/1.0 200 "), "{when}");
}

/// Ways of leaving. Each gives what must stay open for it.
type Leave = (&'static str, fn(TcpStream, u64) -> Option<TcpStream>);

const LEAVES: [Leave; 4] = [
    ("full close", |conn, _| {
        drop(conn);
        None
    }),
    ("half close", |conn, _| {
        conn.shutdown(Shutdown::Write).unwrap();
        Some(conn)
    }),
    ("reset", |conn, _| {
        reset(conn);
        None
    }),
    ("cancel", |mut conn, base| {
        let all: String = (0..MANY).map(|n| teardown(base + n, None)).collect();
        conn.write_all(all.as_bytes()).unwrap();
        Some(conn)
    }),
];

/// More than a connection's task reads in one go.
const MANY: u64 = 200;

#[test]
fn who_leaves_while_the_process_stands_still_gets_no_attempt() {
    let (channel, wire) = (Channel::new(), Wire::new());
    let node = start("still", &config(channel.address(), &[wire.address]));
    let mut open = Vec::new();
    for (i, (how, leave)) in LEAVES.into_iter().enumerate() {
        let base = 0x1000 * (i as u64 + 1);
        let mut conn = node.connect();
        // It is known before it asks.
        conn.write_all(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
        assert!(head(&mut conn).starts_with("RTSP/1.0 200 "));
        stand_still(&node);
        let all: String = (0..MANY).map(|n| setup(base + n, "clip", 2_000)).collect();
        conn.write_all(all.as_bytes()).unwrap();
        open.push(leave(conn, base));
        node.signal(Signal::CONT);
        only_a_good_one_is_begun(&node, &wire, base + 0xfff, how);
    }
}

#[test]
fn who_leaves_before_the_request_is_whole_gets_no_attempt() {
    let (channel, wire) = (Channel::new(), Wire::new());
    let node = start("part", &config(channel.address(), &[wire.address]));
    let whole = setup(0x77, "clip", 2_000);
    for (i, (how, leave)) in LEAVES[..3].iter().enumerate() {
        let mut conn = node.connect();
        conn.write_all(&whole.as_bytes()[..whole.len() - 1]).unwrap();
        let _open = leave(conn, 0);
        only_a_good_one_is_begun(&node, &wire, 0x100 + i as u64, how);
    }
}

/// The viewer leaves in the instant in which its attempt ends and a further one would follow.
#[test]
fn who_leaves_as_an_attempt_ends_gets_no_further_one() {
    let channel = Channel::new();
    for (how, leave) in LEAVES {
        let servers = [Wire::new(), Wire::new()];
        let both = servers.each_ref().map(|s| s.address);
        let node = start(&format!("between-{}", how.replace(' ', "-")), &config(channel.address(), &both));
        let next = || {
            until("a set-up", || {
                let come = servers.iter().find_map(|s| s.lines.try_recv().ok());
                come.filter(|(line, _)| line["verb"] == "START")
            })
        };
        let mut conn = node.connect();
        conn.write_all(setup(1, "clip", 2_000).as_bytes()).unwrap();
        let (line, link) = next();
        assert_eq!(line["tag"], id(1));
        stand_still(&node);
        say(&link, json!({"verb": "FINISH", "tag": id(1), "opts": {}, "rc": 34}));
        let client = conn.local_addr().unwrap();
        let _open = leave(conn, 1);
        arrived(&node, client);
        node.signal(Signal::CONT);
        assert!(node.tested());
        let mut good = node.connect();
        good.write_all(setup(2, "clip", 2_000).as_bytes()).unwrap();
        let (line, link) = next();
        assert_eq!(line["tag"], id(2), "{how}: a further attempt for one who had left");
        started(&link, &id(2));
        assert!(head(&mut good).starts_with("RTSP/1.0 200 "), "{how}");
    }
}

/// The answer and the leaving come in one instant: the session is let go of at its server.
#[test]
fn who_leaves_as_the_answer_comes_leaves_no_session_behind() {
    let (channel, wire) = (Channel::new(), Wire::new());
    let node = start("answer", &config(channel.address(), &[wire.address]));
    for (i, (how, leave)) in LEAVES.into_iter().enumerate() {
        let base = 0x1000 * (i as u64 + 1);
        let mut conn = node.connect();
        conn.write_all(setup(base, "paid", 2_000).as_bytes()).unwrap();
        let (tag, link) = wire.start();
        stand_still(&node);
        started(&link, &tag);
        let client = conn.local_addr().unwrap();
        let _open = leave(conn, base);
        arrived(&node, client);
        node.signal(Signal::CONT);
        let (told, _) = wire.lines.recv_timeout(LONG).expect("it is told");
        assert_eq!((&told["verb"], &told["tag"]), (&json!("FINISH"), &json!(tag)), "{how}");
        only_a_good_one_is_begun(&node, &wire, base + 0xfff, how);
    }
}

/// The viewer leaves with its attempt out: that is taken back, and no other begins.
#[test]
fn who_leaves_with_an_attempt_out_has_it_taken_back() {
    let (channel, wire) = (Channel::new(), Wire::new());
    let node = start("out", &config(channel.address(), &[wire.address]));
    for (i, (how, leave)) in LEAVES.into_iter().enumerate() {
        let base = 0x1000 * (i as u64 + 1);
        let mut conn = node.connect();
        conn.write_all(setup(base, "clip", 2_000).as_bytes()).unwrap();
        let (tag, _link) = wire.start();
        let _open = leave(conn, base);
        let (told, _) = wire.lines.recv_timeout(LONG).expect("it is told");
        assert_eq!((&told["verb"], &told["tag"]), (&json!("FINISH"), &json!(tag)), "{how}");
        only_a_good_one_is_begun(&node, &wire, base + 0xfff, how);
    }
}

/// Behind a message that can't be used on the same connection: refused, never begun. Its attempt went out, and its
/// answer was queued behind the close.
#[test]
fn a_set_up_behind_one_that_can_not_be_used_is_refused_and_never_begun() {
    let (channel, wire) = (Channel::new(), Wire::new());
    let node = start("behind", &config(channel.address(), &[wire.address]));
    let mut conn = node.connect();
    let both = setup(0x10, "gold", 2_000) + &setup(0x11, "clip", 2_000);
    conn.write_all(both.as_bytes()).unwrap();
    assert!(head(&mut conn).starts_with("RTSP/1.0 400 "));
    let second = head(&mut conn);
    assert!(second.starts_with("RTSP/1.0 503 ") && second.contains(&id(0x11)), "{second:?}");
    assert_eq!(head(&mut conn), "", "then it is closed");
    only_a_good_one_is_begun(&node, &wire, 0x12, "behind");
}

/// What is open where such a message comes gets its one answer, and its attempt is taken back.
#[test]
fn two_requests_under_one_id_get_an_answer_each_and_none_is_served() {
    let (channel, wire) = (Channel::new(), Wire::new());
    let node = start("twice", &config(channel.address(), &[wire.address]));
    let mut conn = node.connect();
    conn.write_all(setup(0x20, "paid", 2_000).as_bytes()).unwrap();
    let (tag, link) = wire.start();
    conn.write_all(setup(0x20, "paid", 2_000).as_bytes()).unwrap();
    assert!(head(&mut conn).starts_with("RTSP/1.0 400 "));
    assert!(head(&mut conn).starts_with("RTSP/1.0 502 "));
    started(&link, &tag);
    assert_eq!(head(&mut conn), "", "no third answer");
    // From another connection the one that is open is not touched.
    let (mut first, mut second) = (node.connect(), node.connect());
    first.write_all(setup(0x21, "paid", 2_000).as_bytes()).unwrap();
    let (tag, link) = wire.start();
    second.write_all(setup(0x21, "paid", 2_000).as_bytes()).unwrap();
    assert!(head(&mut second).starts_with("RTSP/1.0 400 "));
    assert_eq!(head(&mut second), "");
    started(&link, &tag);
    let (answer, body) = message(&mut first);
    assert!(answer.starts_with("RTSP/1.0 200 ") && body == "v=0 answer", "{answer}");
}

/// More releases in one instant than a connection's queue held: it was closed, and the rest never told.
#[test]
fn the_end_of_many_sessions_at_once_is_told_on_one_connection() {
    const SESSIONS: u64 = 1_500;
    let (channel, gone) = (Channel::new(), TcpListener::bind("127.0.0.1:0").unwrap());
    let node = start("many", &config(channel.address(), &[gone.local_addr().unwrap()]));
    assert!(node.tested());
    let mut conn = node.connect();
    for n in 0..SESSIONS {
        let there = setup(n, "clip", 2_000).replace("viewer:", "at:s-00000000;viewer:");
        conn.write_all(there.as_bytes()).unwrap();
    }
    drop(gone);
    let mut told: Vec<String> = (0..SESSIONS).map(|_| head(&mut conn)).collect();
    assert!(told.iter().all(|t| t.starts_with("TEARDOWN ") && t.contains("cause=41")), "{:?}", told.last());
    told.sort();
    told.dedup();
    assert_eq!(told.len() as u64, SESSIONS);
    assert!(node.tested());
}

/// The last answer that is owed after SIGTERM is given in the step in which the process ends: it was queued, and never
/// written.
#[test]
fn the_last_answer_before_the_end_is_written() {
    let (channel, wire) = (Channel::new(), Wire::new());
    let mut node = start("last", &config(channel.address(), &[wire.address]));
    let mut conn = node.connect();
    conn.write_all(setup(0x50, "paid", 3_000).as_bytes()).unwrap();
    let (_, _link) = wire.start();
    node.signal(Signal::TERM);
    assert!(node.tested() && node.tested(), "it has heard of the end");
    // It stands still until its time is over, and finds in one instant that this and the viewer's are up.
    stand_still(&node);
    std::thread::sleep(Duration::from_millis(4_500));
    node.signal(Signal::CONT);
    assert!(head(&mut conn).starts_with("RTSP/1.0 504 "));
    assert!(node.ended().success());
}
