//! `cloverhollow node` as a process: bad clients, a configuration that changes, an end that loses nothing.

mod platform;

use platform::{config, head, setup, start, Channel, LONG};
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

#[test]
fn whatever_comes_gets_an_answer_or_a_close_and_good_clients_go_on() {
    let channel = Channel::new();
    let node = start("bad", &config(channel.address(), &[]));
    let good = setup(0xa0, "clip", 1_500);
    let ask = |text: &[u8]| {
        let mut conn = node.connect();
        let _ = conn.write_all(text); // it may close before all of it is taken
        head(&mut conn)
    };
    let refused = ask(good.as_bytes());
    assert!(refused.starts_with("RTSP/1.0 503 "), "no servers: {refused}");
    assert!(refused.contains("\r\nRetry-After-Ms: 700\r\n"), "{refused}");
    // The platform starts one process and refuses it others.
    let pid = node.life.id();
    let children = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children"));
    assert_eq!(children.unwrap_or_default(), "", "it started no other");
    let huge = setup(0xa1, "clip", 1_500).replace("Length: 7", "Length: 60000000");
    assert!(huge.contains("60000000"));
    let mut flood = huge.clone().into_bytes();
    flood.resize(4 << 20, b'x');
    let bad: [(&[u8], &str); 7] = [
        (b"\x00\x01\xfe noise", "400"),
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "400"),
        (huge.as_bytes(), "413"),
        (&flood, "413"),
        (b"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nContent-Length: -1\r\n\r\n", "400"),
        (b"SETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n", "400"),
        (b"SETUP rtsp://media/7f RTSP/1.0\r\n", "400"), // and then nothing
    ];
    for (text, want) in bad {
        let got = ask(text);
        assert!(
            got.starts_with(&format!("RTSP/1.0 {want} ")),
            "{:?}: {got:?}",
            String::from_utf8_lossy(&text[..40.min(text.len())])
        );
    }
    for bad in [setup(0xa2, "gold", 1_500), setup(0xa3, "clip", 1_500).replace("home:0", "home:-1")] {
        let got = ask(bad.as_bytes());
        assert!(got.starts_with("RTSP/1.0 400 ") && got.contains("Session: 00000000000000a"), "{got}");
    }
    let mut silent = node.connect();
    assert!(head(&mut silent).starts_with("RTSP/1.0 400 "), "said nothing");
    // More than it takes, all silent: the next good one is served.
    let crowd: Vec<_> = (0..200).map(|_| node.connect()).collect();
    assert!(ask(good.as_bytes()).starts_with("RTSP/1.0 503 "));
    assert!(node.tested());
    drop(crowd);
}

#[test]
fn a_new_configuration_moves_the_channel_and_a_bad_one_changes_nothing() {
    let first = Channel::new();
    let node = start("hup", &config(first.address(), &[]));
    assert_eq!(first.accept().1, 7);
    std::fs::write(&node.config, "{").unwrap();
    node.signal(Signal::HUP);
    assert!(node.tested(), "it runs on");
    let second = Channel::new();
    node.configure(&config(second.address(), &[]));
    assert_eq!(second.accept().1, 7);
}

#[test]
fn after_sigterm_it_goes_on_answering_and_then_ends_by_itself() {
    let channel = Channel::new();
    let mut node = start("term", &config(channel.address(), &[]));
    let mut conn = node.connect();
    node.signal(Signal::TERM);
    for id in [0xb0, 0xb1] {
        conn.write_all(setup(id, "clip", 1_500).as_bytes()).unwrap();
        assert!(head(&mut conn).starts_with("RTSP/1.0 503 "));
        assert!(node.tested(), "new connections come up");
        std::thread::sleep(Duration::from_millis(300));
    }
    conn.shutdown(Shutdown::Both).unwrap();
    let since = Instant::now();
    let ended = loop {
        if let Some(status) = node.life.try_wait().unwrap() {
            break status;
        }
        assert!(since.elapsed() < LONG, "it does not end");
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(ended.success());
}

/// Datagram sockets that a process holds, by the system's own lists.
fn datagram_sockets(pid: u32) -> usize {
    let lists =
        ["udp", "udp6"].map(|l| std::fs::read_to_string(format!("/proc/{pid}/net/{l}")).unwrap_or_default());
    let inodes: Vec<&str> =
        lists.iter().flat_map(|l| l.lines().skip(1)).filter_map(|l| l.split_whitespace().nth(9)).collect();
    let held = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().flatten();
    let links = held.filter_map(|fd| std::fs::read_link(fd.path()).ok());
    let names = links.map(|l| l.to_string_lossy().into_owned());
    names.filter(|n| inodes.iter().any(|i| *n == format!("socket:[{i}]"))).count()
}

#[test]
fn settings_of_members_and_permits_open_no_datagram_socket_here() {
    let channel = Channel::new();
    let mut text = config(channel.address(), &[]);
    let key = std::env::temp_dir().join("no-such-key");
    for at in ["", "settings"] {
        let of = if at.is_empty() { &mut text } else { &mut text[at] };
        of["members"] =
            json!({"listen": "127.0.0.1:0", "witnesses": ["127.0.0.1:9"], "keys": [{"id": 1, "file": key}]});
        of["out"] = json!({"fleet": 1});
    }
    let mut node = start("permits", &text);
    channel.accept();
    assert!(node.tested());
    assert_eq!(datagram_sockets(node.life.id()), 0);
    // And it ends as ever: nobody is asked for a permit.
    node.signal(Signal::TERM);
    let begun = Instant::now();
    while node.life.try_wait().unwrap().is_none() {
        assert!(begun.elapsed() < LONG, "it ends by itself");
        std::thread::sleep(Duration::from_millis(10));
    }
}
