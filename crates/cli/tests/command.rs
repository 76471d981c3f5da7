//! The command as a process: exit codes, the ready line, a record that replays.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("cloverhollow-cli-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cloverhollow")).args(args).output().unwrap()
}

#[test]
fn bad_settings_exit_2_and_name_file_line_field_and_range() {
    let file = folder("bad").join("front.yaml");
    std::fs::write(&file, "instance:\n  fronts: 0\n").unwrap();
    let path = file.display().to_string();
    for command in ["check", "serve"] {
        let out = run(&[command, "--config", &path]);
        let said = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{said}");
        assert!(said.contains(&format!("{path}:2: instance.fronts: 0 is not in 1..=10000")), "{said}");
    }
    assert_eq!(run(&["check", "--config", "/nowhere.yaml"]).status.code(), Some(2));
    assert_eq!(run(&["replay", "/nowhere.rec"]).status.code(), Some(2));
    assert_eq!(run(&["frobnicate"]).status.code(), Some(2));
}

#[test]
fn the_shipped_settings_pass_their_check_and_name_every_field() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/front.yaml");
    let out = run(&["check", "--config", shipped]);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    // A field that is documented in the code and missing in the file would go unnoticed by operators.
    let code = include_str!("../../settings/src/fields.rs");
    let text = std::fs::read_to_string(shipped).unwrap();
    let fields = code.lines().filter_map(|l| l.trim().strip_prefix("pub ")?.split_once(':').map(|f| f.0));
    for field in fields.filter(|f| f.chars().all(|c| c.is_ascii_lowercase() || c == '_')) {
        assert!(text.contains(&format!("{field}:")), "{field} is missing in deploy/front.yaml");
    }
}

#[test]
fn a_front_serves_records_and_its_record_replays_the_same() {
    let dir = folder("serve");
    let config = dir.join("front.yaml");
    std::fs::write(&config, "listen: {address: \"127.0.0.1:0\"}\nside: {address: \"127.0.0.1:0\"}\n")
        .unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_cloverhollow"))
        .args(["serve", "--log", "json", "--config"])
        .arg(&config)
        .arg("--record")
        .arg(&dir)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let ready: serde_json::Value = serde_json::from_str(&line).unwrap();
    let ask = |address: &str, path: &str| {
        let mut s = TcpStream::connect(address).unwrap();
        write!(s, "GET {path} HTTP/1.1\r\nhost: f\r\nconnection: close\r\ncmcd-session: sid=\"x\"\r\n\r\n")
            .unwrap();
        let mut out = String::new();
        s.read_to_string(&mut out).unwrap();
        out
    };
    let got = ask(ready["address"].as_str().unwrap(), "/club/video/t/0");
    assert!(got.starts_with("HTTP/1.1 503") && got.contains("no-servers"), "{got}");
    let side = ready["side"].as_str().unwrap();
    assert!(ask(side, "/health").contains("\"ready\":false"));
    assert!(ask(side, "/metrics").contains("cloverhollow_refused_total{reason=\"no-servers\"} 1"));
    child.kill().unwrap();
    let out = child.wait_with_output().unwrap();
    let logs = String::from_utf8_lossy(&out.stderr);
    assert!(logs.lines().all(|l| serde_json::from_str::<serde_json::Value>(l).is_ok()), "{logs}");
    let record = std::fs::read_dir(&dir).unwrap().find_map(|f| {
        let path = f.unwrap().path();
        path.extension().is_some_and(|e| e == "rec").then_some(path)
    });
    let out = run(&["replay", &record.unwrap().display().to_string()]);
    let said = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success() && said.contains("the same actions came out"), "{said}");
}

#[test]
fn a_wrong_node_config_exits_2_and_names_file_and_field() {
    let file = folder("node").join("config.json");
    let path = file.display().to_string();
    let node = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let out =
            Command::new(env!("CARGO_BIN_EXE_cloverhollow")).arg("node").env("NODE_CONFIG", &path).output();
        let out = out.unwrap();
        assert_eq!(out.status.code(), Some(2));
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    assert!(node("{").contains(&format!("{path}: file: ")));
    let text = r#"{"name":"n0","listen":"127.0.0.1:0","seed":"x","limits":{"sockets":256},"channel":"127.0.0.1:1","known":{},"settings":{}}"#;
    let said = node(text);
    assert!(said.contains(&format!("{path}: seed: `x` is not 1 to 16 hex digits")), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
    let out = Command::new(env!("CARGO_BIN_EXE_cloverhollow")).arg("node").env_remove("NODE_CONFIG").output();
    assert_eq!(out.unwrap().status.code(), Some(2));
}
