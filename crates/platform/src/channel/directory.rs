//! The current server list, with a numeric id for each server process.

use super::*;
use crate::gossip::GossipServer;
use cloverhollow::{ListMode, ServerId};
use cloverhollow_session::{title_id, ListUpdate, ServerEntry, WireState};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Identity of a server process: its listening address and its start time as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Process {
    address: SocketAddr,
    since_ms: u64,
}

/// The process that is listed under a name, and its id.
#[derive(Clone, Copy, Debug)]
struct Listing {
    id: ServerId,
    process: Process,
}

/// The servers that the command channel lists, with ids local to this front, and the cursor of the last event.
///
/// An id stands for a server process. A process that leaves the list and returns, by whichever kind of event, keeps its
/// id, because its sessions and connections may have outlasted its absence. A different address is a different process,
/// and so is a different start time after an absence. A start time that changes while the server stays listed keeps the
/// id and is reported as a new incarnation.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    cursor: u64,
    /// True once an event with servers has been applied. The first such event counts as a snapshot.
    initialized: bool,
    last_id: ServerId,
    by_name: HashMap<String, Listing>,
    /// Processes that have left the list, by name, until [`ServerDirectory::forget_departed`] drops them.
    departed: HashMap<(String, Process), ServerId>,
}

impl ServerDirectory {
    /// Sequence number of the last event that was applied.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Id of the server that is listed under `name`.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.by_name.get(name).map(|listing| listing.id)
    }

    /// Returns whether any server that has left the list is still remembered.
    pub fn has_departed(&self) -> bool {
        !self.departed.is_empty()
    }

    /// Forgets departed servers that are not in use any more, which bounds the number of remembered names.
    ///
    /// `in_use` returns whether a session or a connection of the server is left. Without either nothing refers to the id,
    /// so a process that returns may get a new one.
    pub fn forget_departed(&mut self, in_use: impl Fn(ServerId) -> bool) {
        self.departed.retain(|_, id| in_use(*id));
    }

    /// Listed servers for gossip between session managers, at `now` and the Unix time `unix_ms`.
    pub fn gossip_servers(&self, now: Duration, unix_ms: u64) -> impl Iterator<Item = GossipServer> + '_ {
        self.by_name.iter().map(move |(name, listing)| {
            let age = Duration::from_millis(unix_ms.saturating_sub(listing.process.since_ms));
            let started_at =
                if listing.process.since_ms > 0 { now.saturating_sub(age) } else { Duration::ZERO };
            GossipServer { server: listing.id, key: title_id(name), started_at }
        })
    }

    /// Applies an event at the Unix time `unix_ms`. Returns `None` if the event was applied before or does not concern
    /// the server list.
    ///
    /// # Errors
    /// There is a gap before the event, or the event is invalid. The directory is unchanged then.
    pub fn apply(&mut self, update: ChannelUpdate, unix_ms: u64) -> Result<Option<ListUpdate>, ChannelError> {
        if self.initialized && update.cursor <= self.cursor {
            return Ok(None);
        }
        let snapshot = !self.initialized || update.nodes.as_ref().is_some_and(|n| n.snapshot);
        if !snapshot && update.cursor != self.cursor + 1 {
            return Err(ChannelError::Gap { cursor: update.cursor, last_cursor: self.cursor });
        }
        let Some(nodes) = update.nodes else {
            self.cursor = update.cursor;
            return Ok(None);
        };
        self.check(update.cursor, &nodes, snapshot)?;
        (self.cursor, self.initialized) = (update.cursor, true);
        // Endpoints are applied in order, because one event may remove a name and list it again.
        let entries: Vec<_> =
            nodes.endpoints.into_iter().flat_map(|e| self.apply_endpoint(e, unix_ms, snapshot)).collect();
        if snapshot {
            let listed: BTreeSet<ServerId> = entries.iter().map(|e| e.id).collect();
            let missing = self.by_name.extract_if(|_, listing| !listed.contains(&listing.id));
            self.departed.extend(missing.map(|(name, listing)| ((name, listing.process), listing.id)));
        }
        let mode = if snapshot { ListMode::Full } else { ListMode::Patch };
        Ok(Some(ListUpdate { mode, version: self.cursor, entries }))
    }

    /// Validates an event without changing anything.
    fn check(&self, cursor: u64, nodes: &Nodes, snapshot: bool) -> Result<(), ChannelError> {
        let mut listed: BTreeSet<&str> =
            if snapshot { BTreeSet::new() } else { self.by_name.keys().map(String::as_str).collect() };
        for endpoint in &nodes.endpoints {
            if !(endpoint.weight > 0.0 && endpoint.weight <= MAX_WEIGHT) {
                return Err(ChannelError::Weight { cursor, name: endpoint.name.clone() });
            }
            if endpoint.group > MAX_GROUP {
                return Err(ChannelError::Group { cursor, name: endpoint.name.clone() });
            }
            match endpoint.status {
                Status::Terminated => _ = listed.remove(&*endpoint.name),
                Status::InService | Status::Terminating => _ = listed.insert(&endpoint.name),
            }
        }
        if nodes.endpoints.len() > MAX_SERVERS || listed.len() > MAX_SERVERS {
            return Err(ChannelError::TooManyServers { cursor });
        }
        Ok(())
    }

    /// List entries for one endpoint of an event. If its name was listed at another address, the removal of that process
    /// comes first.
    fn apply_endpoint(&mut self, endpoint: Endpoint, unix_ms: u64, snapshot: bool) -> Vec<ServerEntry> {
        let moved =
            self.by_name.get(&endpoint.name).filter(|l| l.process.address != endpoint.address).copied();
        let moved = moved.filter(|_| endpoint.status != Status::Terminated);
        let removal = moved.map(|former| {
            self.remove(&endpoint.name);
            let removed =
                Endpoint { address: former.process.address, status: Status::Terminated, ..endpoint.clone() };
            self.entry(former.id, removed, unix_ms, snapshot)
        });
        let id = self.update_listing(&endpoint);
        let current = self.entry(id, endpoint, unix_ms, snapshot);
        removal.into_iter().chain([current]).collect()
    }

    /// Updates the listing of an endpoint's name and returns the id of its process.
    fn update_listing(&mut self, endpoint: &Endpoint) -> ServerId {
        let listed = self.by_name.get(&endpoint.name).map(|l| l.id);
        if endpoint.status == Status::Terminated {
            self.remove(&endpoint.name);
            return listed.unwrap_or_else(|| self.new_id());
        }
        let process = Process { address: endpoint.address, since_ms: endpoint.since_ms };
        let returning = || self.departed.remove(&(endpoint.name.clone(), process));
        let id = listed.or_else(returning).unwrap_or_else(|| self.new_id());
        self.by_name.insert(endpoint.name.clone(), Listing { id, process });
        id
    }

    fn new_id(&mut self) -> ServerId {
        self.last_id += 1;
        self.last_id
    }

    /// Moves the listing of a name to the departed processes.
    fn remove(&mut self, name: &str) {
        if let Some((name, listing)) = self.by_name.remove_entry(name) {
            self.departed.insert((name, listing.process), listing.id);
        }
    }

    fn entry(&self, id: ServerId, endpoint: Endpoint, unix_ms: u64, snapshot: bool) -> ServerEntry {
        let (version, server, name, address, state, since_ms) =
            (self.cursor, id, &*endpoint.name, endpoint.address, endpoint.status, endpoint.since_ms);
        if snapshot {
            tracing::debug!(version, server, name, %address, ?state, since_ms, "server listed by a snapshot");
        } else {
            tracing::info!(version, server, name, %address, ?state, since_ms, "server list changed");
        }
        ServerEntry {
            id,
            key: Some(title_id(&endpoint.name)),
            address: endpoint.address,
            zone: endpoint.zone,
            kind: endpoint.kind,
            cell: endpoint.group,
            weight: endpoint.weight,
            state: match endpoint.status {
                Status::InService => WireState::Serving,
                Status::Terminating => WireState::Draining,
                Status::Terminated => WireState::Gone,
            },
            // A later start time under the same name means another process.
            incarnation: endpoint.since_ms,
            started_ms_ago: (endpoint.since_ms > 0).then(|| unix_ms.saturating_sub(endpoint.since_ms)),
        }
    }
}
