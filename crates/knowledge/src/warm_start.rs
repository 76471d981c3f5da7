//! Whom a front that starts asks, when, and when it counts as warm. State in, actions out.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How warm a front is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum KnowledgeLevel {
    /// It knows its last list at most.
    #[default]
    Cold,
    /// It asks its peers.
    Warming,
    /// It knows what a running front knows.
    Warm,
}

impl KnowledgeLevel {
    /// A word for the health answer.
    pub fn as_str(self) -> &'static str {
        match self {
            KnowledgeLevel::Cold => "cold",
            KnowledgeLevel::Warming => "warming",
            KnowledgeLevel::Warm => "warm",
        }
    }
}

/// Why it is so warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelReason {
    /// It has not begun to ask.
    NotStarted,
    /// It has no peers to ask.
    NoPeers,
    /// It asks.
    RequestsPending,
    /// Enough warm peers answered.
    EnoughWarmPeers,
    /// Time was up; fewer than enough warm peers answered.
    FewWarmPeers,
    /// Peers answered, all as cold as this one.
    AllPeersCold,
    /// No peer answered in time.
    NoAnswerInTime,
    /// It has listened for a whole horizon itself.
    HorizonElapsed,
}

impl LevelReason {
    /// In words.
    pub fn as_str(self) -> &'static str {
        match self {
            LevelReason::NotStarted => "not begun",
            LevelReason::NoPeers => "no peers to ask",
            LevelReason::RequestsPending => "asking peers",
            LevelReason::EnoughWarmPeers => "enough warm peers answered",
            LevelReason::FewWarmPeers => "fewer warm peers than wanted answered in time",
            LevelReason::AllPeersCold => "the peers that answered are cold too",
            LevelReason::NoAnswerInTime => "no peer answered in time",
            LevelReason::HorizonElapsed => "has listened for long enough itself",
        }
    }
}

/// How a front asks.
#[derive(Clone, Copy, Debug)]
pub struct WarmStartConfig {
    /// Peers asked at once.
    pub max_parallel: usize,
    /// Warm answers that are enough.
    pub required_warm_answers: usize,
    /// Another peer is asked when none has answered for so long.
    pub hedge_delay: Duration,
    /// Time for all of it.
    pub deadline: Duration,
    /// The first question waits for up to this, so that half a fleet does not ask in one instant.
    pub max_jitter: Duration,
    /// Knowledge of its own after which a front counts as warm anyway.
    pub horizon: Duration,
}

/// A question to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerRequest {
    /// Whom.
    pub peer: SocketAddr,
    /// With which number: the answer must have it.
    pub nonce: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Peer {
    /// May be asked from then on.
    Free(Duration),
    /// Asked.
    Asked,
    /// Answered, or of no use.
    Done,
}

/// Most peers that are kept; further ones are not learned.
const MOST: usize = 1_024;
/// A question after this part of the hold-off that a busy peer names is spread by chance, so that those that
/// were turned away together do not come back together.
const SPREAD: f64 = 0.5;

/// Questions for each warm answer that is wanted.
const ASKS_EACH: usize = 4;

/// The state of one warm start.
#[derive(Debug)]
pub struct WarmStart {
    set: WarmStartConfig,
    rng: fastrand::Rng,
    me: Option<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    begun: Duration,
    first: Duration,
    last_asked: Duration,
    asked: usize,
    warm: usize,
    cold: usize,
    level: KnowledgeLevel,
    why: LevelReason,
}

impl WarmStart {
    /// Begins at `now`. `me`: the own address, which is never asked.
    pub fn new(
        now: Duration,
        set: WarmStartConfig,
        seed: u64,
        me: Option<SocketAddr>,
        peers: &[SocketAddr],
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let first = now + set.max_jitter.mul_f64(rng.f64());
        let mut w = WarmStart {
            set,
            rng,
            me,
            peers: BTreeMap::new(),
            begun: now,
            first,
            last_asked: Duration::ZERO,
            asked: 0,
            warm: 0,
            cold: 0,
            level: KnowledgeLevel::Cold,
            why: LevelReason::NotStarted,
        };
        w.add_peers(peers);
        if w.peers.is_empty() {
            w.why = LevelReason::NoPeers;
        } else {
            (w.level, w.why) = (KnowledgeLevel::Warming, LevelReason::RequestsPending);
        }
        w
    }

    /// How warm the front is, and why.
    pub fn level(&self) -> (KnowledgeLevel, LevelReason) {
        (self.level, self.why)
    }

    /// Peers whose addresses were heard of.
    pub fn add_peers(&mut self, peers: &[SocketAddr]) {
        for peer in peers.iter().filter(|p| Some(**p) != self.me) {
            if self.peers.len() < MOST {
                self.peers.entry(*peer).or_insert(Peer::Free(Duration::ZERO));
            }
        }
    }

    /// All peers known.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.keys().copied()
    }

    /// When [`Warmer::due`] must be called next; `None`: never again.
    pub fn next_poll(&self) -> Option<Duration> {
        match self.level {
            KnowledgeLevel::Warm => None,
            KnowledgeLevel::Cold => Some(self.begun + self.set.horizon),
            KnowledgeLevel::Warming => {
                let end = self.begun + self.set.deadline;
                let asked = self.peers.values().filter(|p| **p == Peer::Asked).count();
                let free = self.peers.values().filter_map(|p| match p {
                    Peer::Free(from) if self.left() > 0 => Some(*from),
                    _ => None,
                });
                let hedged = if asked >= self.wanted() {
                    self.last_asked + self.set.hedge_delay
                } else {
                    Duration::ZERO
                };
                let next = free.map(|from| from.max(hedged).max(self.first)).min();
                Some(next.map_or(end, |n| n.min(end)))
            }
        }
    }

    /// Questions that it may still ask: where all peers are cold too, each asking all would be a storm.
    fn left(&self) -> usize {
        (ASKS_EACH * self.set.required_warm_answers.max(1)).saturating_sub(self.asked)
    }

    fn wanted(&self) -> usize {
        self.set.max_parallel.max(1)
    }

    /// Whom to ask now.
    pub fn poll(&mut self, now: Duration) -> Vec<PeerRequest> {
        let mut out = Vec::new();
        if self.level != KnowledgeLevel::Warm && now >= self.begun + self.set.horizon {
            (self.level, self.why) = (KnowledgeLevel::Warm, LevelReason::HorizonElapsed);
        }
        if self.level != KnowledgeLevel::Warming || now < self.first {
            return out;
        }
        if now >= self.begun + self.set.deadline {
            self.end();
            return out;
        }
        let asked = self.peers.values().filter(|p| **p == Peer::Asked).count();
        let hedge = asked > 0 && now >= self.last_asked + self.set.hedge_delay;
        let places = self.wanted().saturating_sub(asked).max(usize::from(hedge));
        let places = places.min(self.left());
        let mut free: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, p)| matches!(p, Peer::Free(from) if *from <= now))
            .map(|(a, _)| *a)
            .collect();
        self.rng.shuffle(&mut free);
        for peer in free.into_iter().take(places) {
            self.peers.insert(peer, Peer::Asked);
            self.last_asked = now;
            self.asked += 1;
            out.push(PeerRequest { peer, nonce: self.rng.u64(1..) });
        }
        self.settle();
        out
    }

    /// A peer answered, and its answer was merged. Whether more is wanted.
    pub fn on_answer(&mut self, peer: SocketAddr, level: KnowledgeLevel) {
        self.peers.insert(peer, Peer::Done);
        if level == KnowledgeLevel::Warm {
            self.warm += 1;
        } else {
            self.cold += 1;
        }
        self.settle();
    }

    /// A peer did not answer, or what it said cannot be trusted.
    pub fn on_failure(&mut self, peer: SocketAddr) {
        self.peers.insert(peer, Peer::Done);
        self.settle();
    }

    /// A peer feeds as many as it can: it may be asked again after that.
    pub fn on_busy(&mut self, now: Duration, peer: SocketAddr, after: Duration) {
        let wait = after.mul_f64(1.0 + SPREAD * self.rng.f64());
        self.peers.insert(peer, Peer::Free(now + wait));
    }

    /// Ends it where enough has answered, or nobody is left to ask.
    fn settle(&mut self) {
        if self.level != KnowledgeLevel::Warming {
            return;
        }
        let nobody_out = !self.peers.values().any(|p| *p == Peer::Asked);
        let nobody_left = self.left() == 0 || self.peers.values().all(|p| *p == Peer::Done);
        if self.warm >= self.set.required_warm_answers.max(1) || (nobody_out && nobody_left) {
            self.end();
        }
    }

    fn end(&mut self) {
        (self.level, self.why) = match (self.warm, self.cold) {
            (w, _) if w >= self.set.required_warm_answers.max(1) => {
                (KnowledgeLevel::Warm, LevelReason::EnoughWarmPeers)
            }
            (0, 0) => (KnowledgeLevel::Cold, LevelReason::NoAnswerInTime),
            (0, _) => (KnowledgeLevel::Cold, LevelReason::AllPeersCold),
            _ => (KnowledgeLevel::Warm, LevelReason::FewWarmPeers),
        };
    }
}
