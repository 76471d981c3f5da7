//! `cloverhollow node` between SIGTERM and the SIGKILL that follows it.

mod platform;

use platform::*;
use rustix::process::Signal;
use std::io::Write;
use std::time::{Duration, Instant};

/// Minimum time between SIGTERM and SIGKILL: the longest deadline, 3 s, plus 0.7 s.
const GRACE: Duration = Duration::from_millis(3_700);

/// A request that arrives more than 0.7 s after SIGTERM and has no response when SIGKILL comes is lost. Such a request is
/// therefore refused at once, however long its server would take, and idle connections are closed before the SIGKILL.
#[test]
fn late_requests_after_sigterm_are_refused_and_idle_connections_closed_before_sigkill() {
    /// Time after SIGTERM in which requests are still accepted.
    const ACCEPT_TIME: Duration = Duration::from_millis(700);
    let (channel, server) = (CommandChannel::new(), Server::new());
    let node = start_node("late-request", &config(channel.address(), &[server.address()]));
    let mut idle = node.connect();
    idle.write_all(setup_request(0xc2, "clip", 2_000).as_bytes()).unwrap();
    let mut server_conn = server.accept();
    let tag = server_conn.read_start().unwrap();
    server_conn.send_started(&tag);
    assert!(read_message(&mut idle).0.starts_with("RTSP/1.0 200 "));
    node.signal(Signal::TERM);
    let term_sent_at = Instant::now();
    std::thread::sleep(ACCEPT_TIME + Duration::from_millis(100));
    idle.write_all(setup_request(0xc3, "clip", 2_000).as_bytes()).unwrap();
    let (refused, _) = read_message(&mut idle);
    assert!(refused.starts_with("RTSP/1.0 503 "), "{refused}");
    assert!(
        term_sent_at.elapsed() < ACCEPT_TIME + Duration::from_millis(1_100),
        "refused too late: {:?}",
        term_sent_at.elapsed()
    );
    assert_eq!(read_head(&mut idle), "", "the idle connection is closed");
    assert!(term_sent_at.elapsed() < GRACE, "closed after SIGKILL: {:?}", term_sent_at.elapsed());
}
