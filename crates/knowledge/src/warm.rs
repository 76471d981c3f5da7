//! Whom a front that starts asks, when, and when it counts as warm. State in, actions out.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How warm a front is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Level {
    /// It knows its last list at most.
    #[default]
    Cold,
    /// It asks its peers.
    Warming,
    /// It knows what a running front knows.
    Warm,
}

impl Level {
    /// A word for the health answer.
    pub fn word(self) -> &'static str {
        match self {
            Level::Cold => "cold",
            Level::Warming => "warming",
            Level::Warm => "warm",
        }
    }
}

/// Why it is so warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It has not begun to ask.
    NotBegun,
    /// It has no peers to ask.
    NoPeers,
    /// It asks.
    Asking,
    /// Enough warm peers answered.
    Enough,
    /// Time was up; fewer than enough warm peers answered.
    SomeInTime,
    /// Peers answered, all as cold as this one.
    PeersCold,
    /// No peer answered in time.
    NoneInTime,
    /// It has listened for a whole horizon itself.
    OwnEars,
}

impl Why {
    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            Why::NotBegun => "not begun",
            Why::NoPeers => "no peers to ask",
            Why::Asking => "asking peers",
            Why::Enough => "enough warm peers answered",
            Why::SomeInTime => "fewer warm peers than wanted answered in time",
            Why::PeersCold => "the peers that answered are cold too",
            Why::NoneInTime => "no peer answered in time",
            Why::OwnEars => "has listened for long enough itself",
        }
    }
}

/// How a front asks.
#[derive(Clone, Copy, Debug)]
pub struct WarmSettings {
    /// Peers asked at once.
    pub parallel: usize,
    /// Warm answers that are enough.
    pub enough: usize,
    /// Another peer is asked when none has answered for so long.
    pub hedge: Duration,
    /// Time for all of it.
    pub deadline: Duration,
    /// The first question waits for up to this, so that half a fleet does not ask in one instant.
    pub jitter: Duration,
    /// Knowledge of its own after which a front counts as warm anyway.
    pub horizon: Duration,
}

/// A question to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
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
pub struct Warmer {
    set: WarmSettings,
    rng: fastrand::Rng,
    me: Option<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    begun: Duration,
    first: Duration,
    last_asked: Duration,
    asked: usize,
    warm: usize,
    cold: usize,
    level: Level,
    why: Why,
}

impl Warmer {
    /// Begins at `now`. `me`: the own address, which is never asked.
    pub fn new(
        now: Duration,
        set: WarmSettings,
        seed: u64,
        me: Option<SocketAddr>,
        peers: &[SocketAddr],
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let first = now + set.jitter.mul_f64(rng.f64());
        let mut w = Warmer {
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
            level: Level::Cold,
            why: Why::NotBegun,
        };
        w.learn(peers);
        if w.peers.is_empty() {
            w.why = Why::NoPeers;
        } else {
            (w.level, w.why) = (Level::Warming, Why::Asking);
        }
        w
    }

    /// How warm the front is, and why.
    pub fn level(&self) -> (Level, Why) {
        (self.level, self.why)
    }

    /// Peers whose addresses were heard of.
    pub fn learn(&mut self, peers: &[SocketAddr]) {
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
    pub fn next_due(&self) -> Option<Duration> {
        match self.level {
            Level::Warm => None,
            Level::Cold => Some(self.begun + self.set.horizon),
            Level::Warming => {
                let end = self.begun + self.set.deadline;
                let asked = self.peers.values().filter(|p| **p == Peer::Asked).count();
                let free = self.peers.values().filter_map(|p| match p {
                    Peer::Free(from) if self.left() > 0 => Some(*from),
                    _ => None,
                });
                let hedged =
                    if asked >= self.wanted() { self.last_asked + self.set.hedge } else { Duration::ZERO };
                let next = free.map(|from| from.max(hedged).max(self.first)).min();
                Some(next.map_or(end, |n| n.min(end)))
            }
        }
    }

    /// Questions that it may still ask: where all peers are cold too, each asking all would be a storm.
    fn left(&self) -> usize {
        (ASKS_EACH * self.set.enough.max(1)).saturating_sub(self.asked)
    }

    fn wanted(&self) -> usize {
        self.set.parallel.max(1)
    }

    /// Whom to ask now.
    pub fn due(&mut self, now: Duration) -> Vec<Ask> {
        let mut out = Vec::new();
        if self.level != Level::Warm && now >= self.begun + self.set.horizon {
            (self.level, self.why) = (Level::Warm, Why::OwnEars);
        }
        if self.level != Level::Warming || now < self.first {
            return out;
        }
        if now >= self.begun + self.set.deadline {
            self.end();
            return out;
        }
        let asked = self.peers.values().filter(|p| **p == Peer::Asked).count();
        let hedge = asked > 0 && now >= self.last_asked + self.set.hedge;
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
            out.push(Ask { peer, nonce: self.rng.u64(1..) });
        }
        self.settle();
        out
    }

    /// A peer answered, and its answer was merged. Whether more is wanted.
    pub fn answered(&mut self, peer: SocketAddr, level: Level) {
        self.peers.insert(peer, Peer::Done);
        if level == Level::Warm {
            self.warm += 1;
        } else {
            self.cold += 1;
        }
        self.settle();
    }

    /// A peer did not answer, or what it said cannot be trusted.
    pub fn failed(&mut self, peer: SocketAddr) {
        self.peers.insert(peer, Peer::Done);
        self.settle();
    }

    /// A peer feeds as many as it can: it may be asked again after that.
    pub fn busy(&mut self, now: Duration, peer: SocketAddr, after: Duration) {
        let wait = after.mul_f64(1.0 + SPREAD * self.rng.f64());
        self.peers.insert(peer, Peer::Free(now + wait));
    }

    /// Ends it where enough has answered, or nobody is left to ask.
    fn settle(&mut self) {
        if self.level != Level::Warming {
            return;
        }
        let nobody_out = !self.peers.values().any(|p| *p == Peer::Asked);
        let nobody_left = self.left() == 0 || self.peers.values().all(|p| *p == Peer::Done);
        if self.warm >= self.set.enough.max(1) || (nobody_out && nobody_left) {
            self.end();
        }
    }

    fn end(&mut self) {
        (self.level, self.why) = match (self.warm, self.cold) {
            (w, _) if w >= self.set.enough.max(1) => (Level::Warm, Why::Enough),
            (0, 0) => (Level::Cold, Why::NoneInTime),
            (0, _) => (Level::Cold, Why::PeersCold),
            _ => (Level::Warm, Why::SomeInTime),
        };
    }
}
