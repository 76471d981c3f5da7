//! Viewers who leave before their answer get no attempt, by the servers' and the viewers' own clocks: drawn days on the
//! platform; and a front that hears of it late is found.

use std::path::Path;
use std::process::{Command, Stdio};

/// What the day's check of those who left says.
fn left(policy: &str, seed: u64) -> serde_json::Value {
    let dir = std::env::temp_dir().join(format!("cloverhollow-left-{}-{policy}-{seed}", std::process::id()));
    let out = Command::new(env!("CARGO_BIN_EXE_cloverhollow-lab"))
        .args(["day", "days/leaves.yaml", "--platform", "--json", "--log-level", "error", "--policy", policy])
        .args(["--seed", &seed.to_string(), "--host", &format!("127.8.{}.{seed}", policy.len()), "--dir"])
        .arg(dir)
        .current_dir(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../..")))
        .stdout(Stdio::piped())
        .output()
        .expect("runs");
    let text = String::from_utf8_lossy(&out.stdout);
    let outcome: serde_json::Value = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}"));
    outcome["left"].clone()
}

#[test]
fn a_front_that_hears_late_that_viewers_left_is_found() {
    let found = left("deaf", 21);
    assert!(found["sessions"].as_u64() > Some(10), "{found}");
    assert!(found["broken"].as_u64() > Some(3), "{found}");
    assert!(found["first"].as_str().is_some_and(|f| f.contains("its viewer left")), "{found}");
}

#[test]
fn nothing_begins_for_viewers_who_left() {
    for seed in [21, 22] {
        let found = left("brain", seed);
        assert!(found["sessions"].as_u64() > Some(10) && found["tried"].as_u64() > Some(5), "{found}");
        assert_eq!(found["broken"], 0, "{found}");
    }
}
