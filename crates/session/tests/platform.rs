//! What a platform asks of the core: sessions handed over, notes, ends and rungs told, memory that stays flat.

mod common;

use cloverhollow::{ListMode, SessionPolicy, SessionReport};
use cloverhollow_session::*;
use common::*;

/// A core that keeps nothing but its sessions, as on a platform.
fn plain() -> TestCore {
    let s = settings(SETTINGS);
    let terms = CoreConfig { idle_timeout: None, persistence: None, ..CoreConfig::from(&*s) };
    Core::new(SessionPolicy::new(s.decisions(), 7), terms, 1)
}

fn handed_over(sid: &str, server: u64) -> Input<u32, &'static str> {
    let s = settings(SETTINGS);
    let arrival = arrival(&s, 1, "/club/clip/t1/0", &format!("sid=\"{sid}\",su"));
    Input::Adopted { arrival, server }
}

fn over(sid: &str) -> Input<u32, &'static str> {
    Input::SessionEnded { sid: sid.into(), reason: EndReason::Ended, load: Load::default() }
}

fn ends(commands: &[Command<u32, &'static str>]) -> Vec<(SessionId, u64, EndReason)> {
    let end = |c: &Command<u32, &'static str>| match c {
        Command::SessionEnded { sid, server, reason: why } => Some((sid.clone(), *server, *why)),
        _ => None,
    };
    commands.iter().filter_map(end).collect()
}

#[test]
fn a_session_that_is_handed_over_plays_once_and_its_end_is_told() {
    let mut core = plain();
    core.step(DAY, [serving(2)]);
    assert!(
        core.step(DAY + ms(10), [handed_over("s", 1), handed_over("s", 2)]).is_empty(),
        "no answer is owed"
    );
    assert_eq!(core.session_count(), 1, "twice is harmless");
    core.step(DAY + ms(20), [Input::SessionReport { sid: "s".into(), report: SessionReport::Rung(0) }]);
    let out = core.step(DAY + ms(30), [over("s")]);
    assert_eq!(ends(&out), [("s".into(), 1, EndReason::Ended)]);
    assert_eq!(core.session_count(), 0);
    assert!(core.step(DAY + ms(40), [handed_over("t", 9)]).is_empty());
    assert_eq!(core.session_count(), 0, "at a server that is not listed there is none");
}

#[test]
fn notes_reach_the_module_for_sessions_that_play_and_no_others() {
    let mut core = plain();
    let told = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let tap = told.clone();
    core.set_step_observer(Box::new(move |_, events, _| {
        let notes = events.iter().filter(|e| matches!(e, cloverhollow::Event::SessionReport(..)));
        tap.lock().unwrap().extend(notes.map(|n| format!("{n:?}")));
    }));
    core.step(DAY, [serving(1)]);
    let out = core.step(DAY + ms(10), [call(1, "s", "clip")]);
    let note = |note| Input::SessionReport { sid: "s".into(), report: note };
    core.step(DAY + ms(20), [note(SessionReport::LinkLoad(0.5))]);
    core.step(DAY + ms(30), [playing(sent(&out).attempt)]);
    core.step(DAY + ms(40), [note(SessionReport::DeliveredShare(0.5)), note(SessionReport::UplinkLoad(1.5))]);
    assert_eq!(*told.lock().unwrap(), ["Note(1, 1, Share(0.5))", "Note(1, 1, Rack(1.5))"]);
}

/// Guards an answer that comes after its server has left the list: it was dropped without a word to its client.
#[test]
fn an_answer_counts_though_its_server_has_left_the_list() {
    let mut core = plain();
    core.step(DAY, [serving(1)]);
    let out = core.step(DAY + ms(10), [call(1, "s", "clip")]);
    core.step(DAY + ms(20), [list(ListMode::Full, vec![])]);
    let out = core.step(DAY + ms(30), [playing(sent(&out).attempt)]);
    assert_eq!(words(&out), ["1 stream body"]);
    core.step(DAY + ms(40), [list(ListMode::Patch, vec![server(2, WireState::Serving)])]);
    assert_eq!(ends(&core.step(DAY + ms(50), [over("s")])), [("s".into(), 1, EndReason::Ended)]);
}

/// A long day: each server has an id of its own, and so has each session.
#[test]
fn what_is_gone_for_good_is_let_go() {
    let mut core = plain();
    for n in 1..2_000u64 {
        let now = DAY + ms(n * 1_000);
        let news = [server(n, WireState::Serving), server(n.saturating_sub(3), WireState::Gone)];
        core.step(now, [list(ListMode::Patch, news.to_vec())]);
        let out = core.step(now + ms(10), [call(n, &format!("s{n}"), "clip")]);
        core.step(now + ms(20), [playing(sent(&out).attempt)]);
        core.step(now + ms(30), [over(&format!("s{n}"))]);
    }
    let kept = core.retained_counts();
    assert!(kept.servers <= 5 && kept.report_throttles <= 5 && kept.sessions == 0, "{kept:?}");
    assert!(kept.timers <= 20, "{kept:?}");
}

#[test]
fn a_core_that_keeps_nothing_takes_nothing_down() {
    let mut core = plain();
    core.step(DAY, [serving(2)]);
    let out = core.step(DAY + ms(10), [call(1, "s", "paid")]);
    assert!(sent(&out).log_record.is_none());
    let out = core.step(DAY + ms(20), [ended(sent(&out).attempt, AttemptEnd::Reset)]);
    assert_eq!(
        (kept(&out), words(&out).last().map(String::as_str)),
        (vec![], Some("1 failed server-failed"))
    );
}

/// A set-up that is decided in a turn at a cold server and goes out later comes on top of those whose turn it is then.
#[test]
fn a_set_up_to_a_cold_server_goes_out_soon_or_never() {
    let until = |ago: Option<u64>| {
        let mut core = plain();
        let entry = ServerEntry { started_ms_ago: ago, ..server(1, WireState::Serving) };
        let out = core.step(DAY, [list(ListMode::Full, vec![entry]), call(1, "s", "clip")]);
        sent(&out).send_deadline
    };
    assert_eq!(until(None), DAY + ms(1_000));
    assert_eq!(until(Some(20_000)), DAY + ms(1_000), "it is warm by now");
    assert_eq!(until(Some(100)), DAY + ms(200));
}
