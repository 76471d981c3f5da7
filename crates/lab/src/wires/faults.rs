//! What befalls what passes, and a tally of what truly did. No sockets.

use super::lock;
use crate::exchange::Log;
use crate::plan::stream;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Who speaks or is spoken to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// A front, by its number.
    Front(usize),
    /// Any viewer.
    Viewers,
    /// Discovery.
    Discovery,
    /// A video server, by its id.
    Server(u64),
}

/// The other end of a wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Other fronts.
    Fronts,
    /// Discovery: a front is not told what is held back.
    Discovery,
    /// Viewers: they are not answered by who is cut off, which rule 1 takes for no answer.
    Viewers,
    /// Video servers.
    Servers,
}

/// Which way of a wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// What the befallen fronts send.
    Out,
    /// What is sent to them.
    In,
    /// Both.
    Both,
}

/// What happens to what passes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Nothing arrives; bytes of connections are held back and set free at the end.
    Silent,
    /// New connections are refused; datagrams are lost.
    Refused,
    /// This part of the datagrams is lost; 0 to 1.
    Loss(f64),
    /// All comes later, datagrams by up to twice as much, out of order.
    Delay(Duration),
    /// This part of the datagrams comes twice, the second time later; 0 to 1.
    Double(f64),
    /// Each datagram comes so many times more, later.
    Again(u32),
    /// Connections are reset as soon as bytes pass.
    Reset,
    /// So many bytes a second of each connection.
    Trickle(u64),
    /// So many bytes a second of all connections of one pair and direction together.
    Bound(u64),
}

/// A fault of the wires between some fronts, and servers where they are a hall, and everybody else.
#[derive(Clone, Debug)]
pub struct Fault {
    /// What happens.
    pub effect: Effect,
    /// Which fronts.
    pub fronts: BTreeSet<usize>,
    /// Which servers stand with them: what passes between those and these is among them.
    pub servers: BTreeSet<u64>,
    /// Which way.
    pub side: Side,
    /// Whether what passes among them is befallen too.
    pub among: bool,
    /// Of wires to whom.
    pub to: BTreeSet<End>,
}

impl Fault {
    fn befalls(&self, from: Party, to: Party) -> bool {
        let is = |p: Party| match p {
            Party::Front(f) => self.fronts.contains(&f),
            Party::Server(s) => self.servers.contains(&s),
            Party::Viewers | Party::Discovery => false,
        };
        let (out, into) = (is(from), is(to));
        let end = match (from, to) {
            (Party::Server(_), _) | (_, Party::Server(_)) => End::Servers,
            (Party::Viewers, _) | (_, Party::Viewers) => End::Viewers,
            (Party::Discovery, _) | (_, Party::Discovery) => End::Discovery,
            (Party::Front(_), Party::Front(_)) => End::Fronts,
        };
        if !self.to.contains(&end) {
            return false;
        }
        if out && into {
            return self.among;
        }
        match self.side {
            Side::Out => out,
            Side::In => into,
            Side::Both => out || into,
        }
    }
}

/// What a fault truly did, seen from the wires.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultReport {
    /// What it was.
    pub what: String,
    /// When it began and ended, ms of the day's clock.
    pub from_ms: u64,
    /// See above; `None`: it holds still.
    pub until_ms: Option<u64>,
    /// When it first and last touched anything.
    pub first_ms: Option<u64>,
    /// See above.
    pub last_ms: Option<u64>,
    /// Datagrams that it touched.
    pub datagrams: u64,
    /// Parts of streams and connections that it touched.
    pub parts: u64,
}

/// What a stream's next part meets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stream {
    /// It waits until this is over.
    pub silent: bool,
    /// A new connection is refused.
    pub refused: bool,
    /// The connection is reset.
    pub reset: bool,
    /// It comes so much later.
    pub delay: Duration,
    /// Bytes a second.
    pub rate: Option<u64>,
}

struct State {
    rng: ChaCha8Rng,
    next: u64,
    active: BTreeMap<u64, Fault>,
    reports: BTreeMap<u64, FaultReport>,
    /// When each bounded pair has passed all that it took, on the log's clock.
    passed: BTreeMap<(Party, Party), Duration>,
}

/// When a further copy of a datagram arrives that comes first at that time.
fn once_more(first: Duration, rng: &mut ChaCha8Rng) -> Duration {
    first + Duration::from_millis(rng.random_range(1..200))
}

/// All faults that hold, and what they did.
pub struct Faults {
    log: Arc<Log>,
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

impl Faults {
    /// None holds.
    pub fn new(seed: u64, log: Arc<Log>) -> Faults {
        let (active, reports, passed) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let state = State { rng: stream(seed, "wires"), next: 0, active, reports, passed };
        Faults { log, state: Mutex::new(state), changed: watch::channel(()).0 }
    }

    /// Tells whenever one begins or ends.
    pub(super) fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    pub(super) fn log(&self) -> &Log {
        &self.log
    }

    fn now_ms(&self) -> u64 {
        self.log.now().as_millis() as u64
    }

    /// One begins; by its number it ends.
    pub fn begin(&self, fault: Fault) -> u64 {
        let (now, mut s) = (self.now_ms(), lock(&self.state));
        s.next += 1;
        let id = s.next;
        let what = format!("{:?} {:?} of {:?} to {:?}", fault.effect, fault.side, fault.fronts, fault.to);
        s.reports.insert(id, FaultReport { what, from_ms: now, ..FaultReport::default() });
        s.active.insert(id, fault);
        self.changed.send_replace(());
        id
    }

    /// One ends.
    pub fn end(&self, id: u64) {
        let (now, mut s) = (self.now_ms(), lock(&self.state));
        s.active.remove(&id);
        if let Some(r) = s.reports.get_mut(&id) {
            r.until_ms = Some(now);
        }
        self.changed.send_replace(());
    }

    /// What all of them did, in order of their beginning.
    pub fn reports(&self) -> Vec<FaultReport> {
        lock(&self.state).reports.values().cloned().collect()
    }

    /// When each copy of a datagram arrives, from now; none: it is lost.
    pub fn datagram(&self, from: Party, to: Party) -> Vec<Duration> {
        let (now, mut s) = (self.now_ms(), lock(&self.state));
        let State { rng, active, reports, .. } = &mut *s;
        let mut copies = vec![Duration::ZERO];
        for (id, fault) in active.iter().filter(|(_, f)| f.befalls(from, to)) {
            let touched = match fault.effect {
                Effect::Silent | Effect::Refused => {
                    copies.clear();
                    true
                }
                Effect::Loss(part) => {
                    let lost = rng.random_bool(part.clamp(0.0, 1.0));
                    if lost {
                        copies.clear();
                    }
                    lost
                }
                Effect::Delay(by) => {
                    copies.iter_mut().for_each(|c| *c += by.mul_f64(1.0 + rng.random::<f64>()));
                    true
                }
                Effect::Double(part) => {
                    let twice = !copies.is_empty() && rng.random_bool(part.clamp(0.0, 1.0));
                    if twice {
                        copies.push(once_more(copies[0], rng));
                    }
                    twice
                }
                Effect::Again(times) => {
                    if let Some(first) = copies.first().copied() {
                        copies.extend((0..times).map(|_| once_more(first, rng)));
                    }
                    !copies.is_empty()
                }
                Effect::Reset | Effect::Trickle(_) | Effect::Bound(_) => false,
            };
            if let (true, Some(r)) = (touched, reports.get_mut(id)) {
                r.datagrams += 1;
                r.first_ms.get_or_insert(now);
                r.last_ms = Some(now);
            }
        }
        copies
    }

    /// What the next `bytes` of a stream meet; none: a new connection.
    pub fn stream(&self, from: Party, to: Party, bytes: usize) -> Stream {
        let (now, mut s) = (self.now_ms(), lock(&self.state));
        let State { active, reports, passed, .. } = &mut *s;
        let fresh = bytes == 0;
        let mut out = Stream::default();
        for (id, fault) in active.iter().filter(|(_, f)| f.befalls(from, to)) {
            let touched = match fault.effect {
                Effect::Silent => {
                    out.silent = true;
                    true
                }
                Effect::Refused => {
                    out.refused = true;
                    fresh
                }
                Effect::Delay(by) => {
                    out.delay += by;
                    true
                }
                Effect::Reset => {
                    out.reset = true;
                    !fresh
                }
                Effect::Trickle(rate) => {
                    out.rate = Some(out.rate.map_or(rate, |r: u64| r.min(rate)));
                    true
                }
                Effect::Bound(rate) => {
                    let (at, takes) = (self.log.now(), bytes as f64 / rate.max(1) as f64);
                    let free = passed.get(&(from, to)).copied().unwrap_or_default().max(at);
                    let done = free + Duration::from_secs_f64(takes);
                    passed.insert((from, to), done);
                    out.delay += done.saturating_sub(at);
                    !fresh
                }
                Effect::Loss(_) | Effect::Double(_) | Effect::Again(_) => false,
            };
            if let (true, Some(r)) = (touched, reports.get_mut(id)) {
                r.parts += 1;
                r.first_ms.get_or_insert(now);
                r.last_ms = Some(now);
            }
        }
        out
    }
}
