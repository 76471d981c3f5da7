//! `cloverhollow node` with times that are zero, absent or shorter than a round trip: each request gets one response in
//! time, and the process keeps running.

mod platform;

use platform::{config, read_message, setup_request, start_node, CommandChannel, Server};
use serde_json::Value;
use std::io::Write;

/// Modification of the configuration.
type Change = fn(&mut Value);

fn limits(config: &mut Value) -> &mut serde_json::Map<String, Value> {
    config["settings"]["limits"].as_object_mut().unwrap()
}

/// A limit that is zero or absent counts as not set: with `connect-timeout` zero or absent all connections used to fail at
/// once.
#[test]
fn zero_or_absent_limits_do_not_block_requests() {
    let changes: [(&str, Change); 6] = [
        ("no-connect", |c| _ = limits(c).remove("connect-timeout")),
        ("zero-connect", |c| limits(c)["connect-timeout"] = 0.0.into()),
        ("no-idle", |c| _ = limits(c).remove("idle-close")),
        ("zero-idle", |c| limits(c)["idle-close"] = 0.0.into()),
        ("zero-notes", |c| c["settings"]["domain"]["told-every"] = 0.0.into()),
        ("zero-deadline", |c| c["settings"]["grades"][0]["deadline"] = 0.0.into()),
    ];
    for (name, change) in changes {
        let (channel, server) = (CommandChannel::new(), Server::new());
        let mut config = config(channel.address(), &[server.address()]);
        change(&mut config);
        let node = start_node(name, &config);
        for id in [0xc1, 0xc2] {
            let mut viewer = node.connect();
            viewer.write_all(setup_request(id, "clip", 2_000).as_bytes()).unwrap();
            // The second set-up may use the connection of the first or a new one.
            let mut server_conn = server.accept();
            assert_eq!(server_conn.read_start(), Some(format!("{id:016x}")), "{name}");
            server_conn.send_started(&format!("{id:016x}"));
            let (head, body) = read_message(&mut viewer);
            assert!(head.starts_with("RTSP/1.0 200 "), "{name}: {head}");
            assert_eq!(body, "v=0 answer");
            drop(server_conn);
        }
    }
}

/// A viewer whose wait is shorter than a round trip gets a response at once, and no set-up is sent.
#[test]
fn request_with_a_wait_below_the_round_trip_time_is_refused_at_once() {
    let (channel, server) = (CommandChannel::new(), Server::new());
    let node = start_node("hasty", &config(channel.address(), &[server.address()]));
    for (id, wait_ms) in [(0xd1, 0), (0xd2, 1), (0xd3, 20)] {
        for class in ["clip", "paid"] {
            let mut viewer = node.connect();
            viewer.write_all(setup_request(id, class, wait_ms).as_bytes()).unwrap();
            let (head, _) = read_message(&mut viewer);
            assert!(!head.starts_with("RTSP/1.0 200 ") && head.starts_with("RTSP/1.0 "), "{wait_ms}: {head}");
        }
    }
    assert!(node.passes_readiness_check());
    // The first set-up at the server is the one of a later request.
    let mut viewer = node.connect();
    viewer.write_all(setup_request(0xd9, "clip", 2_000).as_bytes()).unwrap();
    let mut server_conn = server.accept();
    let first = server_conn.read_start().unwrap();
    assert_eq!(first, format!("{:016x}", 0xd9));
    server_conn.send_started(&first);
    assert!(read_message(&mut viewer).0.starts_with("RTSP/1.0 200 "));
}
