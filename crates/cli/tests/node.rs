//! `cloverhollow node` as a process: invalid clients, configuration changes, and shutdown without lost requests.

mod platform;

use platform::{config, read_head, setup_request, start_node, CommandChannel, TIMEOUT};
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

#[test]
fn invalid_input_gets_an_error_or_a_close_and_valid_clients_are_served() {
    let channel = CommandChannel::new();
    let node = start_node("bad", &config(channel.address(), &[]));
    let valid = setup_request(0xa0, "clip", 1_500);
    let exchange = |text: &[u8]| {
        let mut conn = node.connect();
        let _ = conn.write_all(text); // the connection may be closed before all is written
        read_head(&mut conn)
    };
    let refused = exchange(valid.as_bytes());
    assert!(refused.starts_with("RTSP/1.0 503 "), "no servers: {refused}");
    assert!(refused.contains("\r\nRetry-After-Ms: 700\r\n"), "{refused}");
    // The platform permits a single process.
    let pid = node.process.id();
    let children = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children"));
    assert_eq!(children.unwrap_or_default(), "", "no child processes");
    let oversized = setup_request(0xa1, "clip", 1_500).replace("Length: 7", "Length: 60000000");
    assert!(oversized.contains("60000000"));
    let mut flood = oversized.clone().into_bytes();
    flood.resize(4 << 20, b'x');
    let invalid: [(&[u8], &str); 7] = [
        (b"\x00\x01\xfe noise", "400"),
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "400"),
        (oversized.as_bytes(), "413"),
        (&flood, "413"),
        (b"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nContent-Length: -1\r\n\r\n", "400"),
        (b"SETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n", "400"),
        (b"SETUP rtsp://media/7f RTSP/1.0\r\n", "400"), // incomplete, with nothing after it
    ];
    for (text, status) in invalid {
        let response = exchange(text);
        assert!(
            response.starts_with(&format!("RTSP/1.0 {status} ")),
            "{:?}: {response:?}",
            String::from_utf8_lossy(&text[..40.min(text.len())])
        );
    }
    for request in
        [setup_request(0xa2, "gold", 1_500), setup_request(0xa3, "clip", 1_500).replace("home:0", "home:-1")]
    {
        let response = exchange(request.as_bytes());
        assert!(
            response.starts_with("RTSP/1.0 400 ") && response.contains("Session: 00000000000000a"),
            "{response}"
        );
    }
    let mut silent = node.connect();
    assert!(read_head(&mut silent).starts_with("RTSP/1.0 400 "), "a connection that sends nothing");
    // More silent connections than the limit: the next valid request is still served.
    let crowd: Vec<_> = (0..200).map(|_| node.connect()).collect();
    assert!(exchange(valid.as_bytes()).starts_with("RTSP/1.0 503 "));
    assert!(node.passes_readiness_check());
    drop(crowd);
}

#[test]
fn reloaded_configuration_moves_the_channel_and_an_invalid_one_is_ignored() {
    let first = CommandChannel::new();
    let node = start_node("hup", &config(first.address(), &[]));
    assert_eq!(first.accept().1, 7);
    std::fs::write(&node.config, "{").unwrap();
    node.signal(Signal::HUP);
    assert!(node.passes_readiness_check(), "the process keeps running");
    let second = CommandChannel::new();
    node.reload_config(&config(second.address(), &[]));
    assert_eq!(second.accept().1, 7);
}

#[test]
fn after_sigterm_requests_are_answered_until_the_process_exits_by_itself() {
    let channel = CommandChannel::new();
    let mut node = start_node("term", &config(channel.address(), &[]));
    let mut conn = node.connect();
    node.signal(Signal::TERM);
    for id in [0xb0, 0xb1] {
        conn.write_all(setup_request(id, "clip", 1_500).as_bytes()).unwrap();
        assert!(read_head(&mut conn).starts_with("RTSP/1.0 503 "));
        assert!(node.passes_readiness_check(), "new connections are accepted");
        std::thread::sleep(Duration::from_millis(300));
    }
    conn.shutdown(Shutdown::Both).unwrap();
    let closed_at = Instant::now();
    let exit_status = loop {
        if let Some(status) = node.process.try_wait().unwrap() {
            break status;
        }
        assert!(closed_at.elapsed() < TIMEOUT, "the process does not exit");
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(exit_status.success());
}

/// Number of UDP sockets that a process holds, according to `/proc`.
fn datagram_sockets(pid: u32) -> usize {
    let lists =
        ["udp", "udp6"].map(|l| std::fs::read_to_string(format!("/proc/{pid}/net/{l}")).unwrap_or_default());
    let inodes: Vec<&str> =
        lists.iter().flat_map(|l| l.lines().skip(1)).filter_map(|l| l.split_whitespace().nth(9)).collect();
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().flatten();
    let links = descriptors.filter_map(|fd| std::fs::read_link(fd.path()).ok());
    let names = links.map(|l| l.to_string_lossy().into_owned());
    names.filter(|n| inodes.iter().any(|i| *n == format!("socket:[{i}]"))).count()
}

#[test]
fn settings_of_members_and_permits_open_no_datagram_socket() {
    let channel = CommandChannel::new();
    let mut config = config(channel.address(), &[]);
    let key_file = std::env::temp_dir().join("no-such-key");
    for key in ["", "settings"] {
        let object = if key.is_empty() { &mut config } else { &mut config[key] };
        object["members"] = json!({"listen": "127.0.0.1:0", "witnesses": ["127.0.0.1:9"], "keys": [{"id": 1, "file": key_file}]});
        object["out"] = json!({"fleet": 1});
    }
    let mut node = start_node("permits", &config);
    channel.accept();
    assert!(node.passes_readiness_check());
    assert_eq!(datagram_sockets(node.process.id()), 0);
    // It also exits without asking for a permit.
    node.signal(Signal::TERM);
    let term_sent_at = Instant::now();
    while node.process.try_wait().unwrap().is_none() {
        assert!(term_sent_at.elapsed() < TIMEOUT, "the process does not exit");
        std::thread::sleep(Duration::from_millis(10));
    }
}
