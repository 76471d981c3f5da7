//! The list as discovery keeps it, and the patches that lead to it.

use cloverhollow_session::{ServerEntry, WireState};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone)]
pub(super) struct Listed {
    pub(super) entry: ServerEntry,
    pub(super) started: Option<Duration>,
}

pub(super) struct State {
    pub(super) version: u64,
    pub(super) servers: BTreeMap<u64, Listed>,
    /// Patches to leave out, so that subscribers see a gap.
    pub(super) skip: u32,
    /// All patches, for those who ask from a version on.
    pub(super) told: Vec<Patch>,
}

#[derive(Clone)]
pub(super) struct Patch {
    pub(super) after: u64,
    pub(super) version: u64,
    pub(super) servers: Vec<Listed>,
    pub(super) skipped: bool,
}

impl Patch {
    /// Servers that take no new work, and those that do with their incarnation.
    pub(super) fn states(&self) -> (Vec<u64>, Vec<(u64, u64)>) {
        let of = |serving: bool| {
            self.servers.iter().map(|l| &l.entry).filter(move |e| (e.state == WireState::Serving) == serving)
        };
        (of(false).map(|e| e.id).collect(), of(true).map(|e| (e.id, e.incarnation)).collect())
    }
}
