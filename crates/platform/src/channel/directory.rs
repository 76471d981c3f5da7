//! Which servers the list names, under numbers of this process's own.

use super::*;
use cloverhollow::{ListMode, ServerId};
use cloverhollow_session::{title_id, ListUpdate, ServerEntry, WireState};
use std::collections::{BTreeSet, HashMap};

/// A process of a server: where it listens, and its start as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Process {
    address: SocketAddr,
    since_ms: u64,
}

/// What is listed under a name.
#[derive(Clone, Copy, Debug)]
struct Listing {
    id: ServerId,
    process: Process,
}

/// Which servers there are, under numbers of this front's own, and how far the channel was read.
///
/// A number stands for a process. One that leaves the list and comes back, by whichever events, keeps its number: its
/// sessions and connections may have outlived its absence. Another address is another process, and so is another start
/// after an absence. Only a start that is told of a server that is listed keeps the number, as a new incarnation.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    cursor: u64,
    begun: bool,
    next: ServerId,
    by_name: HashMap<String, Listing>,
    /// Processes that have left, by their names, until [`ServerDirectory::forget_departed`].
    left: HashMap<(String, Process), ServerId>,
}

impl ServerDirectory {
    /// Number of the last event taken in.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Which server bears that name.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.by_name.get(name).map(|listing| listing.id)
    }

    /// Whether servers that have left are still remembered.
    pub fn has_departed(&self) -> bool {
        !self.left.is_empty()
    }

    /// Forgets servers that have left and that nothing `uses` any more: their names must not pile up, and where neither a
    /// session nor a connection is left nobody can tell one process from another.
    pub fn forget_departed(&mut self, uses: impl Fn(ServerId) -> bool) {
        self.left.retain(|_, id| uses(*id));
    }

    /// What all session managers call each server alike: a digest of its name.
    pub fn name_digests(&self) -> impl Iterator<Item = (ServerId, u64)> + '_ {
        self.by_name.iter().map(|(name, listing)| (listing.id, title_id(name)))
    }

    /// Takes an event in, at the Unix time `unix_ms`; `None` for one that was told before or that says nothing.
    ///
    /// # Errors
    /// It leaves a gap, or can't be used. Nothing has changed then.
    pub fn apply(&mut self, told: ChannelUpdate, unix_ms: u64) -> Result<Option<ListUpdate>, ChannelError> {
        if self.begun && told.cursor <= self.cursor {
            return Ok(None);
        }
        let whole = !self.begun || told.nodes.as_ref().is_some_and(|n| n.snapshot);
        if !whole && told.cursor != self.cursor + 1 {
            return Err(ChannelError::Gap { cursor: told.cursor, last_cursor: self.cursor });
        }
        let Some(nodes) = told.nodes else {
            self.cursor = told.cursor;
            return Ok(None);
        };
        self.check(told.cursor, &nodes, whole)?;
        (self.cursor, self.begun) = (told.cursor, true);
        // In order: a name that is gone may come again in the same event.
        let entries: Vec<_> =
            nodes.endpoints.into_iter().flat_map(|e| self.entries(e, unix_ms, whole)).collect();
        if whole {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.id).collect();
            let missing = self.by_name.extract_if(|_, listing| !named.contains(&listing.id));
            self.left.extend(missing.map(|(name, listing)| ((name, listing.process), listing.id)));
        }
        let mode = if whole { ListMode::Full } else { ListMode::Patch };
        Ok(Some(ListUpdate { mode, version: self.cursor, entries }))
    }

    /// Whether an event can be used, before anything changes.
    fn check(&self, cursor: u64, nodes: &Nodes, whole: bool) -> Result<(), ChannelError> {
        let mut there: BTreeSet<&str> =
            if whole { BTreeSet::new() } else { self.by_name.keys().map(String::as_str).collect() };
        for e in &nodes.endpoints {
            if !(e.weight > 0.0 && e.weight <= MOST_WEIGHT) {
                return Err(ChannelError::Weight { cursor, name: e.name.clone() });
            }
            if e.group > MOST_GROUP {
                return Err(ChannelError::Group { cursor, name: e.name.clone() });
            }
            match e.status {
                Status::Terminated => _ = there.remove(&*e.name),
                Status::InService | Status::Terminating => _ = there.insert(&e.name),
            }
        }
        if nodes.endpoints.len() > MAX_SERVERS || there.len() > MAX_SERVERS {
            return Err(ChannelError::TooManyServers { cursor });
        }
        Ok(())
    }

    /// What an endpoint of an event says: that another process of its name has left comes first.
    fn entries(&mut self, e: Endpoint, unix_ms: u64, whole: bool) -> Vec<ServerEntry> {
        let moved = self.by_name.get(&e.name).filter(|l| l.process.address != e.address).copied();
        let moved = moved.filter(|_| e.status != Status::Terminated);
        let former = moved.map(|former| {
            self.leaves(&e.name);
            let gone = Endpoint { address: former.process.address, status: Status::Terminated, ..e.clone() };
            self.entry(former.id, gone, unix_ms, whole)
        });
        let id = self.id(&e);
        let told = self.entry(id, e, unix_ms, whole);
        former.into_iter().chain([told]).collect()
    }

    /// The number of the process that an endpoint is about; the listing is brought up to date.
    fn id(&mut self, e: &Endpoint) -> ServerId {
        let listed = self.by_name.get(&e.name).map(|l| l.id);
        if e.status == Status::Terminated {
            self.leaves(&e.name);
            return listed.unwrap_or_else(|| self.new_id());
        }
        let process = Process { address: e.address, since_ms: e.since_ms };
        let back = || self.left.remove(&(e.name.clone(), process));
        let id = listed.or_else(back).unwrap_or_else(|| self.new_id());
        self.by_name.insert(e.name.clone(), Listing { id, process });
        id
    }

    fn new_id(&mut self) -> ServerId {
        self.next += 1;
        self.next
    }

    /// What is listed under that name leaves the list.
    fn leaves(&mut self, name: &str) {
        if let Some((name, listing)) = self.by_name.remove_entry(name) {
            self.left.insert((name, listing.process), listing.id);
        }
    }

    fn entry(&self, id: ServerId, e: Endpoint, unix_ms: u64, whole: bool) -> ServerEntry {
        let (version, server, name, address, state, since_ms) =
            (self.cursor, id, &*e.name, e.address, e.status, e.since_ms);
        if whole {
            tracing::debug!(version, server, name, %address, ?state, since_ms, "listed");
        } else {
            tracing::info!(version, server, name, %address, ?state, since_ms, "the list changes");
        }
        ServerEntry {
            id,
            key: Some(title_id(&e.name)),
            address: e.address,
            zone: e.zone,
            kind: e.kind,
            cell: e.group,
            weight: e.weight,
            state: match e.status {
                Status::InService => WireState::Serving,
                Status::Terminating => WireState::Draining,
                Status::Terminated => WireState::Gone,
            },
            // A later start under the same name is another process.
            incarnation: e.since_ms,
            started_ms_ago: (e.since_ms > 0).then(|| unix_ms.saturating_sub(e.since_ms)),
        }
    }
}
