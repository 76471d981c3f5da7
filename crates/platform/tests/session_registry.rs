//! Pending set-ups, established sessions, and the connections on which releases are written.

use cloverhollow_platform::lines::cause;
use cloverhollow_platform::session_registry::{ConnId, Release, SessionRegistry, TeardownOutcome};
use cloverhollow_session::{SessionId, ViewerId};
use std::time::Duration;

const SERVER: u64 = 7;
const NOW: Duration = Duration::from_secs(20);

fn with_connections(n: u64) -> SessionRegistry {
    let mut registry = SessionRegistry::default();
    (1..=n).for_each(|conn| registry.connection_opened(ConnId(conn), Duration::ZERO));
    registry
}

/// Establishes a session on that connection.
fn establish(registry: &mut SessionRegistry, sid: &str, conn: u64) -> SessionId {
    let (sid, viewer) = (SessionId::from(sid), ViewerId(conn * 100 + sid.len() as u64));
    registry.insert_setup(&sid, ConnId(conn), viewer);
    let (on, answered) = registry.complete_setup(viewer, Some((SERVER, Duration::from_secs(5)))).unwrap();
    assert_eq!((on, answered), (ConnId(conn), sid.clone()));
    registry.mark_session_carrier(on);
    sid
}

fn release_on(conn: u64, sid: &SessionId, cause: i64) -> Option<Release> {
    Some(Release { conn: ConnId(conn), sid: sid.clone(), cause })
}

#[test]
fn a_release_is_written_on_its_own_connection_with_the_servers_cause() {
    let mut registry = with_connections(2);
    let sid = establish(&mut registry, "a", 1);
    assert!(!registry.record_release(SERVER + 1, &sid, cause::DONE), "not established at that server");
    assert!(registry.record_release(SERVER, &sid, cause::DONE));
    assert!(!registry.may_be_held_by_server(&sid));
    assert_eq!(registry.end_session(NOW, &sid), release_on(1, &sid, cause::DONE));
    assert_eq!(
        (registry.end_session(NOW, &sid), registry.contains(&sid), registry.has_sessions_at(SERVER)),
        (None, false, false)
    );
}

/// Guards against losing the release of a session that was handed over after a start: without a connection of its own,
/// the release was written on the newest one, which only carried a ping and was closed.
#[test]
fn a_connection_that_only_carried_a_ping_gets_no_release() {
    let mut registry = with_connections(3);
    let sid = SessionId::from("handed-over");
    registry.adopt(&sid, ConnId(1), SERVER, Duration::ZERO);
    registry.connection_closed(ConnId(1));
    establish(&mut registry, "b", 2);
    registry.message_received(ConnId(3)); // a ping
    registry.record_release(SERVER, &sid, cause::DONE);
    assert_eq!(registry.end_session(NOW, &sid), release_on(2, &sid, cause::DONE));
}

#[test]
fn a_release_waits_for_the_next_session_connection() {
    let mut registry = with_connections(1);
    let sid = establish(&mut registry, "a", 1);
    assert!(
        registry.connection_closed(ConnId(1)).is_empty(),
        "an established session is not tied to a connection"
    );
    registry.record_release(SERVER, &sid, cause::RESET);
    assert_eq!((registry.end_session(NOW, &sid), registry.pending_releases()), (None, 1));
    registry.connection_opened(ConnId(2), Duration::ZERO);
    assert_eq!(
        registry.mark_session_carrier(ConnId(2)),
        release_on(2, &sid, cause::RESET).into_iter().collect::<Vec<_>>()
    );
    assert_eq!(registry.pending_releases(), 0);
}

/// Guards against review case 2, and against a release that is lost on a connection that turns out to be no viewer's.
#[test]
fn a_release_on_a_connection_without_sessions_is_written_again_on_one_with_sessions() {
    for second_carrier in [1, 2] {
        let mut registry = with_connections(3);
        let sid = establish(&mut registry, "a", 3);
        registry.connection_closed(ConnId(3));
        registry.message_received(ConnId(2)); // a ping
        registry.mark_viewer(ConnId(1));
        registry.record_release(SERVER, &sid, cause::DONE);
        assert_eq!(registry.end_session(NOW, &sid), release_on(1, &sid, cause::DONE));
        assert_eq!((registry.offer_waiting_releases(NOW), registry.pending_releases()), (vec![], 1));
        let written_again = registry.mark_session_carrier(ConnId(second_carrier));
        let expected = release_on(second_carrier, &sid, cause::DONE).filter(|r| r.conn != ConnId(1));
        assert_eq!((written_again, registry.pending_releases()), (expected.into_iter().collect(), 0));
    }
}

#[test]
fn a_release_avoids_closing_connections_and_those_without_sessions() {
    let mut registry = with_connections(3);
    let (a, b) = (establish(&mut registry, "a", 1), establish(&mut registry, "b", 2));
    establish(&mut registry, "ccc", 3);
    registry.begin_close(ConnId(2));
    registry.end_session(NOW, &a);
    assert_eq!(
        registry.end_session(NOW, &b),
        release_on(3, &b, cause::RESET),
        "its own connection is being closed, and that of `a` has no session any more"
    );
}

#[test]
fn a_viewer_that_sent_teardown_gets_nothing_more() {
    let mut registry = with_connections(1);
    let sid = establish(&mut registry, "a", 1);
    assert_eq!(registry.teardown(&sid), TeardownOutcome::Established);
    assert!(registry.may_be_held_by_server(&sid), "its server has not released it yet");
    assert_eq!(registry.end_session(NOW, &sid), None);
    let pending = SessionId::from("b");
    registry.insert_setup(&pending, ConnId(1), ViewerId(9));
    assert_eq!((registry.pending_setups(), registry.pending_setups_on(ConnId(1))), (1, 1));
    assert_eq!(registry.teardown(&pending), TeardownOutcome::PendingSetup(ViewerId(9)));
    assert_eq!(
        (registry.pending_setups(), registry.pending_setups_on(ConnId(1)), registry.teardown(&pending)),
        (0, 0, TeardownOutcome::Unknown)
    );
    assert_eq!(registry.complete_setup(ViewerId(9), None), None, "no response is due any more");
}

#[test]
fn a_close_abandons_pending_set_ups_and_a_moved_session_gets_no_release() {
    let mut registry = with_connections(2);
    let (a, b) = (SessionId::from("a"), establish(&mut registry, "b", 2));
    registry.insert_setup(&a, ConnId(1), ViewerId(1));
    assert_eq!(registry.connection_closed(ConnId(1)), [(ViewerId(1), a)]);
    assert!(registry.record_release(SERVER, &b, cause::CANCELLED));
    assert_eq!(registry.end_session(NOW, &b), None);
}

#[test]
fn silent_connections_are_evicted_first_and_those_with_pending_set_ups_never() {
    let mut registry = with_connections(4);
    registry.insert_setup(&SessionId::from("a"), ConnId(1), ViewerId(1));
    registry.message_received(ConnId(1));
    registry.message_received(ConnId(2));
    let now = Duration::from_secs(1);
    assert_eq!(
        with_connections(3).eviction_candidate(Duration::ZERO),
        Some(ConnId(1)),
        "the first of several opened at the same time"
    );
    assert_eq!(registry.eviction_candidate(now), Some(ConnId(3)));
    assert_eq!(
        registry.eviction_candidate(Duration::ZERO),
        Some(ConnId(2)),
        "new ones have had no time for a message"
    );
    assert!(registry.begin_close(ConnId(4)).is_empty());
    assert_eq!(registry.eviction_candidate(now), Some(ConnId(4)));
    for conn in [4, 3, 2] {
        registry.connection_closed(ConnId(conn));
    }
    assert_eq!(registry.eviction_candidate(now), None);
    // A connection with invalid data is closed in spite of its pending set-ups, which are returned at once.
    assert_eq!(registry.begin_close(ConnId(1)), [(ViewerId(1), SessionId::from("a"))]);
    assert_eq!((registry.eviction_candidate(now), registry.pending_setups()), (Some(ConnId(1)), 0));
}

#[test]
fn sessions_established_before_a_time_are_found() {
    let mut registry = with_connections(1);
    let old = establish(&mut registry, "old", 1);
    let newer = SessionId::from("younger");
    registry.adopt(&newer, ConnId(1), SERVER, Duration::from_secs(9));
    assert_eq!(registry.established_before(SERVER, Duration::from_secs(8)), [old]);
    assert_eq!(registry.established_before(SERVER, Duration::MAX).len(), 2);
}
