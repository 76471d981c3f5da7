//! A fleet in virtual time: fronts that roll a build, some of them witnesses, some of them drivers; words
//! that are late, lost and doubled; fronts that die, stand still and are cut off.
#![allow(dead_code)]

use cloverhollow_out::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

pub const LEASE_MS: u32 = 30_000;
pub const LONGEST: Duration = Duration::from_secs(30);
pub const DRIVERS: usize = 3;
const STEP: Duration = Duration::from_millis(100);
const RESTART: Duration = Duration::from_secs(4);

pub fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 7_946))
}

enum Said {
    Word(Message),
    Act(FencedOrder),
    Report(usize, FrontReport),
}

/// A front, and what outlives its process.
pub struct Front {
    pub place: Place,
    pub alive: bool,
    pub since: Duration,
    pub asker: Proposer,
    pub clerk: Option<Acceptor>,
    pub kept: Option<PersistedState>,
    pub staged: StagedConfig,
    pub driver: Option<Driver>,
    driver_asks: bool,
    pub build: u64,
    pub permit: Option<GrantedLease>,
    /// Out until then; it comes back before if its permit ends.
    pub out: Option<Duration>,
    release: u64,
    give_back: bool,
    waits: Option<Duration>,
    not_before: Duration,
    reports: BTreeMap<u64, FrontReport>,
    paid: Tally,
    pub restarts: u32,
}

pub struct Net {
    pub now: Duration,
    pub rng: ChaCha8Rng,
    pub fronts: Vec<Front>,
    pub plan: Plan,
    pub witnesses: usize,
    pub loss: f64,
    pub cut: Option<u32>,
    pub stalled: BTreeMap<usize, Duration>,
    pub bad_share: f64,
    pub grants: u64,
    pub datagrams: u64,
    pub bytes: u64,
    words: BTreeMap<(Duration, u64), (usize, Said)>,
    sent: u64,
    lives: u64,
    pub most_out: usize,
    pub causes: Vec<HaltCause>,
}

pub fn plan(fleet: usize) -> Plan {
    let most = |n: usize| MaxOutOfService { fleet: n as u16, zone: n.div_ceil(2) as u16, rack: n as u16 };
    let out = (fleet / 12).clamp(2, 15);
    let limits = Limits {
        fronts: most(out),
        servers: most(out),
        cells_per_title: 0,
        ring_cells: 0,
        free_link_kbit_s: None,
        max_uncertain_ms: 60_000,
    };
    Plan {
        number: 1,
        target: ReleaseTarget::Build { build_id: 2 },
        previous: ReleaseTarget::Build { build_id: 1 },
        canaries: 2,
        waves: vec![Wave { zone: Some(0), share_permille: 500 }, Wave { zone: None, share_permille: 300 }],
        limits,
        observation_ms: 5_000,
        max_out: fleet as u16,
        max_failed_restarts: 3,
        max_permit_wait_ms: 600_000,
        false_halt_ppm: 1_000,
        rollback_of: None,
    }
}

impl Net {
    pub fn new(fleet: usize, witnesses: usize, seed: u64, most_out: usize) -> Net {
        let mut net = Net {
            now: s(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            fronts: Vec::new(),
            plan: Plan { max_out: most_out as u16, ..plan(fleet) },
            witnesses,
            loss: 0.0,
            cut: None,
            stalled: BTreeMap::new(),
            bad_share: 0.9,
            grants: 0,
            datagrams: 0,
            bytes: 0,
            words: BTreeMap::new(),
            sent: 0,
            lives: 0,
            most_out: 0,
            causes: Vec::new(),
        };
        for i in 0..fleet {
            let place = Place { zone: (i % 3) as u32, rack: None, cell: None };
            let kept =
                (i < witnesses).then(|| PersistedState { is_current: true, ..PersistedState::default() });
            let front = net.process(i, place, 1, kept);
            net.fronts.push(front);
        }
        net
    }

    /// A new process of a front.
    fn process(&mut self, i: usize, place: Place, build: u64, kept: Option<PersistedState>) -> Front {
        self.lives += 1;
        let (now, life) = (self.now, self.lives);
        let witnesses = (0..self.witnesses).map(address).collect();
        let set = ProposerConfig {
            address: address(i),
            incarnation: life,
            witnesses,
            max_lease: LONGEST,
            backoff_seed: life,
        };
        let plan = self.plan.clone();
        let driver = |i| Driver::new(now, life, plan, LEASE_MS / 2, i as u32, s(6));
        Front {
            place,
            alive: true,
            since: now,
            asker: Proposer::new(set),
            clerk: (i < self.witnesses).then(|| Acceptor::new(now, address(i), life, LONGEST, kept)),
            kept: None,
            staged: StagedConfig::new(i as u64, Generation { number: 1, digest: 1 }),
            driver: (i < DRIVERS).then(|| driver(i)),
            driver_asks: false,
            build,
            permit: None,
            out: None,
            release: 0,
            give_back: false,
            waits: None,
            not_before: now,
            reports: BTreeMap::new(),
            paid: Tally::default(),
            restarts: 0,
        }
    }

    pub fn kill(&mut self, i: usize) {
        let f = &mut self.fronts[i];
        (f.alive, f.since, f.permit, f.out) = (false, self.now, None, None);
        f.kept = f.clerk.as_ref().map(Acceptor::persisted_state);
        self.stalled.remove(&i);
    }

    /// `forgets`: without what its witness kept.
    pub fn start(&mut self, i: usize, forgets: bool) {
        let (place, build, kept) = (self.fronts[i].place, self.fronts[i].build, self.fronts[i].kept.take());
        let restarts = self.fronts[i].restarts;
        self.fronts[i] = Front { restarts, ..self.process(i, place, build, kept.filter(|_| !forgets)) };
    }

    fn say(&mut self, from: usize, to: usize, said: impl Fn() -> Said, counts: usize) {
        self.datagrams += u64::from(counts > 0);
        self.bytes += counts as u64;
        let halls = (self.fronts[from].place.zone, self.fronts[to].place.zone);
        let cut = self.cut.is_some_and(|h| (halls.0 == h) != (halls.1 == h));
        let copies = 1 + usize::from(self.loss > 0.0 && self.rng.random_bool(0.1));
        for _ in 0..copies {
            let late = if self.loss > 0.0 && self.rng.random_bool(0.02) { 20_000 } else { 60 };
            if cut || (self.loss > 0.0 && self.rng.random_bool(self.loss)) {
                continue;
            }
            self.sent += 1;
            let at = self.now + Duration::from_millis(self.rng.random_range(1..late));
            self.words.insert((at, self.sent), (to, said()));
        }
    }

    fn say_words(&mut self, from: usize, words: Vec<(SocketAddr, Message)>) {
        for (to, word) in words {
            let SocketAddr::V4(v4) = to else { continue };
            let to = usize::from(v4.ip().octets()[2]) << 8 | usize::from(v4.ip().octets()[3]);
            let size = 37 + postcard::to_stdvec(&word).map_or(0, |b| b.len());
            self.say(from, to, || Said::Word(word.clone()), size);
        }
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            let now = self.now;
            self.stalled.retain(|_, t| *t > now);
            while let Some(entry) = self.words.first_entry().filter(|e| e.key().0 <= now) {
                let ((_, n), (to, said)) = entry.remove_entry();
                match self.stalled.get(&to) {
                    Some(wakes) => drop(self.words.insert((*wakes, n), (to, said))),
                    None if self.fronts[to].alive => self.hears(to, said),
                    None => {}
                }
            }
            for i in 0..self.fronts.len() {
                if self.fronts[i].alive && !self.stalled.contains_key(&i) {
                    self.front(i);
                }
            }
            self.look();
        }
    }
}

mod front;
