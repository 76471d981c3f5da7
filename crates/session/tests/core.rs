//! The core through its interface: one test for each hard case of a session's life.

mod common;

use cloverhollow::ListMode;
use cloverhollow_session::*;
use common::*;

/// A core with servers, and one set-up of that class out.
fn one_out(class: &str) -> (TestCore, Setup<u32>) {
    let mut core = core();
    let out = core.step(DAY, [serving(3), call(1, "s", class)]);
    let setup = sent(&out);
    (core, setup)
}

#[test]
fn a_call_is_set_up_answered_and_routed_and_ends_at_its_idle_time() {
    let (mut core, setup) = one_out("clip");
    assert_eq!((setup.attempt.number, setup.rung, setup.kbps), (0, 3, 16_000));
    let out = core.step(DAY + ms(20), [playing(setup.attempt)]);
    assert_eq!(words(&out), ["1 stream body"]);
    let route = core.routes().get("s").expect("routed");
    assert_eq!((route.server, route.kbps()), (setup.server, 16_000));
    // A later request of the same session that raced its route follows.
    assert_eq!(words(&core.step(DAY + ms(30), [call(2, "s", "clip")])), ["2 follow"]);
    route.touch(DAY + ms(4000));
    assert!(core.step(DAY + ms(5100), []).is_empty(), "heard of 1.1 s ago");
    assert_eq!(words(&core.step(DAY + ms(9001), [])), ["release s"]);
    assert!(core.routes().is_empty() && core.held() == 0);
}

/// Found by a hunt with wires between fronts and servers cut: a player that waited for an object of a silent server was
/// taken for idle, and its seat given to another (rule 5).
#[test]
fn a_session_whose_player_waits_for_an_object_is_not_idle() {
    let (mut core, setup) = one_out("clip");
    core.step(DAY + ms(20), [playing(setup.attempt)]);
    let route = core.routes().get("s").expect("routed").clone();
    let fetching = route.fetch();
    for s in 1..=20 {
        assert!(core.step(DAY + ms(s * 1_000), []).is_empty(), "an object is under way");
    }
    drop(fetching);
    assert_eq!(words(&core.step(DAY + ms(26_000), [])), ["release s"]);
}

#[test]
fn the_players_word_ends_its_session() {
    let (mut core, setup) = one_out("clip");
    core.step(DAY + ms(20), [playing(setup.attempt)]);
    let out =
        core.step(DAY + ms(40), [Input::Over { sid: "s".into(), why: OverWhy::Quit, load: Load::default() }]);
    assert_eq!(words(&out), ["release s"]);
    assert_eq!(core.held(), 0);
}

#[test]
fn an_answer_in_the_same_instant_as_its_time_out_counts() {
    let (mut core, setup) = one_out("clip");
    let due = core.next_due().unwrap();
    let out = core.step(due, [playing(setup.attempt)]);
    assert_eq!(words(&out), ["1 stream body"]);
}

#[test]
fn an_answer_between_recall_and_its_word_counts_and_the_word_does_not() {
    let (mut core, setup) = one_out("clip");
    let due = core.next_due().unwrap();
    assert_eq!(words(&core.step(due, [])), [format!("recall {} TimedOut", setup.attempt)]);
    let out = core.step(due, [playing(setup.attempt), ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(words(&out), ["1 stream body"]);
    assert_eq!(core.held(), 1);
}

#[test]
fn a_late_answer_after_its_end_is_dropped_and_the_server_told() {
    let (mut core, setup) = one_out("clip");
    let due = core.next_due().unwrap();
    core.step(due, []);
    let out = core.step(due, [ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(words(&out)[0], "release s");
    let again = sent(&out);
    assert_ne!(again.server, setup.server);
    assert!(core.step(due, [playing(setup.attempt)]).is_empty(), "the old attempt's answer changes nothing");
    assert_eq!(words(&core.step(due, [playing(again.attempt)])), ["1 stream body"]);
}

#[test]
fn a_paid_set_up_that_may_have_run_fails_and_is_never_set_up_again() {
    for end in [AttemptEnd::Reset, AttemptEnd::Error { status: 500 }, AttemptEnd::Unanswered] {
        let (mut core, setup) = one_out("paid");
        let out = words(&core.step(DAY + ms(10), [ended(setup.attempt, end)]));
        assert_eq!(out[0], "release s");
        assert!(out[1].starts_with("1 failed"), "{out:?}");
        // The same sid again, under any class: still not.
        assert_eq!(words(&core.step(DAY + ms(20), [call(2, "s", "paid")])), ["2 failed set-up-before"]);
        assert_eq!(words(&core.step(DAY + ms(20), [call(3, "s", "clip")])), ["3 failed set-up-before"]);
    }
}

#[test]
fn a_paid_set_up_that_proves_not_to_have_run_is_sent_again_or_refused() {
    for end in [AttemptEnd::NotConnected, AttemptEnd::Full] {
        let (mut core, setup) = one_out("paid");
        let out = core.step(DAY + ms(10), [ended(setup.attempt, end)]);
        let second = sent(&out);
        assert_eq!(second.attempt.number, 1);
        let third = sent(&core.step(DAY + ms(20), [ended(second.attempt, end)]));
        let out = core.step(DAY + ms(30), [ended(third.attempt, end)]);
        assert_eq!(words(&out), ["1 refused no-room"]);
        // Nothing ran: the same sid may come again, and is the module's to decide anew.
        let out = words(&core.step(DAY + ms(9000), [call(2, "s", "paid")]));
        assert_ne!(out, ["2 failed set-up-before"]);
    }
}

#[test]
fn a_paid_session_that_played_is_not_set_up_again_after_its_end() {
    let (mut core, setup) = one_out("paid");
    core.step(DAY + ms(10), [playing(setup.attempt)]);
    core.step(DAY + ms(20), [Input::Lost { request: setup.attempt.request }]);
    assert_eq!(words(&core.step(DAY + ms(30), [call(2, "s", "paid")])), ["2 failed set-up-before"]);
}

#[test]
fn a_paid_session_that_plays_already_elsewhere_is_not_set_up_here() {
    let mut core = core();
    core.step(DAY, [serving(3)]);
    let s = settings(SETTINGS);
    let under_way = arrival(&s, 1, "/club/paid/t1/7", "sid=\"old\",bl=4000,sta=p");
    assert_eq!(words(&core.step(DAY, [Input::Arrived(under_way)])), ["1 failed set-up-before"]);
    // An unpaid one does no harm.
    let clip = arrival(&s, 2, "/club/clip/t1/7", "sid=\"old\",bl=4000,sta=p");
    sent(&core.step(DAY, [Input::Arrived(clip)]));
    // Contradictory hints prove nothing, and cost nothing.
    let odd = arrival(&s, 3, "/club/paid/t1/0", "sid=\"new\",su,bl=4000,d=2000");
    sent(&core.step(DAY, [Input::Arrived(odd)]));
}

#[test]
fn a_viewer_who_hangs_up_has_its_attempt_recalled_and_gets_nothing() {
    let (mut core, setup) = one_out("paid");
    let out = core.step(DAY + ms(10), [Input::HungUp { viewer: ViewerId(1), sid: "s".into() }]);
    assert_eq!(words(&out), [format!("recall {} HungUp", setup.attempt)]);
    let out = core.step(DAY + ms(11), [ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(words(&out), ["release s"], "closed at the server, no answer, no further attempt");
    assert_eq!(core.held(), 0);
    // Never sent: nothing is to be closed, and the sid may come again.
    let (mut core, setup) = one_out("paid");
    core.step(DAY + ms(10), [Input::HungUp { viewer: ViewerId(1), sid: "s".into() }]);
    assert!(words(&core.step(DAY + ms(11), [ended(setup.attempt, AttemptEnd::NeverSent)])).is_empty());
    sent(&core.step(DAY + ms(20), [call(2, "s", "paid")]));
}

#[test]
fn a_viewer_who_hangs_up_as_it_begins_to_play_leaves_no_session_behind() {
    let (mut core, setup) = one_out("paid");
    core.step(DAY + ms(10), [Input::HungUp { viewer: ViewerId(1), sid: "s".into() }]);
    let out = core.step(DAY + ms(11), [playing(setup.attempt), ended(setup.attempt, AttemptEnd::Unanswered)]);
    assert_eq!(words(&out), ["release s"]);
    assert_eq!((core.held(), core.routes().len()), (0, 0));
}

#[test]
fn two_requests_of_one_new_session_at_once_are_one_set_up_and_two_answers() {
    let mut core = core();
    let out = core.step(DAY, [serving(3), call(1, "s", "paid"), call(2, "s", "paid")]);
    assert_eq!(words(&out).iter().filter(|w| w.starts_with("send")).count(), 1);
    let setup = sent(&out);
    // The first one hangs up: the second still wants it, on the same attempt.
    let out = core.step(DAY + ms(5), [Input::HungUp { viewer: ViewerId(1), sid: "s".into() }]);
    assert!(out.is_empty(), "{:?}", words(&out));
    assert_eq!(words(&core.step(DAY + ms(9), [playing(setup.attempt)])), ["2 follow"]);
}

#[test]
fn waiting_requests_of_one_session_are_bounded_and_keep_their_own_time() {
    let mut core = core();
    core.step(DAY, [serving(3), call(1, "s", "paid"), call(2, "s", "paid")]);
    let s = settings(SETTINGS);
    let hasty = arrival(&s, 3, "/club/paid/t1/0", "sid=\"s\",su,dl=500");
    core.step(DAY, [Input::Arrived(hasty)]);
    assert_eq!(words(&core.step(DAY, [call(4, "s", "paid")])), ["4 refused too-many-waiting"]);
    assert_eq!(words(&core.step(DAY + ms(450), [])), ["3 failed time-up"]);
}

#[test]
fn a_drain_between_choice_and_send_calls_back_what_is_not_sent() {
    let (mut core, setup) = one_out("paid");
    let drains = list(ListMode::Patch, vec![server(setup.server, WireState::Draining)]);
    let out = core.step(DAY + ms(5), [drains]);
    assert_eq!(words(&out), [format!("recall {} Drained", setup.attempt)]);
    let out = core.step(DAY + ms(6), [ended(setup.attempt, AttemptEnd::NeverSent)]);
    let again = sent(&out);
    assert_ne!(again.server, setup.server, "and is set up elsewhere, though paid: it never ran");
    // One that had gone out is left alone: its answer counts.
    let drains = list(ListMode::Patch, vec![server(again.server, WireState::Gone)]);
    core.step(DAY + ms(7), [drains]);
    assert_eq!(words(&core.step(DAY + ms(8), [playing(again.attempt)])), ["1 stream body"]);
}

#[test]
fn a_server_named_again_after_it_was_gone_is_used_again_and_cold_if_it_started() {
    let mut core = core();
    core.step(DAY, [serving(1)]);
    core.step(DAY + ms(10), [list(ListMode::Whole, vec![])]);
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
    let before = core.list().save_for_test();
    back.started_ms_ago = Some(160);
    core.step(DAY + ms(90), [list(ListMode::Patch, vec![back])]);
    assert_eq!(core.list().save_for_test(), before);
}

/// Starts as the list keeps them.
trait SaveForTest {
    fn save_for_test(&self) -> Vec<Option<u64>>;
}

impl SaveForTest for ServerList {
    fn save_for_test(&self) -> Vec<Option<u64>> {
        self.save(DAY + ms(1000)).servers.iter().map(|s| s.started_ms_ago).collect()
    }
}

#[test]
fn discovery_away_at_the_start_refuses_at_once_until_a_list_comes() {
    let mut core = core();
    assert_eq!(words(&core.step(DAY, [call(1, "a", "paid")])), ["1 refused no-servers"]);
    core.step(DAY + ms(5), [Input::List(ListNews::broken())]);
    let saved = SavedList { format: 1, version: 4, servers: vec![server(1, WireState::Serving)] };
    let text = serde_json::to_string(&saved).unwrap();
    let news = SavedList::read(&text).unwrap().news(ms(10_000));
    core.step(DAY + ms(10), [Input::List(news)]);
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
    assert_eq!(feed.read(heavy), Err(FeedError::Weight));
}

#[test]
fn sessions_are_bounded() {
    let mut core = core();
    core.step(DAY, [serving(3)]);
    let calls: Vec<_> = (0..60).map(|i| call(i, &format!("s{i}"), "clip")).collect();
    let out = words(&core.step(DAY, calls));
    assert!(core.held() <= 50);
    assert!(out.iter().any(|w| w.ends_with("front-full")), "{out:?}");
}

#[test]
fn readings_of_a_server_are_paced_and_short_delivery_ends_once() {
    let g = Gauge::default();
    let load = |share: f64| Load { link: Some(0.5), rack: None, share: Some(share) };
    let due = |at: u64, share: f64| g.due(ms(at), load(share), ms(2000), ms(1000));
    assert_eq!(due(1000, 1.0), Some(Load { link: Some(0.5), ..Load::default() }));
    assert_eq!(due(1500, 1.0), None);
    assert_eq!(due(1600, 0.5).and_then(|l| l.share), Some(0.5), "short at once");
    assert_eq!(due(1700, 0.5), None);
    assert_eq!(due(2700, 0.4).and_then(|l| l.share), Some(0.4));
    assert_eq!(due(2800, 1.0).and_then(|l| l.share), Some(1.0), "once when it is over");
    assert_eq!(due(2900, 1.0), None);
    assert!(due(3100, 1.0).is_some_and(|l| l.link.is_some() && l.share.is_none()));
}
