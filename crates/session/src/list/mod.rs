//! The server list: discovery's messages, their order, and what is kept for the next start.

mod feed;
mod saved;

pub use feed::{Feed, FeedError, ListMessage, ListNews, MessageKind};
pub use saved::SavedList;

use crate::broken::{hold, Broken};
use crate::terms::Terms;
use cloverhollow::{ListEntry, ListMode, ServerId, ServerState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Most servers that a list may hold.
pub const MOST_SERVERS: usize = 65_536;
/// Longest message of discovery, bytes.
pub const MOST_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// State of a server as discovery writes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireState {
    /// Takes new work.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Is gone.
    Gone,
}

/// One server as discovery writes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Its id: the same at every front, and the same when its process restarts.
    pub id: ServerId,
    /// What all fronts know it by alike, where `id` is this front's own number of it; absent: `id`.
    #[serde(skip)]
    pub key: Option<u64>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hall.
    #[serde(default)]
    pub hall: String,
    /// Its kind, by name.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// Its weight, without a unit.
    #[serde(default = "one")]
    pub weight: f64,
    /// Its state.
    pub state: WireState,
    /// Rises with each start of its process.
    #[serde(default)]
    pub incarnation: u64,
    /// How long ago its process started, ms at the time of sending; absent: long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms_ago: Option<u64>,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Debug)]
struct Known {
    entry: ServerEntry,
    /// When its process started, on this front's clock; zero: long ago.
    started: Duration,
}

/// What the last list says, on this front's clock.
#[derive(Debug, Default)]
pub struct ServerList {
    version: u64,
    servers: BTreeMap<ServerId, Known>,
}

/// What news of the list mean.
#[derive(Debug)]
pub struct Applied {
    /// For the decision module.
    pub entries: Vec<ListEntry>,
    /// Servers that took new work before and do no longer.
    pub stopped: BTreeSet<ServerId>,
}

impl ServerList {
    /// Takes news in.
    pub fn apply(&mut self, now: Duration, news: &ListNews, terms: &Terms) -> Applied {
        let mut out = Applied { entries: Vec::new(), stopped: BTreeSet::new() };
        if news.mode == ListMode::Failed {
            return out;
        }
        self.version = news.version;
        if news.mode != ListMode::Patch {
            let named: BTreeSet<ServerId> = news.entries.iter().map(|e| e.id).collect();
            for (id, known) in self.servers.iter_mut().filter(|(id, _)| !named.contains(id)) {
                if known.entry.state == WireState::Serving {
                    out.stopped.insert(*id);
                }
                known.entry.state = WireState::Gone;
            }
        }
        let mut there = self.servers.values().filter(|k| k.entry.state != WireState::Gone).count();
        let mut left_out = 0;
        for e in &news.entries {
            // Guards against a list that grows by patches without end: each message is bounded, their sum is not.
            let was = self.servers.get(&e.id).is_some_and(|k| k.entry.state != WireState::Gone);
            let is = e.state != WireState::Gone;
            if is && !was && there >= MOST_SERVERS {
                left_out += 1;
                continue;
            }
            there = there + usize::from(is) - usize::from(was);
            let started = self.started(now, e);
            let before = self.servers.insert(e.id, Known { entry: e.clone(), started });
            let served = before.is_some_and(|k| k.entry.state == WireState::Serving);
            if served && e.state != WireState::Serving {
                out.stopped.insert(e.id);
            }
            out.entries.push(ListEntry {
                server: e.id,
                shared_key: e.key.unwrap_or(e.id),
                cell: e.cell,
                kind: terms.kind(&e.kind),
                weight: e.weight,
                state: match e.state {
                    WireState::Serving => ServerState::Serving,
                    WireState::Draining => ServerState::Draining,
                    WireState::Gone => ServerState::Removed,
                },
                started_at: started,
                in_other_zone: e.hall != terms.hall,
            });
        }
        if left_out > 0 {
            tracing::warn!(left_out, most = MOST_SERVERS, "more servers than a list may hold");
        }
        out
    }

    /// Lets servers go that are gone for good and that nobody `uses`: each has an id of its own, and they would
    /// fill the list over the months.
    pub fn let_go(&mut self, uses: impl Fn(ServerId) -> bool) {
        self.servers.retain(|id, k| k.entry.state != WireState::Gone || uses(*id));
    }

    /// How many servers it holds, those that are gone among them.
    #[allow(clippy::len_without_is_empty)] // nobody asks
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether a server that is gone is still held.
    pub fn holds_gone(&self) -> bool {
        self.servers.values().any(|k| k.entry.state == WireState::Gone)
    }

    /// When a process started. Each message tells it anew as an age, some milliseconds off: for a start that
    /// is known already the first word stays, else each message would look like a restart.
    fn started(&self, now: Duration, e: &ServerEntry) -> Duration {
        let known = self.servers.get(&e.id).filter(|k| k.entry.incarnation == e.incarnation);
        match (known, e.started_ms_ago) {
            (Some(k), _) => k.started,
            (None, None) => Duration::ZERO,
            (None, Some(ms)) => now.saturating_sub(Duration::from_millis(ms)),
        }
    }

    /// Where a server listens.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|k| k.entry.address)
    }

    /// Whether that entry tells of another process than the one that is listed under its id.
    pub fn is_restart(&self, e: &ServerEntry) -> bool {
        self.servers.get(&e.id).is_some_and(|k| k.entry.incarnation != e.incarnation)
    }

    /// Other servers that were listed at that address.
    pub fn others_at(&self, address: SocketAddr, server: ServerId) -> Vec<ServerId> {
        let there = self.servers.iter().filter(|(id, k)| k.entry.address == address && **id != server);
        there.map(|(id, _)| *id).collect()
    }

    /// How many servers take new work.
    pub fn serving(&self) -> usize {
        self.servers.values().filter(|k| k.entry.state == WireState::Serving).count()
    }

    /// Whether a server takes new work.
    pub(crate) fn serves(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|k| k.entry.state == WireState::Serving)
    }

    /// Servers that are there are bounded; those that are gone stay while a session is there.
    pub(crate) fn check(&self, sessions: usize) -> Result<(), Broken> {
        let (held, most) = (self.servers.len(), MOST_SERVERS + sessions);
        hold(held <= most, || Broken::List { held, most })
    }

    /// Version of the last list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// As it is kept on disk.
    pub fn save(&self, now: Duration) -> SavedList {
        let servers = self.servers.values().filter(|k| k.entry.state != WireState::Gone);
        let aged = servers.map(|k| {
            let ago = (!k.started.is_zero()).then(|| now.saturating_sub(k.started).as_millis() as u64);
            ServerEntry { started_ms_ago: ago, ..k.entry.clone() }
        });
        SavedList { format: SavedList::FORMAT, version: self.version, servers: aged.collect() }
    }
}
