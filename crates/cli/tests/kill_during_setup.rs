//! A front process killed outright while a paid set-up is out: the server sees it close, the viewer gets no
//! second word, and the front that comes back, with what it kept, sets that viewer's new session up once.

mod common;

use common::*;
use std::sync::mpsc::{channel, Receiver, Sender};

#[test]
fn a_front_killed_with_a_paid_attempt_out_answers_nothing_and_its_next_life_sets_up_once() {
    let dir = folder("killed");
    let (tx, saw): (Sender<Saw>, Receiver<Saw>) = channel();
    let discovery = discovery(server(tx));
    let config = settings(&dir, discovery, "");
    let (mut child, address, side) = front(&config);
    until_ready(side);
    let viewer = ask(address, "/club/paid/t/0", "cmcd-session: sid=\"one\"\r\ncmcd-request: su\r\n");
    assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Setup("one".into()));
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Closed);
    assert_eq!(whole(viewer), "", "no answer, rather than a wrong one");
    let (mut child, address, side) = front(&config);
    until_ready(side);
    // A player that goes on with the old session is told that it may have been set up; with a new one, as
    // players take for a new try, it plays.
    let old =
        whole(ask(address, "/club/paid/t/1", "cmcd-session: sid=\"one\"\r\ncmcd-request: bl=2000,sta=p\r\n"));
    assert!(old.starts_with("HTTP/1.1 502") && old.contains("set-up-before"), "{old}");
    let new = whole(ask(address, "/club/paid/t/0", "cmcd-session: sid=\"two\"\r\ncmcd-request: su\r\n"));
    assert!(new.starts_with("HTTP/1.1 200") && new.ends_with("play"), "{new}");
    assert_eq!(saw.recv_timeout(LONG).unwrap(), Saw::Setup("two".into()));
    assert!(saw.try_recv().is_err(), "and nothing else was sent");
    let _ = child.kill();
    let _ = child.wait();
}
