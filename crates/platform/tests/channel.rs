//! Events of the command channel, in order and out of it.

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

fn take(d: &mut ServerDirectory, value: Value) -> Result<Option<ListUpdate>, ChannelError> {
    d.apply(ServerDirectory::parse_update(&value.to_string())?, NOW)
}

#[test]
fn events_are_taken_in_order_once_and_never_over_a_gap() {
    let mut d = ServerDirectory::default();
    let first = take(&mut d, event(41, true, &[("a", "in_service", 0), ("b", "in_service", NOW - 500)]));
    let first = first.unwrap().unwrap();
    assert_eq!((first.mode, first.version, d.cursor()), (ListMode::Full, 41, 41));
    assert_eq!((first.entries[0].started_ms_ago, first.entries[1].started_ms_ago), (None, Some(500)));
    let (a, b) = (d.server_id("a").unwrap(), d.server_id("b").unwrap());
    assert_ne!(a, b);
    let again = event(42, false, &[("a", "terminating", 0)]);
    let patch = take(&mut d, again.clone()).unwrap().unwrap();
    assert_eq!(
        (patch.mode, patch.entries[0].id, patch.entries[0].state),
        (ListMode::Patch, a, WireState::Draining)
    );
    assert!(take(&mut d, again).unwrap().is_none(), "told twice");
    let gap = take(&mut d, event(44, false, &[("a", "terminated", 0)])).unwrap_err();
    assert!(matches!(gap, ChannelError::Gap { cursor: 44, last_cursor: 42 }));
    assert_eq!((d.cursor(), d.server_id("a")), (42, Some(a)), "nothing has changed");
    assert!(take(&mut d, json!({"cursor": 43})).unwrap().is_none(), "an event about something else");
    assert!(take(&mut d, event(44, false, &[("a", "terminated", 0)])).unwrap().is_some());
    assert_eq!(d.server_id("a"), None, "names that are gone are let go");
    take(&mut d, event(45, false, &[("a", "in_service", NOW)])).unwrap();
    assert_ne!(d.server_id("a"), Some(a), "and come again as another server");
}

#[test]
fn a_later_start_under_the_same_name_is_another_process() {
    let mut d = ServerDirectory::default();
    take(&mut d, event(1, true, &[("a", "in_service", 0)])).unwrap();
    let news = take(&mut d, event(2, false, &[("a", "in_service", NOW - 100)])).unwrap().unwrap();
    assert_eq!((news.entries[0].incarnation, news.entries[0].started_ms_ago), (NOW - 100, Some(100)));
}

#[test]
fn events_that_can_not_be_used_change_nothing_and_are_named_by_their_number() {
    for bad in ["", "{", "[]", "{\"cursor\":-1}"] {
        assert!(matches!(ServerDirectory::parse_update(bad), Err(ChannelError::Syntax(_))), "{bad}");
    }
    let mut d = ServerDirectory::default();
    take(&mut d, event(6, true, &[("a", "in_service", 0), ("b", "in_service", 0)])).unwrap();
    let known = (d.server_id("a"), d.server_id("b"));
    let faults = [
        ("weight", json!(0), "event 7: the weight of server `b` is not over 0 and up to 1000000000"),
        ("weight", json!(-4), "event 7: the weight of server `b`"),
        ("weight", json!(1e300), "event 7: the weight of server `b`"),
        ("weight", json!("4"), "event 7: invalid type: string \"4\", expected f64"),
        ("group", json!(u64::MAX), "event 7: the group of server `b` is over"),
        ("group", json!(-1), "event 7: invalid value"),
        ("status", json!("resting"), "event 7: unknown variant `resting`"),
        ("address", json!("here"), "event 7: invalid socket address syntax"),
        ("address", json!("10.1.0.9"), "event 7: invalid socket address syntax"),
        ("name", json!(null), "event 7: invalid type: null"),
        ("since_ms", json!(-1), "event 7: invalid value"),
    ];
    for (field, value, want) in faults {
        // The first entry alone could be used: an event is taken whole or not at all.
        let mut bad = event(7, false, &[("a", "terminated", 0), ("b", "terminating", 0)]);
        bad["nodes"]["endpoints"][1][field] = value.clone();
        let error = take(&mut d, bad).unwrap_err().to_string();
        assert!(error.starts_with(want), "{field} {value}: {error}");
        assert_eq!(
            (d.cursor(), d.server_id("a"), d.server_id("b")),
            (6, known.0, known.1),
            "{field} {value}"
        );
    }
    let good = event(7, false, &[("a", "terminated", 0), ("b", "terminating", 0)]);
    assert!(take(&mut d, good).unwrap().is_some(), "the same number, and usable");
}

/// Guards the name of a server that is replaced within one event: it was forgotten with the one that is gone.
#[test]
fn a_name_that_is_gone_and_back_in_one_event_is_another_server() {
    let mut d = ServerDirectory::default();
    take(&mut d, event(1, true, &[("a", "in_service", 0)])).unwrap();
    let old = d.server_id("a").unwrap();
    let swap = event(2, false, &[("a", "terminated", 0), ("a", "in_service", NOW)]);
    let entries = take(&mut d, swap).unwrap().unwrap().entries;
    let new = d.server_id("a").expect("it is listed under its name");
    assert_ne!(new, old);
    let told: Vec<_> = entries.iter().map(|e| (e.id, e.state)).collect();
    assert_eq!(told, [(old, WireState::Gone), (new, WireState::Serving)]);
    let last = event(3, false, &[("a", "terminating", NOW)]);
    assert_eq!(take(&mut d, last).unwrap().unwrap().entries[0].id, new, "and stays that one");
}

#[test]
fn a_list_that_grows_by_patches_is_bounded() {
    let patch = |cursor: u64, names: std::ops::Range<usize>, status: &str| {
        let names: Vec<_> = names.map(|n| n.to_string()).collect();
        let servers: Vec<_> = names.iter().map(|n| (n.as_str(), status, 0)).collect();
        event(cursor, cursor == 1, &servers)
    };
    let mut d = ServerDirectory::default();
    take(&mut d, patch(1, 0..MAX_SERVERS - 1, "in_service")).unwrap();
    let over = take(&mut d, patch(2, MAX_SERVERS - 1..MAX_SERVERS + 1, "in_service"));
    assert!(matches!(over, Err(ChannelError::TooManyServers { cursor: 2 })));
    assert_eq!((d.cursor(), d.server_id(&MAX_SERVERS.to_string())), (1, None), "nothing has changed");
    take(&mut d, patch(2, MAX_SERVERS - 1..MAX_SERVERS, "in_service")).unwrap();
    take(&mut d, patch(3, 0..1, "terminated")).unwrap();
    take(&mut d, patch(4, MAX_SERVERS..MAX_SERVERS + 1, "in_service")).unwrap();
}

fn number(
    d: &mut ServerDirectory,
    cursor: u64,
    snapshot: bool,
    servers: &[(&str, &str, u64)],
) -> Option<u64> {
    take(d, event(cursor, snapshot, servers)).unwrap();
    d.server_id("a")
}

/// Issue 44: a process that was listed again got a second number, and what it said on older connections was lost.
#[test]
fn a_process_that_leaves_and_comes_back_keeps_its_number_by_patch_snapshot_and_batch() {
    let mut d = ServerDirectory::default();
    let first = number(&mut d, 1, true, &[("a", "in_service", NOW), ("b", "in_service", 0)]);
    assert!(first.is_some());
    assert_eq!(number(&mut d, 2, false, &[("a", "terminated", NOW)]), None);
    assert_eq!(number(&mut d, 3, false, &[("a", "in_service", NOW)]), first, "by patches");
    assert_eq!(number(&mut d, 4, true, &[("b", "in_service", 0)]), None);
    assert_eq!(number(&mut d, 5, true, &[("a", "terminating", NOW)]), first, "by snapshots");
    let both = [("a", "terminated", NOW), ("a", "in_service", NOW)];
    assert_eq!(number(&mut d, 6, false, &both), first, "in one event");
    assert_eq!(number(&mut d, 7, false, &[("a", "terminated", NOW)]), None);
    assert_ne!(number(&mut d, 8, false, &[("a", "in_service", NOW + 1)]), first, "another start");
}

#[test]
fn a_server_that_left_is_forgotten_once_nothing_uses_it() {
    let mut d = ServerDirectory::default();
    let first = number(&mut d, 1, true, &[("a", "in_service", 0)]);
    number(&mut d, 2, false, &[("a", "terminated", 0)]);
    d.forget_departed(|server| Some(server) == first);
    assert!(d.has_departed());
    d.forget_departed(|_| false);
    assert!(!d.has_departed());
    assert_ne!(number(&mut d, 3, false, &[("a", "in_service", 0)]), first);
}

/// The process at the former address is another one, and has left by the same word.
#[test]
fn a_name_that_is_listed_at_another_address_is_another_server() {
    let mut d = ServerDirectory::default();
    let first = number(&mut d, 1, true, &[("a", "in_service", 0)]).unwrap();
    let mut moved = event(2, false, &[("a", "in_service", 0)]);
    moved["nodes"]["endpoints"][0]["address"] = json!("10.1.0.10:5070");
    let entries = take(&mut d, moved).unwrap().unwrap().entries;
    let second = d.server_id("a").unwrap();
    let told: Vec<_> = entries.iter().map(|e| (e.id, e.state, e.address.to_string())).collect();
    let (old, new) = ("10.1.0.9:5070".to_owned(), "10.1.0.10:5070".to_owned());
    assert_eq!(told, [(first, WireState::Gone, old), (second, WireState::Serving, new)]);
    assert_ne!(first, second);
    assert_eq!(number(&mut d, 3, false, &[("a", "in_service", 0)]), Some(first), "back at the first address");
}
