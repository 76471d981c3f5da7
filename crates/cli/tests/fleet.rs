//! `cloverhollow fleet` against a running front, and keys that can't be used.

mod common;

use common::*;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::mpsc::channel;

/// A front's settings with a key of that mode.
fn member(dir: &Path, mode: u32) -> PathBuf {
    let key = dir.join("members.key");
    std::fs::write(&key, "0123456789abcdef0123456789abcdef\n").unwrap();
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(mode)).unwrap();
    let (tx, _) = channel();
    let config = settings(dir, discovery(server(tx)), "");
    let mut text = std::fs::read_to_string(&config).unwrap();
    text += &format!("members: {{listen: 127.0.0.1:0, keys: [{{id: 1, file: {}}}]}}\n", key.display());
    std::fs::write(&config, text).unwrap();
    config
}

fn fleet(side: SocketAddr, words: &[&str]) -> Output {
    let side = side.to_string();
    let command = Command::new(env!("CARGO_BIN_EXE_cloverhollow"))
        .arg("fleet")
        .args(words)
        .args(["--side", &side])
        .output();
    command.unwrap()
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn a_front_says_who_it_thinks_is_there() {
    let (_life, _, side) = front(&member(&folder("fleet"), 0o600));
    let status = said(&fleet(side, &["status"]));
    assert!(status.contains("members: 1 at least, 1 at most"), "{status}");
    assert!(status.contains("count: not asked for; instance.fronts holds"), "{status}");
    assert!(status.contains("permits: off (out.fleet is 0)"), "{status}");
    let out = fleet(side, &["out"]);
    assert_eq!(out.status.code(), Some(1));
    assert!(said(&out).contains("this front asks for no permits (out.fleet is 0)"), "{}", said(&out));
    let members = said(&fleet(side, &["members"]));
    assert_eq!(members.lines().count(), 2, "a head and itself: {members}");
    let json: serde_json::Value = serde_json::from_str(&said(&fleet(side, &["members", "--json"]))).unwrap();
    let name = json[0]["name"].as_str().unwrap();
    assert!(said(&fleet(side, &["why", name])).contains("this member"));
    let nobody = fleet(side, &["why", "nobody"]);
    assert_eq!((nobody.status.code(), said(&nobody).contains("no member `nobody`")), (Some(2), true));
}

#[test]
fn a_front_that_is_no_member_says_so() {
    let (tx, _) = channel();
    let (_life, _, side) = front(&settings(&folder("alone"), discovery(server(tx)), ""));
    let status = fleet(side, &["status"]);
    assert_eq!(status.status.code(), Some(1));
    assert!(said(&status).contains("members.listen is not set"), "{}", said(&status));
}

#[test]
fn a_key_that_others_may_read_is_refused() {
    let config = member(&folder("open-key"), 0o644);
    let out = Command::new(env!("CARGO_BIN_EXE_cloverhollow"))
        .args(["serve", "--config"])
        .arg(&config)
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(2), "{}", said(&out));
    assert!(said(&out).contains("members.key: others may read it"), "{}", said(&out));
}
