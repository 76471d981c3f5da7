//! `cloverhollow fleet` against a running front, and keys with unsafe file permissions.

mod common;

use common::*;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::mpsc::channel;

/// Writes settings of a front in a fleet, with a key file of that mode.
fn write_member_settings(dir: &Path, mode: u32) -> PathBuf {
    let key = dir.join("members.key");
    std::fs::write(&key, "0123456789abcdef0123456789abcdef\n").unwrap();
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(mode)).unwrap();
    let (tx, _) = channel();
    let config = write_settings(dir, start_discovery(start_server(tx)), "");
    let mut text = std::fs::read_to_string(&config).unwrap();
    text += &format!("members: {{listen: 127.0.0.1:0, keys: [{{id: 1, file: {}}}]}}\n", key.display());
    std::fs::write(&config, text).unwrap();
    config
}

fn run_fleet(side: SocketAddr, arguments: &[&str]) -> Output {
    let side = side.to_string();
    let command = Command::new(env!("CARGO_BIN_EXE_cloverhollow"))
        .arg("fleet")
        .args(arguments)
        .args(["--side", &side])
        .output();
    command.unwrap()
}

/// Standard output and standard error of a command.
fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn front_reports_members_counts_and_permits() {
    let (_process, _, side) = start_front(&write_member_settings(&temp_dir("fleet"), 0o600));
    let status = text(&run_fleet(side, &["status"]));
    assert!(status.contains("members: 1 at least, 1 at most"), "{status}");
    assert!(status.contains("count: not asked for; instance.fronts holds"), "{status}");
    assert!(status.contains("permits: off (out.fleet is 0)"), "{status}");
    let out = run_fleet(side, &["out"]);
    assert_eq!(out.status.code(), Some(1));
    assert!(text(&out).contains("this front asks for no permits (out.fleet is 0)"), "{}", text(&out));
    let members = text(&run_fleet(side, &["members"]));
    assert_eq!(members.lines().count(), 2, "a header and the front itself: {members}");
    let json: serde_json::Value =
        serde_json::from_str(&text(&run_fleet(side, &["members", "--json"]))).unwrap();
    let name = json[0]["name"].as_str().unwrap();
    assert!(text(&run_fleet(side, &["why", name])).contains("this member"));
    let unknown = run_fleet(side, &["why", "nobody"]);
    assert_eq!((unknown.status.code(), text(&unknown).contains("no member `nobody`")), (Some(2), true));
}

#[test]
fn front_without_members_settings_reports_it() {
    let (tx, _) = channel();
    let (_process, _, side) =
        start_front(&write_settings(&temp_dir("alone"), start_discovery(start_server(tx)), ""));
    let status = run_fleet(side, &["status"]);
    assert_eq!(status.status.code(), Some(1));
    assert!(text(&status).contains("members.listen is not set"), "{}", text(&status));
}

#[test]
fn key_readable_by_others_is_refused() {
    let config = write_member_settings(&temp_dir("open-key"), 0o644);
    let out = Command::new(env!("CARGO_BIN_EXE_cloverhollow"))
        .args(["serve", "--config"])
        .arg(&config)
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(2), "{}", text(&out));
    assert!(text(&out).contains("members.key: others may read it"), "{}", text(&out));
}
