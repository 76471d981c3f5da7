//! The list of video servers, kept up to date by discovery.

mod feed;
mod saved;

pub use feed::{Feed, FeedError, ListMessage, ListUpdate, MessageKind};
pub use saved::SavedList;

use crate::config::CoreConfig;
use crate::invariants::{ensure, InvariantViolation};
use cloverhollow::{ListEntry, ListMode, ServerId, ServerState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of servers on the list that are not gone.
pub const MAX_SERVERS: usize = 65_536;
/// Maximum length of a discovery message, bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// State of a server, as written by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireState {
    /// The server accepts new sessions.
    Serving,
    /// The server finishes its sessions and accepts no new ones.
    Draining,
    /// The server has been removed from the fleet.
    Gone,
}

/// One server, as written by discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Id of the server. It is the same at every front, and does not change when the server's process restarts.
    pub id: ServerId,
    /// Key by which all fronts know the server, where `id` is a number local to this front. `None` means `id`.
    #[serde(skip)]
    pub key: Option<u64>,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Zone of the server.
    #[serde(default, rename = "hall")]
    pub zone: String,
    /// Name of the server's kind.
    #[serde(default)]
    pub kind: String,
    /// Cell of the server.
    #[serde(default)]
    pub cell: u64,
    /// Size of the server's link relative to that of other servers, without a unit. Used only if the settings
    /// size links by weight.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// State of the server.
    pub state: WireState,
    /// Number that rises with each start of the server's process.
    #[serde(default)]
    pub incarnation: u64,
    /// Age of the server's process when the message was sent, ms. `None` if it started long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms_ago: Option<u64>,
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Clone, Debug)]
struct ListedServer {
    entry: ServerEntry,
    /// Start of the server's process on this front's clock; zero if it started long ago.
    started_at: Duration,
}

/// Servers named by discovery, with times on this front's clock.
///
/// A server that is gone stays on the list until [`ServerList::prune_gone`] removes it.
#[derive(Debug, Default)]
pub struct ServerList {
    version: u64,
    servers: BTreeMap<ServerId, ListedServer>,
}

/// Changes caused by an update of the list.
#[derive(Debug)]
pub struct AppliedUpdate {
    /// Changed servers in the policy's form.
    pub entries: Vec<ListEntry>,
    /// Servers that accepted new sessions before the update and do not any more.
    pub stopped: BTreeSet<ServerId>,
}

impl ServerList {
    /// Applies an update.
    pub fn apply(&mut self, now: Duration, update: &ListUpdate, config: &CoreConfig) -> AppliedUpdate {
        let mut applied = AppliedUpdate { entries: Vec::new(), stopped: BTreeSet::new() };
        if update.mode == ListMode::Failed {
            return applied;
        }
        self.version = update.version;
        if update.mode != ListMode::Patch {
            let named: BTreeSet<ServerId> = update.entries.iter().map(|e| e.id).collect();
            for (id, listed) in self.servers.iter_mut().filter(|(id, _)| !named.contains(id)) {
                if listed.entry.state == WireState::Serving {
                    applied.stopped.insert(*id);
                }
                listed.entry.state = WireState::Gone;
            }
        }
        let mut present = self.servers.values().filter(|s| s.entry.state != WireState::Gone).count();
        let mut left_out = 0;
        for entry in &update.entries {
            // Each message is bounded, but patches could add servers without end.
            let was_present = self.servers.get(&entry.id).is_some_and(|s| s.entry.state != WireState::Gone);
            let is_present = entry.state != WireState::Gone;
            if is_present && !was_present && present >= MAX_SERVERS {
                left_out += 1;
                continue;
            }
            present = present + usize::from(is_present) - usize::from(was_present);
            let started_at = self.started_at(now, entry);
            let previous = self.servers.insert(entry.id, ListedServer { entry: entry.clone(), started_at });
            let served = previous.is_some_and(|s| s.entry.state == WireState::Serving);
            if served && entry.state != WireState::Serving {
                applied.stopped.insert(entry.id);
            }
            applied.entries.push(ListEntry {
                server: entry.id,
                shared_key: entry.key.unwrap_or(entry.id),
                cell: entry.cell,
                kind: config.kind_index(&entry.kind),
                weight: entry.weight,
                state: match entry.state {
                    WireState::Serving => ServerState::Serving,
                    WireState::Draining => ServerState::Draining,
                    WireState::Gone => ServerState::Removed,
                },
                started_at,
                in_other_zone: entry.zone != config.zone,
            });
        }
        if left_out > 0 {
            tracing::warn!(left_out, most = MAX_SERVERS, "server list full; new servers ignored");
        }
        applied
    }

    /// Removes servers that are gone and that `in_use` rejects. Each of them has an id of its own, so without this
    /// the list would grow without bound over months.
    pub fn prune_gone(&mut self, in_use: impl Fn(ServerId) -> bool) {
        self.servers.retain(|id, s| s.entry.state != WireState::Gone || in_use(*id));
    }

    /// Number of servers held, those that are gone included.
    #[allow(clippy::len_without_is_empty)] // Nothing needs `is_empty`.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether a server that is gone is still held.
    pub fn has_gone(&self) -> bool {
        self.servers.values().any(|s| s.entry.state == WireState::Gone)
    }

    /// Start of the process named by an entry. Each message gives it as an age, some milliseconds off, so the first
    /// value stays for as long as the incarnation does; else each message would look like a restart.
    fn started_at(&self, now: Duration, entry: &ServerEntry) -> Duration {
        let listed = self.servers.get(&entry.id).filter(|s| s.entry.incarnation == entry.incarnation);
        match (listed, entry.started_ms_ago) {
            (Some(s), _) => s.started_at,
            (None, None) => Duration::ZERO,
            (None, Some(ms)) => now.saturating_sub(Duration::from_millis(ms)),
        }
    }

    /// Address that a server listens on; `None` if the server is not on the list.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|s| s.entry.address)
    }

    /// Returns whether an entry names another incarnation than the one listed under its id.
    pub fn is_restart(&self, entry: &ServerEntry) -> bool {
        self.servers.get(&entry.id).is_some_and(|s| s.entry.incarnation != entry.incarnation)
    }

    /// Servers other than `server` that are listed at an address.
    pub fn others_at_address(&self, address: SocketAddr, server: ServerId) -> Vec<ServerId> {
        let others = self.servers.iter().filter(|(id, s)| s.entry.address == address && **id != server);
        others.map(|(id, _)| *id).collect()
    }

    /// Number of servers that accept new sessions.
    pub fn serving_count(&self) -> usize {
        self.servers.values().filter(|s| s.entry.state == WireState::Serving).count()
    }

    /// Returns whether a server accepts new sessions.
    pub(crate) fn is_serving(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|s| s.entry.state == WireState::Serving)
    }

    /// Checks the bound on the list. A server that is gone may stay for as long as one of `sessions` sessions is
    /// there.
    pub(crate) fn check(&self, sessions: usize) -> Result<(), InvariantViolation> {
        let (held, max) = (self.servers.len(), MAX_SERVERS + sessions);
        ensure(held <= max, || InvariantViolation::ListBound { held, max })
    }

    /// Version of the last list applied.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Copy of the list to persist.
    pub fn to_saved(&self, now: Duration) -> SavedList {
        let servers = self.servers.values().filter(|s| s.entry.state != WireState::Gone);
        let with_age = servers.map(|s| {
            let age = (!s.started_at.is_zero()).then(|| now.saturating_sub(s.started_at).as_millis() as u64);
            ServerEntry { started_ms_ago: age, ..s.entry.clone() }
        });
        SavedList { format: SavedList::FORMAT, version: self.version, servers: with_age.collect() }
    }
}
