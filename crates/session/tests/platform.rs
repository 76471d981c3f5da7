//! Use of the core by a platform: adopted sessions, session reports, ends of sessions, and bounded memory.

mod common;

use cloverhollow::{ListMode, SessionPolicy, SessionReport};
use cloverhollow_session::*;
use common::*;

/// A core without persistence and idle timeout, as on a platform.
fn platform_core() -> TestCore {
    let s = settings(SETTINGS);
    let config = CoreConfig { idle_timeout: None, persistence: None, ..CoreConfig::from(&*s) };
    Core::new(SessionPolicy::new(s.decisions(), 7), config, 1)
}

fn adopted(sid: &str, server: u64) -> Input<u32, &'static str> {
    let s = settings(SETTINGS);
    let arrival = arrival(&s, 1, "/club/clip/t1/0", &format!("sid=\"{sid}\",su"));
    Input::Adopted { arrival, server }
}

fn session_ended(sid: &str) -> Input<u32, &'static str> {
    Input::SessionEnded { sid: sid.into(), reason: EndReason::Ended, load: Load::default() }
}

fn ended_sessions(commands: &[Command<u32, &'static str>]) -> Vec<(SessionId, u64, EndReason)> {
    let end = |c: &Command<u32, &'static str>| match c {
        Command::SessionEnded { sid, server, reason } => Some((sid.clone(), *server, *reason)),
        _ => None,
    };
    commands.iter().filter_map(end).collect()
}

#[test]
fn an_adopted_session_plays_once_and_its_end_is_reported() {
    let mut core = platform_core();
    core.step(START, [serving_list(2)]);
    assert!(
        core.step(START + ms(10), [adopted("s", 1), adopted("s", 2)]).is_empty(),
        "no viewer waits for an answer"
    );
    assert_eq!(core.session_count(), 1, "a second adoption changes nothing");
    core.step(START + ms(20), [Input::SessionReport { sid: "s".into(), report: SessionReport::Rung(0) }]);
    let out = core.step(START + ms(30), [session_ended("s")]);
    assert_eq!(ended_sessions(&out), [("s".into(), 1, EndReason::Ended)]);
    assert_eq!(core.session_count(), 0);
    assert!(core.step(START + ms(40), [adopted("t", 9)]).is_empty());
    assert_eq!(core.session_count(), 0, "a session at an unlisted server is not adopted");
}

#[test]
fn session_reports_reach_the_policy_only_for_playing_sessions() {
    let mut core = platform_core();
    let reported = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let observed = reported.clone();
    core.set_step_observer(Box::new(move |_, events, _| {
        let reports = events.iter().filter(|e| matches!(e, cloverhollow::Event::SessionReport(..)));
        observed.lock().unwrap().extend(reports.map(|r| format!("{r:?}")));
    }));
    core.step(START, [serving_list(1)]);
    let out = core.step(START + ms(10), [arrived(1, "s", "clip")]);
    let report = |report| Input::SessionReport { sid: "s".into(), report };
    core.step(START + ms(20), [report(SessionReport::LinkLoad(0.5))]);
    core.step(START + ms(30), [playing(sent_setup(&out).attempt)]);
    core.step(
        START + ms(40),
        [report(SessionReport::DeliveredShare(0.5)), report(SessionReport::UplinkLoad(1.5))],
    );
    assert_eq!(
        *reported.lock().unwrap(),
        ["SessionReport(1, 1, DeliveredShare(0.5))", "SessionReport(1, 1, UplinkLoad(1.5))"]
    );
}

/// An answer that came after its server had left the list was dropped, and its client got none.
#[test]
fn an_answer_counts_after_its_server_has_left_the_list() {
    let mut core = platform_core();
    core.step(START, [serving_list(1)]);
    let out = core.step(START + ms(10), [arrived(1, "s", "clip")]);
    core.step(START + ms(20), [list_update(ListMode::Full, vec![])]);
    let out = core.step(START + ms(30), [playing(sent_setup(&out).attempt)]);
    assert_eq!(summaries(&out), ["1 stream body"]);
    core.step(START + ms(40), [list_update(ListMode::Patch, vec![server(2, WireState::Serving)])]);
    assert_eq!(
        ended_sessions(&core.step(START + ms(50), [session_ended("s")])),
        [("s".into(), 1, EndReason::Ended)]
    );
}

/// Each of many servers and sessions has an id of its own; state of those that are gone must not accumulate.
#[test]
fn state_of_gone_servers_and_ended_sessions_is_dropped() {
    let mut core = platform_core();
    for n in 1..2_000u64 {
        let now = START + ms(n * 1_000);
        let entries = [server(n, WireState::Serving), server(n.saturating_sub(3), WireState::Gone)];
        core.step(now, [list_update(ListMode::Patch, entries.to_vec())]);
        let out = core.step(now + ms(10), [arrived(n, &format!("s{n}"), "clip")]);
        core.step(now + ms(20), [playing(sent_setup(&out).attempt)]);
        core.step(now + ms(30), [session_ended(&format!("s{n}"))]);
    }
    let counts = core.retained_counts();
    assert!(counts.servers <= 5 && counts.report_throttles <= 5 && counts.sessions == 0, "{counts:?}");
    assert!(counts.timers <= 20, "{counts:?}");
}

#[test]
fn a_core_without_persistence_logs_nothing() {
    let mut core = platform_core();
    core.step(START, [serving_list(2)]);
    let out = core.step(START + ms(10), [arrived(1, "s", "paid")]);
    assert!(sent_setup(&out).log_record.is_none());
    let out = core.step(START + ms(20), [attempt_ended(sent_setup(&out).attempt, AttemptEnd::Reset)]);
    assert_eq!(
        (persisted_records(&out), summaries(&out).last().map(String::as_str)),
        (vec![], Some("1 failed server-failed"))
    );
}

/// A set-up decided for a time slot of a cold server and sent later would come on top of those of a later slot.
#[test]
fn a_set_up_to_a_cold_server_has_a_short_send_deadline() {
    let send_deadline = |age_ms: Option<u64>| {
        let mut core = platform_core();
        let entry = ServerEntry { started_ms_ago: age_ms, ..server(1, WireState::Serving) };
        let out = core.step(START, [list_update(ListMode::Full, vec![entry]), arrived(1, "s", "clip")]);
        sent_setup(&out).send_deadline
    };
    assert_eq!(send_deadline(None), START + ms(1_000));
    assert_eq!(send_deadline(Some(20_000)), START + ms(1_000), "the server is warm by now");
    assert_eq!(send_deadline(Some(100)), START + ms(200));
}
