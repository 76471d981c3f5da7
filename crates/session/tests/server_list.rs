//! The server list, the bound on sessions, and the throttling of load reports.

mod common;

use cloverhollow::ListMode;
use cloverhollow_session::*;
use common::*;

#[test]
fn a_server_that_returns_is_used_again_and_is_cold_after_a_restart() {
    let mut core = core();
    core.step(START, [serving_list(1)]);
    core.step(START + ms(10), [list_update(ListMode::Full, vec![])]);
    assert_eq!(summaries(&core.step(START + ms(20), [arrived(1, "a", "clip")])), ["1 refused no-servers"]);
    let mut back = server(1, WireState::Serving);
    core.step(START + ms(30), [list_update(ListMode::Patch, vec![back.clone()])]);
    sent_setup(&core.step(START + ms(40), [arrived(2, "b", "clip")]));
    // A new process, given by its age, is cold. The next message gives its age once more, which is no restart.
    (back.incarnation, back.started_ms_ago) = (2, Some(100));
    core.step(START + ms(50), [list_update(ListMode::Patch, vec![back.clone()])]);
    let mut burst: Vec<_> = (10..30).map(|i| arrived(i, &format!("c{i}"), "clip")).collect();
    let out = core.step(START + ms(60), std::mem::take(&mut burst));
    let sent = summaries(&out).iter().filter(|w| w.starts_with("send")).count();
    assert!(sent <= 2, "{sent} set-ups at once to a server that has just started");
    let before = core.server_list().saved_ages();
    back.started_ms_ago = Some(160);
    core.step(START + ms(90), [list_update(ListMode::Patch, vec![back])]);
    assert_eq!(core.server_list().saved_ages(), before);
}

/// Ages of the listed servers' processes, as persisted.
trait SavedAges {
    fn saved_ages(&self) -> Vec<Option<u64>>;
}

impl SavedAges for ServerList {
    fn saved_ages(&self) -> Vec<Option<u64>> {
        self.to_saved(START + ms(1000)).servers.iter().map(|s| s.started_ms_ago).collect()
    }
}

#[test]
fn without_discovery_viewers_are_refused_at_once_until_a_list_arrives() {
    let mut core = core();
    assert_eq!(summaries(&core.step(START, [arrived(1, "a", "paid")])), ["1 refused no-servers"]);
    core.step(START + ms(5), [Input::ListUpdate(ListUpdate::broken())]);
    let saved = SavedList { format: 1, version: 4, servers: vec![server(1, WireState::Serving)] };
    let text = serde_json::to_string(&saved).unwrap();
    let update = SavedList::read(&text).unwrap().into_update(ms(10_000));
    core.step(START + ms(10), [Input::ListUpdate(update)]);
    sent_setup(&core.step(START + ms(20), [arrived(2, "a", "paid")]));
    for malformed in ["", "{}", "{\"format\":2,\"version\":1,\"servers\":[]}", &text[..text.len() / 2]] {
        assert!(SavedList::read(malformed).is_err(), "{malformed}");
    }
}

#[test]
fn a_feed_accepts_patches_in_order_and_rejects_gaps() {
    let mut feed = Feed::default();
    let patch = |after: u64, version: u64| {
        format!(r#"{{"kind":"patch","after":{after},"version":{version},"servers":[]}}"#)
    };
    assert!(matches!(feed.read(&patch(0, 1)), Err(FeedError::Gap { .. })), "no list yet");
    assert!(feed.read(r#"{"kind":"whole","version":5,"servers":[]}"#).is_ok());
    assert!(feed.read(&patch(5, 7)).is_ok());
    assert_eq!(feed.read(&patch(5, 8)), Err(FeedError::Gap { after: 5, known: Some(7) }));
    assert_eq!(feed.read(&patch(7, 7)), Err(FeedError::Backwards { version: 7, known: 7 }));
    assert!(matches!(feed.read("{"), Err(FeedError::Syntax(_))));
    let negative_weight = r#"{"kind":"whole","version":9,"servers":[{"id":1,"address":"127.0.0.1:1","state":"serving","weight":-1}]}"#;
    assert_eq!(feed.read(negative_weight), Err(FeedError::InvalidWeight));
}

/// The zone of a server is called `hall` in messages of discovery and in the persisted list.
#[test]
fn a_servers_zone_is_read_and_written_as_hall() {
    let text = r#"{"kind":"whole","version":1,"servers":[{"id":1,"address":"127.0.0.1:1","state":"serving","hall":"east"}]}"#;
    let update = Feed::default().read(text).unwrap();
    assert_eq!(update.entries[0].zone, "east");
    let saved = SavedList { format: 1, version: 1, servers: update.entries };
    assert!(serde_json::to_string(&saved).unwrap().contains(r#""hall":"east""#));
}

#[test]
fn the_number_of_sessions_is_bounded() {
    let mut core = core();
    core.step(START, [serving_list(3)]);
    let requests: Vec<_> = (0..60).map(|i| arrived(i, &format!("s{i}"), "clip")).collect();
    let out = summaries(&core.step(START, requests));
    assert!(core.session_count() <= 50);
    assert!(out.iter().any(|w| w.ends_with("front-full")), "{out:?}");
}

#[test]
fn load_reports_are_throttled_and_the_end_of_short_delivery_is_reported_once() {
    let throttle = ReportThrottle::default();
    let load = |share: f64| Load { link: Some(0.5), rack: None, share: Some(share) };
    let due = |now: u64, share: f64| throttle.take_due(ms(now), load(share), ms(2000), ms(1000));
    assert_eq!(due(1000, 1.0), Some(Load { link: Some(0.5), ..Load::default() }));
    assert_eq!(due(1500, 1.0), None);
    assert_eq!(due(1600, 0.5).and_then(|l| l.share), Some(0.5), "short delivery is reported at once");
    assert_eq!(due(1700, 0.5), None);
    assert_eq!(due(2700, 0.4).and_then(|l| l.share), Some(0.4));
    assert_eq!(due(2800, 1.0).and_then(|l| l.share), Some(1.0), "the end of short delivery is reported once");
    assert_eq!(due(2900, 1.0), None);
    assert!(due(3100, 1.0).is_some_and(|l| l.link.is_some() && l.share.is_none()));
}
