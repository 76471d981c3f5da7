//! The server list: discovery's messages, their order, and what is kept for the next start.

use crate::terms::Terms;
use cloverhollow::{Entry, ListMode, Listed, ServerId};
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

/// What a message holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MessageKind {
    /// All servers; what is missing is gone.
    Whole,
    /// Servers that changed since version `after`.
    Patch,
}

/// A message of discovery: the data of one event of its stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListMessage {
    /// What it holds.
    pub kind: MessageKind,
    /// Version of the list that it leads to.
    pub version: u64,
    /// Version that a patch goes out from.
    #[serde(default)]
    pub after: u64,
    /// The servers.
    pub servers: Vec<ServerEntry>,
}

/// News as the core takes it, in order and without gaps.
#[derive(Clone, Debug, PartialEq)]
pub struct ListNews {
    /// How the entries are to be read.
    pub mode: ListMode,
    /// Version of the list.
    pub version: u64,
    /// The entries.
    pub entries: Vec<ServerEntry>,
}

impl ListNews {
    /// The stream broke or could not be had: the list stays as it was.
    pub fn broken() -> Self {
        ListNews { mode: ListMode::Broken, version: 0, entries: Vec::new() }
    }
}

/// Why a message cannot be used. The stream is asked for again, from the start.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[allow(missing_docs)] // the messages say it
pub enum FeedError {
    #[error("a patch after version {after}, and {known:?} is known")]
    Gap { after: u64, known: Option<u64> },
    #[error("version {version} after {known}")]
    Backwards { version: u64, known: u64 },
    #[error("more than {MOST_SERVERS} servers")]
    TooMany,
    #[error("a server with a weight that is no positive number")]
    Weight,
    #[error("not a message: {0}")]
    Syntax(String),
}

/// Puts messages of one stream in order. A stream that is asked for anew gets a new feed, which begins with
/// a whole list: patches of two streams never mix.
#[derive(Debug, Default)]
pub struct Feed {
    known: Option<u64>,
}

impl Feed {
    /// Reads the data of one event.
    ///
    /// # Errors
    /// It is malformed, or out of order.
    pub fn read(&mut self, data: &str) -> Result<ListNews, FeedError> {
        let message: ListMessage =
            serde_json::from_str(data).map_err(|e| FeedError::Syntax(e.to_string()))?;
        if message.servers.len() > MOST_SERVERS {
            return Err(FeedError::TooMany);
        }
        if message.servers.iter().any(|s| !s.weight.is_finite() || s.weight <= 0.0) {
            return Err(FeedError::Weight);
        }
        let mode = match (message.kind, self.known) {
            (MessageKind::Whole, _) => ListMode::Whole,
            (MessageKind::Patch, Some(known)) if known == message.after => ListMode::Patch,
            (MessageKind::Patch, known) => return Err(FeedError::Gap { after: message.after, known }),
        };
        if let Some(known) = self.known.filter(|k| message.version <= *k && mode == ListMode::Patch) {
            return Err(FeedError::Backwards { version: message.version, known });
        }
        self.known = Some(message.version);
        Ok(ListNews { mode, version: message.version, entries: message.servers })
    }
}

/// The last list as it is kept on disk: the stale copy of the next start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedList {
    /// Version of this format.
    pub format: u32,
    /// Version of the list.
    pub version: u64,
    /// All servers, ages as of the saving.
    pub servers: Vec<ServerEntry>,
}

impl SavedList {
    /// The format that this program writes and reads.
    pub const FORMAT: u32 = 1;

    /// Reads a file's text.
    ///
    /// # Errors
    /// In words, why it cannot be trusted; the file is then set aside.
    pub fn read(text: &str) -> Result<SavedList, String> {
        let saved: SavedList = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if saved.format != Self::FORMAT {
            return Err(format!("format {} and not {}", saved.format, Self::FORMAT));
        }
        if saved.servers.len() > MOST_SERVERS {
            return Err(FeedError::TooMany.to_string());
        }
        Ok(saved)
    }

    /// As news at a start. How long ago it was saved is not known (clocks jump): a server that was cold when
    /// it was saved counts as started now, the careful way; the next list tells better.
    pub fn news(mut self, cold: Duration) -> ListNews {
        for s in &mut self.servers {
            s.started_ms_ago = s.started_ms_ago.filter(|ms| Duration::from_millis(*ms) < cold).map(|_| 0);
        }
        ListNews { mode: ListMode::Stale, version: self.version, entries: self.servers }
    }
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
    pub entries: Vec<Entry>,
    /// Servers that took new work before and do no longer.
    pub stopped: BTreeSet<ServerId>,
}

impl ServerList {
    /// Takes news in.
    pub fn apply(&mut self, now: Duration, news: &ListNews, terms: &Terms) -> Applied {
        let mut out = Applied { entries: Vec::new(), stopped: BTreeSet::new() };
        if news.mode == ListMode::Broken {
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
        for e in &news.entries {
            let started = self.started(now, e);
            let before = self.servers.insert(e.id, Known { entry: e.clone(), started });
            let served = before.is_some_and(|k| k.entry.state == WireState::Serving);
            if served && e.state != WireState::Serving {
                out.stopped.insert(e.id);
            }
            out.entries.push(Entry {
                server: e.id,
                cell: e.cell,
                kind: terms.kind(&e.kind),
                weight: e.weight,
                state: match e.state {
                    WireState::Serving => Listed::Serving,
                    WireState::Draining => Listed::Draining,
                    WireState::Gone => Listed::Gone,
                },
                started,
                far: e.hall != terms.hall,
            });
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

    /// Other servers that were listed at that address.
    pub fn others_at(&self, address: SocketAddr, server: ServerId) -> Vec<ServerId> {
        let there = self.servers.iter().filter(|(id, k)| k.entry.address == address && **id != server);
        there.map(|(id, _)| *id).collect()
    }

    /// How many servers take new work.
    pub fn serving(&self) -> usize {
        self.servers.values().filter(|k| k.entry.state == WireState::Serving).count()
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
