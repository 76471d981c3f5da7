//! What session managers tell each other of servers' loads, in datagrams of 256 bytes at most.
//!
//! A session manager meets some tens of servers out of hundreds, and of the rest it guesses. Every now and then it tells one
//! other, drawn anew each time, the youngest readings that it has, its own and those that it heard, each so often. What is heard
//! is one more reading, with its age; no rule rests on it. A datagram that is lost, late, doubled or garbled costs nothing but
//! its bytes, and a lie is believed for as long as a reading is.

use cloverhollow::{LoadReport, PeerReport, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest datagram that the platform lets pass.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Format, and a check against what was garbled on its way.
const LEAD: usize = 1 + 2;
/// Digest of the server, link, uplink, age.
const ENTRY: usize = 2 + 1 + 1 + 1;
/// Most readings of one datagram.
const MOST: usize = (MAX_DATAGRAM_BYTES - LEAD) / ENTRY;
const FORMAT: u8 = 1;
/// Grain of an age, ms: an octet holds up to some seconds.
const GRAIN_MS: u128 = 40;
/// Link and uplink of one instant come in two lines.
const ONE_NOTE: Duration = Duration::from_millis(100);
/// A copy of a datagram that comes so much later looks younger than it is by that: it is no news.
const LATE: Duration = Duration::from_millis(200);
/// What stands for a load that was not read.
const UNREAD: u8 = u8::MAX;

/// When and how often it is told.
#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// Time between two datagrams.
    pub interval: Duration,
    /// One reading is told so often by one session manager.
    pub max_sends: u8,
    /// What is older is not told.
    pub max_age: Duration,
}

impl Default for GossipConfig {
    fn default() -> Self {
        GossipConfig { interval: Duration::from_millis(500), max_sends: 2, max_age: Duration::from_secs(6) }
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    digest: u16,
    link: u8,
    rack: u8,
    at: Duration,
    told: u8,
}

/// What one session manager knows and has told.
#[derive(Debug)]
pub struct Gossip {
    cadence: GossipConfig,
    peers: usize,
    /// When the next datagram is due; `None`: the first time is not drawn yet.
    next: Option<Duration>,
    rng: fastrand::Rng,
    /// The last reading of each server; of those that are listed only.
    known: BTreeMap<ServerId, Known>,
    /// Which server a digest means; `None`: two have it, and nobody can say which is meant.
    named: BTreeMap<u16, Option<ServerId>>,
    digests: BTreeMap<ServerId, u16>,
}

fn octet(share: Option<f64>) -> u8 {
    share.map_or(UNREAD, |s| (s * 100.0).round().clamp(0.0, f64::from(UNREAD - 1)) as u8)
}

fn share(octet: u8) -> Option<f64> {
    (octet != UNREAD).then(|| f64::from(octet) / 100.0)
}

impl Gossip {
    /// `peers`: how many others there are to be told.
    pub fn new(cadence: GossipConfig, peers: usize, seed: u64) -> Gossip {
        let rng = fastrand::Rng::with_seed(seed);
        let (known, named, digests) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Gossip { cadence, peers, next: None, rng, known, named, digests }
    }

    /// The list has changed: the servers that may be spoken of, with what all session managers call them alike.
    /// Another process of a name has another key: what was read of the one before is not told of it.
    pub fn set_servers(&mut self, servers: impl Iterator<Item = (ServerId, u64)>) {
        self.named.clear();
        for (server, key) in servers {
            let digest = (key ^ (key >> 16) ^ (key >> 32) ^ (key >> 48)) as u16;
            self.named.entry(digest).and_modify(|s| *s = None).or_insert(Some(server));
        }
        self.digests = self.named.iter().filter_map(|(d, s)| Some(((*s)?, *d))).collect();
        let digests = &self.digests;
        self.known.retain(|s, k| digests.get(s) == Some(&k.digest));
    }

    /// This session manager read a server's load itself, `at` that time.
    pub fn record_reading(&mut self, at: Duration, server: ServerId, link: Option<f64>, rack: Option<f64>) {
        let old = self.known.get(&server).copied();
        let Some(digest) = self.digests.get(&server).copied() else { return };
        // A note tells link and uplink by two lines of one instant.
        let old = old.filter(|k| at.saturating_sub(k.at) < ONE_NOTE);
        let link = link.map_or(old.map_or(UNREAD, |k| k.link), |l| octet(Some(l)));
        let rack = rack.map_or(old.map_or(UNREAD, |k| k.rack), |r| octet(Some(r)));
        self.known.insert(server, Known { digest, link, rack, at, told: 0 });
    }

    /// Whom to tell now, by number, and what. To be asked now and then.
    pub fn poll(&mut self, now: Duration) -> Option<(usize, Vec<u8>)> {
        let every = self.cadence.interval;
        // All begin at about the same time: each at a moment of its own.
        let next = *self.next.get_or_insert_with(|| now + every.mul_f64(self.rng.f64()));
        if self.peers == 0 || now < next {
            return None;
        }
        self.next = Some(now + every);
        let GossipConfig { max_sends, max_age, .. } = self.cadence;
        let told = |k: &Known| k.told < max_sends && now.saturating_sub(k.at) < max_age;
        let mut all: Vec<_> = self.known.iter().filter(|(_, k)| told(k)).map(|(s, k)| (k.at, *s)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        if all.is_empty() {
            return None;
        }
        let mut out = vec![FORMAT, 0, 0];
        for (_, server) in all.into_iter().take(MOST) {
            let Some(k) = self.known.get_mut(&server) else { continue };
            k.told += 1;
            let age = (now.saturating_sub(k.at).as_millis() / GRAIN_MS).min(u8::MAX.into()) as u8;
            out.extend_from_slice(&k.digest.to_le_bytes());
            out.extend_from_slice(&[k.link, k.rack, age]);
        }
        let check = check(&out[LEAD..]);
        out[1..LEAD].copy_from_slice(&check);
        Some((self.rng.usize(..self.peers), out))
    }

    /// What another told: what is younger than what is known here.
    pub fn handle_datagram(&mut self, now: Duration, bytes: &[u8]) -> Vec<PeerReport> {
        let good = bytes.len() <= MAX_DATAGRAM_BYTES
            && bytes.len() > LEAD
            && (bytes.len() - LEAD).is_multiple_of(ENTRY)
            && bytes[0] == FORMAT
            && bytes[1..LEAD] == check(&bytes[LEAD..]);
        let mut out = Vec::new();
        for e in bytes.get(LEAD..).filter(|_| good).unwrap_or_default().chunks_exact(ENTRY) {
            let digest = u16::from_le_bytes([e[0], e[1]]);
            let Some(Some(server)) = self.named.get(&digest).copied() else { continue };
            let age = Duration::from_millis((u128::from(e[4]) * GRAIN_MS) as u64);
            let at = now.saturating_sub(age);
            if self.known.get(&server).is_some_and(|k| at <= k.at + LATE) {
                continue;
            }
            self.known.insert(server, Known { digest, link: e[2], rack: e[3], at, told: 0 });
            let report = LoadReport { link_load: share(e[2]), uplink_load: share(e[3]) };
            out.push(PeerReport { server, load: report, load_age: age, ..PeerReport::default() });
        }
        out
    }
}

fn check(bytes: &[u8]) -> [u8; 2] {
    // Fletcher's, as RFC 1146 has it.
    let (mut a, mut b) = (0u16, 0u16);
    for byte in bytes {
        a = (a + u16::from(*byte)) % 255;
        b = (b + a) % 255;
    }
    [a as u8, b as u8]
}
