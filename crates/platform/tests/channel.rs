//! Events of the command channel: order, gaps, invalid events, and the ids of servers.

use cloverhollow::ListMode;
use cloverhollow_platform::channel::{ChannelError, ServerDirectory};
use cloverhollow_session::{ListUpdate, WireState, MAX_SERVERS};
use serde_json::{json, Value};

const NOW: u64 = 1_790_000_000_000;

fn event(cursor: u64, snapshot: bool, servers: &[(&str, &str, u64)]) -> Value {
    let entry = |(name, status, since): &(&str, &str, u64)| {
        json!({"name": name, "address": "10.1.0.9:5070", "zone": "east", "type": "std", "group": 2,
            "status": status, "weight": 4, "since_ms": since})
    };
    let endpoints: Vec<_> = servers.iter().map(entry).collect();
    json!({"cursor": cursor, "nodes": {"index": 7, "snapshot": snapshot, "endpoints": endpoints}})
}

fn apply(directory: &mut ServerDirectory, value: Value) -> Result<Option<ListUpdate>, ChannelError> {
    directory.apply(ServerDirectory::parse_update(&value.to_string())?, NOW)
}

#[test]
fn events_are_applied_once_in_order_and_not_after_a_gap() {
    let mut directory = ServerDirectory::default();
    let first =
        apply(&mut directory, event(41, true, &[("a", "in_service", 0), ("b", "in_service", NOW - 500)]));
    let first = first.unwrap().unwrap();
    assert_eq!((first.mode, first.version, directory.cursor()), (ListMode::Full, 41, 41));
    assert_eq!((first.entries[0].started_ms_ago, first.entries[1].started_ms_ago), (None, Some(500)));
    let (a, b) = (directory.server_id("a").unwrap(), directory.server_id("b").unwrap());
    assert_ne!(a, b);
    let update = event(42, false, &[("a", "terminating", 0)]);
    let patch = apply(&mut directory, update.clone()).unwrap().unwrap();
    assert_eq!(
        (patch.mode, patch.entries[0].id, patch.entries[0].state),
        (ListMode::Patch, a, WireState::Draining)
    );
    assert!(apply(&mut directory, update).unwrap().is_none(), "a repeated event");
    let gap = apply(&mut directory, event(44, false, &[("a", "terminated", 0)])).unwrap_err();
    assert!(matches!(gap, ChannelError::Gap { cursor: 44, last_cursor: 42 }));
    assert_eq!((directory.cursor(), directory.server_id("a")), (42, Some(a)), "unchanged");
    assert!(
        apply(&mut directory, json!({"cursor": 43})).unwrap().is_none(),
        "an event that does not concern the list"
    );
    assert!(apply(&mut directory, event(44, false, &[("a", "terminated", 0)])).unwrap().is_some());
    assert_eq!(directory.server_id("a"), None, "a removed name is not listed");
    apply(&mut directory, event(45, false, &[("a", "in_service", NOW)])).unwrap();
    assert_ne!(
        directory.server_id("a"),
        Some(a),
        "listed again with another start time, it is another server"
    );
}

#[test]
fn a_later_start_time_under_the_same_name_is_a_new_incarnation() {
    let mut directory = ServerDirectory::default();
    apply(&mut directory, event(1, true, &[("a", "in_service", 0)])).unwrap();
    let update = apply(&mut directory, event(2, false, &[("a", "in_service", NOW - 100)])).unwrap().unwrap();
    assert_eq!((update.entries[0].incarnation, update.entries[0].started_ms_ago), (NOW - 100, Some(100)));
}

#[test]
fn invalid_events_change_nothing_and_are_reported_with_their_cursor() {
    for bad in ["", "{", "[]", "{\"cursor\":-1}"] {
        assert!(matches!(ServerDirectory::parse_update(bad), Err(ChannelError::Syntax(_))), "{bad}");
    }
    let mut directory = ServerDirectory::default();
    apply(&mut directory, event(6, true, &[("a", "in_service", 0), ("b", "in_service", 0)])).unwrap();
    let known = (directory.server_id("a"), directory.server_id("b"));
    let cases = [
        ("weight", json!(0), "event 7: the weight of server `b` is not above 0 and at most 1000000000"),
        ("weight", json!(-4), "event 7: the weight of server `b`"),
        ("weight", json!(1e300), "event 7: the weight of server `b`"),
        ("weight", json!("4"), "event 7: invalid type: string \"4\", expected f64"),
        ("group", json!(u64::MAX), "event 7: the group of server `b` is above"),
        ("group", json!(-1), "event 7: invalid value"),
        ("status", json!("resting"), "event 7: unknown variant `resting`"),
        ("address", json!("here"), "event 7: invalid socket address syntax"),
        ("address", json!("10.1.0.9"), "event 7: invalid socket address syntax"),
        ("name", json!(null), "event 7: invalid type: null"),
        ("since_ms", json!(-1), "event 7: invalid value"),
    ];
    for (field, value, want) in cases {
        // The first entry is valid, but an event is applied as a whole or not at all.
        let mut bad = event(7, false, &[("a", "terminated", 0), ("b", "terminating", 0)]);
        bad["nodes"]["endpoints"][1][field] = value.clone();
        let error = apply(&mut directory, bad).unwrap_err().to_string();
        assert!(error.starts_with(want), "{field} {value}: {error}");
        assert_eq!(
            (directory.cursor(), directory.server_id("a"), directory.server_id("b")),
            (6, known.0, known.1),
            "{field} {value}"
        );
    }
    let good = event(7, false, &[("a", "terminated", 0), ("b", "terminating", 0)]);
    assert!(apply(&mut directory, good).unwrap().is_some(), "a valid event with the same cursor");
}

/// Guards against forgetting a name when one event removes a server and lists another under its name.
#[test]
fn a_name_removed_and_listed_in_one_event_is_another_server() {
    let mut directory = ServerDirectory::default();
    apply(&mut directory, event(1, true, &[("a", "in_service", 0)])).unwrap();
    let old = directory.server_id("a").unwrap();
    let swap = event(2, false, &[("a", "terminated", 0), ("a", "in_service", NOW)]);
    let entries = apply(&mut directory, swap).unwrap().unwrap().entries;
    let new = directory.server_id("a").expect("server is listed");
    assert_ne!(new, old);
    let reported: Vec<_> = entries.iter().map(|e| (e.id, e.state)).collect();
    assert_eq!(reported, [(old, WireState::Gone), (new, WireState::Serving)]);
    let last = event(3, false, &[("a", "terminating", NOW)]);
    assert_eq!(
        apply(&mut directory, last).unwrap().unwrap().entries[0].id,
        new,
        "the new server keeps its id"
    );
}

#[test]
fn patches_cannot_exceed_the_maximum_number_of_servers() {
    let patch = |cursor: u64, names: std::ops::Range<usize>, status: &str| {
        let names: Vec<_> = names.map(|n| n.to_string()).collect();
        let servers: Vec<_> = names.iter().map(|n| (n.as_str(), status, 0)).collect();
        event(cursor, cursor == 1, &servers)
    };
    let mut directory = ServerDirectory::default();
    apply(&mut directory, patch(1, 0..MAX_SERVERS - 1, "in_service")).unwrap();
    let over = apply(&mut directory, patch(2, MAX_SERVERS - 1..MAX_SERVERS + 1, "in_service"));
    assert!(matches!(over, Err(ChannelError::TooManyServers { cursor: 2 })));
    assert_eq!((directory.cursor(), directory.server_id(&MAX_SERVERS.to_string())), (1, None), "unchanged");
    apply(&mut directory, patch(2, MAX_SERVERS - 1..MAX_SERVERS, "in_service")).unwrap();
    apply(&mut directory, patch(3, 0..1, "terminated")).unwrap();
    apply(&mut directory, patch(4, MAX_SERVERS..MAX_SERVERS + 1, "in_service")).unwrap();
}

fn server_id_after(
    directory: &mut ServerDirectory,
    cursor: u64,
    snapshot: bool,
    servers: &[(&str, &str, u64)],
) -> Option<u64> {
    apply(directory, event(cursor, snapshot, servers)).unwrap();
    directory.server_id("a")
}

/// Guards against a second id for a process that is listed again: lines on its older connections were then dropped
/// (issue 44).
#[test]
fn a_process_that_leaves_and_returns_keeps_its_id() {
    let mut directory = ServerDirectory::default();
    let first = server_id_after(&mut directory, 1, true, &[("a", "in_service", NOW), ("b", "in_service", 0)]);
    assert!(first.is_some());
    assert_eq!(server_id_after(&mut directory, 2, false, &[("a", "terminated", NOW)]), None);
    assert_eq!(server_id_after(&mut directory, 3, false, &[("a", "in_service", NOW)]), first, "by patches");
    assert_eq!(server_id_after(&mut directory, 4, true, &[("b", "in_service", 0)]), None);
    assert_eq!(server_id_after(&mut directory, 5, true, &[("a", "terminating", NOW)]), first, "by snapshots");
    let both = [("a", "terminated", NOW), ("a", "in_service", NOW)];
    assert_eq!(server_id_after(&mut directory, 6, false, &both), first, "in one event");
    assert_eq!(server_id_after(&mut directory, 7, false, &[("a", "terminated", NOW)]), None);
    assert_ne!(
        server_id_after(&mut directory, 8, false, &[("a", "in_service", NOW + 1)]),
        first,
        "another start time"
    );
}

#[test]
fn a_departed_server_is_forgotten_when_unused() {
    let mut directory = ServerDirectory::default();
    let first = server_id_after(&mut directory, 1, true, &[("a", "in_service", 0)]);
    server_id_after(&mut directory, 2, false, &[("a", "terminated", 0)]);
    directory.forget_departed(|server| Some(server) == first);
    assert!(directory.has_departed());
    directory.forget_departed(|_| false);
    assert!(!directory.has_departed());
    assert_ne!(server_id_after(&mut directory, 3, false, &[("a", "in_service", 0)]), first);
}

/// The process at the former address is another one, and the same event removes it.
#[test]
fn a_name_listed_at_another_address_is_another_server() {
    let mut directory = ServerDirectory::default();
    let first = server_id_after(&mut directory, 1, true, &[("a", "in_service", 0)]).unwrap();
    let mut moved = event(2, false, &[("a", "in_service", 0)]);
    moved["nodes"]["endpoints"][0]["address"] = json!("10.1.0.10:5070");
    let entries = apply(&mut directory, moved).unwrap().unwrap().entries;
    let second = directory.server_id("a").unwrap();
    let reported: Vec<_> = entries.iter().map(|e| (e.id, e.state, e.address.to_string())).collect();
    let (old, new) = ("10.1.0.9:5070".to_owned(), "10.1.0.10:5070".to_owned());
    assert_eq!(reported, [(first, WireState::Gone, old), (second, WireState::Serving, new)]);
    assert_ne!(first, second);
    assert_eq!(
        server_id_after(&mut directory, 3, false, &[("a", "in_service", 0)]),
        Some(first),
        "listed at its first address again"
    );
}
