//! Permit state that survives a restart, in the file `.out` beside `keep.file`: permits to return, and the
//! ballots that an acceptor promised and accepted.
//!
//! An acceptor's reply is sent once the state it rests on is written, or not at all; a separate task waits
//! for the disk. Without a file nothing is persisted: permits expire by their lease, and an acceptor reports
//! that it lost its memory.

use super::messages::PermitMessage;
use super::OutOfService;
use crate::clock::current_boot;
use cloverhollow_out::{Acceptor, PersistedState};
use cloverhollow_settings::{Durability, FrontSettings};
use cloverhollow_store::sibling_path;
use serde::{Deserialize, Serialize};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Maximum number of incarnations whose permit is remembered; the permits of others expire by their lease.
pub(super) const MAX_UNRETURNED: usize = 4;

/// Contents of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitState {
    /// Boot of the machine in which the file was written.
    boot: String,
    /// Incarnations whose permit is not returned.
    #[serde(rename = "owed")]
    pub(super) unreturned: Vec<u64>,
    /// Acceptor state, if this front is a witness.
    #[serde(rename = "clerk")]
    pub(super) acceptor: Option<PersistedState>,
}

impl PermitState {
    pub(super) fn new(unreturned: Vec<u64>, acceptor: Option<PersistedState>) -> PermitState {
        PermitState { boot: boot_id(), unreturned, acceptor }
    }
}

/// The permit state file.
#[derive(Clone, Debug)]
pub(crate) struct PermitFile {
    path: PathBuf,
    sync: bool,
}

impl PermitFile {
    pub(super) fn from_settings(settings: &FrontSettings) -> Option<PermitFile> {
        let path = sibling_path(settings.persistence.file.as_deref()?, ".out");
        Some(PermitFile { path, sync: settings.persistence.durability == Durability::Machine })
    }

    /// Reads the state of the previous incarnation.
    ///
    /// Without sync, a file from an earlier boot may be older than the replies already sent when the machine
    /// failed, so its acceptor state is discarded.
    pub(super) fn read(&self) -> PermitState {
        let text = match std::fs::read(&self.path) {
            Ok(text) => text,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return PermitState::default(),
            Err(error) => {
                tracing::warn!(file = %self.path.display(), %error, "permit state file cannot be read");
                return PermitState::default();
            }
        };
        let mut state: PermitState = serde_json::from_slice(&text).unwrap_or_else(|error| {
            tracing::warn!(file = %self.path.display(), %error, "permit state file is not valid; ignored");
            PermitState::default()
        });
        if !self.sync && state.boot != boot_id() {
            state.acceptor = None;
        }
        state.unreturned.truncate(MAX_UNRETURNED);
        state
    }

    /// Writes a new file beside the old one and renames it into place.
    pub(super) fn write(&self, state: &PermitState) -> std::io::Result<()> {
        let new_path = sibling_path(&self.path, ".new");
        let mut file = std::fs::File::create(&new_path)?;
        file.write_all(&serde_json::to_vec(state)?)?;
        if self.sync {
            file.sync_all()?;
        }
        std::fs::rename(&new_path, &self.path)?;
        match self.path.parent().filter(|_| self.sync) {
            Some(dir) if dir != Path::new("") => std::fs::File::open(dir)?.sync_all(),
            _ => Ok(()),
        }
    }
}

fn boot_id() -> String {
    format!("{:032x}", current_boot().0)
}

impl OutOfService {
    /// Records an incarnation that may hold a permit to be returned.
    pub(super) fn add_unreturned(&mut self, incarnation: u64) {
        if !self.unreturned.contains(&incarnation) {
            self.unreturned.push(incarnation);
            self.unreturned.truncate(MAX_UNRETURNED);
            self.state_version += 1;
        }
    }

    /// Returns true if the state has changed since the last write attempt.
    pub(crate) fn needs_persisting(&self) -> bool {
        self.state_version > self.attempted_version || !self.delayed_replies.is_empty()
    }

    /// Returns the version and the state to write; no file if nothing is persisted.
    pub(crate) fn state_to_persist(&self) -> (u64, Option<(PermitFile, PermitState)>) {
        let state = || {
            PermitState::new(self.unreturned.clone(), self.acceptor.as_ref().map(Acceptor::persisted_state))
        };
        (self.state_version, self.state_file.clone().map(|file| (file, state())))
    }

    /// Records the outcome of writing `version`. After a failure the replies that rest on it are dropped.
    pub(crate) fn set_persisted(&mut self, version: u64, succeeded: bool) {
        self.attempted_version = self.attempted_version.max(version);
        if succeeded {
            self.persisted_version = self.persisted_version.max(version);
        }
        while let Some((_, to, message)) = self.delayed_replies.pop_front_if(|reply| reply.0 <= version) {
            if succeeded {
                self.outgoing.push((to, PermitMessage::Register(message)));
            }
        }
    }
}
