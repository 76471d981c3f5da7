//! Store of one front's knowledge: its own observations and those received from peers.

use crate::merge::{validate, without_own, MergeError, MergeOutcome, ServerUpdate};
use crate::observations::*;
use crate::view::KnowledgeView;
use crate::wire::Message;
use imbl::OrdMap;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of servers in a store. Observations of further servers are ignored.
pub const MAX_SERVERS: usize = 65_536;
/// Maximum number of peer addresses in a message.
pub const MAX_PEERS: usize = 64;
/// Maximum number of hops between fronts; an observation that has reached it is not passed on.
pub const MAX_HOPS: u8 = 3;

/// Store of one front's knowledge.
#[derive(Debug)]
pub struct KnowledgeStore {
    view: KnowledgeView,
    /// Sequence number of the last message merged, by sender.
    last_merged: BTreeMap<Observer, u64>,
}

impl KnowledgeStore {
    /// Creates an empty store. Load and health older than `horizon` are ignored.
    pub fn new(observer: Observer, fleet_id: u64, horizon: Duration) -> Self {
        let (own, received, last_change) = (OrdMap::new(), OrdMap::new(), OrdMap::new());
        KnowledgeStore {
            view: KnowledgeView { observer, fleet_id, horizon, seq: 0, own, received, last_change },
            last_merged: BTreeMap::new(),
        }
    }

    /// Takes a snapshot in constant time.
    pub fn view(&self) -> KnowledgeView {
        self.view.clone()
    }

    fn observe(
        &mut self,
        now: Duration,
        server: u64,
        update: impl FnOnce(&mut ServerObservations, Provenance) -> bool,
    ) {
        let view = &mut self.view;
        let mut known = view.own.get(&server).copied().unwrap_or_default();
        if !view.own.contains_key(&server) && view.own.len() >= MAX_SERVERS {
            return;
        }
        let provenance = Provenance {
            observed_at: now,
            origin: Origin { observer: view.observer, seq: view.seq + 1 },
            hops: 0,
        };
        if update(&mut known, provenance) {
            view.seq += 1;
            view.own.insert(server, known);
            view.last_change.insert(server, view.seq);
        }
    }

    /// Records a server's state in this front's own server list.
    pub fn record_state(&mut self, now: Duration, server: u64, state: ListedState) {
        self.observe(now, server, |known, provenance| {
            join(&mut known.state, Some(Versioned { value: state, provenance }))
        });
    }

    /// Records a process start from this front's own server list. Health and load of the earlier incarnation are
    /// dropped.
    pub fn record_start(&mut self, now: Duration, server: u64, start: ProcessStart) {
        self.observe(now, server, |known, provenance| {
            let incarnation = known.start.map(|s| s.value.incarnation);
            if incarnation.is_some_and(|i| i >= start.incarnation) {
                return false; // reported again; its uptime may differ by some milliseconds
            }
            if incarnation.is_some() {
                (known.health, known.link_load, known.delivered_share) = (None, None, None);
            }
            join(&mut known.start, Some(Versioned { value: start, provenance }))
        });
    }

    /// Records the outcome of this front's own attempt at a server. `may_have_restarted` is true if the failure may
    /// have been caused by a restart.
    pub fn record_outcome(&mut self, now: Duration, server: u64, succeeded: bool, may_have_restarted: bool) {
        self.observe(now, server, |known, provenance| {
            let incarnation = known.start.map_or(0, |s| s.value.incarnation);
            let consecutive_failures = known
                .health
                .filter(|h| h.value.incarnation == incarnation)
                .map_or(0, |h| h.value.consecutive_failures);
            if succeeded
                && consecutive_failures == 0
                && known.health.is_some_and(|h| h.provenance.age(now) < HEALTH_REFRESH_INTERVAL)
            {
                return false; // repeated successes refresh the record only after this interval
            }
            let consecutive_failures = if succeeded { 0 } else { consecutive_failures.saturating_add(1) };
            let health = Health {
                incarnation,
                consecutive_failures,
                may_have_restarted: may_have_restarted && !succeeded,
            };
            join(&mut known.health, Some(Versioned { value: health, provenance }))
        });
    }

    /// Records the load that a server reported in an answer.
    pub fn record_load(
        &mut self,
        now: Duration,
        server: u64,
        link_load: Option<f64>,
        uplink_load: Option<f64>,
        delivered_share: Option<f64>,
    ) {
        self.observe(now, server, |known, provenance| {
            let reading = |ratio: Option<f64>| {
                ratio.map(|ratio| Versioned { value: Reading::from_ratio(ratio), provenance })
            };
            let (link_changed, uplink_changed) = (
                join(&mut known.link_load, reading(link_load)),
                join(&mut known.uplink_load, reading(uplink_load)),
            );
            join(&mut known.delivered_share, reading(delivered_share)) || link_changed || uplink_changed
        });
    }

    /// Merges a peer's answer to a request that carried `nonce` and was sent at `sent_at` on this front's clock.
    /// Ages count from `sent_at`, so that no observation looks younger than it is.
    ///
    /// # Errors
    /// The message is not trustworthy; nothing of it is merged.
    pub fn merge(
        &mut self,
        now: Duration,
        sent_at: Duration,
        nonce: u64,
        message: &Message,
    ) -> Result<MergeOutcome, MergeError> {
        if message.fleet_id != self.view.fleet_id {
            return Err(MergeError::OtherFleet);
        }
        if message.nonce != nonce {
            return Err(MergeError::NonceMismatch);
        }
        if message.sender.instance == self.view.observer.instance {
            return Err(MergeError::OwnMessage);
        }
        if message.servers.len() > MAX_SERVERS || message.peers.len() > MAX_PEERS {
            return Err(MergeError::TooManyEntries);
        }
        if self.last_merged.get(&message.sender).is_some_and(|seq| message.seq < *seq) {
            return Err(MergeError::StaleSequence);
        }
        validate(message)?;
        self.last_merged.insert(message.sender, message.seq);
        if self.last_merged.len() > MAX_SERVERS {
            self.last_merged.pop_first();
        }
        let mut out = MergeOutcome { peers: message.peers.clone(), ..MergeOutcome::default() };
        for (server, wire) in &message.servers {
            let received = wire.decode(sent_at);
            let received = without_own(&received, self.view.observer.instance).within(now, self.view.horizon);
            if let Some(observations) = self.merge_server(now, *server, &received) {
                out.updates.push(ServerUpdate { server: *server, observations });
            }
        }
        Ok(out)
    }

    fn merge_server(
        &mut self,
        now: Duration,
        server: u64,
        received: &ServerObservations,
    ) -> Option<ServerObservations> {
        let view = &mut self.view;
        let known = view.received.get(&server).copied();
        if known.is_none() && view.received.len() >= MAX_SERVERS {
            return None;
        }
        let mut merged = known.unwrap_or_default();
        if !merged.join(received) {
            return None;
        }
        view.seq += 1;
        view.received.insert(server, merged);
        view.last_change.insert(server, view.seq);
        let better = self.view.better_from_peers(now, server);
        (better != ServerObservations::default()).then_some(better)
    }

    /// Returns the received observations of a server that are better than this front's own.
    pub fn peer_observations(&self, now: Duration, server: u64) -> ServerObservations {
        self.view.better_from_peers(now, server)
    }

    /// Ids of the servers with observations received from peers.
    pub fn servers_from_peers(&self) -> Vec<u64> {
        self.view.received.keys().copied().collect()
    }

    /// Drops received observations older than the horizon, states and starts included. The age counts from the
    /// original observation, however many fronts have passed it on.
    pub fn remove_expired(&mut self, now: Duration) {
        let horizon = self.view.horizon;
        let view = &mut self.view;
        let unexpired = view.received.iter().filter_map(|(server, known)| {
            let mut known = known.within(now, horizon);
            known.state = known.state.filter(|o| o.provenance.age(now) < horizon);
            known.start = known.start.filter(|o| o.provenance.age(now) < horizon);
            (known != ServerObservations::default()).then_some((*server, known))
        });
        view.received = unexpired.collect();
    }
}

/// Minimum time between two recordings of a working server's health.
const HEALTH_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
