//! Simulation of many members over a network in virtual time, with loss, delay, partitions, stalls and crashes. Equal
//! seeds give equal runs.
#![allow(dead_code)] // each test binary uses a part of it

mod observe;

#[allow(unused_imports)] // as above
pub use observe::settled;

use cloverhollow_members::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250) as u8 + 1], 7946))
}

pub fn key(id: u32) -> Key {
    Key { id, secret: vec![id as u8; 32] }
}

pub struct Simulation {
    pub now: Duration,
    /// Members by index; `None` if not running.
    pub members: Vec<Option<Member>>,
    /// Returns whether all datagrams from one member to another are lost, in addition to `loss_rate`.
    pub is_cut: Box<dyn Fn(usize, usize) -> bool>,
    pub loss_rate: f64,
    pub delay: Duration,
    /// Fraction of datagrams that are delivered twice.
    pub duplicate_rate: f64,
    /// Fraction of datagrams that are up to three seconds late.
    pub late_rate: f64,
    /// Stalled members, each until a time. Datagrams for them are delivered then.
    pub stalled_until: BTreeMap<usize, Duration>,
    pub events: Vec<(usize, MemberEvent)>,
    /// Number of steps of members, after each of which the invariants were checked.
    pub steps: u64,
    queue: BTreeMap<(Duration, u64), (usize, Vec<u8>)>,
    sent: u64,
    rng: ChaCha8Rng,
    pub config: MemberConfig,
    /// Unix time at time zero, in milliseconds.
    pub wall_start_ms: u64,
    /// Time of the last exchange of membership records. `None`: records are never exchanged.
    pub last_sync: Option<Duration>,
}

/// Interval between exchanges of membership records.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

impl Simulation {
    /// Creates `n` members in three zones, none of them started. The first five are seeds, the first three witnesses.
    pub fn new(n: usize, seed: u64) -> Simulation {
        let local_id = MemberId {
            address: address(0),
            side_address: None,
            name: "".into(),
            zone: "".into(),
            incarnation: Incarnation { number: 0, token: 0 },
        };
        let swim = SwimConfig { seeds: (0..5).map(address).collect(), ..SwimConfig::default() };
        let config = MemberConfig {
            local_id,
            keys: vec![key(1)],
            swim,
            lease_duration: ms(4_000),
            witnesses: (0..3).map(address).collect(),
            seed: 0,
        };
        Simulation {
            now: Duration::from_secs(86_400),
            members: (0..n).map(|_| None).collect(),
            is_cut: Box::new(|_, _| false),
            loss_rate: 0.0,
            delay: ms(2),
            duplicate_rate: 0.0,
            late_rate: 0.0,
            stalled_until: BTreeMap::new(),
            events: Vec::new(),
            steps: 0,
            queue: BTreeMap::new(),
            sent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            config,
            wall_start_ms: 1_000_000,
            last_sync: None,
        }
    }

    pub fn wall_ms(&self) -> u64 {
        self.wall_start_ms + self.now.as_millis() as u64
    }

    /// Starts a member with a name, whose wall clock is off by `offset_ms`.
    pub fn start_named(&mut self, i: usize, name: &str, offset_ms: i64) {
        let mut config = self.config.clone();
        let number = self.wall_ms().saturating_add_signed(offset_ms);
        config.local_id = MemberId {
            address: address(i),
            side_address: None,
            name: name.into(),
            zone: format!("hal-{}", i % 3).as_str().into(),
            incarnation: Incarnation { number, token: self.rng.random() },
        };
        config.seed = self.rng.random();
        self.members[i] = Some(Member::new(self.now, config));
    }

    pub fn start(&mut self, i: usize) {
        self.start_named(i, &format!("front-{i}"), 0);
    }

    pub fn start_all(&mut self) {
        (0..self.members.len()).for_each(|i| self.start(i));
    }

    /// Sends a datagram that no member sent.
    pub fn inject(&mut self, to: usize, bytes: Vec<u8>) {
        self.sent += 1;
        self.queue.insert((self.now + self.delay, self.sent), (to, bytes));
    }

    fn index(a: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(a) = a else { return None };
        let [_, _, hi, lo] = a.ip().octets();
        Some(usize::from(hi) * 250 + usize::from(lo) - 1)
    }

    /// Checks the invariants of a member after a step.
    fn check_invariants(&mut self, i: usize) {
        self.steps += 1;
        let violation = self.members[i].as_ref().and_then(|m| m.check().err());
        assert_eq!(violation, None, "member {i} at {:?}", self.now);
    }

    /// Puts the datagrams of a member on the network.
    fn flush(&mut self, i: usize) {
        let Some(m) = self.members[i].as_mut() else { return };
        let (datagrams, events) = (m.take_datagrams(), m.take_events());
        self.events.extend(events.into_iter().map(|e| (i, e)));
        for OutgoingDatagram { to, bytes } in datagrams {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
            let Some(to) = Simulation::index(to) else { continue };
            if (self.is_cut)(i, to) || self.rng.random_bool(self.loss_rate) {
                continue;
            }
            let twice = self.duplicate_rate > 0.0 && self.rng.random_bool(self.duplicate_rate);
            for bytes in [Some(bytes.clone()), twice.then_some(bytes)].into_iter().flatten() {
                let late = self.late_rate > 0.0 && self.rng.random_bool(self.late_rate);
                let late = if late { ms(self.rng.random_range(0..3_000)) } else { Duration::ZERO };
                let jitter = self.delay.mul_f64(self.rng.random::<f64>());
                self.sent += 1;
                self.queue.insert((self.now + self.delay + jitter + late, self.sent), (to, bytes));
            }
        }
    }

    fn resumes_at(&self, i: usize) -> Duration {
        self.stalled_until.get(&i).copied().unwrap_or_default()
    }

    fn due(&self, i: usize) -> Option<Duration> {
        Some(self.members[i].as_ref()?.next_due().max(self.resumes_at(i)))
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Duration) {
        // Members by due time, and by index where due times are equal.
        let mut due_at: Vec<_> = (0..self.members.len()).map(|i| self.due(i)).collect();
        let mut dues: BTreeSet<_> =
            due_at.iter().enumerate().filter_map(|(i, at)| Some(((*at)?, i))).collect();
        loop {
            let due = dues.first().copied();
            let datagram = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = due.map(|d| d.0).into_iter().chain(datagram).min().unwrap_or(end);
            if next >= end {
                self.now = self.now.max(end);
                return;
            }
            self.now = self.now.max(next);
            let stepped = if datagram.is_some_and(|at| at <= self.now) {
                let Some((_, (to, bytes))) = self.queue.pop_first() else { continue };
                let resumes_at = self.resumes_at(to);
                if resumes_at > self.now {
                    self.sent += 1;
                    self.queue.insert((resumes_at, self.sent), (to, bytes));
                    continue;
                }
                let Some(m) = self.members.get_mut(to).and_then(Option::as_mut) else { continue };
                let _ = m.handle_datagram(self.now, &bytes);
                to
            } else {
                let Some((_, i)) = due else { continue };
                let Some(m) = self.members[i].as_mut() else { continue };
                m.tick(self.now);
                i
            };
            self.check_invariants(stepped);
            self.flush(stepped);
            due_at[stepped].map(|at| dues.remove(&(at, stepped)));
            due_at[stepped] = self.due(stepped);
            dues.extend(due_at[stepped].map(|at| (at, stepped)));
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.last_sync.is_some_and(|t| t + SYNC_INTERVAL <= end) {
            let next = self.last_sync.unwrap_or_default() + SYNC_INTERVAL;
            self.run_until(next);
            self.last_sync = Some(next);
            self.sync();
        }
        self.run_until(end);
    }

    /// Merges records between random pairs of members. A tenth of the members do so in each round, so each member does
    /// every ten seconds on average.
    fn sync(&mut self) {
        let n = self.members.len();
        for _ in 0..n.div_ceil(10) {
            let (to, from) = (self.rng.random_range(0..n), self.rng.random_range(0..n));
            let records = self.members[from].as_mut().and_then(|m| m.records(7));
            if let (Some(records), Some(m)) = (records, self.members[to].as_mut().filter(|_| to != from)) {
                let _ = m.sync(self.now, 7, &records);
                self.check_invariants(to);
                self.flush(to);
            }
        }
    }
}
