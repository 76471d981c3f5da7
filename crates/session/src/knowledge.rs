//! Exchange of knowledge about servers with peers: this front's own observations, published for its peers, and
//! peers' messages, translated to events of the policy.

use crate::config::PersistenceConfig;
use crate::invariants::{ensure, InvariantViolation};
use crate::list::{ListUpdate, WireState};
use crate::types::{Load, PeerStatus};
use arc_swap::ArcSwap;
use cloverhollow::{ListMode, LoadReport, PeerReport, ServerState};
use cloverhollow_knowledge::facts::{Facts, Observer, Piece, Standing, Start, State};
use cloverhollow_knowledge::wire::Message;
use cloverhollow_knowledge::{Book, BookView, MergeError};
use std::sync::Arc;
use std::time::Duration;

/// Cell with the latest published snapshot of this front's knowledge. Any task may read it without blocking the
/// core's task.
#[derive(Debug)]
pub struct SnapshotCell {
    view: ArcSwap<BookView>,
}

impl SnapshotCell {
    /// Latest published snapshot.
    pub fn latest(&self) -> Arc<BookView> {
        self.view.load_full()
    }
}

/// The core's part of the knowledge exchange.
#[derive(Debug)]
pub(crate) struct KnowledgeExchange {
    /// False if no peer requests knowledge, so that nothing is stored.
    enabled: bool,
    store: Book,
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
        let store = Book::new(Observer { instance, incarnation }, fleet, horizon);
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

    /// Stores how an attempt or a session at a server ended. `may_have_restarted` is true if
    /// the server was unreachable or lost the session.
    pub(crate) fn record_outcome(
        &mut self,
        now: Duration,
        server: u64,
        worked: bool,
        may_have_restarted: bool,
    ) {
        if self.enabled {
            self.store.behaved(now, server, worked, may_have_restarted);
        }
    }

    /// Stores a load that a server reported.
    pub(crate) fn record_load(&mut self, now: Duration, server: u64, load: Load) {
        if self.enabled {
            self.store.read(now, server, load.link, load.rack, load.share);
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
            let standing = match e.state {
                WireState::Serving => Standing::Serving,
                WireState::Draining => Standing::Draining,
                WireState::Gone => Standing::Gone,
            };
            self.store.listed(now, e.id, State { version: update.version, standing });
            let before_ms = e.started_ms_ago.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX));
            self.store.started(now, e.id, Start { incarnation: e.incarnation, before_ms });
        }
        let reports = self.store.heard_of().into_iter().filter_map(|server| {
            let facts = self.store.heard(now, server);
            let not_serving = facts.state.filter(|s| s.fact.standing != Standing::Serving)?;
            Some(self.peer_reports(now, server, &Facts { state: Some(not_serving), ..Facts::default() }))
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
            self.store.forget_old(now);
        }
        let merged = self.store.merge(now, requested_at, nonce, message)?;
        let reports =
            merged.learned.iter().flat_map(|l| self.peer_reports(now, l.server, &l.facts)).collect();
        Ok((reports, PeerStatus { level: message.level, seq: message.seq, peers: merged.peers }))
    }

    /// Merges the message that this front persisted before its restart.
    ///
    /// The time since then is unknown because clocks may jump, so only versioned observations (states and starts)
    /// are used, never load or health.
    pub(crate) fn restore(&mut self, now: Duration, message: &Message) -> Vec<PeerReport> {
        let versioned = message.without_ages();
        let merged = self.store.merge(now, now, versioned.nonce, &versioned);
        let learned = merged.map(|m| m.learned).unwrap_or_default();
        learned.iter().flat_map(|l| self.peer_reports(now, l.server, &l.facts)).collect()
    }

    /// Translates observations of a server to the policy's form: one report, and a second one for the load of the
    /// rack's uplink, which has an age of its own.
    fn peer_reports(&self, now: Duration, server: u64, facts: &Facts) -> Vec<PeerReport> {
        let state = match facts.state.map(|s| s.fact.standing) {
            Some(Standing::Draining) => ServerState::Draining,
            Some(Standing::Gone) => ServerState::Removed,
            Some(Standing::Serving) | None => ServerState::Serving,
        };
        let started_at = |p: Piece<Start>| {
            let age = Duration::from_millis(p.fact.before_ms?.into());
            Some(p.seen.at.saturating_sub(age))
        };
        let health = facts.health.map(|h| h.fact);
        let age_since =
            |observed: Option<Duration>| observed.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let link = PeerReport {
            server,
            state,
            started_at: facts.start.and_then(started_at).unwrap_or_default(),
            failed: health.is_some_and(|h| h.failures > 0),
            may_have_restarted: health.is_some_and(|h| h.lost),
            load: LoadReport { link_load: facts.link.map(|p| p.fact.share()), uplink_load: None },
            load_age: age_since(facts.link.map(|p| p.seen.at)),
        };
        let has_content = link.state != ServerState::Serving
            || !link.started_at.is_zero()
            || link.failed
            || facts.link.is_some();
        let rack = facts.rack.map(|p| PeerReport {
            server,
            load: LoadReport { link_load: None, uplink_load: Some(p.fact.share()) },
            load_age: age_since(Some(p.seen.at)),
            ..PeerReport::default()
        });
        has_content.then_some(link).into_iter().chain(rack).collect()
    }
}
