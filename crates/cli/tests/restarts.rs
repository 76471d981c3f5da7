//! Processes of one front, in succession or two at once: after SIGKILL a front recovers its log of paid set-ups, or
//! refuses paid sessions where the log cannot be trusted.

mod common;

use common::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver};

/// Starts a front and waits until it has a server list.
fn start_ready_front(config: &Path) -> (ProcessGuard, SocketAddr, SocketAddr) {
    let (process, address, side) = start_front(config);
    wait_until_ready(side);
    (process, address, side)
}

/// Starts a server and discovery; returns a directory, the events of the server and the settings file of a front.
fn start_site(name: &str, keep_options: &str) -> (PathBuf, Receiver<ServerEvent>, PathBuf) {
    let dir = temp_dir(name);
    let (tx, events) = channel();
    let config = write_settings(&dir, start_discovery(start_server(tx)), keep_options);
    (dir, events, config)
}

fn kill(mut process: ProcessGuard) {
    process.kill().unwrap();
    process.wait().unwrap();
}

/// Headers of the first request of a session.
const SESSION_START: &str = "cmcd-session: sid=\"one\"\r\ncmcd-request: su\r\n";

/// A paid set-up is in progress when its front is killed. A later process must not repeat it for the same session id.
#[test]
fn paid_set_up_in_progress_at_a_kill_is_not_repeated_by_later_processes() {
    let (_dir, events, config) = start_site("paid-process", "");
    let (process, address, _) = start_ready_front(&config);
    let _viewer = send_get(address, "/club/paid/t/0", SESSION_START);
    assert_eq!(events.recv_timeout(TIMEOUT).unwrap(), ServerEvent::Setup("one".into()));
    kill(process);
    assert_eq!(events.recv_timeout(TIMEOUT).unwrap(), ServerEvent::Closed);
    for restart in 0..2 {
        let (process, address, _) = start_ready_front(&config);
        let again = read_response(send_get(address, "/club/paid/t/0", SESSION_START));
        assert!(
            again.starts_with("HTTP/1.1 502") && again.contains("set-up-before"),
            "restart {restart}: {again}"
        );
        let other = SESSION_START.replace("one", &format!("new-{restart}"));
        let new = read_response(send_get(address, "/club/paid/t/0", &other));
        assert!(new.starts_with("HTTP/1.1 200"), "restart {restart}: {new}");
        assert_eq!(events.recv_timeout(TIMEOUT).unwrap(), ServerEvent::Setup(format!("new-{restart}")));
        kill(process);
    }
    assert!(events.try_recv().is_err(), "no other set-up was sent");
}

/// A log of paid set-ups that is missing, corrupt or an old copy does not prove what earlier processes sent: paid
/// sessions are refused.
#[test]
fn paid_sessions_are_refused_after_a_missing_corrupt_or_outdated_log() {
    type Damage = fn(&std::path::Path);
    let ways: [(&str, Damage); 3] = [
        ("missing", |log| std::fs::remove_file(log).unwrap()),
        ("corrupt", |log| {
            let mut bytes = std::fs::read(log).unwrap();
            bytes[20] ^= 0xff;
            std::fs::write(log, bytes).unwrap();
        }),
        // As an old copy put back: the file changed long after its last record was written.
        ("outdated", |log| {
            std::thread::sleep(std::time::Duration::from_millis(2_200));
            let bytes = std::fs::read(log).unwrap();
            std::fs::write(log, bytes).unwrap();
        }),
    ];
    for (name, damage) in ways {
        let (dir, _events, config) = start_site(&format!("damaged-{name}"), "");
        let (process, _, _) = start_ready_front(&config);
        kill(process);
        damage(&dir.join("front.keep.deeds"));
        let (process, address, side) = start_ready_front(&config);
        let paid = read_response(send_get(address, "/club/paid/t/0", SESSION_START));
        assert!(paid.starts_with("HTTP/1.1 502") && paid.contains("unproven"), "{name}: {paid}");
        let health = read_response(send_get(side, "/health", ""));
        assert!(!health.contains("earlier lives are proven"), "{name}: {health}");
        kill(process);
    }
}

#[test]
fn second_process_of_one_front_does_not_start_and_the_first_keeps_running() {
    let (_dir, events, config) = start_site("twice", "");
    let (process, address, _) = start_ready_front(&config);
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_cloverhollow"))
        .args(["serve", "--config"])
        .arg(&config)
        .output()
        .unwrap();
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(1), "{error}");
    assert!(error.contains("another process of this front holds it"), "{error}");
    // The store and the log of the first process are unchanged.
    let _viewer = send_get(address, "/club/paid/t/0", SESSION_START);
    assert_eq!(events.recv_timeout(TIMEOUT).unwrap(), ServerEvent::Setup("one".into()));
    kill(process);
    let (process, address, _) = start_ready_front(&config);
    let again = read_response(send_get(address, "/club/paid/t/0", SESSION_START));
    assert!(again.contains("set-up-before"), "{again}");
    kill(process);
}

#[test]
fn front_that_crashes_repeatedly_reports_it_and_sends_viewers_a_retry_after() {
    let dir = temp_dir("loop");
    let (tx, _events) = channel();
    // The window is one hour, so that all crashes count even on a slow machine.
    let restarts = ", restarts: {window_ms: 3600000, free: 2, first_ms: 60000, most_ms: 60000}";
    let config = write_settings(&dir, start_discovery(start_server(tx)), restarts);
    for _ in 0..3 {
        let (process, _, _) = start_ready_front(&config);
        kill(process);
    }
    let (process, address, side) = start_front(&config);
    let health = read_response(send_get(side, "/health", ""));
    assert!(
        health.starts_with("HTTP/1.1 503") && health.contains("3 deaths one after the other"),
        "{health}"
    );
    let response = read_response(send_get(address, "/club/paid/t/0", SESSION_START));
    assert!(response.starts_with("HTTP/1.1 503") && response.contains("backing-off"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    kill(process);
}

#[test]
fn front_stopped_by_sigterm_never_backs_off() {
    let restarts = ", restarts: {window_ms: 3600000, free: 0, first_ms: 60000, most_ms: 60000}";
    let (_dir, _events, config) = start_site("in-order", restarts);
    for _ in 0..4 {
        let (mut process, _, _) = start_ready_front(&config);
        let pid = process.id().to_string();
        let sent = std::process::Command::new("kill").args(["-TERM", &pid]).status().unwrap();
        assert!(sent.success() && process.wait().unwrap().success());
    }
}

#[test]
fn on_a_full_disk_paid_set_ups_are_refused_and_health_reports_it() {
    let (_dir, events, config) = start_site("full", "");
    let (process, address, side) = start_front_on_full_disk(&config);
    let health = loop {
        let health = read_response(send_get(side, "/health", ""));
        if health.contains("\"servers_serving\":1") {
            break health;
        }
    };
    assert!(health.contains("paid set-ups cannot be taken down"), "{health}");
    let response = read_response(send_get(address, "/club/paid/t/0", SESSION_START));
    assert!(response.starts_with("HTTP/1.1 503") && response.contains("not-kept"), "{response}");
    assert!(events.try_recv().is_err(), "no set-up was sent");
    kill(process);
}

/// A front is killed while it waits for the knowledge of its peers; the log of the process before is still used.
#[test]
fn crash_during_the_warm_start_keeps_the_log_of_the_previous_process() {
    let (_dir, events, config) = start_site("warming", "");
    let (process, address, _) = start_ready_front(&config);
    let _viewer = send_get(address, "/club/paid/t/0", SESSION_START);
    assert_eq!(events.recv_timeout(TIMEOUT).unwrap(), ServerEvent::Setup("one".into()));
    kill(process);
    // A peer that accepts the request and never responds.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let peers = format!(
        "peers: {{addresses: [\"{}\"], hold_ms: 60000, deadline_ms: 60000, jitter_ms: 0}}\n",
        silent.local_addr().unwrap()
    );
    let text = std::fs::read_to_string(&config).unwrap();
    std::fs::write(&config, text.clone() + &peers).unwrap();
    let (process, _, side) = start_front(&config);
    let _request = silent.accept().unwrap();
    assert!(read_response(send_get(side, "/health", "")).contains("\"level\":\"warming\""));
    kill(process);
    std::fs::write(&config, text).unwrap();
    let (process, address, _) = start_ready_front(&config);
    let again = read_response(send_get(address, "/club/paid/t/0", SESSION_START));
    assert!(again.starts_with("HTTP/1.1 502") && again.contains("set-up-before"), "{again}");
    kill(process);
}

fn signal(process: &ProcessGuard, name: &str) {
    let sent = std::process::Command::new("kill").args([name, &process.id().to_string()]).status().unwrap();
    assert!(sent.success());
}

/// A front is stopped with SIGSTOP past the deadline of a request, in each state of that request.
#[test]
fn front_stopped_past_a_deadline_responds_once_and_repeats_no_set_up() {
    // Longer than the deadline of 1.5 s.
    let pause = std::time::Duration::from_millis(2_500);
    let (_dir, events, config) = start_site("stopped", "");
    let text = std::fs::read_to_string(&config).unwrap().replace("deadline_ms: 15000", "deadline_ms: 1500");
    std::fs::write(&config, text).unwrap();
    let (process, address, side) = start_ready_front(&config);
    // Stopped while a paid set-up is in progress: its deadline passes meanwhile.
    let viewer = send_get(address, "/club/paid/t/0", SESSION_START);
    assert_eq!(events.recv_timeout(TIMEOUT).unwrap(), ServerEvent::Setup("one".into()));
    signal(&process, "-STOP");
    std::thread::sleep(pause);
    signal(&process, "-CONT");
    let answer = read_response(viewer);
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    assert_eq!(events.recv_timeout(TIMEOUT).unwrap(), ServerEvent::Closed);
    // Stopped before a request is read: it is then handled like any other.
    let again = read_response(send_get(address, "/club/paid/t/0", SESSION_START));
    assert!(again.contains("set-up-before"), "{again}");
    signal(&process, "-STOP");
    let late = send_get(address, "/club/paid/t/0", &SESSION_START.replace("one", "late"));
    std::thread::sleep(pause);
    signal(&process, "-CONT");
    let answer = read_response(late);
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    // The earlier time-out may have suspended the server: then the viewer is refused and no set-up is sent.
    let mut setups = Vec::new();
    if answer.starts_with("HTTP/1.1 200") {
        setups.push(events.recv_timeout(TIMEOUT).unwrap());
    }
    assert!(setups.iter().all(|s| *s == ServerEvent::Setup("late".into())), "{setups:?}");
    // Stopped while idle, then queried at the side address.
    signal(&process, "-STOP");
    std::thread::sleep(pause);
    signal(&process, "-CONT");
    wait_until_ready(side);
    assert!(events.try_recv().is_err(), "no further set-up was sent");
}
