//! A front is killed with SIGKILL while a paid set-up is in progress: the server sees the connection close, the viewer gets
//! no response, and the restarted front, with its persisted state, sets up a new session of that viewer once.

mod common;

use common::*;
use std::sync::mpsc::{channel, Receiver, Sender};

#[test]
fn front_killed_during_a_paid_set_up_sends_no_response_and_sets_up_once_after_restart() {
    let dir = temp_dir("killed");
    let (tx, events): (Sender<ServerEvent>, Receiver<ServerEvent>) = channel();
    let discovery = start_discovery(start_server(tx));
    let config = write_settings(&dir, discovery, "");
    let (mut process, address, side) = start_front(&config);
    wait_until_ready(side);
    let viewer = send_get(address, "/club/paid/t/0", "cmcd-session: sid=\"one\"\r\ncmcd-request: su\r\n");
    assert_eq!(events.recv_timeout(TIMEOUT).unwrap(), ServerEvent::Setup("one".into()));
    process.kill().unwrap();
    process.wait().unwrap();
    assert_eq!(events.recv_timeout(TIMEOUT).unwrap(), ServerEvent::Closed);
    assert_eq!(read_response(viewer), "", "no response, rather than a wrong one");
    let (mut process, address, side) = start_front(&config);
    wait_until_ready(side);
    // A player that continues the old session learns that it may have been set up; a retry under a new session id
    // succeeds.
    let old = read_response(send_get(
        address,
        "/club/paid/t/1",
        "cmcd-session: sid=\"one\"\r\ncmcd-request: bl=2000,sta=p\r\n",
    ));
    assert!(old.starts_with("HTTP/1.1 502") && old.contains("set-up-before"), "{old}");
    let new = read_response(send_get(
        address,
        "/club/paid/t/0",
        "cmcd-session: sid=\"two\"\r\ncmcd-request: su\r\n",
    ));
    assert!(new.starts_with("HTTP/1.1 200") && new.ends_with("play"), "{new}");
    assert_eq!(events.recv_timeout(TIMEOUT).unwrap(), ServerEvent::Setup("two".into()));
    assert!(events.try_recv().is_err(), "no other set-up was sent");
    let _ = process.kill();
    let _ = process.wait();
}
