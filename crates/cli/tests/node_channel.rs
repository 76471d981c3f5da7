//! The command channel in all states that a fake server can cause: errors, cut, duplicate and skipped events, silence.

mod platform;

use cloverhollow_platform::backoff::Backoff;
use platform::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Seed in the configuration, from which the back-off jitter is drawn.
const SEED: u64 = 0x8c1f_30d2_7a5b_e964;

/// Total back-off of a session manager over so many failed attempts.
fn total_backoff(attempts: usize) -> Duration {
    let mut backoff = Backoff::new(SEED);
    (0..attempts).map(|_| backoff.next_delay(Duration::ZERO, false)).sum()
}

/// Fails each request with `end` and checks that the requests are at least the back-off apart; a loaded machine only makes
/// the gaps longer.
fn assert_failed_requests_back_off(name: &str, end: impl Fn(TcpStream)) {
    const ATTEMPTS: usize = 5;
    let channel = CommandChannel::new();
    let node = start_node(name, &config(channel.address(), &[]));
    let (first, _) = channel.accept();
    let first_failed_at = Instant::now();
    end(first);
    for _ in 0..ATTEMPTS {
        let (stream, last) = channel.accept();
        assert_eq!(last, 7, "resumes after the last processed event");
        end(stream);
    }
    assert!(
        first_failed_at.elapsed() >= total_backoff(ATTEMPTS),
        "{:?} is less than {:?}",
        first_failed_at.elapsed(),
        total_backoff(ATTEMPTS)
    );
    assert!(node.passes_readiness_check());
    // The channel still works afterwards.
    let (mut stream, _) = channel.accept_stream();
    send_event(&mut stream, &event(8, false, vec![]));
    drop(stream);
    assert_eq!(channel.accept().1, 8);
}

fn begin_event_stream(stream: &mut TcpStream) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n");
}

#[test]
fn channel_that_breaks_after_its_first_byte_is_retried_with_backoff() {
    assert_failed_requests_back_off("byte", |mut stream| {
        begin_event_stream(&mut stream);
        let _ = stream.write_all(b":");
    });
}

#[test]
fn channel_that_responds_with_errors_is_retried_with_backoff() {
    assert_failed_requests_back_off("error", |mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n");
    });
}

/// The fake channel keeps the stream open: the session manager closes it.
#[test]
fn channel_that_repeats_an_invalid_event_is_retried_with_backoff() {
    assert_failed_requests_back_off("bad", |mut stream| {
        begin_event_stream(&mut stream);
        let mut bad = endpoint(0, stream.local_addr().unwrap(), "in_service", 0);
        bad["weight"] = 0.into();
        send_event(&mut stream, &event(8, false, vec![bad]));
        assert_eq!(read_head(&mut stream), "", "the stream is closed after the invalid event");
    });
}

#[test]
fn truncated_duplicate_and_skipped_events_leave_the_list_correct() {
    let (channel, old, new) = (CommandChannel::new(), Server::new(), Server::new());
    let node = start_node("cut", &config(channel.address(), &[old.address()]));
    let swap = event(
        8,
        false,
        vec![endpoint(0, old.address(), "terminated", 0), endpoint(1, new.address(), "in_service", 0)],
    );
    let text = format!("id: 8\ndata: {swap}\n\n");
    let (mut stream, last) = channel.accept_stream();
    assert_eq!(last, 7);
    stream.write_all(&text.as_bytes()[..text.len() / 2]).unwrap();
    drop(stream);
    // The complete event, twice, then an event with a gap before it.
    let (mut stream, last) = channel.accept_stream();
    assert_eq!(last, 7, "half an event is not processed");
    stream.write_all((text.clone() + &text).as_bytes()).unwrap();
    send_event(&mut stream, &event(10, false, vec![]));
    assert_eq!(read_head(&mut stream), "", "a gap ends the stream");
    let (mut stream, last) = channel.accept_stream();
    assert_eq!(last, 8);
    // An old event comes first and is skipped.
    stream.write_all(text.as_bytes()).unwrap();
    send_event(&mut stream, &event(9, false, vec![endpoint(2, old.address(), "in_service", 0)]));
    drop(stream);
    assert_eq!(channel.accept().1, 9);
    let mut viewers = Vec::new();
    let mut tags = Vec::new();
    for id in [0xa0, 0xa1] {
        let mut viewer = node.connect();
        viewer.write_all(setup_request(id, "clip", 1_500).as_bytes()).unwrap();
        let mut server_conn =
            wait_for("a set-up at a server of the list", || new.try_accept().or_else(|| old.try_accept()));
        tags.push(server_conn.read_start().unwrap());
        viewers.push((viewer, server_conn));
    }
    assert_eq!(tags, [format!("{:016x}", 0xa0), format!("{:016x}", 0xa1)]);
}

/// One batch drains a server, removes it and adds a new process under its name: sessions of the old process are released,
/// and the name refers to the new one.
#[test]
fn server_replaced_in_one_event_under_its_name_and_address_loses_its_sessions() {
    let (channel, server) = (CommandChannel::new(), Server::new());
    let node = start_node("swap", &config(channel.address(), &[server.address()]));
    let (mut stream, _) = channel.accept_stream();
    let mut viewer = node.connect();
    viewer.write_all(setup_request(0xb0, "clip", 1_500).as_bytes()).unwrap();
    let mut server_conn = server.accept();
    let tag = server_conn.read_start().unwrap();
    server_conn.send_started(&tag);
    assert!(read_message(&mut viewer).0.starts_with("RTSP/1.0 200 "));
    let since_ms = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
    let swap = vec![
        endpoint(0, server.address(), "terminating", 0),
        endpoint(0, server.address(), "terminated", 0),
        endpoint(0, server.address(), "in_service", since_ms),
    ];
    send_event(&mut stream, &event(8, false, swap));
    let released = read_head(&mut viewer);
    assert!(released.starts_with("TEARDOWN ") && released.contains(&tag), "{released}");
    // A session handed over at this name stays established, as the name is listed.
    let at_listed = setup_request(0xb1, "clip", 4_000_000).replace(";viewer", ";at:s-00000000;viewer");
    let at_unlisted = setup_request(0xb2, "clip", 4_000_000).replace(";viewer", ";at:s-00000009;viewer");
    viewer.write_all((at_listed + &at_unlisted).as_bytes()).unwrap();
    let released = read_head(&mut viewer);
    assert!(released.contains(&format!("{:016x}", 0xb2)), "only the one at an unlisted server: {released}");
}

/// The stream stays open without data. It counts as stalled after 1.8 s.
#[test]
fn stalled_channel_is_reconnected() {
    let channel = CommandChannel::new();
    let node = start_node("stop", &config(channel.address(), &[]));
    let (mut stream, _) = channel.accept_stream();
    stream.write_all(b": alive\n\n").unwrap();
    let stalled_at = Instant::now();
    let reconnect = channel.accept();
    assert_eq!(reconnect.1, 7);
    assert!(stalled_at.elapsed() < TIMEOUT, "the protocol counts list updates as received 4 s after a stall");
    assert!(node.passes_readiness_check());
}
