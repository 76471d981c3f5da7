//! Requirements of the platform on `deploy/balancer.toml` and on the program that it starts.

use object::{Object, ObjectSection};
use std::path::Path;

/// Root of the workspace.
fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn deploy() -> toml::Table {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    text.parse().unwrap()
}

/// `run` and `sim` replace the shell by one process: `exec`, a program that `build` produces, and no shell syntax.
#[test]
fn run_commands_exec_a_single_program_produced_by_build() {
    let deploy = deploy();
    for (key, package) in [("run", "cloverhollow-cli"), ("sim", "cloverhollow-drill")] {
        let words: Vec<&str> = deploy[key].as_str().unwrap().split(' ').collect();
        assert_eq!(words[0], "exec", "{key}");
        let program = words[1].strip_prefix("target/release/").unwrap_or_else(|| panic!("{key}: {words:?}"));
        assert!(words.iter().all(|w| w.bytes().all(|b| b.is_ascii_alphanumeric() || b"/-_.".contains(&b))));
        assert!(deploy["build"].as_str().unwrap().contains(&format!("-p {package}")), "{key}");
        let manifest = std::fs::read_to_string(root().join("crates").join(&package[13..]).join("Cargo.toml"));
        assert!(manifest.unwrap().contains(&format!("name = \"{program}\"")), "{key}: {program}");
    }
    for key in ["policy", "node"] {
        for path in deploy[key].as_array().unwrap() {
            assert!(root().join(path.as_str().unwrap()).exists(), "{key}: {path}");
        }
    }
}

/// The executable names a dynamic loader and the C library.
#[test]
fn program_is_linked_dynamically_against_the_c_library() {
    let bytes = std::fs::read(env!("CARGO_BIN_EXE_cloverhollow")).unwrap();
    let file = object::File::parse(&*bytes).unwrap();
    let section = |name: &str| file.section_by_name(name).and_then(|s| s.data().ok()).unwrap_or_default();
    let interpreter = String::from_utf8_lossy(section(".interp")).into_owned();
    assert!(interpreter.contains("ld-linux"), "interpreter {interpreter:?}");
    let needed = section(".dynstr").split(|b| *b == 0).any(|name| name.starts_with(b"libc.so."));
    assert!(needed, "the C library is not among the needed libraries");
}
