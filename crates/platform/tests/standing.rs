//! Who is owed what on which connection.

use cloverhollow_platform::lines::cause;
use cloverhollow_platform::session_registry::{ConnId, Release, SessionRegistry, TeardownOutcome};
use cloverhollow_session::{SessionId, ViewerId};
use std::time::Duration;

const SERVER: u64 = 7;

fn conns(n: u64) -> SessionRegistry {
    let mut s = SessionRegistry::default();
    (1..=n).for_each(|c| s.connection_opened(ConnId(c), Duration::ZERO));
    s
}

/// A session that was asked for on that connection, and stands.
fn stand(s: &mut SessionRegistry, sid: &str, conn: u64) -> SessionId {
    let (sid, viewer) = (SessionId::from(sid), ViewerId(conn * 100 + sid.len() as u64));
    s.insert_setup(&sid, ConnId(conn), viewer);
    let (at, of) = s.complete_setup(viewer, Some((SERVER, Duration::from_secs(5)))).unwrap();
    assert_eq!((at, of), (ConnId(conn), sid.clone()));
    s.mark_session_carrier(at);
    sid
}

fn to(conn: u64, sid: &SessionId, cause: i64) -> Option<Release> {
    Some(Release { conn: ConnId(conn), sid: sid.clone(), cause })
}

#[test]
fn a_release_goes_on_its_own_connection_and_names_the_servers_cause() {
    let mut s = conns(2);
    let sid = stand(&mut s, "a", 1);
    assert!(!s.record_release(SERVER + 1, &sid, cause::DONE), "another server has no say");
    assert!(s.record_release(SERVER, &sid, cause::DONE));
    assert!(!s.may_be_held_by_server(&sid));
    assert_eq!(s.end_session(&sid), to(1, &sid, cause::DONE));
    assert_eq!((s.end_session(&sid), s.contains(&sid), s.has_sessions_at(SERVER)), (None, false, false));
}

/// Seen on sockets: sessions handed over at a start had no connection of their own, and their releases went on
/// the newest, which a test had opened and closed.
#[test]
fn a_connection_that_only_carried_a_test_gets_no_release() {
    let mut s = conns(3);
    let sid = SessionId::from("handed-over");
    s.adopt(&sid, ConnId(1), SERVER, Duration::ZERO);
    s.connection_closed(ConnId(1));
    stand(&mut s, "b", 2);
    s.message_received(ConnId(3)); // a test
    s.record_release(SERVER, &sid, cause::DONE);
    assert_eq!(s.end_session(&sid), to(2, &sid, cause::DONE));
}

#[test]
fn a_release_without_a_connection_waits_for_the_next_that_is_used() {
    let mut s = conns(1);
    let sid = stand(&mut s, "a", 1);
    assert!(s.connection_closed(ConnId(1)).is_empty(), "a session that stands belongs to no connection");
    s.record_release(SERVER, &sid, cause::RESET);
    assert_eq!((s.end_session(&sid), s.pending_releases()), (None, 1));
    s.connection_opened(ConnId(2), Duration::ZERO);
    assert_eq!(s.mark_session_carrier(ConnId(2)), to(2, &sid, cause::RESET).into_iter().collect::<Vec<_>>());
    assert_eq!(s.pending_releases(), 0);
}

#[test]
fn one_that_is_being_closed_or_holds_nothing_is_used_last() {
    let mut s = conns(3);
    let (a, b) = (stand(&mut s, "a", 1), stand(&mut s, "b", 2));
    stand(&mut s, "ccc", 3);
    s.begin_close(ConnId(2));
    s.end_session(&a);
    assert_eq!(
        s.end_session(&b),
        to(3, &b, cause::RESET),
        "its own is being closed, that of `a` holds nothing any more"
    );
}

#[test]
fn a_viewer_that_left_is_owed_nothing() {
    let mut s = conns(1);
    let sid = stand(&mut s, "a", 1);
    assert_eq!(s.teardown(&sid), TeardownOutcome::Established);
    assert!(s.may_be_held_by_server(&sid), "its server is still to be told");
    assert_eq!(s.end_session(&sid), None);
    let asked = SessionId::from("b");
    s.insert_setup(&asked, ConnId(1), ViewerId(9));
    assert_eq!((s.pending_setups(), s.pending_setups_on(ConnId(1))), (1, 1));
    assert_eq!(s.teardown(&asked), TeardownOutcome::PendingSetup(ViewerId(9)));
    assert_eq!(
        (s.pending_setups(), s.pending_setups_on(ConnId(1)), s.teardown(&asked)),
        (0, 0, TeardownOutcome::Unknown)
    );
    assert_eq!(s.complete_setup(ViewerId(9), None), None, "no answer is owed any more");
}

#[test]
fn a_close_gives_up_what_is_open_and_one_moved_by_its_server_is_owed_no_release() {
    let mut s = conns(2);
    let (a, b) = (SessionId::from("a"), stand(&mut s, "b", 2));
    s.insert_setup(&a, ConnId(1), ViewerId(1));
    assert_eq!(s.connection_closed(ConnId(1)), [(ViewerId(1), a)]);
    assert!(s.record_release(SERVER, &b, cause::CANCELLED));
    assert_eq!(s.end_session(&b), None);
}

#[test]
fn where_there_are_too_many_the_silent_go_first_and_never_one_with_a_set_up_open() {
    let mut s = conns(4);
    s.insert_setup(&SessionId::from("a"), ConnId(1), ViewerId(1));
    s.message_received(ConnId(1));
    s.message_received(ConnId(2));
    let now = Duration::from_secs(1);
    assert_eq!(
        conns(3).eviction_candidate(Duration::ZERO),
        Some(ConnId(1)),
        "of a crowd that came in one moment the first"
    );
    assert_eq!(s.eviction_candidate(now), Some(ConnId(3)));
    assert_eq!(
        s.eviction_candidate(Duration::ZERO),
        Some(ConnId(2)),
        "new ones have had no time to say anything"
    );
    assert!(s.begin_close(ConnId(4)).is_empty());
    assert_eq!(s.eviction_candidate(now), Some(ConnId(4)));
    for conn in [4, 3, 2] {
        s.connection_closed(ConnId(conn));
    }
    assert_eq!(s.eviction_candidate(now), None);
    // What can't be trusted is closed whatever is open on it, and the module hears of that at once.
    assert_eq!(s.begin_close(ConnId(1)), [(ViewerId(1), SessionId::from("a"))]);
    assert_eq!((s.eviction_candidate(now), s.pending_setups()), (Some(ConnId(1)), 0));
}

#[test]
fn what_stood_before_a_servers_start_is_told_apart() {
    let mut s = conns(1);
    let old = stand(&mut s, "old", 1);
    let young = SessionId::from("younger");
    s.adopt(&young, ConnId(1), SERVER, Duration::from_secs(9));
    assert_eq!(s.established_before(SERVER, Duration::from_secs(8)), [old]);
    assert_eq!(s.established_before(SERVER, Duration::MAX).len(), 2);
}
