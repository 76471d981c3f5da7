//! One front's knowledge: what it observed itself, and what it heard.

use crate::observations::*;
use crate::wire::{Message, WireObservations};
use crate::KnowledgeLevel;
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
/// Oldest age that a message may tell, ms: a day. What is older is no observation but a fault.
const OLDEST_MS: u32 = 86_400_000;

/// Why a message is not merged. Nothing of it is then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum MergeError {
    #[error("of another fleet")]
    OtherFleet,
    #[error("not the answer to what was asked: a replay")]
    NonceMismatch,
    #[error("its own")]
    OwnMessage,
    #[error("older than one that was merged from the same sender")]
    StaleSequence,
    #[error("an observer's later observation is told as older than its earlier one")]
    InconsistentAges,
    #[error("more than {MAX_SERVERS} servers")]
    TooManyServers,
    #[error("an age, a reading or a count that cannot be")]
    OutOfRange,
}

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

/// A snapshot of a book: taken in constant time, read without blocking its owner.
#[derive(Clone, Debug)]
pub struct KnowledgeView {
    me: Observer,
    fleet_id: u64,
    horizon: Duration,
    seq: u64,
    own: OrdMap<u64, ServerObservations>,
    heard: OrdMap<u64, ServerObservations>,
    changed: OrdMap<u64, u64>,
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

/// Ranges, and that each observer's later observations are the younger ones: the cheapest lie on ages.
fn check(m: &Message) -> Result<(), MergeError> {
    let mut told: BTreeMap<Observer, Vec<(u64, u32)>> = BTreeMap::new();
    for (_, wire) in &m.servers {
        for (origin, age, hops) in wire.provenances() {
            if age > OLDEST_MS || hops > MAX_HOPS {
                return Err(MergeError::OutOfRange);
            }
            told.entry(origin.observer).or_default().push((origin.seq, age));
        }
        if wire.readings().any(|r| r.0 > 1_000_000) {
            return Err(MergeError::OutOfRange);
        }
    }
    for mut all in told.into_values() {
        all.sort_unstable();
        if all.windows(2).any(|w| w[0].0 < w[1].0 && w[1].1 > w[0].1.saturating_add(AGE_GRAIN_MS)) {
            return Err(MergeError::InconsistentAges);
        }
    }
    Ok(())
}

/// Ages of pieces that came over different ways differ by the ways' lengths.
const AGE_GRAIN_MS: u32 = 2_000;

impl KnowledgeView {
    /// What is heard of a server, without what the front knows as well or better itself. What it heard
    /// itself goes before all; a newer word on a drain or a start goes before its own older one.
    fn better(&self, now: Duration, server: u64) -> ServerObservations {
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
