//! Snapshots of a front's knowledge, and the messages built from them.

use crate::observations::*;
use crate::wire::{Message, WireObservations};
use crate::KnowledgeLevel;
use imbl::OrdMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Snapshot of a [`KnowledgeStore`](crate::KnowledgeStore): taken in constant time, read without blocking the
/// store's owner.
#[derive(Clone, Debug)]
pub struct KnowledgeView {
    pub(crate) observer: Observer,
    pub(crate) fleet_id: u64,
    pub(crate) horizon: Duration,
    /// Sequence number of the last change.
    pub(crate) seq: u64,
    /// Observations made by this front, by server.
    pub(crate) own: OrdMap<u64, ServerObservations>,
    /// Observations received from peers, by server.
    pub(crate) received: OrdMap<u64, ServerObservations>,
    /// Sequence number of the last change, by server.
    pub(crate) last_change: OrdMap<u64, u64>,
}

impl KnowledgeView {
    /// Returns the received observations of a server that are better than this front's own.
    ///
    /// This front's own observations take precedence, except that a state of a newer list version or a start of a
    /// later incarnation replaces its own older one.
    pub(crate) fn better_from_peers(&self, now: Duration, server: u64) -> ServerObservations {
        let Some(received) = self.received.get(&server) else { return ServerObservations::default() };
        let received = received.within(now, self.horizon);
        let own = self.own.get(&server).copied().unwrap_or_default().within(now, self.horizon);
        let newer = |r: &Versioned<ListedState>| own.state.is_none_or(|o| r.value.version > o.value.version);
        let later =
            |r: &Versioned<ProcessStart>| own.start.is_none_or(|o| r.value.incarnation > o.value.incarnation);
        let current = own.start.or(received.start).map(|s| s.value.incarnation);
        ServerObservations {
            state: received.state.filter(newer),
            start: received.start.filter(later),
            health: received
                .health
                .filter(|r| own.health.is_none() && current.is_none_or(|i| r.value.incarnation >= i)),
            link_load: received.link_load.filter(|_| own.link_load.is_none()),
            uplink_load: received.uplink_load.filter(|_| own.uplink_load.is_none()),
            delivered_share: received.delivered_share.filter(|_| own.delivered_share.is_none()),
        }
    }

    /// Sequence number of the last change; a later delta is requested with it.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Number of servers with at least one observation.
    pub fn server_count(&self) -> usize {
        self.own.len().max(self.received.len())
    }

    /// Builds a message for a peer with all servers, or with those that changed after `since_seq`.
    ///
    /// Expired observations and those that have reached [`MAX_HOPS`](crate::MAX_HOPS) are left out. The hop count
    /// of the others is one higher than here.
    pub fn message(
        &self,
        now: Duration,
        nonce: u64,
        since_seq: Option<u64>,
        level: KnowledgeLevel,
        peers: Vec<SocketAddr>,
    ) -> Message {
        let mut servers = Vec::new();
        let changed = self.last_change.iter().filter(|(_, seq)| since_seq.is_none_or(|since| **seq > since));
        for (server, _) in changed {
            let mut observations = self.own.get(server).copied().unwrap_or_default();
            if let Some(received) = self.received.get(server) {
                observations.join(received);
            }
            let wire = WireObservations::encode(&observations.within(now, self.horizon), now);
            if wire != WireObservations::default() {
                servers.push((*server, wire));
            }
        }
        Message {
            fleet_id: self.fleet_id,
            nonce,
            sender: self.observer,
            seq: self.seq,
            since_seq,
            level,
            peers,
            servers,
        }
    }
}
