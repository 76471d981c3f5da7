//! Room: descriptors of `cloverhollow node`, filled on purpose, with the system's own limit at what it is told it has.

#[path = "platform/line_server.rs"]
mod line_server;
mod platform;

use line_server::stand_still;
use platform::{
    config, descriptors, endpoint, event, head, setup, start_with_descriptors, tell, until, Channel, Server,
};
use rustix::process::Signal;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

const TEST: &[u8] = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n";
const SOCKETS: u32 = 256;

/// Idle clients, twice as many as it has descriptors, some that have said something and some that never do, while the
/// command channel refuses connections: viewers are served, servers reached, the test is passed; and the channel is
/// heard again once it is back.
#[test]
fn idle_clients_fill_the_descriptors_while_the_channel_is_down() {
    let (down, server) = (Channel::new(), Server::new());
    let at = down.address();
    drop(down);
    let node = start_with_descriptors("full", &config(at, &[server.address()]), SOCKETS);
    let mut crowd: Vec<TcpStream> = Vec::new();
    for n in 0..SOCKETS {
        let mut conn = node.connect();
        conn.write_all(TEST).unwrap();
        assert!(head(&mut conn).starts_with("RTSP/1.0 200 "), "number {n} is not heard");
        crowd.push(conn);
    }
    crowd.extend((0..SOCKETS).map(|_| node.connect()));
    assert!(node.tested());
    // Its places are taken, and it has kept room for all else.
    let held = descriptors(node.life.id());
    assert!((SOCKETS as usize / 2..SOCKETS as usize * 3 / 4).contains(&held), "{held} descriptors");
    let mut viewer = node.connect();
    viewer.write_all(setup(1, "paid", 3_000).as_bytes()).unwrap();
    let mut link = server.accept();
    let tag = link.start().unwrap();
    link.started(&tag);
    assert!(head(&mut viewer).starts_with("RTSP/1.0 200 "));
    // The channel comes back at its address, and tells of a further server.
    let (up, other) = (TcpListener::bind(at).unwrap(), Server::new());
    let (mut channel, _) = up.accept().unwrap();
    let asked = head(&mut channel).to_lowercase();
    assert!(asked.contains("last-event-id: 7\r\n"), "{asked}");
    channel.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n").unwrap();
    let gone = endpoint(0, server.address(), "terminated", 0);
    let came = endpoint(1, other.address(), "in_service", 0);
    tell(&mut channel, &event(8, false, vec![gone, came]));
    let mut next = 1;
    let (mut viewer, mut link) = until("the further server is used", || {
        let mut viewer = node.connect();
        next += 1;
        viewer.write_all(setup(next, "clip", 2_000).as_bytes()).unwrap();
        // Before it has heard of it there is no server at all: refused at once.
        let link = until("a refusal or a set-up", || {
            viewer.set_nonblocking(true).unwrap();
            let refused = viewer.peek(&mut [0]).is_ok();
            viewer.set_nonblocking(false).unwrap();
            other.accept_now().map(Some).or(refused.then_some(None))
        })?;
        Some((viewer, link))
    });
    let tag = link.start().unwrap();
    link.started(&tag);
    assert!(head(&mut viewer).starts_with("RTSP/1.0 200 "));
    assert!(node.tested());
}

/// Connections that never say a word, by hundreds at once, before the first is accepted: a viewer and a test that come
/// behind them are served.
#[test]
fn a_crowd_that_says_nothing_hides_nobody() {
    let (channel, server) = (Channel::new(), Server::new());
    let mut config = config(channel.address(), &[server.address()]);
    // The system's own queue takes some 128 that are not accepted yet.
    const FEW: u32 = 64;
    config["limits"]["sockets"] = FEW.into();
    let node = start_with_descriptors("crowd", &config, FEW);
    stand_still(&node);
    let _crowd: Vec<_> = (0..100).map(|_| node.connect()).collect();
    let mut viewer = node.connect();
    viewer.write_all(setup(1, "clip", 2_000).as_bytes()).unwrap();
    node.signal(Signal::CONT);
    assert!(node.tested());
    let mut link = server.accept();
    let tag = link.start().unwrap();
    link.started(&tag);
    assert!(head(&mut viewer).starts_with("RTSP/1.0 200 "));
}

/// Bad clients by hundreds, each refused and closed, which stay to be read out: each gets its refusal, and the next good
/// one its place.
#[test]
fn a_flood_of_garbage_gets_its_refusals_and_costs_nobody_a_place() {
    let (channel, server) = (Channel::new(), Server::new());
    let node = start_with_descriptors("garbage", &config(channel.address(), &[server.address()]), SOCKETS);
    let mut flood: Vec<_> = (0..2 * SOCKETS)
        .map(|_| {
            let mut conn = node.connect();
            conn.write_all(b"\x00\x01\xfe noise").unwrap();
            conn
        })
        .collect();
    assert!(node.tested());
    for conn in &mut flood {
        let got = head(conn);
        assert!(got.is_empty() || got.starts_with("RTSP/1.0 400 "), "{got}");
    }
    let mut viewer = node.connect();
    viewer.write_all(setup(1, "clip", 2_000).as_bytes()).unwrap();
    let mut link = server.accept();
    let tag = link.start().unwrap();
    link.started(&tag);
    assert!(head(&mut viewer).starts_with("RTSP/1.0 200 "));
}
