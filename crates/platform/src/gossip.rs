//! Gossip between session managers about the servers' loads, in datagrams of at most 256 bytes.
//!
//! A session manager has sessions at some tens of servers out of hundreds, and can only guess the load of the others.
//! Periodically it sends the most recent readings that it knows, its own and those it received, to one other session
//! manager drawn at random; each reading is sent a limited number of times. A received reading is treated as one more
//! reading with its age, and nothing depends on its arrival. A datagram that is lost, late, duplicated or corrupt
//! therefore costs only its bytes, and a false reading has an effect only for as long as a true one.

use cloverhollow::{LoadReport, PeerReport, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum length of a datagram between session managers, in bytes, as the platform limits it.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Length of the header in bytes: the format version and a checksum.
const HEADER_BYTES: usize = 1 + 2;
/// Length of a reading in bytes: digest of the server's name, load of its link, load of its rack's uplink, age.
const READING_BYTES: usize = 2 + 1 + 1 + 1;
/// Maximum number of readings in a datagram.
const MAX_READINGS: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / READING_BYTES;
const FORMAT_VERSION: u8 = 1;
/// Unit of an age on the wire; one byte then holds up to about ten seconds.
const AGE_UNIT_MS: u128 = 40;
/// Maximum time between the two lines in which a server reports the loads of its link and of its uplink.
const MAX_REPORT_SPLIT: Duration = Duration::from_millis(100);
/// Minimum difference in age of a newer reading. A duplicate of a datagram that arrives late seems younger than it is;
/// with a delay below this it is not taken for a newer reading.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(200);
/// Encoding of a load that is unknown.
const UNKNOWN_LOAD: u8 = u8::MAX;

/// Timing and repetition of gossip.
#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// Time between two datagrams.
    pub interval: Duration,
    /// Maximum number of times that one session manager sends a reading.
    pub max_sends: u8,
    /// Age from which on a reading is not sent any more.
    pub max_age: Duration,
}

impl Default for GossipConfig {
    fn default() -> Self {
        GossipConfig { interval: Duration::from_millis(500), max_sends: 2, max_age: Duration::from_secs(6) }
    }
}

/// A listed server, as gossip knows it.
#[derive(Clone, Copy, Debug)]
pub struct GossipServer {
    /// Id of the server at this session manager.
    pub server: ServerId,
    /// Key of the server that is the same at all session managers, whichever of its processes is listed.
    pub key: u64,
    /// Start of the listed process on this session manager's clock; zero if it started long ago. Earlier readings are
    /// those of another process.
    pub started_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    digest: u16,
    link_load: u8,
    uplink_load: u8,
    /// Time at which the server had this load.
    measured_at: Duration,
    send_count: u8,
}

/// Gossip state of one session manager: the readings it knows, and when the next datagram is due.
#[derive(Debug)]
pub struct Gossip {
    config: GossipConfig,
    peer_count: usize,
    /// Time at which the next datagram is due; `None` until the first poll draws it.
    next_send: Option<Duration>,
    rng: fastrand::Rng,
    /// The most recent reading of each server; listed servers only.
    readings: BTreeMap<ServerId, Reading>,
    /// The server of each digest; `None` if two servers share it and it is ambiguous.
    server_by_digest: BTreeMap<u16, Option<ServerId>>,
    digests: BTreeMap<ServerId, u16>,
    /// Start of each server's listed process.
    starts: BTreeMap<ServerId, Duration>,
}

fn encode_load(share: Option<f64>) -> u8 {
    share.map_or(UNKNOWN_LOAD, |s| (s * 100.0).round().clamp(0.0, f64::from(UNKNOWN_LOAD - 1)) as u8)
}

fn decode_load(byte: u8) -> Option<f64> {
    (byte != UNKNOWN_LOAD).then(|| f64::from(byte) / 100.0)
}

impl Gossip {
    /// Creates the state of a session manager that has `peer_count` peers. `seed` determines the time of the first
    /// datagram and the recipients.
    pub fn new(config: GossipConfig, peer_count: usize, seed: u64) -> Gossip {
        let rng = fastrand::Rng::with_seed(seed);
        let (readings, server_by_digest, digests) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let starts = BTreeMap::new();
        Gossip { config, peer_count, next_send: None, rng, readings, server_by_digest, digests, starts }
    }

    /// Sets the listed servers.
    ///
    /// Readings of servers that are not listed any more, or are listed with another key, are dropped, and so are those of
    /// former processes.
    pub fn set_servers(&mut self, servers: impl Iterator<Item = GossipServer>) {
        self.server_by_digest.clear();
        self.starts.clear();
        for GossipServer { server, key, started_at } in servers {
            self.starts.insert(server, started_at);
            let digest = (key ^ (key >> 16) ^ (key >> 32) ^ (key >> 48)) as u16;
            self.server_by_digest.entry(digest).and_modify(|s| *s = None).or_insert(Some(server));
        }
        self.digests = self.server_by_digest.iter().filter_map(|(d, s)| Some(((*s)?, *d))).collect();
        let (digests, starts) = (&self.digests, &self.starts);
        self.readings.retain(|s, r| {
            digests.get(s) == Some(&r.digest) && starts.get(s).is_some_and(|start| *start <= r.measured_at)
        });
    }

    /// Returns whether a reading is one of the server's listed process, rather than of a former one.
    fn is_of_listed_process(&self, server: ServerId, measured_at: Duration) -> bool {
        self.starts.get(&server).is_some_and(|start| *start <= measured_at)
    }

    /// Records a load that a server reported to this session manager, as it was at the time `measured_at`.
    pub fn record_reading(
        &mut self,
        measured_at: Duration,
        server: ServerId,
        link_load: Option<f64>,
        uplink_load: Option<f64>,
    ) {
        let previous = self.readings.get(&server).copied();
        let Some(digest) = self.digests.get(&server).copied() else { return };
        if !self.is_of_listed_process(server, measured_at) {
            return;
        }
        // A server reports link and uplink in two lines: the second completes the reading of the first.
        let previous = previous.filter(|r| measured_at.saturating_sub(r.measured_at) < MAX_REPORT_SPLIT);
        let link_load =
            link_load.map_or(previous.map_or(UNKNOWN_LOAD, |r| r.link_load), |l| encode_load(Some(l)));
        let uplink_load =
            uplink_load.map_or(previous.map_or(UNKNOWN_LOAD, |r| r.uplink_load), |l| encode_load(Some(l)));
        self.readings.insert(server, Reading { digest, link_load, uplink_load, measured_at, send_count: 0 });
    }

    /// Returns the index of the recipient and the datagram, if one is due. To be called periodically.
    pub fn poll(&mut self, now: Duration) -> Option<(usize, Vec<u8>)> {
        let interval = self.config.interval;
        // All session managers start at about the same time; the random offset spreads their datagrams.
        let next_send = *self.next_send.get_or_insert_with(|| now + interval.mul_f64(self.rng.f64()));
        if self.peer_count == 0 || now < next_send {
            return None;
        }
        self.next_send = Some(now + interval);
        let GossipConfig { max_sends, max_age, .. } = self.config;
        let sendable = |r: &Reading| r.send_count < max_sends && now.saturating_sub(r.measured_at) < max_age;
        let mut newest_first: Vec<_> =
            self.readings.iter().filter(|(_, r)| sendable(r)).map(|(s, r)| (r.measured_at, *s)).collect();
        newest_first.sort_unstable_by(|a, b| b.cmp(a));
        if newest_first.is_empty() {
            return None;
        }
        let mut datagram = vec![FORMAT_VERSION, 0, 0];
        for (_, server) in newest_first.into_iter().take(MAX_READINGS) {
            let Some(reading) = self.readings.get_mut(&server) else { continue };
            reading.send_count += 1;
            let age =
                (now.saturating_sub(reading.measured_at).as_millis() / AGE_UNIT_MS).min(u8::MAX.into()) as u8;
            datagram.extend_from_slice(&reading.digest.to_le_bytes());
            datagram.extend_from_slice(&[reading.link_load, reading.uplink_load, age]);
        }
        let checksum = checksum(&datagram[HEADER_BYTES..]);
        datagram[1..HEADER_BYTES].copy_from_slice(&checksum);
        Some((self.rng.usize(..self.peer_count), datagram))
    }

    /// Handles a datagram from another session manager and returns the readings in it that are newer than those known
    /// here. An invalid datagram is ignored.
    pub fn handle_datagram(&mut self, now: Duration, bytes: &[u8]) -> Vec<PeerReport> {
        let valid = bytes.len() <= MAX_DATAGRAM_BYTES
            && bytes.len() > HEADER_BYTES
            && (bytes.len() - HEADER_BYTES).is_multiple_of(READING_BYTES)
            && bytes[0] == FORMAT_VERSION
            && bytes[1..HEADER_BYTES] == checksum(&bytes[HEADER_BYTES..]);
        let mut newer = Vec::new();
        for entry in
            bytes.get(HEADER_BYTES..).filter(|_| valid).unwrap_or_default().chunks_exact(READING_BYTES)
        {
            let digest = u16::from_le_bytes([entry[0], entry[1]]);
            let Some(Some(server)) = self.server_by_digest.get(&digest).copied() else { continue };
            let age = Duration::from_millis((u128::from(entry[4]) * AGE_UNIT_MS) as u64);
            let measured_at = now.saturating_sub(age);
            if !self.is_of_listed_process(server, measured_at) {
                continue;
            }
            if self.readings.get(&server).is_some_and(|r| measured_at <= r.measured_at + MIN_AGE_DIFFERENCE) {
                continue;
            }
            self.readings.insert(
                server,
                Reading { digest, link_load: entry[2], uplink_load: entry[3], measured_at, send_count: 0 },
            );
            let report = LoadReport { link_load: decode_load(entry[2]), uplink_load: decode_load(entry[3]) };
            newer.push(PeerReport { server, load: report, load_age: age, ..PeerReport::default() });
        }
        newer
    }
}

fn checksum(bytes: &[u8]) -> [u8; 2] {
    // Fletcher's checksum (RFC 1146).
    let (mut a, mut b) = (0u16, 0u16);
    for byte in bytes {
        a = (a + u16::from(*byte)) % 255;
        b = (b + a) % 255;
    }
    [a as u8, b as u8]
}
