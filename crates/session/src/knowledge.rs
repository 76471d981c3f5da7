//! Exchange of knowledge about servers with peers: this front's own observations, published for its peers, and
//! peers' messages, translated to events of the policy.

use crate::config::PersistenceConfig;
use crate::invariants::{ensure, InvariantViolation};
use crate::list::{ListUpdate, WireState};
use crate::types::{Load, PeerStatus};
use arc_swap::ArcSwap;
use cloverhollow::{ListMode, LoadReport, PeerReport, ServerState};
use cloverhollow_knowledge::observations::{
    ListedState, Observer, ProcessStart, ServerObservations, ServerStatus, Versioned,
};
use cloverhollow_knowledge::wire::Message;
use cloverhollow_knowledge::{KnowledgeStore, KnowledgeView, MergeError};
use std::sync::Arc;
use std::time::Duration;

/// Cell with the latest published snapshot of this front's knowledge. Any task may read it without blocking the
/// core's task.
#[derive(Debug)]
pub struct SnapshotCell {
    view: ArcSwap<KnowledgeView>,
}

impl SnapshotCell {
    /// Latest published snapshot.
    pub fn latest(&self) -> Arc<KnowledgeView> {
        self.view.load_full()
    }
}

/// The core's part of the knowledge exchange.
#[derive(Debug)]
pub(crate) struct KnowledgeExchange {
    /// False if no peer requests knowledge, so that nothing is stored.
    enabled: bool,
    store: KnowledgeStore,
    snapshot: Arc<SnapshotCell>,
    /// Sequence number of the published snapshot.
    published_seq: u64,
    /// Time of the last removal of expired knowledge.
    last_expiry: Duration,
}

/// Time between removals of knowledge that is older than the horizon.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

impl KnowledgeExchange {
    /// Creates an empty exchange. Without a configuration it is disabled and the store stays empty, however many
    /// servers are listed over time.
    pub(crate) fn new(config: Option<&PersistenceConfig>, incarnation: u64) -> Self {
        let (instance, fleet, horizon) =
            config.map_or((0, 0, Duration::ZERO), |c| (c.instance_id, c.fleet_id, c.horizon));
        let store = KnowledgeStore::new(Observer { instance, incarnation }, fleet, horizon);
        let snapshot = Arc::new(SnapshotCell { view: ArcSwap::from_pointee(store.view()) });
        KnowledgeExchange {
            enabled: config.is_some(),
            store,
            snapshot,
            published_seq: 0,
            last_expiry: Duration::ZERO,
        }
    }

    pub(crate) fn snapshot(&self) -> Arc<SnapshotCell> {
        self.snapshot.clone()
    }

    /// Publishes a new snapshot if anything has changed. Takes constant time.
    pub(crate) fn publish(&mut self) {
        let view = self.store.view();
        if view.seq() != self.published_seq {
            self.published_seq = view.seq();
            self.snapshot.view.store(Arc::new(view));
        }
    }

    /// Checks that the published snapshot is up to date.
    pub(crate) fn check(&self) -> Result<(), InvariantViolation> {
        let (shown, last) = (self.published_seq, self.store.view().seq());
        ensure(shown == last, || InvariantViolation::StaleSnapshot { shown, last })
    }

    /// Stores how an attempt or a session at a server ended. `may_have_restarted` is true if the server was
    /// unreachable or lost the session.
    pub(crate) fn record_outcome(
        &mut self,
        now: Duration,
        server: u64,
        worked: bool,
        may_have_restarted: bool,
    ) {
        if self.enabled {
            self.store.record_outcome(now, server, worked, may_have_restarted);
        }
    }

    /// Stores a load that a server reported.
    pub(crate) fn record_load(&mut self, now: Duration, server: u64, load: Load) {
        if self.enabled {
            self.store.record_load(now, server, load.link, load.rack, load.share);
        }
    }

    /// Stores an update of this front's own server list. Returns peers' newer reports on servers that do not serve,
    /// for the policy to apply after the update.
    ///
    /// The update has just overwritten those reports; this front's discovery stream may be behind its peers'.
    pub(crate) fn record_list_update(&mut self, now: Duration, update: &ListUpdate) -> Vec<PeerReport> {
        if update.mode == ListMode::Failed || !self.enabled {
            return Vec::new();
        }
        for e in &update.entries {
            let status = match e.state {
                WireState::Serving => ServerStatus::Serving,
                WireState::Draining => ServerStatus::Draining,
                WireState::Gone => ServerStatus::Removed,
            };
            self.store.record_state(now, e.id, ListedState { version: update.version, status });
            let uptime_ms = e.started_ms_ago.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX));
            self.store.record_start(now, e.id, ProcessStart { incarnation: e.incarnation, uptime_ms });
        }
        let reports = self.store.servers_from_peers().into_iter().filter_map(|server| {
            let observations = self.store.peer_observations(now, server);
            let not_serving = observations.state.filter(|s| s.value.status != ServerStatus::Serving)?;
            Some(self.peer_reports(
                now,
                server,
                &ServerObservations { state: Some(not_serving), ..ServerObservations::default() },
            ))
        });
        reports.flatten().collect()
    }

    /// Merges a peer's answer to a knowledge request. Returns the peer's newer reports and the peer's own state.
    pub(crate) fn merge(
        &mut self,
        now: Duration,
        requested_at: Duration,
        nonce: u64,
        message: &Message,
    ) -> Result<(Vec<PeerReport>, PeerStatus), MergeError> {
        if now >= self.last_expiry + EXPIRY_INTERVAL {
            self.last_expiry = now;
            self.store.remove_expired(now);
        }
        let merged = self.store.merge(now, requested_at, nonce, message)?;
        let reports =
            merged.updates.iter().flat_map(|l| self.peer_reports(now, l.server, &l.observations)).collect();
        Ok((reports, PeerStatus { level: message.level, seq: message.seq, peers: merged.peers }))
    }

    /// Merges the message that this front persisted before its restart.
    ///
    /// The time since then is unknown because clocks may jump, so only versioned observations (states and starts)
    /// are used, never load or health.
    pub(crate) fn restore(&mut self, now: Duration, message: &Message) -> Vec<PeerReport> {
        let versioned = message.versioned_only();
        let merged = self.store.merge(now, now, versioned.nonce, &versioned);
        let updates = merged.map(|m| m.updates).unwrap_or_default();
        updates.iter().flat_map(|l| self.peer_reports(now, l.server, &l.observations)).collect()
    }

    /// Translates observations of a server to the policy's form: one report, and a second one for the load of the
    /// rack's uplink, which has an age of its own.
    fn peer_reports(&self, now: Duration, server: u64, observations: &ServerObservations) -> Vec<PeerReport> {
        let state = match observations.state.map(|s| s.value.status) {
            Some(ServerStatus::Draining) => ServerState::Draining,
            Some(ServerStatus::Removed) => ServerState::Removed,
            Some(ServerStatus::Serving) | None => ServerState::Serving,
        };
        let started_at = |p: Versioned<ProcessStart>| {
            let age = Duration::from_millis(p.value.uptime_ms?.into());
            Some(p.provenance.observed_at.saturating_sub(age))
        };
        let health = observations.health.map(|h| h.value);
        let age_since =
            |observed: Option<Duration>| observed.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let link = PeerReport {
            server,
            state,
            started_at: observations.start.and_then(started_at).unwrap_or_default(),
            failed: health.is_some_and(|h| h.consecutive_failures > 0),
            may_have_restarted: health.is_some_and(|h| h.may_have_restarted),
            load: LoadReport {
                link_load: observations.link_load.map(|p| p.value.ratio()),
                uplink_load: None,
            },
            load_age: age_since(observations.link_load.map(|p| p.provenance.observed_at)),
        };
        let has_content = link.state != ServerState::Serving
            || !link.started_at.is_zero()
            || link.failed
            || observations.link_load.is_some();
        let rack = observations.uplink_load.map(|p| PeerReport {
            server,
            load: LoadReport { link_load: None, uplink_load: Some(p.value.ratio()) },
            load_age: age_since(Some(p.provenance.observed_at)),
            ..PeerReport::default()
        });
        has_content.then_some(link).into_iter().chain(rack).collect()
    }
}
