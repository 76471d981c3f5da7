//! Exchange of knowledge with peers: a warm start, then periodic deltas.
//!
//! [`WarmStart`] decides which peers get a request and when. This module sends the requests over HTTP to the
//! peers' side addresses and passes the responses to the event loop. A request is limited by
//! `peers.deadline_ms`; a transfer that is cut off resumes where it stopped (RFC 9110, section 14, by range
//! and entity tag). Dropping the task drops its requests.

mod fetch;

use crate::event_loop::LoopEvent;
use crate::side_endpoint::FrontStatus;
use crate::Shared;
use cloverhollow_knowledge::wire::Message;
use cloverhollow_knowledge::{KnowledgeLevel, MergeError, PeerRequest, WarmStart, WarmStartConfig};
use cloverhollow_session::{Input, PeerStatus};
use fetch::fetch_message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};

/// Path of the exchange at the side address; see docs/openapi/knowledge.yaml.
pub(crate) const PATH: &str = "/v1/knowledge";
/// Names of the query arguments.
pub(crate) const NONCE_ARG: &str = "nonce";
pub(crate) const AFTER_ARG: &str = "after";
pub(crate) const FORMAT_ARG: &str = "format";
pub(crate) const FROM_ARG: &str = "from";
/// Response header with the retry-after delay in milliseconds, beside `Retry-After` in whole seconds.
pub(crate) const RETRY_AFTER_MS_HEADER: &str = "cloverhollow-retry-after-ms";
/// Capacity of the queue of merge outcomes.
pub(crate) const MAX_MERGE_OUTCOMES: usize = 256;

/// Result of merging one peer's message, reported by the event loop.
pub(crate) type MergeOutcome = (SocketAddr, Result<PeerStatus, MergeError>);

/// Result of a request to a peer.
enum PeerReply {
    Message { requested_at: Duration, nonce: u64, message: Box<Message> },
    Busy(Duration),
    Failed,
}

/// State of the exchange with all peers.
struct PeerExchange {
    shared: Arc<Shared>,
    status: Arc<FrontStatus>,
    own_address: Option<SocketAddr>,
    warm_start: WarmStart,
    /// Sequence number of the last change received from each peer; its next delta starts there.
    last_seq: BTreeMap<SocketAddr, u64>,
    requests: JoinSet<(SocketAddr, PeerReply)>,
}

/// Runs for as long as the front does. `own_address`: this front's own side address.
pub(crate) async fn run(
    shared: Arc<Shared>,
    status: Arc<FrontStatus>,
    own_address: Option<SocketAddr>,
    mut merge_outcomes: mpsc::Receiver<MergeOutcome>,
) {
    let settings = &shared.settings.peers;
    let warm_settings = WarmStartConfig {
        max_parallel: settings.parallel.as_usize(),
        required_warm_answers: settings.sufficient_answers.as_usize(),
        hedge_delay: settings.hedge_delay_ms.get(),
        deadline: settings.warm_start_timeout_ms.get(),
        max_jitter: settings.max_jitter_ms.get(),
        horizon: settings.max_age_ms.get(),
    };
    let warm_start = WarmStart::new(
        shared.clock.now(),
        warm_settings,
        fastrand::u64(..),
        own_address,
        &settings.addresses,
    );
    let delta_interval = Some(settings.poll_interval_ms.get()).filter(|interval| !interval.is_zero());
    let mut exchange = PeerExchange {
        status,
        own_address,
        warm_start,
        last_seq: BTreeMap::new(),
        requests: JoinSet::new(),
        shared: shared.clone(),
    };
    let mut next_delta = shared.clock.now() + delta_interval.unwrap_or_default();
    loop {
        exchange.publish_level();
        let now = shared.clock.now();
        for request in exchange.warm_start.poll(now) {
            exchange.send_request(request, None);
        }
        if delta_interval.is_some_and(|_| now >= next_delta) {
            next_delta = now + delta_interval.unwrap_or_default();
            exchange.request_delta();
        }
        let wake_at =
            exchange.warm_start.next_poll().into_iter().chain(delta_interval.map(|_| next_delta)).min();
        let wake_at = wake_at.unwrap_or(now + Duration::from_secs(3600));
        tokio::select! {
            () = sleep_until(shared.clock.instant(wake_at)) => {}
            Some(Ok((peer, reply))) = exchange.requests.join_next() => exchange.handle_reply(peer, reply).await,
            Some((peer, outcome)) = merge_outcomes.recv() => exchange.handle_merge(peer, outcome),
        }
    }
}

impl PeerExchange {
    fn publish_level(&self) {
        let (level, reason) = self.warm_start.level();
        if self.status.set_level(level, reason) {
            tracing::info!(level = level.as_str(), why = reason.as_str(), "warm-up level changed");
        }
        self.status.add_peers(self.warm_start.peers().collect());
    }

    fn send_request(&mut self, request: PeerRequest, after: Option<u64>) {
        self.shared.stats.peer_requests.fetch_add(1, Relaxed);
        let (shared, own_address) = (self.shared.clone(), self.own_address);
        self.requests.spawn(async move {
            let deadline = shared.settings.peers.warm_start_timeout_ms.get();
            let reply = timeout(deadline, fetch_message(&shared, own_address, request, after)).await;
            (request.peer, reply.unwrap_or(PeerReply::Failed))
        });
    }

    /// Requests from a random peer its changes since the last request.
    fn request_delta(&mut self) {
        if self.warm_start.level().0 == KnowledgeLevel::Warming || !self.requests.is_empty() {
            return;
        }
        let candidates: Vec<SocketAddr> = self.warm_start.peers().collect();
        if let Some(peer) = fastrand::choice(candidates.iter()) {
            let after = self.last_seq.get(peer).copied();
            self.send_request(PeerRequest { peer: *peer, nonce: fastrand::u64(1..) }, after);
        }
    }

    async fn handle_reply(&mut self, peer: SocketAddr, reply: PeerReply) {
        match reply {
            PeerReply::Message { requested_at, nonce, message } => {
                let input = Input::PeerMessage { peer, requested_at, nonce, message };
                let _ = self.shared.event_tx.send(LoopEvent::from_input(input)).await;
            }
            PeerReply::Busy(after) => self.warm_start.on_busy(self.shared.clock.now(), peer, after),
            PeerReply::Failed => {
                // The peer may have restarted, with its own sequence numbers.
                self.last_seq.remove(&peer);
                self.warm_start.on_failure(peer);
            }
        }
    }

    fn handle_merge(&mut self, peer: SocketAddr, outcome: Result<PeerStatus, MergeError>) {
        match outcome {
            Ok(peer_status) => {
                self.last_seq.insert(peer, peer_status.seq);
                self.warm_start.add_peers(&peer_status.peers);
                self.warm_start.on_answer(peer, peer_status.level);
            }
            Err(_) => {
                self.last_seq.remove(&peer);
                self.warm_start.on_failure(peer);
            }
        }
    }
}
