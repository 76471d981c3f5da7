//! Helpers that build inputs of the core and inspect its commands, without sockets.
#![allow(dead_code)] // Each test file uses a part.

use cloverhollow::{ListMode, SessionPolicy};
use cloverhollow_hints::cmcd::Record;
use cloverhollow_hints::{reconcile, Faults};
use cloverhollow_recovery::LogRecord;
use cloverhollow_session::*;
use cloverhollow_settings::FrontSettings;
use std::sync::Arc;
use std::time::Duration;

/// Time at which the tests begin, on the core's clock.
pub const START: Duration = Duration::from_secs(86_400);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub const SETTINGS: &str = "
instance: {seed: 7}
classes:
- {name: paid, aim_ms: 1000, deadline_ms: 3000, paid: true, worth: 3, seats: 4}
- {name: clip, aim_ms: 800, deadline_ms: 3000}
rules: {cold_ms: 10000, fall_ms: 1000}
sessions: {idle_ms: 5000, margin_ms: 50, most: 50, waiting: 3}
";

pub type TestCore = Core<SessionPolicy, u32, &'static str>;

pub fn settings(text: &str) -> Arc<FrontSettings> {
    Arc::new(FrontSettings::parse("test.yaml", text).unwrap())
}

pub fn core() -> TestCore {
    let s = settings(SETTINGS);
    Core::new(SessionPolicy::new(s.decisions(), 7), s, 1)
}

pub fn server(id: u64, state: WireState) -> ServerEntry {
    ServerEntry {
        id,
        key: None,
        address: ([127, 0, 0, 1], 9000 + id as u16).into(),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        weight: 1.0,
        state,
        incarnation: 1,
        started_ms_ago: None,
    }
}

pub fn list_update<A, B>(mode: ListMode, servers: Vec<ServerEntry>) -> Input<A, B> {
    Input::ListUpdate(ListUpdate { mode, version: 1, entries: servers })
}

pub fn serving_list(n: u64) -> Input<u32, &'static str> {
    list_update(ListMode::Full, (1..=n).map(|id| server(id, WireState::Serving)).collect())
}

pub fn arrival(s: &FrontSettings, viewer: u64, path: &str, cmcd: &str) -> Arrival<u32> {
    let (mut record, mut faults) = (Record::default(), Faults::default());
    record.read_query(cmcd, &mut faults);
    let (record, contradictions) = reconcile(record, Record::default());
    let hints = arrival::Hints { record, faults, contradictions };
    arrival::read(s, ViewerId(viewer), path, &hints, viewer as u32).unwrap()
}

pub fn arrived(viewer: u64, sid: &str, class: &str) -> Input<u32, &'static str> {
    let s = settings(SETTINGS);
    Input::Arrived(arrival(&s, viewer, &format!("/club/{class}/t1/0"), &format!("sid=\"{sid}\",su")))
}

/// Log records among the commands.
pub fn persisted_records(commands: &[Command<u32, &'static str>]) -> Vec<LogRecord> {
    let record = |c: &Command<u32, &'static str>| match c {
        Command::Persist(record) => Some(record.clone()),
        _ => None,
    };
    commands.iter().filter_map(record).collect()
}

/// One-line summaries of commands for comparison. Log records, ends of sessions and rung changes are left out.
pub fn summaries(commands: &[Command<u32, &'static str>]) -> Vec<String> {
    let included = (commands.iter()).filter(|c| {
        !matches!(c, Command::Persist(_) | Command::SessionEnded { .. } | Command::RungChanged { .. })
    });
    included
        .map(|c| match c {
            Command::Send(s) => format!("send {} {}", s.sid, s.attempt),
            Command::Cancel { attempt, reason } => format!("cancel {attempt} {reason:?}"),
            Command::Persist(_) | Command::SessionEnded { .. } | Command::RungChanged { .. } => {
                unreachable!("left out")
            }
            Command::Release { sid, .. } => format!("release {sid}"),
            Command::KnowledgeMerged { outcome, .. } => format!("merged {}", outcome.is_ok()),
            Command::Answer { viewer, answer } => {
                let viewer = viewer.0;
                match answer {
                    Answer::Stream { response, .. } => format!("{viewer} stream {response}"),
                    Answer::Follow(_) => format!("{viewer} follow"),
                    Answer::Refused { reason, .. } => format!("{viewer} refused {}", reason.token()),
                    Answer::Failed { reason, .. } => format!("{viewer} failed {}", reason.token()),
                }
            }
        })
        .collect()
}

/// The first set-up among the commands.
pub fn sent_setup(commands: &[Command<u32, &'static str>]) -> Setup<u32> {
    let setup = commands.iter().find_map(|c| match c {
        Command::Send(s) => Some(s.clone()),
        _ => None,
    });
    setup.unwrap_or_else(|| panic!("no set-up sent: {:?}", summaries(commands)))
}

pub fn playing(attempt: AttemptId) -> Input<u32, &'static str> {
    Input::Playing { attempt, load: Load::default(), response: "body" }
}

pub fn attempt_ended(attempt: AttemptId, end: AttemptEnd) -> Input<u32, &'static str> {
    Input::AttemptEnded { attempt, end, load: Load::default() }
}
