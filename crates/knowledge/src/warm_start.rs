//! Warm start of a front: decides which peers to request knowledge from and when the front is warm. Without I/O:
//! the caller sends the requests and reports their outcomes.

use crate::{KnowledgeLevel, LevelReason};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Parameters of a warm start.
#[derive(Clone, Copy, Debug)]
pub struct WarmStartConfig {
    /// Maximum number of concurrent requests, apart from hedges.
    pub max_parallel: usize,
    /// Number of answers from warm peers that complete the warm start.
    pub required_warm_answers: usize,
    /// Time since the last request after which a hedged request is sent to another peer.
    pub hedge_delay: Duration,
    /// Maximum duration of the warm start.
    pub deadline: Duration,
    /// Maximum random delay of the first request, so that fronts started together do not send requests all at once.
    pub max_jitter: Duration,
    /// Time after which a front counts as warm through its own observations.
    pub horizon: Duration,
}

/// Request to be sent to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerRequest {
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Random number that the answer must repeat.
    pub nonce: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum PeerState {
    /// May be requested from this time on.
    Available(Duration),
    /// A request is pending.
    Pending,
    /// Has answered or failed.
    Done,
}

/// Maximum number of known peers; further addresses are ignored.
const MAX_KNOWN_PEERS: usize = 1_024;
/// Maximum random part added to a busy peer's retry-after delay, as a share of that delay, so that fronts refused
/// together do not retry together.
const RETRY_JITTER: f64 = 0.5;

/// Maximum number of requests for each required warm answer.
const MAX_REQUESTS_PER_ANSWER: usize = 4;

/// State of one warm start.
#[derive(Debug)]
pub struct WarmStart {
    config: WarmStartConfig,
    rng: fastrand::Rng,
    own_address: Option<SocketAddr>,
    peers: BTreeMap<SocketAddr, PeerState>,
    started_at: Duration,
    first_request_at: Duration,
    last_request_at: Duration,
    request_count: usize,
    warm_answers: usize,
    cold_answers: usize,
    level: KnowledgeLevel,
    reason: LevelReason,
}

impl WarmStart {
    /// Begins a warm start at `now`. No requests are sent to `own_address`.
    pub fn new(
        now: Duration,
        config: WarmStartConfig,
        seed: u64,
        own_address: Option<SocketAddr>,
        peers: &[SocketAddr],
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let first_request_at = now + config.max_jitter.mul_f64(rng.f64());
        let mut warm_start = WarmStart {
            config,
            rng,
            own_address,
            peers: BTreeMap::new(),
            started_at: now,
            first_request_at,
            last_request_at: Duration::ZERO,
            request_count: 0,
            warm_answers: 0,
            cold_answers: 0,
            level: KnowledgeLevel::Cold,
            reason: LevelReason::NotStarted,
        };
        warm_start.add_peers(peers);
        if warm_start.peers.is_empty() {
            warm_start.reason = LevelReason::NoPeers;
        } else {
            (warm_start.level, warm_start.reason) = (KnowledgeLevel::Warming, LevelReason::RequestsPending);
        }
        warm_start
    }

    /// Current level of knowledge, with its reason.
    pub fn level(&self) -> (KnowledgeLevel, LevelReason) {
        (self.level, self.reason)
    }

    /// Adds addresses of peers.
    pub fn add_peers(&mut self, peers: &[SocketAddr]) {
        for peer in peers.iter().filter(|p| Some(**p) != self.own_address) {
            if self.peers.len() < MAX_KNOWN_PEERS {
                self.peers.entry(*peer).or_insert(PeerState::Available(Duration::ZERO));
            }
        }
    }

    /// Addresses of all known peers.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.keys().copied()
    }

    /// Time of the next necessary call of [`WarmStart::poll`]; `None` once the front is warm.
    pub fn next_poll(&self) -> Option<Duration> {
        match self.level {
            KnowledgeLevel::Warm => None,
            KnowledgeLevel::Cold => Some(self.started_at + self.config.horizon),
            KnowledgeLevel::Warming => {
                let deadline = self.started_at + self.config.deadline;
                let pending = self.peers.values().filter(|p| **p == PeerState::Pending).count();
                let available = self.peers.values().filter_map(|p| match p {
                    PeerState::Available(from) if self.remaining_requests() > 0 => Some(*from),
                    _ => None,
                });
                let hedge_at = if pending >= self.max_pending() {
                    self.last_request_at + self.config.hedge_delay
                } else {
                    Duration::ZERO
                };
                let next = available.map(|from| from.max(hedge_at).max(self.first_request_at)).min();
                Some(next.map_or(deadline, |next| next.min(deadline)))
            }
        }
    }

    /// Number of requests that may still be sent. Bounded because, where all peers are cold too, each front would
    /// otherwise send requests to all others.
    fn remaining_requests(&self) -> usize {
        (MAX_REQUESTS_PER_ANSWER * self.config.required_warm_answers.max(1))
            .saturating_sub(self.request_count)
    }

    fn max_pending(&self) -> usize {
        self.config.max_parallel.max(1)
    }

    /// Returns the requests to send now.
    pub fn poll(&mut self, now: Duration) -> Vec<PeerRequest> {
        let mut requests = Vec::new();
        if self.level != KnowledgeLevel::Warm && now >= self.started_at + self.config.horizon {
            (self.level, self.reason) = (KnowledgeLevel::Warm, LevelReason::HorizonElapsed);
        }
        if self.level != KnowledgeLevel::Warming || now < self.first_request_at {
            return requests;
        }
        if now >= self.started_at + self.config.deadline {
            self.end();
            return requests;
        }
        let pending = self.peers.values().filter(|p| **p == PeerState::Pending).count();
        let hedge = pending > 0 && now >= self.last_request_at + self.config.hedge_delay;
        let slots = self.max_pending().saturating_sub(pending).max(usize::from(hedge));
        let slots = slots.min(self.remaining_requests());
        let mut available: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, p)| matches!(p, PeerState::Available(from) if *from <= now))
            .map(|(a, _)| *a)
            .collect();
        self.rng.shuffle(&mut available);
        for peer in available.into_iter().take(slots) {
            self.peers.insert(peer, PeerState::Pending);
            self.last_request_at = now;
            self.request_count += 1;
            requests.push(PeerRequest { peer, nonce: self.rng.u64(1..) });
        }
        self.end_if_complete();
        requests
    }

    /// Handles a peer's answer after its merge.
    pub fn on_answer(&mut self, peer: SocketAddr, level: KnowledgeLevel) {
        self.peers.insert(peer, PeerState::Done);
        if level == KnowledgeLevel::Warm {
            self.warm_answers += 1;
        } else {
            self.cold_answers += 1;
        }
        self.end_if_complete();
    }

    /// Handles a request that got no answer, or one that was rejected.
    pub fn on_failure(&mut self, peer: SocketAddr) {
        self.peers.insert(peer, PeerState::Done);
        self.end_if_complete();
    }

    /// Handles a peer's refusal because of too many transfers: a retry is allowed after `retry_after`.
    pub fn on_busy(&mut self, now: Duration, peer: SocketAddr, retry_after: Duration) {
        let wait = retry_after.mul_f64(1.0 + RETRY_JITTER * self.rng.f64());
        self.peers.insert(peer, PeerState::Available(now + wait));
    }

    /// Ends the warm start if enough warm peers have answered or no requests remain.
    fn end_if_complete(&mut self) {
        if self.level != KnowledgeLevel::Warming {
            return;
        }
        let none_pending = !self.peers.values().any(|p| *p == PeerState::Pending);
        let none_remaining =
            self.remaining_requests() == 0 || self.peers.values().all(|p| *p == PeerState::Done);
        if self.warm_answers >= self.config.required_warm_answers.max(1) || (none_pending && none_remaining) {
            self.end();
        }
    }

    fn end(&mut self) {
        (self.level, self.reason) = match (self.warm_answers, self.cold_answers) {
            (warm, _) if warm >= self.config.required_warm_answers.max(1) => {
                (KnowledgeLevel::Warm, LevelReason::EnoughWarmPeers)
            }
            (0, 0) => (KnowledgeLevel::Cold, LevelReason::NoAnswerInTime),
            (0, _) => (KnowledgeLevel::Cold, LevelReason::AllPeersCold),
            _ => (KnowledgeLevel::Warm, LevelReason::FewWarmPeers),
        };
    }
}
