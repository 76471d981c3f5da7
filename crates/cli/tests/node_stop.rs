//! `cloverhollow node` between SIGTERM and the kill that follows it.

mod platform;

use platform::*;
use rustix::process::Signal;
use std::io::Write;
use std::time::{Duration, Instant};

/// SIGKILL comes no sooner after SIGTERM: the longest deadline, 3 s, and 0.7 s more.
const GRACE: Duration = Duration::from_millis(3_700);

/// SIGKILL may come at the longest deadline and 0.7 s after SIGTERM, and finds lost what came later than 0.7 s after it and has
/// no answer: such a request is refused at once, however long its server would take, and idle connections are closed in time.
#[test]
fn what_comes_long_after_sigterm_is_refused_at_once_and_idle_connections_are_closed_before_the_kill() {
    const TAKEN: Duration = Duration::from_millis(700);
    let (channel, server) = (Channel::new(), Server::new());
    let node = start("late-request", &config(channel.address(), &[server.address()]));
    let mut idle = node.connect();
    idle.write_all(setup(0xc2, "clip", 2_000).as_bytes()).unwrap();
    let mut link = server.accept();
    let tag = link.start().unwrap();
    link.started(&tag);
    assert!(message(&mut idle).0.starts_with("RTSP/1.0 200 "));
    node.signal(Signal::TERM);
    let since = Instant::now();
    std::thread::sleep(TAKEN + Duration::from_millis(100));
    idle.write_all(setup(0xc3, "clip", 2_000).as_bytes()).unwrap();
    let (refused, _) = message(&mut idle);
    assert!(refused.starts_with("RTSP/1.0 503 "), "{refused}");
    assert!(
        since.elapsed() < TAKEN + Duration::from_millis(1_100),
        "not when its time is up: {:?}",
        since.elapsed()
    );
    assert_eq!(head(&mut idle), "", "closed");
    assert!(since.elapsed() < GRACE, "before the kill: {:?}", since.elapsed());
}
