//! Who is owed what on which connection.

use cloverhollow_platform::lines::cause;
use cloverhollow_platform::standing::{ConnId, Left, Release, Standing};
use cloverhollow_session::{SessionId, ViewerId};
use std::time::Duration;

const SERVER: u64 = 7;

fn conns(n: u64) -> Standing {
    let mut s = Standing::default();
    (1..=n).for_each(|c| s.opened(ConnId(c), Duration::ZERO));
    s
}

/// A session that was asked for on that connection, and stands.
fn stand(s: &mut Standing, sid: &str, conn: u64) -> SessionId {
    let (sid, viewer) = (SessionId::from(sid), ViewerId(conn * 100 + sid.len() as u64));
    s.ask(&sid, ConnId(conn), viewer);
    let (at, of) = s.answered(viewer, Some((SERVER, Duration::from_secs(5)))).unwrap();
    assert_eq!((at, of), (ConnId(conn), sid.clone()));
    s.usual(at);
    sid
}

fn to(conn: u64, sid: &SessionId, cause: i64) -> Option<Release> {
    Some(Release { conn: ConnId(conn), sid: sid.clone(), cause })
}

#[test]
fn a_release_goes_on_its_own_connection_and_names_the_servers_cause() {
    let mut s = conns(2);
    let sid = stand(&mut s, "a", 1);
    assert!(!s.released(SERVER + 1, &sid, cause::DONE), "another server has no say");
    assert!(s.released(SERVER, &sid, cause::DONE));
    assert!(!s.is_held(&sid));
    assert_eq!(s.over(&sid), to(1, &sid, cause::DONE));
    assert_eq!((s.over(&sid), s.knows(&sid), s.any_at(SERVER)), (None, false, false));
}

/// Seen on sockets: sessions handed over at a start had no connection of their own, and their releases went on
/// the newest, which a test had opened and closed.
#[test]
fn a_connection_that_only_carried_a_test_gets_no_release() {
    let mut s = conns(3);
    let sid = SessionId::from("handed-over");
    s.adopt(&sid, ConnId(1), SERVER, Duration::ZERO);
    s.closed(ConnId(1));
    stand(&mut s, "b", 2);
    s.spoke(ConnId(3)); // a test
    s.released(SERVER, &sid, cause::DONE);
    assert_eq!(s.over(&sid), to(2, &sid, cause::DONE));
}

#[test]
fn a_release_without_a_connection_waits_for_the_next_that_is_used() {
    let mut s = conns(1);
    let sid = stand(&mut s, "a", 1);
    assert!(s.closed(ConnId(1)).is_empty(), "a session that stands belongs to no connection");
    s.released(SERVER, &sid, cause::RESET);
    assert_eq!((s.over(&sid), s.owed()), (None, 1));
    s.opened(ConnId(2), Duration::ZERO);
    assert_eq!(s.usual(ConnId(2)), to(2, &sid, cause::RESET).into_iter().collect::<Vec<_>>());
    assert_eq!(s.owed(), 0);
}

#[test]
fn one_that_is_being_closed_or_holds_nothing_is_used_last() {
    let mut s = conns(3);
    let (a, b) = (stand(&mut s, "a", 1), stand(&mut s, "b", 2));
    stand(&mut s, "ccc", 3);
    s.closing(ConnId(2));
    s.over(&a);
    assert_eq!(
        s.over(&b),
        to(3, &b, cause::RESET),
        "its own is being closed, that of `a` holds nothing any more"
    );
}

#[test]
fn a_viewer_that_left_is_owed_nothing() {
    let mut s = conns(1);
    let sid = stand(&mut s, "a", 1);
    assert_eq!(s.left(&sid), Left::Stood);
    assert!(s.is_held(&sid), "its server is still to be told");
    assert_eq!(s.over(&sid), None);
    let asked = SessionId::from("b");
    s.ask(&asked, ConnId(1), ViewerId(9));
    assert_eq!((s.open(), s.open_on(ConnId(1))), (1, 1));
    assert_eq!(s.left(&asked), Left::Asked(ViewerId(9)));
    assert_eq!((s.open(), s.open_on(ConnId(1)), s.left(&asked)), (0, 0, Left::Unknown));
    assert_eq!(s.answered(ViewerId(9), None), None, "no answer is owed any more");
}

#[test]
fn a_close_gives_up_what_is_open_and_one_moved_by_its_server_is_owed_no_release() {
    let mut s = conns(2);
    let (a, b) = (SessionId::from("a"), stand(&mut s, "b", 2));
    s.ask(&a, ConnId(1), ViewerId(1));
    assert_eq!(s.closed(ConnId(1)), [(ViewerId(1), a)]);
    assert!(s.released(SERVER, &b, cause::CANCELLED));
    assert_eq!(s.over(&b), None);
}

#[test]
fn where_there_are_too_many_the_silent_go_first_and_never_one_with_a_set_up_open() {
    let mut s = conns(4);
    s.ask(&SessionId::from("a"), ConnId(1), ViewerId(1));
    s.spoke(ConnId(1));
    s.spoke(ConnId(2));
    let now = Duration::from_secs(1);
    assert_eq!(
        conns(3).spare(Duration::ZERO),
        Some(ConnId(1)),
        "of a crowd that came in one moment the first"
    );
    assert_eq!(s.spare(now), Some(ConnId(3)));
    assert_eq!(s.spare(Duration::ZERO), Some(ConnId(2)), "new ones have had no time to say anything");
    assert!(s.closing(ConnId(4)).is_empty());
    assert_eq!(s.spare(now), Some(ConnId(4)));
    for conn in [4, 3, 2] {
        s.closed(ConnId(conn));
    }
    assert_eq!(s.spare(now), None);
    // What can't be trusted is closed whatever is open on it, and the module hears of that at once.
    assert_eq!(s.closing(ConnId(1)), [(ViewerId(1), SessionId::from("a"))]);
    assert_eq!((s.spare(now), s.open()), (Some(ConnId(1)), 0));
}

#[test]
fn what_stood_before_a_servers_start_is_told_apart() {
    let mut s = conns(1);
    let old = stand(&mut s, "old", 1);
    let young = SessionId::from("younger");
    s.adopt(&young, ConnId(1), SERVER, Duration::from_secs(9));
    assert_eq!(s.at(SERVER, Duration::from_secs(8)), [old]);
    assert_eq!(s.at(SERVER, Duration::MAX).len(), 2);
}
