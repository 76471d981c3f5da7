//! One front's knowledge: what it observed itself, and what it heard.

use crate::observations::*;
use crate::validation::{check, MergeError};
use crate::view::KnowledgeView;
use crate::wire::Message;
use imbl::OrdMap;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most servers in a book. Past them nothing new is taken in.
pub const MAX_SERVERS: usize = 65_536;
/// Most peers' addresses that are passed on.
pub const MAX_PEERS: usize = 64;
/// Over so many fronts a piece may come; further it is not passed on.
pub const MAX_HOPS: u8 = 3;

/// What a merge brought of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerUpdate {
    /// The server.
    pub server: u64,
    /// What is now heard of it, and not better known by the front itself.
    pub observations: ServerObservations,
}

/// What a merge brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergeOutcome {
    /// Servers of which something new was heard.
    pub updates: Vec<ServerUpdate>,
    /// Peers that the sender knows.
    pub peers: Vec<SocketAddr>,
}

/// The book itself.
#[derive(Debug)]
pub struct KnowledgeStore {
    view: KnowledgeView,
    /// Last message merged of each sender.
    senders: BTreeMap<Observer, u64>,
}

impl KnowledgeStore {
    /// An empty book. `horizon`: what is older says nothing any more.
    pub fn new(me: Observer, fleet_id: u64, horizon: Duration) -> Self {
        let (own, heard, changed) = (OrdMap::new(), OrdMap::new(), OrdMap::new());
        KnowledgeStore {
            view: KnowledgeView { me, fleet_id, horizon, seq: 0, own, heard, changed },
            senders: BTreeMap::new(),
        }
    }

    /// A snapshot.
    pub fn view(&self) -> KnowledgeView {
        self.view.clone()
    }

    fn observe(
        &mut self,
        now: Duration,
        server: u64,
        put: impl FnOnce(&mut ServerObservations, Provenance) -> bool,
    ) {
        let v = &mut self.view;
        let mut observations = v.own.get(&server).copied().unwrap_or_default();
        if !v.own.contains_key(&server) && v.own.len() >= MAX_SERVERS {
            return;
        }
        let provenance =
            Provenance { observed_at: now, origin: Origin { observer: v.me, seq: v.seq + 1 }, hops: 0 };
        if put(&mut observations, provenance) {
            v.seq += 1;
            v.own.insert(server, observations);
            v.changed.insert(server, v.seq);
        }
    }

    /// The own list told a state.
    pub fn record_state(&mut self, now: Duration, server: u64, state: ListedState) {
        self.observe(now, server, |f, provenance| {
            join(&mut f.state, Some(Versioned { value: state, provenance }))
        });
    }

    /// The own list told a start. A new process's health and load are not the old one's.
    pub fn record_start(&mut self, now: Duration, server: u64, start: ProcessStart) {
        self.observe(now, server, |f, provenance| {
            let known = f.start.map(|s| s.value.incarnation);
            if known.is_some_and(|k| k >= start.incarnation) {
                return false; // told again, some milliseconds off
            }
            if known.is_some() {
                (f.health, f.link_load, f.delivered_share) = (None, None, None);
            }
            join(&mut f.start, Some(Versioned { value: start, provenance }))
        });
    }

    /// The front's own attempt there worked, or failed; `lost`: in a way that may mean a restart.
    pub fn record_outcome(&mut self, now: Duration, server: u64, succeeded: bool, may_have_restarted: bool) {
        self.observe(now, server, |f, provenance| {
            let incarnation = f.start.map_or(0, |s| s.value.incarnation);
            let consecutive_failures = f
                .health
                .filter(|h| h.value.incarnation == incarnation)
                .map_or(0, |h| h.value.consecutive_failures);
            if succeeded
                && consecutive_failures == 0
                && f.health.is_some_and(|h| h.provenance.age(now) < FRESH)
            {
                return false; // the usual: not worth a change each time
            }
            let consecutive_failures = if succeeded { 0 } else { consecutive_failures.saturating_add(1) };
            let health = Health {
                incarnation,
                consecutive_failures,
                may_have_restarted: may_have_restarted && !succeeded,
            };
            join(&mut f.health, Some(Versioned { value: health, provenance }))
        });
    }

    /// An answer told the load.
    pub fn record_load(
        &mut self,
        now: Duration,
        server: u64,
        link_load: Option<f64>,
        uplink_load: Option<f64>,
        delivered_share: Option<f64>,
    ) {
        self.observe(now, server, |f, provenance| {
            let piece =
                |share: Option<f64>| share.map(|s| Versioned { value: Reading::from_ratio(s), provenance });
            let (a, b) =
                (join(&mut f.link_load, piece(link_load)), join(&mut f.uplink_load, piece(uplink_load)));
            join(&mut f.delivered_share, piece(delivered_share)) || a || b
        });
    }

    /// Merges a peer's message. `sent_at`: when the question went out, on this front's clock; ages count from
    /// then, so that nothing looks younger than it is. `nonce`: what was asked with.
    ///
    /// # Errors
    /// It cannot be trusted; nothing of it is merged.
    pub fn merge(
        &mut self,
        now: Duration,
        sent_at: Duration,
        nonce: u64,
        m: &Message,
    ) -> Result<MergeOutcome, MergeError> {
        if m.fleet_id != self.view.fleet_id {
            return Err(MergeError::OtherFleet);
        }
        if m.nonce != nonce {
            return Err(MergeError::NonceMismatch);
        }
        if m.sender.instance == self.view.me.instance {
            return Err(MergeError::OwnMessage);
        }
        if m.servers.len() > MAX_SERVERS || m.peers.len() > MAX_PEERS {
            return Err(MergeError::TooManyServers);
        }
        if self.senders.get(&m.sender).is_some_and(|seq| m.seq < *seq) {
            return Err(MergeError::StaleSequence);
        }
        check(m)?;
        self.senders.insert(m.sender, m.seq);
        if self.senders.len() > MAX_SERVERS {
            self.senders.pop_first();
        }
        let mut out = MergeOutcome { peers: m.peers.clone(), ..MergeOutcome::default() };
        for (server, wire) in &m.servers {
            let told = wire.observations(sent_at);
            let told = own_left_out(&told, self.view.me.instance).within(now, self.view.horizon);
            if let Some(observations) = self.hear(now, *server, &told) {
                out.updates.push(ServerUpdate { server: *server, observations });
            }
        }
        Ok(out)
    }

    fn hear(&mut self, now: Duration, server: u64, told: &ServerObservations) -> Option<ServerObservations> {
        let v = &mut self.view;
        let known = v.heard.get(&server).copied();
        if known.is_none() && v.heard.len() >= MAX_SERVERS {
            return None;
        }
        let mut heard = known.unwrap_or_default();
        if !heard.join(told) {
            return None;
        }
        v.seq += 1;
        v.heard.insert(server, heard);
        v.changed.insert(server, v.seq);
        let better = self.view.better(now, server);
        (better != ServerObservations::default()).then_some(better)
    }

    /// What is heard of a server and not better known by the front itself.
    pub fn peer_observations(&self, now: Duration, server: u64) -> ServerObservations {
        self.view.better(now, server)
    }

    /// Servers of which something was heard.
    pub fn servers_from_peers(&self) -> Vec<u64> {
        self.view.heard.keys().copied().collect()
    }

    /// Drops what is past the horizon; a piece that came from elsewhere never outlives its origin.
    pub fn remove_expired(&mut self, now: Duration) {
        let horizon = self.view.horizon;
        let v = &mut self.view;
        let kept = v.heard.iter().filter_map(|(server, f)| {
            let mut f = f.within(now, horizon);
            f.state = f.state.filter(|p| p.provenance.age(now) < horizon);
            f.start = f.start.filter(|p| p.provenance.age(now) < horizon);
            (f != ServerObservations::default()).then_some((*server, f))
        });
        v.heard = kept.collect();
    }
}

/// A working server's health is told anew at most so often.
const FRESH: Duration = Duration::from_secs(1);

/// What others say that this very front once saw is no second witness.
fn own_left_out(f: &ServerObservations, me: u64) -> ServerObservations {
    fn other<T: Copy>(p: Option<Versioned<T>>, me: u64) -> Option<Versioned<T>> {
        p.filter(|p| p.provenance.origin.observer.instance != me)
    }
    ServerObservations {
        // Its own list of before a restart is its last list, which it has.
        state: other(f.state, me),
        start: f.start,
        health: other(f.health, me),
        link_load: other(f.link_load, me),
        uplink_load: other(f.uplink_load, me),
        delivered_share: other(f.delivered_share, me),
    }
}
