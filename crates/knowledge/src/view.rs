//! Snapshots of a front's knowledge, and the messages built from them.

use crate::observations::*;
use crate::wire::{Message, WireObservations};
use crate::KnowledgeLevel;
use imbl::OrdMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A snapshot of a book: taken in constant time, read without blocking its owner.
#[derive(Clone, Debug)]
pub struct KnowledgeView {
    pub(crate) me: Observer,
    pub(crate) fleet_id: u64,
    pub(crate) horizon: Duration,
    pub(crate) seq: u64,
    pub(crate) own: OrdMap<u64, ServerObservations>,
    pub(crate) heard: OrdMap<u64, ServerObservations>,
    pub(crate) changed: OrdMap<u64, u64>,
}

impl KnowledgeView {
    /// What is heard of a server, without what the front knows as well or better itself. What it heard
    /// itself goes before all; a newer word on a drain or a start goes before its own older one.
    pub(crate) fn better(&self, now: Duration, server: u64) -> ServerObservations {
        let Some(heard) = self.heard.get(&server) else { return ServerObservations::default() };
        let heard = heard.within(now, self.horizon);
        let own = self.own.get(&server).copied().unwrap_or_default().within(now, self.horizon);
        let newer = |h: &Versioned<ListedState>| own.state.is_none_or(|o| h.value.version > o.value.version);
        let later =
            |h: &Versioned<ProcessStart>| own.start.is_none_or(|o| h.value.incarnation > o.value.incarnation);
        let current = own.start.or(heard.start).map(|s| s.value.incarnation);
        ServerObservations {
            state: heard.state.filter(newer),
            start: heard.start.filter(later),
            health: heard
                .health
                .filter(|h| own.health.is_none() && current.is_none_or(|i| h.value.incarnation >= i)),
            link_load: heard.link_load.filter(|_| own.link_load.is_none()),
            uplink_load: heard.uplink_load.filter(|_| own.uplink_load.is_none()),
            delivered_share: heard.delivered_share.filter(|_| own.delivered_share.is_none()),
        }
    }

    /// Number of the last change: what to ask the next delta after.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// How many servers something is known of.
    pub fn server_count(&self) -> usize {
        self.own.len().max(self.heard.len())
    }

    /// A message for a peer: all, or what changed after that number. Pieces past the horizon and those that
    /// came too far are left out; each one that was heard has come one front further.
    pub fn message(
        &self,
        now: Duration,
        nonce: u64,
        since_seq: Option<u64>,
        level: KnowledgeLevel,
        peers: Vec<SocketAddr>,
    ) -> Message {
        let mut servers = Vec::new();
        let ids = self.changed.iter().filter(|(_, seq)| since_seq.is_none_or(|a| **seq > a));
        for (server, _) in ids {
            let mut observations = self.own.get(server).copied().unwrap_or_default();
            if let Some(heard) = self.heard.get(server) {
                observations.join(heard);
            }
            let wire = WireObservations::of(&observations.within(now, self.horizon), now);
            if wire != WireObservations::default() {
                servers.push((*server, wire));
            }
        }
        Message {
            fleet_id: self.fleet_id,
            nonce,
            sender: self.me,
            seq: self.seq,
            since_seq,
            level,
            peers,
            servers,
        }
    }
}
