//! Recordings of a policy are replayed, and truncated, corrupt and foreign files are detected.

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

/// Records 200 steps of a policy. With `falsify`, one recorded action is changed.
fn recorded(name: &str, falsify: bool) -> PathBuf {
    let text = "instance: {fronts: 2}";
    let settings = FrontSettings::parse("s.yaml", text).unwrap();
    let mut policy = SessionPolicy::new(settings.decisions(), 42);
    let mut recorder = Recorder::create(&dir(name), "front-1", text.into(), 42).unwrap();
    let entry = |server| ListEntry {
        server,
        weight: 1.0,
        started_at: Duration::from_secs(9),
        ..ListEntry::default()
    };
    for i in 0..200u64 {
        let now = Duration::from_secs(1000) + Duration::from_millis(i * 50);
        let request = SessionRequest {
            id: i,
            max_rung: 3,
            deadline: now + Duration::from_secs(3),
            ..SessionRequest::default()
        };
        let mut events = vec![Event::Request(request)];
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
        let mut actions = policy.step(now, &events);
        if falsify && i == 77 {
            actions.push(Action::Fail(5));
        }
        assert!(recorder.record_step(now, &events, &actions));
    }
    let path = recorder.path.clone();
    recorder.finish();
    path
}

#[test]
fn a_recording_replays_to_the_same_actions() {
    let report = replay(&recorded("same", false)).unwrap();
    assert_eq!((report.steps, report.truncated, report.difference), (200, false, None));
    assert!(report.events > 900 && report.actions > 200, "{} {}", report.events, report.actions);
}

#[test]
fn a_changed_action_is_reported_at_its_step() {
    let report = replay(&recorded("falsified", true)).unwrap();
    assert_eq!(report.difference.unwrap().step, 78);
}

#[test]
fn a_truncated_file_is_read_to_its_last_complete_step_and_a_corrupt_one_is_an_error() {
    let path = recorded("truncated", false);
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() - 3]).unwrap();
    let report = replay(&path).unwrap();
    assert_eq!((report.steps, report.truncated), (199, true));
    let mut corrupt = bytes.clone();
    let offset = bytes.len() - 1; // in the last body; a changed length would look like a truncated file
    corrupt[offset] ^= 0x40;
    std::fs::write(&path, &corrupt).unwrap();
    assert!(matches!(replay(&path), Err(RecordError::CorruptFrame { .. })), "a flipped bit was not detected");
    std::fs::write(&path, b"something else entirely").unwrap();
    assert!(replay(&path).is_err());
    std::fs::write(&path, b"").unwrap();
    assert!(matches!(replay(&path), Err(RecordError::NotARecord(_))));
}
