//! Releases whose viewer's connection broke.

use cloverhollow_platform::standing::{ConnId, Release};
use cloverhollow_platform::told_again::{Unproven, READ};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn release(conn: u64, sid: &str) -> Release {
    Release { conn: ConnId(conn), sid: sid.into(), cause: 16 }
}

#[test]
fn what_was_written_lately_on_a_connection_that_ended_is_told_again_once() {
    let mut unproven = Unproven::default();
    unproven.wrote(NOW, release(1, "a"));
    unproven.wrote(NOW, release(2, "b"));
    assert_eq!(unproven.ended(NOW + READ, ConnId(1)), [release(1, "a")]);
    assert_eq!(unproven.ended(NOW + READ, ConnId(1)), []);
    assert_eq!(unproven.ended(NOW + READ * 2, ConnId(2)), [], "it was read");
}

#[test]
fn what_its_viewer_has_heard_is_not_told_again() {
    let mut unproven = Unproven::default();
    unproven.wrote(NOW, release(1, "a"));
    unproven.heard("a");
    assert_eq!(unproven.ended(NOW, ConnId(1)), []);
}
