//! Simulation of a fleet in virtual time: fronts that roll out a build, some of them witnesses, some of them
//! drivers; delayed, lost and duplicated messages; fronts that crash, are suspended or are isolated.
#![allow(dead_code)]

use cloverhollow_out::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

pub const LEASE_MS: u32 = 30_000;
pub const MAX_LEASE: Duration = Duration::from_secs(30);
pub const DRIVERS: usize = 3;
const TICK: Duration = Duration::from_millis(100);
const RESTART_TIME: Duration = Duration::from_secs(4);

pub fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 7_946))
}

enum Packet {
    Register(Message),
    Order(FencedOrder),
    Report(usize, FrontReport),
}

/// Front, and the state that survives its process.
pub struct Front {
    pub place: Place,
    pub alive: bool,
    pub alive_changed_at: Duration,
    pub proposer: Proposer,
    pub acceptor: Option<Acceptor>,
    pub persisted: Option<PersistedState>,
    pub staged: StagedConfig,
    pub driver: Option<Driver>,
    driver_change_in_progress: bool,
    pub build: u64,
    pub permit: Option<GrantedLease>,
    /// Time at which a restart ends; the front returns earlier if its permit expires.
    pub out_until: Option<Duration>,
    release: u64,
    return_permit: bool,
    waiting_since: Option<Duration>,
    next_request_at: Duration,
    reports: BTreeMap<u64, FrontReport>,
    paid: Tally,
    pub restarts: u32,
}

pub struct Simulation {
    pub now: Duration,
    pub rng: ChaCha8Rng,
    pub fronts: Vec<Front>,
    pub plan: Plan,
    pub witnesses: usize,
    pub loss: f64,
    pub isolated_zone: Option<u32>,
    pub suspended_until: BTreeMap<usize, Duration>,
    pub new_build_share: f64,
    pub grants: u64,
    pub datagrams: u64,
    pub bytes: u64,
    in_flight: BTreeMap<(Duration, u64), (usize, Packet)>,
    sent: u64,
    incarnations: u64,
    pub max_seen_out: usize,
    pub halt_causes: Vec<HaltCause>,
}

pub fn plan(fleet: usize) -> Plan {
    let max = |n: usize| MaxOutOfService { fleet: n as u16, zone: n.div_ceil(2) as u16, rack: n as u16 };
    let max_out = (fleet / 12).clamp(2, 15);
    let limits = Limits {
        fronts: max(max_out),
        servers: max(max_out),
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

impl Simulation {
    pub fn new(fleet: usize, witnesses: usize, seed: u64, max_out: usize) -> Simulation {
        let mut simulation = Simulation {
            now: seconds(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            fronts: Vec::new(),
            plan: Plan { max_out: max_out as u16, ..plan(fleet) },
            witnesses,
            loss: 0.0,
            isolated_zone: None,
            suspended_until: BTreeMap::new(),
            new_build_share: 0.9,
            grants: 0,
            datagrams: 0,
            bytes: 0,
            in_flight: BTreeMap::new(),
            sent: 0,
            incarnations: 0,
            max_seen_out: 0,
            halt_causes: Vec::new(),
        };
        for i in 0..fleet {
            let place = Place { zone: (i % 3) as u32, rack: None, cell: None };
            let persisted =
                (i < witnesses).then(|| PersistedState { is_current: true, ..PersistedState::default() });
            let front = simulation.start_process(i, place, 1, persisted);
            simulation.fronts.push(front);
        }
        simulation
    }

    /// Starts a new process of a front.
    fn start_process(
        &mut self,
        i: usize,
        place: Place,
        build: u64,
        persisted: Option<PersistedState>,
    ) -> Front {
        self.incarnations += 1;
        let (now, incarnation) = (self.now, self.incarnations);
        let witnesses = (0..self.witnesses).map(address).collect();
        let config = ProposerConfig {
            address: address(i),
            incarnation,
            witnesses,
            max_lease: MAX_LEASE,
            backoff_seed: incarnation,
        };
        let plan = self.plan.clone();
        let driver = |i| Driver::new(now, incarnation, plan, LEASE_MS / 2, i as u32, seconds(6));
        Front {
            place,
            alive: true,
            alive_changed_at: now,
            proposer: Proposer::new(config),
            acceptor: (i < self.witnesses)
                .then(|| Acceptor::new(now, address(i), incarnation, MAX_LEASE, persisted)),
            persisted: None,
            staged: StagedConfig::new(i as u64, Generation { number: 1, digest: 1 }),
            driver: (i < DRIVERS).then(|| driver(i)),
            driver_change_in_progress: false,
            build,
            permit: None,
            out_until: None,
            release: 0,
            return_permit: false,
            waiting_since: None,
            next_request_at: now,
            reports: BTreeMap::new(),
            paid: Tally::default(),
            restarts: 0,
        }
    }

    pub fn kill(&mut self, i: usize) {
        let f = &mut self.fronts[i];
        (f.alive, f.alive_changed_at, f.permit, f.out_until) = (false, self.now, None, None);
        f.persisted = f.acceptor.as_ref().map(Acceptor::persisted_state);
        self.suspended_until.remove(&i);
    }

    /// Starts a killed front, without its acceptor's persisted state if `loses_state` is true.
    pub fn start(&mut self, i: usize, loses_state: bool) {
        let (place, build, persisted) =
            (self.fronts[i].place, self.fronts[i].build, self.fronts[i].persisted.take());
        let restarts = self.fronts[i].restarts;
        self.fronts[i] =
            Front { restarts, ..self.start_process(i, place, build, persisted.filter(|_| !loses_state)) };
    }

    fn send(&mut self, from: usize, to: usize, packet: impl Fn() -> Packet, size: usize) {
        self.datagrams += u64::from(size > 0);
        self.bytes += size as u64;
        let zones = (self.fronts[from].place.zone, self.fronts[to].place.zone);
        let is_cut_off = self.isolated_zone.is_some_and(|zone| (zones.0 == zone) != (zones.1 == zone));
        let copies = 1 + usize::from(self.loss > 0.0 && self.rng.random_bool(0.1));
        for _ in 0..copies {
            let max_delay_ms = if self.loss > 0.0 && self.rng.random_bool(0.02) { 20_000 } else { 60 };
            if is_cut_off || (self.loss > 0.0 && self.rng.random_bool(self.loss)) {
                continue;
            }
            self.sent += 1;
            let arrives_at = self.now + Duration::from_millis(self.rng.random_range(1..max_delay_ms));
            self.in_flight.insert((arrives_at, self.sent), (to, packet()));
        }
    }

    fn send_messages(&mut self, from: usize, messages: Vec<(SocketAddr, Message)>) {
        for (to, message) in messages {
            let SocketAddr::V4(v4) = to else { continue };
            let to = usize::from(v4.ip().octets()[2]) << 8 | usize::from(v4.ip().octets()[3]);
            let size = 37 + postcard::to_stdvec(&message).map_or(0, |b| b.len());
            self.send(from, to, || Packet::Register(message.clone()), size);
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            let now = self.now;
            self.suspended_until.retain(|_, until| *until > now);
            while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
                let ((_, n), (to, packet)) = entry.remove_entry();
                match self.suspended_until.get(&to) {
                    Some(resumes_at) => drop(self.in_flight.insert((*resumes_at, n), (to, packet))),
                    None if self.fronts[to].alive => self.receive(to, packet),
                    None => {}
                }
            }
            for i in 0..self.fronts.len() {
                if self.fronts[i].alive && !self.suspended_until.contains_key(&i) {
                    self.run_front(i);
                }
            }
            self.check_permit_limits();
        }
    }
}

mod front;
