//! The server list, what bounds a front, and how a server's readings are paced.

mod common;

use cloverhollow::ListMode;
use cloverhollow_session::*;
use common::*;

#[test]
fn a_server_named_again_after_it_was_gone_is_used_again_and_cold_if_it_started() {
    let mut core = core();
    core.step(DAY, [serving(1)]);
    core.step(DAY + ms(10), [list(ListMode::Full, vec![])]);
    assert_eq!(words(&core.step(DAY + ms(20), [call(1, "a", "clip")])), ["1 refused no-servers"]);
    let mut back = server(1, WireState::Serving);
    core.step(DAY + ms(30), [list(ListMode::Patch, vec![back.clone()])]);
    sent(&core.step(DAY + ms(40), [call(2, "b", "clip")]));
    // A new process, told as an age: cold, and the age told anew is no further start.
    (back.incarnation, back.started_ms_ago) = (2, Some(100));
    core.step(DAY + ms(50), [list(ListMode::Patch, vec![back.clone()])]);
    let mut burst: Vec<_> = (10..30).map(|i| call(i, &format!("c{i}"), "clip")).collect();
    let out = core.step(DAY + ms(60), std::mem::take(&mut burst));
    let sent = words(&out).iter().filter(|w| w.starts_with("send")).count();
    assert!(sent <= 2, "{sent} set-ups at once to a server that has just started");
    let before = core.server_list().save_for_test();
    back.started_ms_ago = Some(160);
    core.step(DAY + ms(90), [list(ListMode::Patch, vec![back])]);
    assert_eq!(core.server_list().save_for_test(), before);
}

/// Starts as the list keeps them.
trait SaveForTest {
    fn save_for_test(&self) -> Vec<Option<u64>>;
}

impl SaveForTest for ServerList {
    fn save_for_test(&self) -> Vec<Option<u64>> {
        self.to_saved(DAY + ms(1000)).servers.iter().map(|s| s.started_ms_ago).collect()
    }
}

#[test]
fn discovery_away_at_the_start_refuses_at_once_until_a_list_comes() {
    let mut core = core();
    assert_eq!(words(&core.step(DAY, [call(1, "a", "paid")])), ["1 refused no-servers"]);
    core.step(DAY + ms(5), [Input::ListUpdate(ListUpdate::broken())]);
    let saved = SavedList { format: 1, version: 4, servers: vec![server(1, WireState::Serving)] };
    let text = serde_json::to_string(&saved).unwrap();
    let news = SavedList::read(&text).unwrap().into_update(ms(10_000));
    core.step(DAY + ms(10), [Input::ListUpdate(news)]);
    sent(&core.step(DAY + ms(20), [call(2, "a", "paid")]));
    for bad in ["", "{}", "{\"format\":2,\"version\":1,\"servers\":[]}", &text[..text.len() / 2]] {
        assert!(SavedList::read(bad).is_err(), "{bad}");
    }
}

#[test]
fn a_feed_takes_patches_in_order_and_nothing_across_a_gap() {
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
    let heavy = r#"{"kind":"whole","version":9,"servers":[{"id":1,"address":"127.0.0.1:1","state":"serving","weight":-1}]}"#;
    assert_eq!(feed.read(heavy), Err(FeedError::InvalidWeight));
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
fn sessions_are_bounded() {
    let mut core = core();
    core.step(DAY, [serving(3)]);
    let calls: Vec<_> = (0..60).map(|i| call(i, &format!("s{i}"), "clip")).collect();
    let out = words(&core.step(DAY, calls));
    assert!(core.session_count() <= 50);
    assert!(out.iter().any(|w| w.ends_with("front-full")), "{out:?}");
}

#[test]
fn readings_of_a_server_are_paced_and_short_delivery_ends_once() {
    let g = ReportThrottle::default();
    let load = |share: f64| Load { link: Some(0.5), rack: None, share: Some(share) };
    let due = |at: u64, share: f64| g.take_due(ms(at), load(share), ms(2000), ms(1000));
    assert_eq!(due(1000, 1.0), Some(Load { link: Some(0.5), ..Load::default() }));
    assert_eq!(due(1500, 1.0), None);
    assert_eq!(due(1600, 0.5).and_then(|l| l.share), Some(0.5), "short at once");
    assert_eq!(due(1700, 0.5), None);
    assert_eq!(due(2700, 0.4).and_then(|l| l.share), Some(0.4));
    assert_eq!(due(2800, 1.0).and_then(|l| l.share), Some(1.0), "once when it is over");
    assert_eq!(due(2900, 1.0), None);
    assert!(due(3100, 1.0).is_some_and(|l| l.link.is_some() && l.share.is_none()));
}
