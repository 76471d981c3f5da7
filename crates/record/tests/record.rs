//! Records: written beside a module, run again, cut, garbled and foreign.

use cloverhollow::*;
use cloverhollow_record::{replay, RecordError, Recorder};
use cloverhollow_settings::FrontSettings;
use std::path::PathBuf;
use std::time::Duration;

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("cloverhollow-record-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

/// A short day of the module, recorded; `lie` changes one recorded action.
fn recorded(name: &str, lie: bool) -> PathBuf {
    let text = "instance: {fronts: 2}";
    let settings = FrontSettings::parse("s.yaml", text).unwrap();
    let mut brain = SessionPolicy::new(settings.decisions(), 42);
    let mut recorder = Recorder::create(&dir(name), "front-1", text.into(), 42).unwrap();
    let entry = |server| ListEntry {
        server,
        weight: 1.0,
        started_at: Duration::from_secs(9),
        ..ListEntry::default()
    };
    for i in 0..200u64 {
        let now = Duration::from_secs(1000) + Duration::from_millis(i * 50);
        let call = SessionRequest {
            id: i,
            max_rung: 3,
            deadline: now + Duration::from_secs(3),
            ..SessionRequest::default()
        };
        let mut events = vec![Event::Request(call)];
        if i == 0 {
            events.insert(0, Event::ListUpdate(ListMode::Full, (1..6).map(entry).collect()));
        }
        if i > 3 {
            events.push(Event::SessionReport(i - 3, 1 + i % 5, SessionReport::LinkLoad(0.2)));
            events.push(Event::AttemptEnded(
                i - 1,
                0,
                1,
                AttemptOutcome::Timeout,
                false,
                LoadReport { link_load: Some(0.4), uplink_load: None },
            ));
            events.push(Event::ViewerLeft(i - 2));
            events.push(Event::Timer(1));
        }
        let mut actions = brain.step(now, &events);
        if lie && i == 77 {
            actions.push(Action::Fail(5));
        }
        assert!(recorder.record_step(now, &events, &actions));
    }
    let path = recorder.path.clone();
    recorder.finish();
    path
}

#[test]
fn a_record_replays_to_the_same_actions() {
    let found = replay(&recorded("same", false)).unwrap();
    assert_eq!((found.steps, found.truncated, found.difference), (200, false, None));
    assert!(found.events > 900 && found.actions > 200, "{} {}", found.events, found.actions);
}

#[test]
fn a_changed_action_is_found_at_its_step() {
    let found = replay(&recorded("lie", true)).unwrap();
    assert_eq!(found.difference.unwrap().step, 78);
}

#[test]
fn a_cut_file_is_read_to_its_last_whole_step_and_a_garbled_one_refused() {
    let path = recorded("cut", false);
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() - 3]).unwrap();
    let found = replay(&path).unwrap();
    assert_eq!((found.steps, found.truncated), (199, true));
    let mut bad = bytes.clone();
    let at = bytes.len() - 1; // in the last body; in a length it would look like a cut
    bad[at] ^= 0x40;
    std::fs::write(&path, &bad).unwrap();
    assert!(matches!(replay(&path), Err(RecordError::CorruptFrame { .. })), "a flipped bit is seen");
    std::fs::write(&path, b"something else entirely").unwrap();
    assert!(replay(&path).is_err());
    std::fs::write(&path, b"").unwrap();
    assert!(matches!(replay(&path), Err(RecordError::NotARecord(_))));
}
