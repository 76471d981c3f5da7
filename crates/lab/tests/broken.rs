//! Each rule's checker fails on a front that breaks its rule on purpose, and all pass on one that does not:
//! fronts as processes, everything over sockets.

use std::path::Path;
use std::process::{Child, Command, Stdio};

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

/// Starts a day; they run side by side, each with ports from the system.
fn start(script: &str, policy: &str) -> Child {
    Command::new(env!("CARGO_BIN_EXE_cloverhollow-lab"))
        .args(["day", script, "--policy", policy, "--json", "--log-level", "error", "--dir"])
        .arg(std::env::temp_dir().join(format!(
            "cloverhollow-test-{}-{}-{policy}",
            std::process::id(),
            script.replace('/', "-")
        )))
        .current_dir(root())
        .stdout(Stdio::piped())
        .spawn()
        .expect("starts")
}

/// Numbers of the rules that came out broken, with the first offence of each.
fn broken(day: Child) -> (bool, Vec<(u64, String)>) {
    let out = day.wait_with_output().expect("ends");
    let text = String::from_utf8_lossy(&out.stdout);
    let outcome: serde_json::Value = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}"));
    let rules = outcome["rules"].as_array().expect("six");
    assert_eq!(rules.len(), 6);
    let of = |r: &serde_json::Value| {
        assert!(r["checked"].as_u64() > Some(0), "not tested: {r}");
        Some((r["rule"].as_u64()?, r["first"].as_str()?.to_string()))
    };
    (out.status.success(), rules.iter().filter_map(of).collect())
}

#[test]
fn each_checker_fails_on_a_front_that_breaks_its_rule_and_none_on_one_that_keeps_them() {
    let days: Vec<_> =
        (1..=6).map(|rule| (rule, start("days/rules.yaml", &format!("broken-{rule}")))).collect();
    for (rule, day) in days {
        let (kept, found) = broken(day);
        assert!(!kept && found.iter().any(|(r, _)| *r == rule), "front broken in rule {rule}: {found:?}");
    }
    let (kept, found) = broken(start("days/rules.yaml", "brain"));
    assert!(kept && found.is_empty(), "{found:?}");
}

#[test]
fn a_front_that_forgets_over_its_deaths_is_found_and_one_that_keeps_its_deeds_keeps_the_rules() {
    let (forgets, brain) = (start("days/deaths.yaml", "forgets"), start("days/deaths.yaml", "brain"));
    let all_at_once = start("days/mass-death.yaml", "brain");
    let (kept, found) = broken(forgets);
    let rules: Vec<_> = found.iter().map(|(rule, _)| *rule).collect();
    assert!(!kept && rules.contains(&2) && rules.contains(&6), "{found:?}");
    for day in [brain, all_at_once] {
        let (kept, found) = broken(day);
        assert!(kept && found.is_empty(), "{found:?}");
    }
}
