//! `cloverhollow node` where times are zero, absent or shorter than a round trip: one answer in time, and it goes on.

mod platform;

use platform::{config, message, setup, start, Channel, Server};
use serde_json::Value;
use std::io::Write;

/// A change of the configuration.
type Change = fn(&mut Value);

fn limits(config: &mut Value) -> &mut serde_json::Map<String, Value> {
    config["settings"]["limits"].as_object_mut().unwrap()
}

/// Guards a zero that means 'not told': with `connect-timeout` zero or absent each connection failed at once.
#[test]
fn a_limit_that_is_zero_or_absent_keeps_no_request_from_its_server() {
    let changes: [(&str, Change); 6] = [
        ("no-connect", |c| _ = limits(c).remove("connect-timeout")),
        ("zero-connect", |c| limits(c)["connect-timeout"] = 0.0.into()),
        ("no-idle", |c| _ = limits(c).remove("idle-close")),
        ("zero-idle", |c| limits(c)["idle-close"] = 0.0.into()),
        ("zero-notes", |c| c["settings"]["domain"]["told-every"] = 0.0.into()),
        ("zero-deadline", |c| c["settings"]["grades"][0]["deadline"] = 0.0.into()),
    ];
    for (name, change) in changes {
        let (channel, server) = (Channel::new(), Server::new());
        let mut config = config(channel.address(), &[server.address()]);
        change(&mut config);
        let node = start(name, &config);
        for id in [0xc1, 0xc2] {
            let mut viewer = node.connect();
            viewer.write_all(setup(id, "clip", 2_000).as_bytes()).unwrap();
            // The second one may go on the first one's connection, or on its own.
            let mut link = server.accept();
            assert_eq!(link.start(), Some(format!("{id:016x}")), "{name}");
            link.started(&format!("{id:016x}"));
            let (head, body) = message(&mut viewer);
            assert!(head.starts_with("RTSP/1.0 200 "), "{name}: {head}");
            assert_eq!(body, "v=0 answer");
            drop(link);
        }
    }
}

/// A viewer that waits no longer than the way to it takes: it is answered at once, and no server is asked.
#[test]
fn who_waits_no_longer_than_the_way_takes_is_answered_at_once() {
    let (channel, server) = (Channel::new(), Server::new());
    let node = start("hasty", &config(channel.address(), &[server.address()]));
    for (id, wait) in [(0xd1, 0), (0xd2, 1), (0xd3, 20)] {
        for class in ["clip", "paid"] {
            let mut viewer = node.connect();
            viewer.write_all(setup(id, class, wait).as_bytes()).unwrap();
            let (head, _) = message(&mut viewer);
            assert!(!head.starts_with("RTSP/1.0 200 ") && head.starts_with("RTSP/1.0 "), "{wait}: {head}");
        }
    }
    assert!(node.tested());
    // Whatever begins there later is another's.
    let mut viewer = node.connect();
    viewer.write_all(setup(0xd9, "clip", 2_000).as_bytes()).unwrap();
    let mut link = server.accept();
    let first = link.start().unwrap();
    assert_eq!(first, format!("{:016x}", 0xd9));
    link.started(&first);
    assert!(message(&mut viewer).0.starts_with("RTSP/1.0 200 "));
}
