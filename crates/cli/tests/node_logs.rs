//! The log of `cloverhollow node` while a client sends set-ups at full speed.

mod platform;

use platform::*;
use std::io::{BufRead, BufReader, Write};
use std::time::{Duration, Instant};

/// Lines that one place in the code may write in ten seconds.
const MAX_LINES: usize = 2_000;
const WINDOW: Duration = Duration::from_secs(10);
/// Number of set-ups: more than the log may have lines of a kind.
const SET_UPS: u64 = 6_000;

/// Guards against a log that grows with each request of a client that sends at full speed, under ever new names.
#[test]
fn log_does_not_grow_with_the_requests_of_a_client_that_sends_at_full_speed() {
    let log = temp_dir("log-flood").join("log");
    let channel = CommandChannel::new();
    // Without a server each set-up is refused.
    let node = start_node_with_log("log-flood-node", &config(channel.address(), &[]), &log);
    let (started_at, mut client) = (Instant::now(), node.connect());
    let responses = BufReader::new(client.try_clone().unwrap());
    let sender = std::thread::spawn(move || {
        (0..SET_UPS).for_each(|n| client.write_all(setup_request(n, "clip", 2_000).as_bytes()).unwrap());
        client
    });
    let heads = responses.lines().map(Result::unwrap).filter(|line| line.starts_with("RTSP/1.0 "));
    assert_eq!(heads.take(SET_UPS as usize).count(), SET_UPS as usize);
    drop(sender.join());
    let windows = started_at.elapsed().as_secs() as usize / WINDOW.as_secs() as usize + 1;
    let text = std::fs::read_to_string(&log).unwrap();
    let lines_of = |kind: &str| text.lines().filter(|line| line.contains(kind)).count();
    let lines = ["set-up answered", "set-up refused at once"].map(lines_of);
    assert!(lines.iter().sum::<usize>() >= MAX_LINES, "the log tells of the requests: {lines:?}");
    assert!(lines.iter().all(|n| *n <= windows * MAX_LINES), "{lines:?} in {windows} windows of {WINDOW:?}");
}
