//! The decisions of one front. The vocabulary (settings, events, actions) is in `interface.rs`.
//!
//! Reading order: constants, what is known of servers, the ledger, list and health, the pick, admission
//! and attempts, news and degrading. Three functions guard the rules: `send` is the only one that sends,
//! `set_rung` the only one that sets rungs, `answer` the only one that gives final answers.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Share of a link or uplink that the ledger may reach (the paper's example for an operator's threshold).
const MARK: f64 = 0.95;
/// A reported or noted base fades over this time, to the usual or to zero (the design's figure).
const FADE: Duration = Duration::from_secs(30);
/// A session steps down at most once in this time (the design's figure).
const STEP_GAP: Duration = Duration::from_secs(30);
/// Delivered share under which a link counts as short (the wire's own bound for notes of it).
const SHORT: f64 = 0.98;
/// How many standard deviations the sum of the fronts' turns at a cold server may lie above its mean.
const CHANCE: f64 = 2.0;
/// How much lower the mark of a step of lesser worth per kB is: the mark goes with this power of it.
const STEP_POWER: f64 = 0.15;
/// Usual age of a load report that comes without one: about half of a usual refresh and the way.
const REPORT_AGE: Duration = Duration::from_millis(500);
/// First rest of a server after a failure, doubled for each further one...
const REST: Duration = Duration::from_secs(1);
/// ...up to this, so that one that is back is found within a fraction of a usual outage.
const LONGEST_REST: Duration = Duration::from_secs(8);
/// An attempt gets this part of the class's aim, so that a second one can still meet the aim.
const TRY_PART: f64 = 0.5;
/// Time between notes of short delivery (the wire's own).
const NOTE_GAP: Duration = Duration::from_secs(1);
/// Rooms that differ by less are alike, as noisy as reports are: then the own zone goes first.
const ALIKE: f64 = 0.04;
/// What stands in for zero where a size is divided by.
const TINY: f64 = 1e-9;
/// The timer token for asking for the list again.
const ASK_AGAIN: u64 = 1;

fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

/// A value that fades to zero over `FADE`.
#[derive(Clone, Copy, Default)]
struct Fading(f64, Duration);

impl Fading {
    fn at(self, now: Duration) -> f64 {
        self.0 * (1.0 - secs(now.saturating_sub(self.1)) / secs(FADE)).max(0.0)
    }
}

/// The ledger's page on one link or uplink, in parts of its size.
#[derive(Default)]
struct Meter {
    booked: f64,
    /// What the own playing sessions ask, with its recent past: reports are late.
    playing: VecDeque<(Duration, f64)>,
    /// The last reading less what the own sessions asked at the time that it speaks of.
    base: f64,
    own_read: f64,
    /// How many own sessions there were in all at that time.
    all_read: f64,
    read_at: Option<Duration>,
    /// What short delivery adds: a later reading of a link that comes and goes does not clear it.
    short: Fading,
    stepped: Duration,
    /// What others are taken to ask, as of the last look round.
    others: f64,
}

impl Meter {
    /// What others have booked since the reading if they did as this front: in a rush, over the whole fleet
    /// (one session is chance), or here, those who heard it too (each has a session here).
    fn since(&self, p: &Peers) -> f64 {
        let here = (self.booked - self.own_read).max(0.0) * (self.base * p.streams).clamp(0.0, p.fronts);
        here.max((p.all - self.all_read - 1.0).max(0.0) * p.session * p.fronts / p.size)
    }

    /// What others ask: the base and what came since, fading to what is usual in the fleet.
    fn others(&self, now: Duration, usual: f64, p: &Peers) -> f64 {
        let Some(t) = self.read_at else {
            return usual.max(self.booked * (usual * p.streams).clamp(0.0, p.fronts));
        };
        let left = Fading(1.0, t).at(now);
        (self.base + self.since(p)) * left + usual * (1.0 - left)
    }

    fn used(&self, now: Duration) -> f64 {
        self.booked + self.others.max(self.short.at(now))
    }

    fn record(&mut self, now: Duration, booked: f64, playing: f64, keep: Duration) {
        self.booked = booked;
        while self.playing.len() > 1 && self.playing[1].0 + keep < now {
            self.playing.pop_front();
        }
        self.playing.push_back((now, playing));
    }

    fn own_at(&self, then: Duration) -> f64 {
        let past = self.playing.iter().rev().find(|(t, _)| *t <= then).or(self.playing.front());
        past.map_or(0.0, |p| p.1)
    }

    /// A reading taken `age` ago. One that finds room a round of notes after the last short delivery ends
    /// that: room stood empty long after each sag. A link that comes and goes more slowly is filled again.
    fn read(&mut self, now: Duration, age: Duration, reading: f64, round: Duration, all: f64) {
        if reading < MARK && self.short.1 + round < now {
            self.short = Fading::default();
        }
        (self.read_at, self.all_read) = (Some(now), all);
        self.own_read = self.own_at(now.saturating_sub(age));
        self.base = reading - self.own_read;
    }

    fn told(&self) -> Option<f64> {
        self.read_at.map(|_| self.base + self.own_read)
    }

    /// Short delivery: the page reads full from now on, fading.
    fn fill(&mut self, now: Duration) {
        self.short = Fading(1.0 - self.booked, now);
    }
}

#[derive(Default)]
struct Server {
    entry: Entry,
    link: Meter,
    rated: f64,
    own: Own,
    cold_since: Option<Duration>,
    /// It was seen to fail in a way that may mean a restart: cold when it returns.
    lost: bool,
    fails: u32,
    /// The last answer was an error, the one before was none.
    erred: bool,
    rest_until: Duration,
    trial: bool,
    /// When short delivery was last noted, if that was the last note of it.
    short_at: Option<Duration>,
    /// When this front's next set-up may go to it while it is cold.
    turn: Duration,
    sessions: BTreeSet<RequestId>,
}

#[derive(Default)]
struct Rack {
    uplink: f64,
    /// The part of it that short delivery showed to be missing.
    missing: Fading,
    meter: Meter,
    links: f64,
    own: Own,
}

/// What is known of the other fronts: how many, what all of this front's own sessions ask, the size of all
/// links (or uplinks), and how many sessions fill the one looked at.
struct Peers {
    fronts: f64,
    all: f64,
    size: f64,
    streams: f64,
    session: f64,
}

/// What sessions take: a share of a link, and kB a second.
#[derive(Clone, Copy, Default)]
struct Price {
    link: f64,
    rate: f64,
}

/// The price of the own sessions booked, and of those of them that play.
#[derive(Clone, Copy, Default)]
struct Own {
    booked: Price,
    playing: Price,
}

/// Use of a server's link and of its rack's uplink, and the size of that.
struct Use {
    link: f64,
    rack: f64,
    uplink: f64,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Waiting,
    Out(ServerId),
    Playing(ServerId, Duration),
}

#[derive(Default)]
struct Session {
    call: Call,
    state: State,
    rung: usize,
    attempts: u32,
    /// Where its last attempt got an error.
    erred_at: Option<ServerId>,
    /// An attempt may have run.
    ran: bool,
    /// Nothing is owed any more.
    over: bool,
    stepped: Option<Duration>,
    /// It was adopted and its rung not chosen by this front.
    adopted: bool,
}

/// One front.
pub struct Brain {
    set: Settings,
    rng: fastrand::Rng,
    now: Duration,
    out: Vec<Action>,
    servers: BTreeMap<ServerId, Server>,
    racks: BTreeMap<u64, Rack>,
    all: Meter,
    sessions: BTreeMap<RequestId, Session>,
    /// Requests taken and further attempts made, within the ration's span.
    taken: VecDeque<Duration>,
    extra: VecDeque<Duration>,
    /// Earlier lives may have used up the ration until this...
    unproven: Duration,
    /// ...and this front's part of each cold server until this.
    quiet: Duration,
    /// Until then any server may have started anew while this front was dead.
    doubt: Duration,
    /// The count in force, if any, where fronts are counted.
    counted: Option<Option<usize>>,
    waiting: Vec<RequestId>,
    read: Vec<ServerId>,
    /// When others' parts were last worked out, and the mean rate of an own session then.
    looked: Option<Duration>,
    session_rate: f64,
    /// For each class and rung: the mark of the ledger up to which it is given.
    marks: Vec<Vec<f64>>,
}

impl Brain {
    /// A front that knows its settings and nothing else.
    pub fn new(set: Settings, seed: u64) -> Self {
        let marks = set.classes.iter().map(|c| marks(&set, c)).collect();
        Brain {
            set,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            out: Vec::new(),
            servers: BTreeMap::new(),
            racks: BTreeMap::new(),
            all: Meter::default(),
            sessions: BTreeMap::new(),
            taken: VecDeque::new(),
            extra: VecDeque::new(),
            unproven: Duration::ZERO,
            quiet: Duration::ZERO,
            doubt: Duration::ZERO,
            counted: None,
            waiting: Vec::new(),
            read: Vec::new(),
            looked: None,
            session_rate: TINY,
            marks,
        }
    }

    /// How many servers it keeps: those of the list, and those that are gone while sessions are there.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Takes all events of one instant, news and ends before retries and calls; returns what to do, in order.
    pub fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut calls = Vec::new();
        for event in events {
            match event {
                Event::List(mode, entries) => self.list(*mode, entries),
                Event::Call(call) => calls.extend(self.take(call)),
                Event::Adopted(call, server) => self.adopt(call, *server),
                Event::Playing(request, _, server, _) => self.playing(*request, *server),
                Event::Note(request, server, note) => self.note(*request, *server, *note),
                Event::Ended(request, attempt, server, outcome, closed, report) => {
                    self.report(*server, REPORT_AGE, *report);
                    self.ended(*request, *attempt, *server, *outcome, *closed)
                }
                Event::Gone(request) => self.gone(*request),
                Event::Heard(heard) => self.heard(heard),
                Event::Before(before) => self.before(before),
                Event::Counted { fronts } => self.counted(*fronts),
                Event::Timer(ASK_AGAIN) => self.out.push(Action::Subscribe),
                Event::Timer(_) => {}
            }
        }
        for request in std::mem::take(&mut self.waiting).into_iter().chain(calls) {
            self.place(request);
        }
        for server in std::mem::take(&mut self.read) {
            self.raise(server);
        }
        std::mem::take(&mut self.out)
    }

    // ---- The ledger ----

    /// Size of a server's link now. A cold one gives the part that it has surely warmed.
    fn link_size(&self, s: &Server) -> f64 {
        s.rated * if self.is_cold(s) { self.set.rules.cold_from.max(0.01) } else { 1.0 }
    }

    fn uplink(&self, r: &Rack) -> f64 {
        (r.uplink * (1.0 - r.missing.at(self.now))).max(TINY)
    }

    fn rack_of(&self, cell: u64) -> Option<u64> {
        (self.set.racks > 0 && self.set.rack_uplink > 0.0).then(|| cell % self.set.racks.max(1))
    }

    fn rack_at(&self, s: &Server) -> Option<&Rack> {
        self.rack_of(s.entry.cell).and_then(|r| self.racks.get(&r))
    }

    /// Works out what others ask of each link and uplink, once an instant.
    ///
    /// With many fronts most servers have no reading: they are taken to be as the read ones are, and before
    /// any reading the others to do as this front does, spread over the fleet.
    fn look_round(&mut self) {
        if self.looked == Some(self.now) {
            return;
        }
        let (now, fronts) = (self.now, self.set.fronts.saturating_sub(1) as f64);
        let own: f64 = self.servers.values().map(|s| s.own.booked.rate).sum();
        let n = self.all.booked;
        let one = if n > 0.0 { own / n } else { self.set.ladder.first().map_or(0.0, |r| r.rate) }.max(TINY);
        (self.looked, self.session_rate) = (Some(now), one);
        let serving = self.servers.values().filter(|s| s.entry.state == Listed::Serving);
        let size = serving.clone().map(|s| s.rated).sum::<f64>().max(TINY);
        let peers = |size: f64, page: f64| Peers { fronts, all: n, size, streams: page / one, session: one };
        let links: Vec<_> = serving.map(|s| (s.rated, &s.link)).collect();
        let (mean, spread) = usual(now, &links, |rated| peers(size, rated));
        for s in self.servers.values_mut() {
            // Half of what is unread is over the mean, and a short link costs more than an empty one.
            s.link.others = s.link.others(now, mean + spread, &peers(size, s.rated));
        }
        if self.racks.values().any(|r| r.meter.read_at.is_some()) {
            let size = self.racks.values().map(|r| r.uplink).sum::<f64>().max(TINY);
            let pages: Vec<_> = self.racks.values().map(|r| (r.uplink, &r.meter)).collect();
            let (mean, _) = usual(now, &pages, |uplink| peers(size, uplink));
            for r in self.racks.values_mut() {
                r.meter.others = r.meter.others(now, mean, &peers(size, r.uplink));
            }
            return;
        }
        // Where readings of uplinks are not told: what the links are read to ask. A sick link's reading tells
        // of what it gives, not of what is asked.
        self.racks.values_mut().for_each(|r| r.meter.others = 0.0);
        for s in self.servers.values() {
            let Some(rack) = self.rack_of(s.entry.cell) else { continue };
            let likely = s.link.others(now, mean, &peers(size, s.rated));
            let part = if s.link.booked + likely >= 1.0 { mean.min(likely) } else { likely };
            let part = (s.link.booked + part).clamp(0.0, 1.0) - s.link.booked;
            let asked = part * self.link_size(s);
            if let Some(r) = self.racks.get_mut(&rack) {
                r.meter.others += asked / r.uplink.max(TINY);
            }
        }
    }

    /// By rate, or by the stream taken if that is more of the link; one that joins a live stream by its part.
    fn price(&self, s: &Server, class: usize, rung: usize, joins: bool) -> Price {
        let streams = self.set.streams_by_kind.get(s.entry.kind).copied().unwrap_or(0.0);
        let part = if joins { self.set.join } else { 1.0 };
        let rate = self.set.ladder[rung].rate * self.set.classes[class].scale * part;
        let place = if streams > 0.0 && !joins { 1.0 / streams } else { 0.0 };
        Price { link: (rate / self.link_size(s).max(TINY)).max(place), rate }
    }

    fn shares(&self, class: usize) -> bool {
        self.set.join < 1.0 && self.set.classes[class].live
    }

    fn reckon(&mut self, server: ServerId) {
        let Some(s) = self.servers.get(&server) else { return };
        let (mut own, mut streams) = (Own::default(), BTreeSet::new());
        for x in s.sessions.iter().filter_map(|id| self.sessions.get(id)) {
            let joins = self.shares(x.call.class) && !streams.insert((x.call.title, x.call.class, x.rung));
            let price = self.price(s, x.call.class, x.rung, joins);
            let playing = f64::from(u8::from(matches!(x.state, State::Playing(..))));
            for (sum, part) in [(&mut own.booked, 1.0), (&mut own.playing, playing)] {
                sum.link += price.link * part;
                sum.rate += price.rate * part;
            }
        }
        let (now, keep, rack) = (self.now, self.set.told_late + REPORT_AGE, self.rack_of(s.entry.cell));
        let s = self.servers.get_mut(&server).expect("looked up above");
        s.link.record(now, own.booked.link, own.playing.link, keep);
        let old = std::mem::replace(&mut s.own, own);
        let all = self.sessions.values().filter(|s| s.at().is_some()).count() as f64;
        self.all.record(now, all, all, keep);
        self.looked = None;
        let Some(rack) = rack else { return };
        let r = self.racks.entry(rack).or_default();
        r.own.booked.rate = (r.own.booked.rate + own.booked.rate - old.booked.rate).max(0.0);
        r.own.playing.rate = (r.own.playing.rate + own.playing.rate - old.playing.rate).max(0.0);
        let uplink = r.uplink.max(TINY);
        r.meter.record(now, r.own.booked.rate / uplink, r.own.playing.rate / uplink, keep);
    }

    // ---- List and health ----

    fn list(&mut self, mode: ListMode, entries: &[Entry]) {
        if mode == ListMode::Broken {
            if !self.set.list_pushed {
                self.out.push(Action::Timer((self.set.rules.ask_within / 2).max(REST), ASK_AGAIN));
            }
            return;
        }
        if mode == ListMode::Stale && !self.set.list_pushed {
            self.out.push(Action::Subscribe);
        }
        if mode != ListMode::Patch {
            self.servers.values_mut().for_each(|s| s.entry.state = Listed::Gone);
        }
        for e in entries {
            let s = self.servers.entry(e.server).or_default();
            let restarted = e.started > s.entry.started;
            s.entry = *e;
            if restarted {
                self.started(e.server, e.started);
            } else if self.now < self.doubt && s.turn.is_zero() {
                self.draw_turn(e.server);
            }
        }
        // Ids of servers that are gone come never again.
        self.servers.retain(|_, s| s.entry.state != Listed::Gone || !s.sessions.is_empty());
        self.size_links();
        self.looked = None;
    }

    /// A new start ends what was held against the old process.
    fn started(&mut self, server: ServerId, at: Duration) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else { return };
        (s.lost, s.trial, s.fails, s.rest_until) = (false, false, 0, now);
        s.cold_since = s.cold_since.max(Some(at));
        self.draw_turn(server);
    }

    /// A peer's word on a server of the own list. Guards a front that came back against drains, starts and
    /// failures that it slept through, and against taking the fleet for empty. It never makes it less
    /// careful; its own list and what it sees itself take it back. May hurt: a peer that errs costs some
    /// seconds' rest.
    fn heard(&mut self, h: &Heard) {
        let then = self.now.saturating_sub(h.age);
        let Some(s) = self.servers.get_mut(&h.server) else { return };
        if h.state != Listed::Serving {
            s.entry.state = h.state;
        }
        if h.started > s.entry.started {
            s.entry.started = h.started;
            self.started(h.server, h.started);
        }
        let (unknown, cell) = {
            let s = &self.servers[&h.server];
            (s.fails == 0 && s.sessions.is_empty(), s.entry.cell)
        };
        if h.failed && unknown {
            self.failed(h.server, h.lost, "a peer's word");
        }
        let older = |m: Option<&Meter>| m.and_then(|m| m.read_at).is_none_or(|t| t < then);
        let rack = self.rack_of(cell);
        let link = h.report.link.filter(|_| older(self.servers.get(&h.server).map(|s| &s.link)));
        let uplink = h.report.rack.filter(|_| older(rack.and_then(|r| self.racks.get(&r)).map(|r| &r.meter)));
        self.report(h.server, h.age, Report { link, rack: uplink });
        // It has faded since it was read.
        if let (Some(_), Some(s)) = (link, self.servers.get_mut(&h.server)) {
            s.link.read_at = Some(then);
        }
        if let (Some(_), Some(r)) = (uplink, rack.and_then(|r| self.racks.get_mut(&r))) {
            r.meter.read_at = Some(then);
        }
    }

    /// Links by their weight, or by their kind's streams; uplinks by the rated links of their cells.
    fn size_links(&mut self) {
        let streams = |e: &Entry| self.set.streams_by_kind.get(e.kind).copied().unwrap_or(1.0);
        let all: f64 = self.servers.values().map(|s| streams(&s.entry)).sum();
        let mean = all / self.servers.len().max(1) as f64;
        for s in self.servers.values_mut() {
            let weight = if mean > 0.0 { streams(&s.entry) / mean } else { 1.0 };
            s.rated = self.set.link_unit * if self.set.weights_tell_size { s.entry.weight } else { weight };
        }
        self.racks.values_mut().for_each(|r| r.links = 0.0);
        for s in self.servers.values() {
            if let Some(rack) = self.rack_of(s.entry.cell) {
                self.racks.entry(rack).or_default().links += s.rated;
            }
        }
        let mean = self.racks.values().map(|r| r.links).sum::<f64>() / self.racks.len().max(1) as f64;
        for r in self.racks.values_mut() {
            r.uplink = self.set.rack_uplink * if mean > 0.0 { r.links / mean } else { 1.0 };
        }
    }

    fn is_cold(&self, s: &Server) -> bool {
        s.lost || s.cold_since.is_some_and(|t| t + self.set.rules.cold > self.now)
    }

    /// Rule 4: time between this front's set-ups at a cold server, taking it for no warmer than at its start.
    ///
    /// With a part under one set-up a window the fronts' turns fall at random. Their mean m leaves room for
    /// `CHANCE` standard deviations of their sum: m + c sqrt(m (1 - m / n)) = budget + 1.
    fn cold_gap(&self, s: &Server) -> Duration {
        let r = &self.set.rules;
        let streams = self.set.streams_by_kind.get(s.entry.kind).copied().unwrap_or(1.0);
        let budget = r.fall_multiple * streams / secs(r.cold).max(TINY) * r.cold_from * secs(r.fall_span);
        let fronts = self.set.fronts.max(1) as f64;
        let (most, square) = (budget + 1.0, CHANCE * CHANCE);
        let (a, b) = (1.0 + square / fronts, 2.0 * most + square);
        let mean = (b - (b * b - 4.0 * a * most * most).max(0.0).sqrt()) / (2.0 * a);
        let part = if budget >= fronts { (budget / fronts).floor() } else { mean.min(budget) / fronts };
        Duration::from_secs_f64(secs(r.fall_span) / part.max(TINY))
    }

    /// A server is found to be cold, or doubted. All fronts hear of a start together: each waits for a turn
    /// of its own. At a doubted one the first may go at once, where a front's part is a whole one a window.
    fn draw_turn(&mut self, server: ServerId) {
        let chance = self.rng.f64();
        let Some(s) = self.servers.get(&server) else { return };
        let (cold, gap) = (self.is_cold(s), self.cold_gap(s));
        let from = if cold { self.now.max(self.quiet) } else { self.now };
        let wait = if cold || gap > self.set.rules.fall_span { gap.mul_f64(chance) } else { Duration::ZERO };
        self.servers.get_mut(&server).expect("looked up above").turn = from + wait;
    }

    /// Guards a front that dies and comes back against spending anew what its last life spent (rules 4, 6):
    /// what cannot be proven otherwise counts as spent for one span. And against servers that started anew
    /// while it was dead, of which its list is yet to tell: each gets its set-ups as a cold one would. May
    /// hurt: it refuses after one attempt that long, and what comes in a rush after a return.
    fn before(&mut self, before: &Before) {
        let now = self.now;
        if let Some(r) = self.set.rules.ration {
            let mut made: Vec<_> = before.further.iter().map(|age| now.saturating_sub(*age)).collect();
            made.sort();
            self.extra.extend(made);
            self.unproven = now + r.span.saturating_sub(before.known);
        }
        let left = |ran: Duration| self.set.rules.fall_span.saturating_sub(ran);
        self.quiet = now + before.ran.map_or(Duration::ZERO, left);
        self.doubt = now + before.late.min(self.set.rules.cold);
    }

    /// Guards cold servers against fronts that reckon with too few others (rule 4). A part shrinks at once,
    /// and the waits for turns drawn with it; it grows with the next turn. After a while without a count all
    /// draw anew: turns that went by would fall together. May hurt: uncounted, cold servers get nothing.
    fn counted(&mut self, fronts: Option<usize>) {
        let gaps: Vec<_> = self.servers.iter().map(|(id, s)| (*id, secs(self.cold_gap(s)))).collect();
        let again = self.counted.replace(fronts).flatten().is_none();
        self.set.fronts = fronts.unwrap_or(self.set.fronts);
        for (id, old) in gaps {
            let longer = secs(self.cold_gap(&self.servers[&id])) / old.max(TINY);
            let s = self.servers.get_mut(&id).expect("listed above");
            if s.turn > self.now {
                s.turn = self.now + (s.turn - self.now).mul_f64(longer.max(1.0));
            } else if again && !s.turn.is_zero() {
                self.draw_turn(id);
            }
        }
        self.looked = None;
    }

    /// An error may be the request's own fault, which no server can serve: it tells of the server only where
    /// the last answer there was an error too, and a request's further errors tell nothing. Guards against a
    /// client by whose set-ups all servers would rest. Costs one set-up more at a server that begins to err.
    fn erred(&mut self, request: RequestId, server: ServerId) {
        let first = self.sessions.get_mut(&request).and_then(|s| s.erred_at.replace(server)).is_none();
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.trial = false;
        if (first && std::mem::replace(&mut s.erred, true)) || s.fails > 0 {
            self.failed(server, false, "errors");
        }
    }

    fn failed(&mut self, server: ServerId, lost: bool, why: &str) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.trial = false;
        if lost && !std::mem::replace(&mut s.lost, true) {
            self.draw_turn(server);
        }
        let Some(s) = self.servers.get_mut(&server) else { return };
        if now < s.rest_until && s.fails > 0 {
            return; // one trouble, heard of by several sessions
        }
        s.fails += 1;
        s.rest_until = now + (REST * 2u32.pow((s.fails - 1).min(8))).min(LONGEST_REST);
        if s.fails == 1 {
            self.out.push(Action::Log(format!("server {server} rests: {why}")));
        }
    }

    fn worked(&mut self, server: ServerId) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else { return };
        (s.trial, s.erred) = (false, false);
        if s.lost {
            s.lost = false;
            s.cold_since = s.cold_since.max(Some(now));
        }
        if std::mem::take(&mut s.fails) > 0 {
            s.rest_until = now;
            self.out.push(Action::Log(format!("server {server} works again")));
        }
    }

    // ---- Pick and admission ----

    fn holds(&self, call: &Call, s: &Server) -> bool {
        let cells = self.set.cells;
        cells == 0
            || call.cells >= cells
            || (s.entry.cell + cells - call.first_cell % cells) % cells < call.cells
    }

    fn usable(&self, call: &Call, s: &Server) -> bool {
        let class = &self.set.classes[call.class];
        s.entry.state == Listed::Serving
            && self.holds(call, s)
            && s.rest_until <= self.now
            && (s.fails == 0 || (!s.trial && !class.at_most_once))
            && ((!self.is_cold(s) && self.doubt <= self.now)
                || (self.counted != Some(None) && s.turn <= self.now))
    }

    /// The holder with the most room on link and uplink, and the highest rung that fits there.
    fn pick(&mut self, call: &Call) -> Option<(ServerId, usize)> {
        let class = self.set.classes.get(call.class)?;
        let top = call.top.min(class.top).min(self.set.ladder.len().checked_sub(1)?);
        if class.floor > top {
            return None;
        }
        let floor = class.floor;
        self.look_round();
        let erred_at = self.sessions.get(&call.request).and_then(|s| s.erred_at);
        let holders = self.servers.iter().filter(|(id, s)| erred_at != Some(**id) && self.usable(call, s));
        let mut rooms: Vec<_> = holders.map(|(id, s)| (self.use_of(s), *id)).collect();
        self.rng.shuffle(&mut rooms); // ties at random
        let order = |(used, id): &(Use, ServerId)| {
            used.link.max(used.rack) + if self.servers[id].entry.far { ALIKE } else { 0.0 }
        };
        rooms.sort_by(|a, b| order(a).total_cmp(&order(b)));
        rooms.into_iter().find_map(|(used, id)| {
            let fits = |rung: &usize| self.fits(call, *rung, &self.servers[&id], &used);
            (floor..=top).rev().find(fits).map(|rung| (id, rung))
        })
    }

    /// Whether a session more at that rung stays under its mark on the link and on the uplink.
    fn fits(&self, call: &Call, rung: usize, s: &Server, used: &Use) -> bool {
        let same = |x: &Session| (x.call.title, x.call.class, x.rung) == (call.title, call.class, rung);
        let joins = self.shares(call.class)
            && s.sessions.iter().any(|id| *id != call.request && self.sessions.get(id).is_some_and(same));
        let cost = self.price(s, call.class, rung, joins);
        let mark = self.marks[call.class][rung];
        used.link + cost.link <= mark && used.rack + cost.rate / used.uplink <= mark
    }

    fn use_of(&self, s: &Server) -> Use {
        let link = s.link.used(self.now);
        let Some(r) = self.rack_at(s) else { return Use { link, rack: 0.0, uplink: f64::INFINITY } };
        let uplink = self.uplink(r);
        Use { link, rack: r.meter.used(self.now) * r.uplink / uplink, uplink }
    }

    /// Adopted sessions get the rung that an admission would give them, once each, at a note of the link.
    ///
    /// All fronts there hear it in the same instant: as many others as it tells sessions do alike. Where a
    /// rung has room for some of them only, so many take it as have room, less a spread of their number.
    fn raise(&mut self, server: ServerId) {
        let Some(at) = self.servers.get(&server) else { return };
        let known = at.sessions.iter().filter_map(|id| Some((self.sessions.get(id)?, *id)));
        let adopted = known.filter(|(s, _)| s.adopted && matches!(s.state, State::Playing(..)));
        let mut ids: Vec<_> = adopted.map(|(s, id)| (self.set.classes[s.call.class].worth, id)).collect();
        ids.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in ids {
            self.look_round();
            let (s, at) = (&self.sessions[&id], &self.servers[&server]);
            let (call, old) = (&s.call, s.rung);
            let top = call.top.min(self.set.classes[call.class].top).min(self.set.ladder.len() - 1);
            let used = self.use_of(at);
            let alike =
                |kb: f64| 1.0 + (kb / self.session_rate).clamp(0.0, self.set.fronts.saturating_sub(1) as f64);
            let near = alike(at.link.others * at.rated);
            let far = alike(self.rack_at(at).map_or(0.0, |r| r.meter.others * r.uplink));
            let price = |rung: usize| self.price(at, call.class, rung, false);
            let chance = |rung: usize| {
                let (mark, old, less, new) =
                    (self.marks[call.class][rung], price(old), price(rung - 1), price(rung));
                let part = |used: f64, old: f64, less: f64, new: f64, n: f64| {
                    let p = ((mark - used) / n - (less - old)) / (new - less).max(TINY);
                    p - (p * (1.0 - p) / n).max(0.0).sqrt()
                };
                let rate = |p: &Price| p.rate / used.uplink;
                part(used.link, old.link, less.link, new.link, near).min(part(
                    used.rack,
                    rate(&old),
                    rate(&less),
                    rate(&new),
                    far,
                ))
            };
            let chances: Vec<_> = (old + 1..=top).map(|rung| (rung, chance(rung))).collect();
            let drawn = chances.into_iter().rev().find(|c| c.1 > 0.0 && (c.1 >= 1.0 || self.rng.f64() < c.1));
            let Some((rung, _)) = drawn else { continue };
            self.sessions.get_mut(&id).expect("listed above").adopted = false;
            self.set_rung(id, rung);
        }
    }

    fn take(&mut self, call: &Call) -> Option<RequestId> {
        if self.sessions.contains_key(&call.request) {
            return None;
        }
        self.taken.extend(self.set.rules.ration.map(|_| self.now));
        self.sessions.insert(call.request, Session { call: call.clone(), ..Session::default() });
        Some(call.request)
    }

    fn place(&mut self, request: RequestId) {
        let Some(s) = self.sessions.get(&request) else { return };
        if s.state != State::Waiting || s.over {
            return;
        }
        let call = s.call.clone();
        // Rule 5: seats count adopted sessions and those in set-up.
        let seats = self.set.classes.get(call.class).map_or(0, |c| c.seats);
        let same =
            |s: &&Session| (s.call.title, s.call.class) == (call.title, call.class) && s.at().is_some();
        let seated = seats == 0 || self.sessions.values().filter(same).count() < seats;
        match if seated { self.pick(&call) } else { None } {
            Some((server, rung)) => self.send(request, server, rung),
            None => self.answer(request),
        }
    }

    /// The one place that sends. What rules 1 to 5 ask is checked by `usable`, `place` and here.
    fn send(&mut self, request: RequestId, server: ServerId, rung: usize) {
        let further = self.ration_allows();
        let Some(s) = self.sessions.get_mut(&request) else { return };
        let class = &self.set.classes[s.call.class];
        let left = s.call.deadline.saturating_sub(self.now);
        let barred = (s.ran && class.at_most_once)
            || s.attempts >= self.set.limits.attempts
            || left.is_zero()
            || (s.attempts > 0 && !further);
        if barred {
            return self.answer(request);
        }
        if s.attempts > 0 {
            self.extra.push_back(self.now);
        }
        let again = !class.at_most_once && s.attempts + 1 < self.set.limits.attempts;
        let within = if again { left.min(class.aim.mul_f64(TRY_PART)) } else { left };
        s.attempts += 1;
        self.set_rung(request, rung);
        let s = self.sessions.get_mut(&request).expect("looked up above");
        s.state = State::Out(server);
        self.out.push(Action::Send(request, server, within));
        let (gap, now) = (self.cold_gap(&self.servers[&server]), self.now);
        let s = self.servers.get_mut(&server).expect("picked among them");
        s.sessions.insert(request);
        s.trial = s.fails > 0;
        s.turn = now + gap;
        self.reckon(server);
    }

    /// Rule 6: whether one more further attempt is within the ration.
    fn ration_allows(&mut self) -> bool {
        let Some(r) = self.set.rules.ration else { return true };
        for list in [&mut self.taken, &mut self.extra] {
            while list.front().is_some_and(|t| *t + r.span <= self.now) {
                list.pop_front();
            }
        }
        self.now >= self.unproven
            && (self.extra.len() + 1) as f64 <= r.free + r.share * self.taken.len() as f64
    }

    /// The one place that sets rungs: never above what the viewer and the class allow nor below the floor.
    fn set_rung(&mut self, request: RequestId, rung: usize) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        let class = &self.set.classes[s.call.class];
        if rung < class.floor || rung > class.top || rung > s.call.top || rung >= self.set.ladder.len() {
            return;
        }
        s.rung = rung;
        let at = s.at();
        at.into_iter().for_each(|server| self.reckon(server));
        self.out.push(Action::Rung(request, rung));
    }

    /// The one place that gives final answers: a refusal where no harm can have been done, else a failure.
    fn answer(&mut self, request: RequestId) {
        let Some(s) = self.sessions.remove(&request).filter(|s| !s.over) else { return };
        if s.ran && self.set.classes[s.call.class].at_most_once {
            self.out.push(Action::Fail(request));
        } else {
            self.out.push(Action::Refuse(request, self.set.limits.hold_off));
        }
    }

    // ---- Outcomes and news ----

    fn adopt(&mut self, call: &Call, server: ServerId) {
        let (Some(class), false) = (self.set.classes.get(call.class), self.set.ladder.is_empty()) else {
            return;
        };
        let rung = class.floor.min(self.set.ladder.len() - 1);
        let Some(at) = self.servers.get_mut(&server) else { return };
        at.sessions.insert(call.request);
        let (call, state) = (call.clone(), State::Playing(server, self.now));
        let session =
            Session { state, rung, attempts: 1, over: true, adopted: true, call, ..Session::default() };
        self.sessions.insert(session.call.request, session);
        self.reckon(server);
    }

    fn playing(&mut self, request: RequestId, server: ServerId) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        if s.state != State::Out(server) {
            return;
        }
        s.state = State::Playing(server, self.now);
        s.over = true;
        self.reckon(server);
        self.worked(server);
    }

    fn gone(&mut self, request: RequestId) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        s.over = true;
        if s.state == State::Waiting {
            self.sessions.remove(&request);
        }
    }

    fn ended(&mut self, request: RequestId, attempt: u32, server: ServerId, outcome: Outcome, closed: bool) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        if attempt + 1 != s.attempts || s.state == State::Waiting {
            return;
        }
        s.state = State::Waiting;
        s.ran |= !outcome.never_ran();
        s.over |= closed;
        let over = s.over;
        if let Some(s) = self.servers.get_mut(&server) {
            s.sessions.remove(&request);
        }
        self.reckon(server);
        // One late answer may be a jam; a second before anything worked is silence.
        let silent = self.servers.get(&server).is_some_and(|s| s.fails > 0);
        match outcome {
            Outcome::Error => self.erred(request, server),
            Outcome::ConnectFailed => self.failed(server, true, "no connection"),
            Outcome::Reset => self.failed(server, true, "connection lost"),
            Outcome::Timeout => self.failed(server, silent, "no answer"),
            _ => {
                if let Some(s) = self.servers.get_mut(&server) {
                    s.trial = false;
                    if outcome == Outcome::Full {
                        s.link.fill(self.now);
                    }
                }
            }
        }
        if over {
            self.sessions.remove(&request);
        } else {
            self.waiting.push(request);
        }
    }

    /// A reading of that age. Only notes raise sessions: of many noisy readings the lowest would decide.
    fn report(&mut self, server: ServerId, age: Duration, report: Report) {
        let (now, round) = (self.now, self.set.told_every + self.set.told_late);
        let all = self.all.own_at(now.saturating_sub(age));
        let Some(s) = self.servers.get_mut(&server) else { return };
        let cell = s.entry.cell;
        report.link.into_iter().for_each(|x| s.link.read(now, age, x, round, all));
        self.looked = None;
        if let (Some(x), Some(rack)) = (report.rack, self.rack_of(cell)) {
            self.racks.entry(rack).or_default().meter.read(now, age, x, round, all);
        }
    }

    fn note(&mut self, request: RequestId, server: ServerId, note: Note) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        // At set-up a reading is of about now; later ones are late.
        let young = matches!(s.state, State::Playing(_, t) if self.now - t < self.set.told_late);
        let age = if young { Duration::ZERO } else { self.set.told_late };
        match note {
            Note::Rung(rung) if rung < self.set.ladder.len() => {
                s.rung = rung;
                self.reckon(server);
            }
            Note::Rung(_) => {}
            Note::Link(x) => {
                self.report(server, age, Report { link: Some(x), rack: None });
                self.read.push(server);
            }
            Note::Rack(x) => self.report(server, age, Report { link: None, rack: Some(x) }),
            Note::Share(share) => self.share(server, share),
        }
    }

    /// Sessions there got this share of their rates.
    fn share(&mut self, server: ServerId, share: f64) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.short_at = (share < SHORT).then_some(now);
        if share >= SHORT {
            return;
        }
        self.look_round();
        let s = &self.servers[&server];
        let link = s.link.told().unwrap_or(1.0);
        let rack = self.rack_of(s.entry.cell).filter(|r| self.rack_short(*r, link));
        let meter = match rack.and_then(|r| self.racks.get_mut(&r)) {
            Some(r) => {
                if r.meter.read_at.is_none() {
                    // Uplinks differ from the told mean: what was asked and the share of it tell the size.
                    // Also catches a sag; errs if the links' readings are old.
                    let part = 1.0 - (r.meter.booked + r.meter.others) * share;
                    r.missing = Fading(part.clamp(0.0, MARK).max(r.missing.at(now)), now);
                }
                &mut r.meter
            }
            None => &mut self.servers.get_mut(&server).expect("looked up above").link,
        };
        meter.fill(now);
        // Notes are late and all servers of a rack send them: what was done shows only after a while.
        if meter.stepped + NOTE_GAP + self.set.told_late <= now {
            meter.stepped = now;
            self.step_down(server, rack, share);
        }
    }

    /// Whether it is the rack that is short: then every server there with own sessions is. Guards against one
    /// sick server by which half the fleet would look full; errs while one server there is in use.
    fn rack_short(&self, rack: u64, link: f64) -> bool {
        let told = self.racks.get(&rack).and_then(|r| r.meter.told());
        let (mut short, mut fine) = (0, 0);
        for s in self.servers.values().filter(|s| self.rack_of(s.entry.cell) == Some(rack)) {
            let in_use =
                s.own.playing.rate > 0.0 && s.link.own_at(self.now.saturating_sub(self.set.told_late)) > 0.0;
            match s.short_at {
                Some(t) if t + NOTE_GAP * 2 > self.now => short += 1,
                _ if in_use => fine += 1,
                _ => {}
            }
        }
        told.map_or(link < 1.0, |x| x > link) && short > fine * 4
    }

    /// A link that stays short: the own sessions there free what they take too much, those first that
    /// lose least worth for each kB, each one rung and at most once in `STEP_GAP`.
    fn step_down(&mut self, server: ServerId, rack: Option<u64>, share: f64) {
        let now = self.now;
        let (mut asked, mut steps) = (0.0, Vec::new());
        for (id, s) in &self.sessions {
            let State::Playing(at, _) = s.state else { continue };
            let there = self.servers.get(&at).and_then(|s| self.rack_of(s.entry.cell));
            if at != server && (rack.is_none() || there != rack) {
                continue;
            }
            let class = &self.set.classes[s.call.class];
            let rate = |rung: usize| self.set.ladder[rung].rate * class.scale;
            asked += rate(s.rung);
            if s.rung > class.floor && s.stepped.is_none_or(|t| t + STEP_GAP <= now) {
                let (from, to) = (self.set.ladder[s.rung], self.set.ladder[s.rung - 1]);
                let freed = rate(s.rung) - rate(s.rung - 1);
                let loss = class.worth * (from.worth - to.worth) / freed.max(TINY);
                steps.push((loss, *id, freed));
            }
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut excess = asked * (1.0 - share);
        for (_, id, freed) in steps {
            // With few own sessions a whole step frees more than the own part, on all fronts at once.
            if excess <= 0.0 || self.rng.f64() * freed >= excess {
                return;
            }
            excess -= freed;
            let s = self.sessions.get_mut(&id).expect("listed above");
            s.stepped = Some(now);
            let lower = s.rung - 1;
            self.set_rung(id, lower);
        }
    }
}

impl Session {
    fn at(&self) -> Option<ServerId> {
        match self.state {
            State::Waiting => None,
            State::Out(server) | State::Playing(server, _) => Some(server),
        }
    }
}

/// The marks of a class: full for the rung of most worth per kB and below, lower for each step above by
/// how much less it earns for what it takes.
fn marks(set: &Settings, class: &Class) -> Vec<f64> {
    let mut best = 0.0f64;
    let mut marks = Vec::new();
    for (i, rung) in set.ladder.iter().enumerate() {
        let below = if i <= class.floor { Rung::default() } else { set.ladder[i - 1] };
        let density = (rung.worth - below.worth) / (rung.rate - below.rate).max(TINY);
        best = best.max(density);
        let part = if best > 0.0 { (density / best).clamp(0.0, 1.0) } else { 1.0 };
        marks.push(MARK * part.powf(STEP_POWER));
    }
    marks
}

/// Mean and spread of what others ask of these pages (size and page), by how fresh they are. What they would
/// ask if they did as this front does counts as one reading.
fn usual(now: Duration, pages: &[(f64, &Meter)], peers: impl Fn(f64) -> Peers) -> (f64, f64) {
    let all = peers(0.0);
    let (one, prior) =
        (all.size / pages.len().max(1) as f64, (all.all * all.session * all.fronts / all.size).min(1.0));
    let (mut sum, mut squares, mut weight) = (one * prior, one * prior * prior, one);
    for (size, m) in pages {
        let base = (m.base + m.since(&peers(*size))).clamp(0.0, 1.0);
        let w = size * m.read_at.map_or(0.0, |t| Fading(1.0, t).at(now));
        (sum, squares, weight) = (sum + w * base, squares + w * base * base, weight + w);
    }
    let mean = sum / weight.max(TINY);
    (mean, (squares / weight.max(TINY) - mean * mean).max(0.0).sqrt())
}
