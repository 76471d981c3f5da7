//! The store persists its last state. Truncated, corrupt and foreign files are renamed and never trusted.

use cloverhollow_store::{PersistedState, Store};
use std::path::PathBuf;

fn store_path(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("cloverhollow-store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir.join("front.keep")
}

fn state(n: u8) -> PersistedState {
    PersistedState { list: vec![n; 3000], knowledge: vec![n, n, n] }
}

#[test]
fn the_last_saved_state_is_loaded_when_the_store_is_opened_again() {
    let path = store_path("stop");
    let opened = Store::open(&path).unwrap();
    assert!(opened.state.is_none() && opened.quarantined.is_none());
    for n in 0..20 {
        opened.store.save(&state(n)).unwrap();
    }
    drop(opened);
    assert_eq!(Store::open(&path).unwrap().state, Some(state(19)));
}

#[test]
fn the_last_saved_state_survives_a_process_that_does_not_close_the_store() {
    let path = store_path("crash");
    let opened = Store::open(&path).unwrap();
    opened.store.save(&state(7)).unwrap();
    // A copy of the open file is what a kill leaves on the disk.
    let copy = path.with_extension("copy");
    std::fs::copy(&path, &copy).unwrap();
    assert_eq!(Store::open(&copy).unwrap().state, Some(state(7)));
}

#[test]
fn truncated_and_corrupt_files_give_a_saved_state_or_are_quarantined() {
    let path = store_path("torn");
    let opened = Store::open(&path).unwrap();
    opened.store.save(&state(1)).unwrap();
    opened.store.save(&state(2)).unwrap();
    drop(opened);
    let intact = std::fs::read(&path).unwrap();
    let (mut loaded, mut quarantined) = (0, 0);
    let mut check = |bytes: &[u8], case: &str| {
        let damaged = path.with_extension("broken");
        std::fs::write(&damaged, bytes).unwrap();
        let opened = Store::open(&damaged).unwrap_or_else(|e| panic!("{case}: {e}"));
        match opened.state {
            Some(s) => {
                assert!(s == state(1) || s == state(2), "{case}: loaded a state that was never saved");
                loaded += 1;
            }
            None => quarantined += usize::from(opened.quarantined.is_some()),
        }
        // In either case the store can be written to afterwards.
        opened.store.save(&state(3)).unwrap();
    };
    for len in (0..intact.len()).step_by(intact.len() / 24 + 1) {
        check(&intact[..len], &format!("truncated to {len} bytes"));
    }
    for i in 0..60 {
        let mut corrupt = intact.clone();
        let offset = (i * 7919 + 13) % corrupt.len();
        corrupt[offset] ^= 0xff;
        check(&corrupt, &format!("byte {offset} corrupt"));
    }
    check(b"not a store at all", "foreign");
    assert!(loaded > 0 && quarantined > 0, "{loaded} loaded, {quarantined} quarantined");
}

#[test]
fn opening_a_store_in_a_missing_directory_is_an_error() {
    assert!(Store::open(std::path::Path::new("/nowhere/at/all.keep")).is_err());
}
