//! The command channel in each state that a stand-in can bring it into, byte by byte.

mod platform;

use cloverhollow_platform::backoff::Backoff;
use platform::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Of the configuration.
const SEED: u64 = 0x8c1f_30d2_7a5b_e964;

/// How long a session manager that is asked in vain waits before the next so many asks.
fn waits(asks: usize) -> Duration {
    let mut backoff = Backoff::new(SEED);
    (0..asks).map(|_| backoff.next_delay(Duration::ZERO, false)).sum()
}

/// Asks in vain, each ended by `end`; they take as long as the waits between them at the least. A loaded machine only
/// makes them longer.
fn in_vain(name: &str, end: impl Fn(TcpStream)) {
    const ASKS: usize = 5;
    let channel = Channel::new();
    let node = start(name, &config(channel.address(), &[]));
    let (first, _) = channel.accept();
    let begun = Instant::now();
    end(first);
    for _ in 0..ASKS {
        let (stream, last) = channel.accept();
        assert_eq!(last, 7, "from the last event that was taken");
        end(stream);
    }
    assert!(begun.elapsed() >= waits(ASKS), "{:?} under {:?}", begun.elapsed(), waits(ASKS));
    assert!(node.tested());
    // And the list can be told all the same.
    let (mut stream, _) = channel.watched();
    tell(&mut stream, &event(8, false, vec![]));
    drop(stream);
    assert_eq!(channel.accept().1, 8);
}

fn begin(stream: &mut TcpStream) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n");
}

#[test]
fn one_that_breaks_after_its_first_byte_is_not_asked_without_end() {
    in_vain("byte", |mut stream| {
        begin(&mut stream);
        let _ = stream.write_all(b":");
    });
}

#[test]
fn one_that_answers_with_errors_is_not_asked_without_end() {
    in_vain("error", |mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n");
    });
}

/// The stream is held open by the stand-in: it is the session manager that ends it.
#[test]
fn one_that_tells_the_same_bad_event_again_and_again_is_not_asked_without_end() {
    in_vain("bad", |mut stream| {
        begin(&mut stream);
        let mut bad = endpoint(0, stream.local_addr().unwrap(), "in_service", 0);
        bad["weight"] = 0.into();
        tell(&mut stream, &event(8, false, vec![bad]));
        assert_eq!(head(&mut stream), "", "it is closed there");
    });
}

#[test]
fn events_cut_doubled_and_jumped_over_leave_the_list_right() {
    let (channel, old, new) = (Channel::new(), Server::new(), Server::new());
    let node = start("cut", &config(channel.address(), &[old.address()]));
    let swap = event(
        8,
        false,
        vec![endpoint(0, old.address(), "terminated", 0), endpoint(1, new.address(), "in_service", 0)],
    );
    let text = format!("id: 8\ndata: {swap}\n\n");
    let (mut stream, last) = channel.watched();
    assert_eq!(last, 7);
    stream.write_all(&text.as_bytes()[..text.len() / 2]).unwrap();
    drop(stream);
    // Told whole, twice, then one is left out.
    let (mut stream, last) = channel.watched();
    assert_eq!(last, 7, "half an event is none");
    stream.write_all((text.clone() + &text).as_bytes()).unwrap();
    tell(&mut stream, &event(10, false, vec![]));
    assert_eq!(head(&mut stream), "", "a gap ends the stream");
    let (mut stream, last) = channel.watched();
    assert_eq!(last, 8);
    // An old one comes first, and is passed over.
    stream.write_all(text.as_bytes()).unwrap();
    tell(&mut stream, &event(9, false, vec![endpoint(2, old.address(), "in_service", 0)]));
    drop(stream);
    assert_eq!(channel.accept().1, 9);
    let mut viewers = Vec::new();
    let mut tags = Vec::new();
    for id in [0xa0, 0xa1] {
        let mut viewer = node.connect();
        viewer.write_all(setup(id, "clip", 1_500).as_bytes()).unwrap();
        let mut link =
            until("a set-up at a server of the list", || new.accept_now().or_else(|| old.accept_now()));
        tags.push(link.start().unwrap());
        viewers.push((viewer, link));
    }
    assert_eq!(tags, [format!("{:016x}", 0xa0), format!("{:016x}", 0xa1)]);
}

/// Drained, replaced and back in one batch: the sessions of the process that is gone are cut, the name is the new one's.
#[test]
fn a_server_replaced_in_one_event_under_its_name_and_address_loses_what_stood_there() {
    let (channel, server) = (Channel::new(), Server::new());
    let node = start("swap", &config(channel.address(), &[server.address()]));
    let (mut stream, _) = channel.watched();
    let mut viewer = node.connect();
    viewer.write_all(setup(0xb0, "clip", 1_500).as_bytes()).unwrap();
    let mut link = server.accept();
    let tag = link.start().unwrap();
    link.started(&tag);
    assert!(message(&mut viewer).0.starts_with("RTSP/1.0 200 "));
    let since = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
    let swap = vec![
        endpoint(0, server.address(), "terminating", 0),
        endpoint(0, server.address(), "terminated", 0),
        endpoint(0, server.address(), "in_service", since),
    ];
    tell(&mut stream, &event(8, false, swap));
    let released = head(&mut viewer);
    assert!(released.starts_with("TEARDOWN ") && released.contains(&tag), "{released}");
    // Handed over at the name: it is listed, so nobody is told of an end.
    let at = setup(0xb1, "clip", 4_000_000).replace(";viewer", ";at:s-00000000;viewer");
    let gone = setup(0xb2, "clip", 4_000_000).replace(";viewer", ";at:s-00000009;viewer");
    viewer.write_all((at + &gone).as_bytes()).unwrap();
    let released = head(&mut viewer);
    assert!(released.contains(&format!("{:016x}", 0xb2)), "only the one at no server: {released}");
}

/// The stream neither ends nor says anything. The 1.8 s after which it counts as stopped are to pass.
#[test]
fn one_that_stops_without_a_close_is_asked_anew() {
    let channel = Channel::new();
    let node = start("stop", &config(channel.address(), &[]));
    let (mut stream, _) = channel.watched();
    stream.write_all(b": alive\n\n").unwrap();
    let begun = Instant::now();
    let again = channel.accept();
    assert_eq!(again.1, 7);
    assert!(begun.elapsed() < LONG, "it counts as told 4 s after a stop");
    assert!(node.tested());
}
