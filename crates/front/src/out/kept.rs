//! What is kept over a restart, in the small file `.out` beside `keep.file`: whose permits are to be given back, and what
//! a witness promised and took.
//!
//! A witness's answer goes out once what it rests on is written, or not at all: the disk is waited for by a task of
//! its own. Without a file nothing is kept: permits lapse by their lease, and a witness says that it forgot.

use super::said::Said;
use super::Out;
use crate::clock::boot;
use cloverhollow_out::{Acceptor, PersistedState};
use cloverhollow_settings::{Durability, FrontSettings};
use cloverhollow_store::sibling_path;
use serde::{Deserialize, Serialize};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Most permits of earlier lives that are remembered; further ones lapse by their lease.
pub(super) const MOST_OWED: usize = 4;

/// The file's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Leaf {
    /// In which boot of the machine it was written.
    boot: String,
    /// Lives whose permit is not given back.
    pub(super) owed: Vec<u64>,
    /// The witness, where this front is one.
    pub(super) clerk: Option<PersistedState>,
}

impl Leaf {
    pub(super) fn new(owed: Vec<u64>, clerk: Option<PersistedState>) -> Leaf {
        Leaf { boot: here(), owed, clerk }
    }
}

/// The file.
#[derive(Clone, Debug)]
pub(crate) struct LeafFile {
    path: PathBuf,
    sync: bool,
}

impl LeafFile {
    pub(super) fn of(settings: &FrontSettings) -> Option<LeafFile> {
        let path = sibling_path(settings.persistence.file.as_deref()?, ".out");
        Some(LeafFile { path, sync: settings.persistence.durability == Durability::Machine })
    }

    /// What the last life left. What was not on the disk may be older than what went out before the machine fell:
    /// then the witness forgot.
    pub(super) fn read(&self) -> Leaf {
        let text = match std::fs::read(&self.path) {
            Ok(text) => text,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Leaf::default(),
            Err(error) => {
                tracing::warn!(file = %self.path.display(), %error, "what was kept of permits is not read");
                return Leaf::default();
            }
        };
        let mut leaf: Leaf = serde_json::from_slice(&text).unwrap_or_else(|error| {
            tracing::warn!(file = %self.path.display(), %error, "what was kept of permits is not used");
            Leaf::default()
        });
        if !self.sync && leaf.boot != here() {
            leaf.clerk = None;
        }
        leaf.owed.truncate(MOST_OWED);
        leaf
    }

    /// Writes it whole, beside and then in its place.
    pub(super) fn write(&self, leaf: &Leaf) -> std::io::Result<()> {
        let new = sibling_path(&self.path, ".new");
        let mut file = std::fs::File::create(&new)?;
        file.write_all(&serde_json::to_vec(leaf)?)?;
        if self.sync {
            file.sync_all()?;
        }
        std::fs::rename(&new, &self.path)?;
        match self.path.parent().filter(|_| self.sync) {
            Some(dir) if dir != Path::new("") => std::fs::File::open(dir)?.sync_all(),
            _ => Ok(()),
        }
    }
}

fn here() -> String {
    format!("{:032x}", boot().0)
}

impl Out {
    /// A life may hold a permit that is to be given back.
    pub(super) fn owe(&mut self, life: u64) {
        if !self.owed.contains(&life) {
            self.owed.push(life);
            self.owed.truncate(MOST_OWED);
            self.version += 1;
        }
    }

    /// Whether something has changed since the last try to write.
    pub(crate) fn has_to_keep(&self) -> bool {
        self.version > self.tried || !self.answers.is_empty()
    }

    /// What is to be written.
    pub(crate) fn to_keep(&self) -> (u64, Option<(LeafFile, Leaf)>) {
        let leaf = || Leaf::new(self.owed.clone(), self.clerk.as_ref().map(Acceptor::persisted_state));
        (self.version, self.file.clone().map(|file| (file, leaf())))
    }

    /// That was written, or could not be: then the answers that rest on it are not given.
    pub(crate) fn set_kept(&mut self, version: u64, good: bool) {
        self.tried = self.tried.max(version);
        if good {
            self.good = self.good.max(version);
        }
        while let Some((_, to, word)) = self.answers.pop_front_if(|a| a.0 <= version) {
            if good {
                self.words.push((to, Said::Out(word)));
            }
        }
    }
}
