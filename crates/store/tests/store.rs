//! The store: kept over a stop; torn, garbled and foreign files are set aside and never trusted.

use cloverhollow_store::{PersistedState, Store};
use std::path::PathBuf;

fn file(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("cloverhollow-store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir.join("front.keep")
}

fn kept(n: u8) -> PersistedState {
    PersistedState { list: vec![n; 3000], knowledge: vec![n, n, n] }
}

#[test]
fn what_is_put_is_there_after_a_stop_and_the_last_pair_counts() {
    let path = file("stop");
    let opened = Store::open(&path).unwrap();
    assert!(opened.state.is_none() && opened.quarantined.is_none());
    for n in 0..20 {
        opened.store.save(&kept(n)).unwrap();
    }
    drop(opened);
    assert_eq!(Store::open(&path).unwrap().state, Some(kept(19)));
}

#[test]
fn a_process_that_ends_without_closing_leaves_the_last_pair() {
    let path = file("crash");
    let opened = Store::open(&path).unwrap();
    opened.store.save(&kept(7)).unwrap();
    // As a kill leaves it: the file as it stands on the disk, never closed.
    let copy = path.with_extension("copy");
    std::fs::copy(&path, &copy).unwrap();
    assert_eq!(Store::open(&copy).unwrap().state, Some(kept(7)));
}

#[test]
fn torn_and_garbled_files_give_what_was_written_or_are_set_aside() {
    let path = file("torn");
    let opened = Store::open(&path).unwrap();
    opened.store.save(&kept(1)).unwrap();
    opened.store.save(&kept(2)).unwrap();
    drop(opened);
    let whole = std::fs::read(&path).unwrap();
    let (mut trusted, mut aside) = (0, 0);
    let mut look = |bytes: &[u8], what: &str| {
        let broken = path.with_extension("broken");
        std::fs::write(&broken, bytes).unwrap();
        let opened = Store::open(&broken).unwrap_or_else(|e| panic!("{what}: {e}"));
        match opened.state {
            Some(k) => {
                assert!(k == kept(1) || k == kept(2), "{what}: something else is trusted");
                trusted += 1;
            }
            None => aside += usize::from(opened.quarantined.is_some()),
        }
        // Either way it can be written from here on.
        opened.store.save(&kept(3)).unwrap();
    };
    for cut in (0..whole.len()).step_by(whole.len() / 24 + 1) {
        look(&whole[..cut], &format!("cut at {cut}"));
    }
    for i in 0..60 {
        let mut bad = whole.clone();
        let at = (i * 7919 + 13) % bad.len();
        bad[at] ^= 0xff;
        look(&bad, &format!("byte {at} garbled"));
    }
    look(b"not a store at all", "foreign");
    assert!(trusted > 0 && aside > 0, "{trusted} trusted, {aside} set aside");
}

#[test]
fn a_folder_that_is_not_there_is_an_error_and_no_panic() {
    assert!(Store::open(std::path::Path::new("/nowhere/at/all.keep")).is_err());
}
