//! Lives of one front, one after the other or two at once: processes, killed outright.

mod common;

use common::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver};

/// A life that has a list.
fn ready(config: &Path) -> (Life, SocketAddr, SocketAddr) {
    let (child, address, side) = front(config);
    until_ready(side);
    (child, address, side)
}

/// A folder, a server and discovery, and the settings of a front of them.
fn site(name: &str, more: &str) -> (PathBuf, Receiver<Saw>, PathBuf) {
    let dir = folder(name);
    let (tx, saw) = channel();
    let config = settings(&dir, discovery(server(tx)), more);
    (dir, saw, config)
}

fn kill(mut child: Life) {
    child.kill().unwrap();
    child.wait().unwrap();
}

const AT_START: &str = "cmcd-session: sid=\"one\"\r\ncmcd-request: su\r\n";

#[test]
fn a_paid_set_up_that_may_have_run_is_not_sent_again_by_the_next_life_that_is_asked_as_at_its_start() {
    let (_dir, saw, config) = site("paid-life", "");
    let (child, address, _) = ready(&config);
    let _viewer = ask(address, "/club/paid/t/0", AT_START);
    assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Setup("one".into()));
    kill(child);
    assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Closed);
    for life in 0..2 {
        let (child, address, _) = ready(&config);
        let again = whole(ask(address, "/club/paid/t/0", AT_START));
        assert!(again.starts_with("HTTP/1.1 502") && again.contains("set-up-before"), "life {life}: {again}");
        let other = AT_START.replace("one", &format!("new-{life}"));
        let new = whole(ask(address, "/club/paid/t/0", &other));
        assert!(new.starts_with("HTTP/1.1 200"), "life {life}: {new}");
        assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Setup(format!("new-{life}")));
        kill(child);
    }
    assert!(saw.try_recv().is_err(), "and nothing else was sent");
}

#[test]
fn deeds_that_are_gone_garbled_or_older_than_the_last_death_are_not_believed() {
    type Spoil = fn(&std::path::Path);
    let ways: [(&str, Spoil); 3] = [
        ("gone", |deeds| std::fs::remove_file(deeds).unwrap()),
        ("garbled", |deeds| {
            let mut bytes = std::fs::read(deeds).unwrap();
            bytes[20] ^= 0xff;
            std::fs::write(deeds, bytes).unwrap();
        }),
        // An old copy put back: as its own last deed has it, it last changed long before now.
        ("changed", |deeds| {
            std::thread::sleep(std::time::Duration::from_millis(2_200));
            let bytes = std::fs::read(deeds).unwrap();
            std::fs::write(deeds, bytes).unwrap();
        }),
    ];
    for (name, spoil) in ways {
        let (dir, _saw, config) = site(&format!("spoilt-{name}"), "");
        let (child, _, _) = ready(&config);
        kill(child);
        spoil(&dir.join("front.keep.deeds"));
        let (child, address, side) = ready(&config);
        let paid = whole(ask(address, "/club/paid/t/0", AT_START));
        assert!(paid.starts_with("HTTP/1.1 502") && paid.contains("unproven"), "{name}: {paid}");
        let health = whole(ask(side, "/health", ""));
        assert!(!health.contains("earlier lives are proven"), "{name}: {health}");
        kill(child);
    }
}

#[test]
fn a_second_process_of_one_front_does_not_start_and_the_first_goes_on() {
    let (_dir, saw, config) = site("twice", "");
    let (child, address, _) = ready(&config);
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_cloverhollow"))
        .args(["serve", "--config"])
        .arg(&config)
        .output()
        .unwrap();
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(1), "{error}");
    assert!(error.contains("another process of this front holds it"), "{error}");
    // The first one's store and deeds are as they were.
    let _viewer = ask(address, "/club/paid/t/0", AT_START);
    assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Setup("one".into()));
    kill(child);
    let (child, address, _) = ready(&config);
    let again = whole(ask(address, "/club/paid/t/0", AT_START));
    assert!(again.contains("set-up-before"), "{again}");
    kill(child);
}

#[test]
fn a_front_that_dies_again_and_again_says_so_and_tells_viewers_when_to_come_back() {
    let dir = folder("loop");
    let (tx, _saw) = channel();
    // Deaths of an hour count, so that no pace of the machine lets one be forgotten.
    let more = ", restarts: {window_ms: 3600000, free: 2, first_ms: 60000, most_ms: 60000}";
    let config = settings(&dir, discovery(server(tx)), more);
    for _ in 0..3 {
        let (child, _, _) = ready(&config);
        kill(child);
    }
    let (child, address, side) = front(&config);
    let health = whole(ask(side, "/health", ""));
    assert!(
        health.starts_with("HTTP/1.1 503") && health.contains("3 deaths one after the other"),
        "{health}"
    );
    let viewer = whole(ask(address, "/club/paid/t/0", AT_START));
    assert!(viewer.starts_with("HTTP/1.1 503") && viewer.contains("backing-off"), "{viewer}");
    assert!(viewer.contains("retry-after: "), "{viewer}");
    kill(child);
}

#[test]
fn a_front_that_is_stopped_in_order_never_backs_off() {
    let more = ", restarts: {window_ms: 3600000, free: 0, first_ms: 60000, most_ms: 60000}";
    let (_dir, _saw, config) = site("in-order", more);
    for _ in 0..4 {
        let (mut child, _, _) = ready(&config);
        let pid = child.id().to_string();
        let asked = std::process::Command::new("kill").args(["-TERM", &pid]).status().unwrap();
        assert!(asked.success() && child.wait().unwrap().success());
    }
}

#[test]
fn on_a_full_disk_no_paid_set_up_goes_out_and_viewers_and_operators_are_told() {
    let (_dir, saw, config) = site("full", "");
    let (child, address, side) = front_without_room(&config);
    let health = loop {
        let health = whole(ask(side, "/health", ""));
        if health.contains("\"servers_serving\":1") {
            break health;
        }
    };
    assert!(health.contains("paid set-ups cannot be taken down"), "{health}");
    let viewer = whole(ask(address, "/club/paid/t/0", AT_START));
    assert!(viewer.starts_with("HTTP/1.1 503") && viewer.contains("not-kept"), "{viewer}");
    assert!(saw.try_recv().is_err(), "nothing went out");
    kill(child);
}

#[test]
fn a_death_during_the_warm_start_loses_nothing_of_the_life_before() {
    let (_dir, saw, config) = site("warming", "");
    let (child, address, _) = ready(&config);
    let _viewer = ask(address, "/club/paid/t/0", AT_START);
    assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Setup("one".into()));
    kill(child);
    // A peer that takes the question and never answers.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let peers = format!(
        "peers: {{addresses: [\"{}\"], hold_ms: 60000, deadline_ms: 60000, jitter_ms: 0}}\n",
        silent.local_addr().unwrap()
    );
    let text = std::fs::read_to_string(&config).unwrap();
    std::fs::write(&config, text.clone() + &peers).unwrap();
    let (child, _, side) = front(&config);
    let _asked = silent.accept().unwrap();
    assert!(whole(ask(side, "/health", "")).contains("\"level\":\"warming\""));
    kill(child);
    std::fs::write(&config, text).unwrap();
    let (child, address, _) = ready(&config);
    let again = whole(ask(address, "/club/paid/t/0", AT_START));
    assert!(again.starts_with("HTTP/1.1 502") && again.contains("set-up-before"), "{again}");
    kill(child);
}

fn signal(life: &Life, name: &str) {
    let sent = std::process::Command::new("kill").args([name, &life.id().to_string()]).status().unwrap();
    assert!(sent.success());
}

#[test]
fn a_front_that_stands_still_past_each_deadline_answers_once_and_sets_nothing_up_twice() {
    // A deadline of a second and a half, and two seconds and a half of standing still.
    let still = std::time::Duration::from_millis(2_500);
    let (_dir, saw, config) = site("still", "");
    let text = std::fs::read_to_string(&config).unwrap().replace("deadline_ms: 15000", "deadline_ms: 1500");
    std::fs::write(&config, text).unwrap();
    let (life, address, side) = ready(&config);
    // Stopped while a paid set-up is out: its time is up meanwhile.
    let viewer = ask(address, "/club/paid/t/0", AT_START);
    assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Setup("one".into()));
    signal(&life, "-STOP");
    std::thread::sleep(still);
    signal(&life, "-CONT");
    let answer = whole(viewer);
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Closed);
    // Stopped before a request is read: it is a call like any other afterwards.
    let again = whole(ask(address, "/club/paid/t/0", AT_START));
    assert!(again.contains("set-up-before"), "{again}");
    signal(&life, "-STOP");
    let late = ask(address, "/club/paid/t/0", &AT_START.replace("one", "late"));
    std::thread::sleep(still);
    signal(&life, "-CONT");
    let answer = whole(late);
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    // The server's silence before may have put it at rest: then the viewer is refused, and nothing went out.
    let mut setups = Vec::new();
    if answer.starts_with("HTTP/1.1 200") {
        setups.push(saw.recv_timeout(LONG).unwrap());
    }
    assert!(setups.iter().all(|s| *s == Saw::Setup("late".into())), "{setups:?}");
    // Stopped while it is idle, then asked by its operator.
    signal(&life, "-STOP");
    std::thread::sleep(still);
    signal(&life, "-CONT");
    until_ready(side);
    assert!(saw.try_recv().is_err(), "nothing more went out");
}
