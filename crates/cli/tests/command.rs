//! The command `cloverhollow` as a process: exit codes, the ready line, and the replay of a recording.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

fn temp_dir(name: &str) -> PathBuf {
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
    let file = temp_dir("bad").join("front.yaml");
    std::fs::write(&file, "instance:\n  fronts: 0\n").unwrap();
    let path = file.display().to_string();
    for command in ["check", "serve"] {
        let out = run(&[command, "--config", &path]);
        let output = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{output}");
        assert!(output.contains(&format!("{path}:2: instance.fronts: 0 is not in 1..=10000")), "{output}");
    }
    assert_eq!(run(&["check", "--config", "/nowhere.yaml"]).status.code(), Some(2));
    assert_eq!(run(&["replay", "/nowhere.rec"]).status.code(), Some(2));
    assert_eq!(run(&["frobnicate"]).status.code(), Some(2));
}

#[test]
fn shipped_settings_are_valid_and_name_every_field() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/front.yaml");
    let out = run(&["check", "--config", shipped]);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    // Operators would not notice a field that the code has and the shipped file does not mention.
    let text = std::fs::read_to_string(shipped).unwrap();
    let fields = settings_keys();
    assert!(fields.len() >= 128, "only {} fields found in the source of the settings", fields.len());
    for field in fields {
        assert!(text.contains(&format!("{field}:")), "{field} is missing in deploy/front.yaml");
    }
}

/// Keys of all settings, read from the source of their types: the name given by `rename`, else the field's own.
fn settings_keys() -> Vec<String> {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../settings/src");
    let sections = std::fs::read_dir(source.join("fields")).unwrap().map(|entry| entry.unwrap().path());
    let mut keys = Vec::new();
    for file in sections.chain([source.join("fields.rs")]) {
        let code = std::fs::read_to_string(file).unwrap();
        let mut renamed = None;
        for line in code.lines().map(str::trim) {
            if let Some(attribute) = line.strip_prefix("#[serde(rename = \"") {
                renamed = attribute.split('"').next();
            }
            if let Some((field, _)) = line.strip_prefix("pub ").and_then(|item| item.split_once(':')) {
                keys.push(renamed.take().unwrap_or(field).to_owned());
            }
        }
    }
    keys.retain(|key| key.chars().all(|c| c.is_ascii_lowercase() || c == '_'));
    keys
}

#[test]
fn front_records_its_steps_and_the_recording_replays_the_same() {
    let dir = temp_dir("serve");
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
    let get = |address: &str, path: &str| {
        let mut stream = TcpStream::connect(address).unwrap();
        write!(
            stream,
            "GET {path} HTTP/1.1\r\nhost: f\r\nconnection: close\r\ncmcd-session: sid=\"x\"\r\n\r\n"
        )
        .unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    };
    let response = get(ready["address"].as_str().unwrap(), "/club/video/t/0");
    assert!(response.starts_with("HTTP/1.1 503") && response.contains("no-servers"), "{response}");
    let side = ready["side"].as_str().unwrap();
    assert!(get(side, "/health").contains("\"ready\":false"));
    assert!(get(side, "/metrics").contains("cloverhollow_refused_total{reason=\"no-servers\"} 1"));
    child.kill().unwrap();
    let out = child.wait_with_output().unwrap();
    let logs = String::from_utf8_lossy(&out.stderr);
    assert!(logs.lines().all(|l| serde_json::from_str::<serde_json::Value>(l).is_ok()), "{logs}");
    let recording = std::fs::read_dir(&dir).unwrap().find_map(|f| {
        let path = f.unwrap().path();
        path.extension().is_some_and(|e| e == "rec").then_some(path)
    });
    let out = run(&["replay", &recording.unwrap().display().to_string()]);
    let output = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success() && output.contains("the same actions came out"), "{output}");
}

#[test]
fn invalid_node_config_exits_2_and_names_file_and_field() {
    let file = temp_dir("node").join("config.json");
    let path = file.display().to_string();
    let run_node = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let out =
            Command::new(env!("CARGO_BIN_EXE_cloverhollow")).arg("node").env("NODE_CONFIG", &path).output();
        let out = out.unwrap();
        assert_eq!(out.status.code(), Some(2));
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    assert!(run_node("{").contains(&format!("{path}: file: ")));
    let text = r#"{"name":"n0","listen":"127.0.0.1:0","seed":"x","limits":{"sockets":256},"channel":"127.0.0.1:1","known":{},"settings":{}}"#;
    let output = run_node(text);
    assert!(output.contains(&format!("{path}: seed: `x` is not 1 to 16 hex digits")), "{output}");
    assert_eq!(output.lines().count(), 1, "{output}");
    let out = Command::new(env!("CARGO_BIN_EXE_cloverhollow")).arg("node").env_remove("NODE_CONFIG").output();
    assert_eq!(out.unwrap().status.code(), Some(2));
}
