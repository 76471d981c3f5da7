//! The decisions of one front. The vocabulary (settings, events, actions) is in `interface.rs`.
//!
//! Reading order: constants, what is known of servers, the ledger, list and health, the pick, admission
//! and attempts, news and degrading. Three functions guard the rules: `send` is the only one that sends,
//! `set_rung` the only one that sets rungs, `answer` the only one that gives final answers.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Share of a link or uplink that the ledger may reach (the paper's example for an operator's threshold).
const MARK: f64 = 0.95;
/// A reported or noted base fades to zero over this time (the design's figure).
const FADE: Duration = Duration::from_secs(30);
/// A session steps down at most once in this time (the design's figure).
const STEP_GAP: Duration = Duration::from_secs(30);
/// Delivered share under which a link counts as short (the wire's own bound for notes of it).
const SHORT: f64 = 0.98;
/// How much lower the mark of a step of lesser worth per kB is: the mark goes with this power of it.
const STEP_POWER: f64 = 0.15;
/// The same for a tenant past its share; weaker, for the room kept may find no better use.
const TENANT_POWER: f64 = 0.1;
/// Usual age of a load report that comes without one: about half of a usual refresh and the way.
const REPORT_AGE: Duration = Duration::from_millis(500);
/// First rest of a server after a failure, doubled for each further one...
const REST: Duration = Duration::from_secs(1);
/// ...up to this, so that one that is back is found within a fraction of a usual outage.
const LONGEST_REST: Duration = Duration::from_secs(8);
/// An attempt gets this part of the class's aim, so that a second one can still meet the aim.
const TRY_PART: f64 = 0.5;
/// Span over which a tenant's traffic is averaged.
const TENANT_SPAN: f64 = 20.0;
/// Time between notes of short delivery (the wire's own).
const NOTE_GAP: Duration = Duration::from_secs(1);
/// The timer token for asking for the list again.
const ASK_AGAIN: u64 = 1;

/// Seconds of a span.
fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

/// What is left by now of a value of that time.
fn faded(now: Duration, then: Duration) -> f64 {
    (1.0 - secs(now.saturating_sub(then)) / secs(FADE)).max(0.0)
}

/// A value that fades to zero over `FADE`.
#[derive(Clone, Copy, Default)]
struct Fading(f64, Duration);

impl Fading {
    fn at(self, now: Duration) -> f64 {
        self.0 * faded(now, self.1)
    }
}

/// The ledger's page on one link or uplink, in parts of its size.
#[derive(Default)]
struct Meter {
    booked: f64,
    /// What the own playing sessions ask, with its recent past: reports are late.
    playing: VecDeque<(Duration, f64)>,
    base: f64,
    /// When it was read, and what the own sessions asked at the time that it speaks of.
    read_at: Option<Duration>,
    own_read: f64,
    /// What short delivery adds over what is read: a later reading of a link that comes and goes does
    /// not clear it.
    short: Fading,
    /// The newest reading, as it was told.
    told: Option<f64>,
    /// When sessions were last stepped down for it.
    stepped: Duration,
}

impl Meter {
    /// Use as the ledger sees it: own bookings, the base, and what the other fronts will have booked since
    /// the base was read, taking them to do as this one does. Before any reading that is all that is known.
    fn used(&self, now: Duration, others: f64) -> f64 {
        let short = self.short.at(now);
        let asked = self.asked(now, others);
        if short > 0.0 {
            asked.max(self.booked + short)
        } else {
            asked
        }
    }

    /// The same without regard to short delivery.
    fn asked(&self, now: Duration, others: f64) -> f64 {
        let fade = self.read_at.map_or(1.0, |t| faded(now, t));
        self.booked + (self.base + others * (self.booked - self.own_read).max(0.0)) * fade
    }

    fn record(&mut self, now: Duration, playing: f64, keep: Duration) {
        while self.playing.len() > 1 && self.playing[1].0 + keep < now {
            self.playing.pop_front();
        }
        self.playing.push_back((now, playing));
    }

    /// What the own sessions asked at that time.
    fn own_at(&self, then: Duration) -> f64 {
        let past = self.playing.iter().rev().find(|(t, _)| *t <= then).or(self.playing.front());
        past.map_or(0.0, |p| p.1)
    }

    /// A reading taken `age` ago: the base is what the own sessions of that time don't explain.
    ///
    /// One that finds room a whole round of notes after the last short delivery ends that: room stood empty
    /// for half a minute after each short sag. A link that comes and goes more slowly is filled again.
    fn read(&mut self, now: Duration, age: Duration, reading: f64, round: Duration) {
        if reading < MARK && self.short.1 + round < now {
            self.short = Fading::default();
        }
        self.told = Some(reading);
        self.read_at = Some(now);
        self.own_read = self.own_at(now.saturating_sub(age));
        self.base = reading - self.own_read;
    }

    /// Short delivery: the page reads full from now on, fading.
    fn fill(&mut self, now: Duration) {
        self.short = Fading(1.0 - self.booked, now);
    }
}

/// What is known of one server.
#[derive(Default)]
struct Server {
    entry: Entry,
    /// Own sessions by title, class and rung: booked, and of these playing.
    groups: BTreeMap<(TitleId, usize, usize), [u32; 2]>,
    link: Meter,
    /// Booked and playing rate, kB a second.
    rate: [f64; 2],
    /// When it started cold, as far as known.
    cold_since: Option<Duration>,
    /// It was seen to fail in a way that may mean a restart: cold when it returns.
    lost: bool,
    /// Own sends while cold.
    sends: VecDeque<Duration>,
    fails: u32,
    rest_until: Duration,
    /// An attempt that shows whether it is back is out.
    trial: bool,
    /// The last note of a share delivered, and since when it is short.
    share: Option<(Duration, f64)>,
    short_since: Option<Duration>,
    /// When a reading last led to raising sessions.
    noted: Duration,
}

/// What is known of one rack.
#[derive(Default)]
struct Rack {
    uplink: f64,
    /// The part of it that short delivery showed to be missing.
    missing: Fading,
    meter: Meter,
    /// Its cells: rated link and server.
    cells: BTreeMap<u64, (f64, ServerId)>,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Waiting,
    Out(ServerId),
    Playing(ServerId, Duration),
}

/// One request, from its call to the end of its session.
#[derive(Default)]
struct Session {
    call: Call,
    state: State,
    rung: usize,
    attempts: u32,
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
    sessions: BTreeMap<RequestId, Session>,
    /// Sessions by title and class, from send to final outcome.
    seats: BTreeMap<(TitleId, usize), usize>,
    /// Recent rate of first tries by tenant, and of when it is.
    traffic: Vec<(f64, Duration)>,
    /// Requests taken and further attempts made, within the ration's span.
    taken: VecDeque<Duration>,
    extra: VecDeque<Duration>,
    waiting: Vec<RequestId>,
    /// Servers whose links were read in this instant.
    read: Vec<ServerId>,
    /// For each class and rung: the mark of the ledger up to which it is given.
    marks: Vec<Vec<f64>>,
}

impl Brain {
    /// A front that knows its settings and nothing else.
    pub fn new(set: Settings, seed: u64) -> Self {
        let marks = set.classes.iter().map(|c| marks(&set, c)).collect();
        Brain {
            traffic: vec![(0.0, Duration::ZERO); set.tenants.len()],
            set,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            out: Vec::new(),
            servers: BTreeMap::new(),
            racks: BTreeMap::new(),
            sessions: BTreeMap::new(),
            seats: BTreeMap::new(),
            taken: VecDeque::new(),
            extra: VecDeque::new(),
            waiting: Vec::new(),
            read: Vec::new(),
            marks,
        }
    }

    /// Takes all events of one instant and returns what to do, in order.
    ///
    /// News and ends are booked first; then retries and new calls are placed.
    pub fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut calls = Vec::new();
        for event in events {
            match event {
                Event::List(mode, entries) => self.list(*mode, entries),
                Event::Call(call) => {
                    if self.take(call) {
                        calls.push(call.request);
                    }
                }
                Event::Adopted(call, server) => self.adopt(call, *server),
                Event::Playing(request, _, server, _) => self.playing(*request, *server),
                Event::Note(request, server, note) => self.note(*request, *server, *note),
                Event::Ended(request, attempt, server, outcome, closed, report) => {
                    self.report(*server, None, *report);
                    self.ended(*request, *attempt, *server, *outcome, *closed)
                }
                Event::Gone(request) => self.gone(*request),
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
        self.rated_link(&s.entry) * if self.is_cold(s) { self.set.rules.cold_from.max(0.01) } else { 1.0 }
    }

    /// Size of a server's link as told: by its weight, or by its kind's streams.
    fn rated_link(&self, e: &Entry) -> f64 {
        if self.set.weights_tell_size {
            return e.weight * self.set.link_unit;
        }
        let streams = |kind: usize| self.set.streams_by_kind.get(kind).copied().unwrap_or(1.0);
        let all: f64 = self.servers.values().map(|s| streams(s.entry.kind)).sum();
        let mean = all / self.servers.len().max(1) as f64;
        self.set.link_unit * if mean > 0.0 { streams(e.kind) / mean } else { 1.0 }
    }

    /// Use of an uplink: its page, or where readings of it are not told what its links are read to ask.
    fn rack_used(&self, r: &Rack) -> f64 {
        let page = r.meter.used(self.now, self.others());
        if r.meter.told.is_some() {
            return page;
        }
        page.max(self.rack_asked(r) / self.uplink(r))
    }

    /// Size of an uplink now: as told, less what short delivery showed to be missing.
    fn uplink(&self, r: &Rack) -> f64 {
        (r.uplink * (1.0 - r.missing.at(self.now))).max(1e-9)
    }

    /// What the links of a rack are read to ask of its uplink.
    fn rack_asked(&self, r: &Rack) -> f64 {
        let asked = r.cells.values().map(|(_, id)| {
            let s = &self.servers[id];
            let asked = s.link.asked(self.now, self.others());
            // A sick link's reading tells of what it gives, not of what is asked: the fronts are taken to
            // be alike.
            let used = if asked >= 1.0 { s.link.booked * (1.0 + self.others()) } else { asked };
            used.clamp(0.0, 1.0) * self.link_size(s)
        });
        asked.sum()
    }

    /// How many other fronts there are.
    fn others(&self) -> f64 {
        self.set.fronts.saturating_sub(1) as f64
    }

    fn rack_of(&self, cell: u64) -> Option<u64> {
        (self.set.racks > 0 && self.set.rack_uplink > 0.0).then(|| cell % self.set.racks.max(1))
    }

    /// Rate of `n` sessions of a class at a rung: with live sharing, the first in full, others in part.
    fn group_rate(&self, class: usize, rung: usize, n: u32) -> f64 {
        let c = &self.set.classes[class];
        let rate = self.set.ladder[rung].rate * c.scale;
        let n = f64::from(n);
        if c.live && self.set.join < 1.0 && n > 0.0 {
            return rate * (1.0 + (n - 1.0) * self.set.join);
        }
        rate * n
    }

    /// Cost on a link of `n` such sessions: by rate, or by the streams they take if that is more.
    fn group_cost(&self, s: &Server, class: usize, rung: usize, n: u32) -> f64 {
        let streams = self.set.streams_by_kind.get(s.entry.kind).copied().unwrap_or(0.0);
        let c = &self.set.classes[class];
        let taken = if c.live && self.set.join < 1.0 { n.min(1) } else { n };
        let place = if streams > 0.0 { f64::from(taken) / streams } else { 0.0 };
        (self.group_rate(class, rung, n) / self.link_size(s).max(1e-9)).max(place)
    }

    /// Adds or takes a session to or from a server's groups, and works its page out anew.
    fn book(&mut self, server: ServerId, key: (TitleId, usize, usize), booked: i32, playing: i32) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        let group = s.groups.entry(key).or_default();
        group[0] = group[0].saturating_add_signed(booked);
        group[1] = group[1].saturating_add_signed(playing);
        if group[0] == 0 {
            s.groups.remove(&key);
        }
        self.reckon(server);
    }

    /// Moves a session's booking to another rung.
    fn rebook(&mut self, request: RequestId, rung: usize) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        let old = std::mem::replace(&mut s.rung, rung);
        let (title, class) = (s.call.title, s.call.class);
        let (server, playing) = match s.state {
            State::Waiting => return,
            State::Out(server) => (server, 0),
            State::Playing(server, _) => (server, 1),
        };
        self.book(server, (title, class, old), -1, -playing);
        self.book(server, (title, class, rung), 1, playing);
    }

    fn reckon(&mut self, server: ServerId) {
        let Some(s) = self.servers.get(&server) else { return };
        let mut cost = [0.0; 2];
        let mut rate = [0.0; 2];
        for ((_, class, rung), n) in &s.groups {
            for i in 0..2 {
                cost[i] += self.group_cost(s, *class, *rung, n[i]);
                rate[i] += self.group_rate(*class, *rung, n[i]);
            }
        }
        let (now, keep, rack) = (self.now, self.set.told_late + REPORT_AGE, self.rack_of(s.entry.cell));
        let s = self.servers.get_mut(&server).expect("looked up above");
        s.link.booked = cost[0];
        s.link.record(now, cost[1], keep);
        s.rate = rate;
        let Some(rack) = rack else { return };
        let mut sum = [0.0; 2];
        for s in self.servers.values().filter(|s| self.rack_of(s.entry.cell) == Some(rack)) {
            sum[0] += s.rate[0];
            sum[1] += s.rate[1];
        }
        let r = self.racks.entry(rack).or_default();
        r.meter.booked = sum[0] / r.uplink.max(1e-9);
        r.meter.record(now, sum[1] / r.uplink.max(1e-9), keep);
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
            for s in self.servers.values_mut() {
                s.entry.state = Listed::Gone;
            }
        }
        for e in entries {
            let (now, cold) = (self.now, self.set.rules.cold);
            let s = self.servers.entry(e.server).or_default();
            let restarted = e.started > s.entry.started;
            s.entry = *e;
            if e.started > Duration::ZERO && e.started + cold > now {
                s.cold_since = s.cold_since.max(Some(e.started));
            }
            if restarted {
                // A new start ends what was held against the old process.
                (s.lost, s.trial, s.fails, s.rest_until) = (false, false, 0, now);
            }
        }
        self.size_racks();
    }

    /// Uplinks: the told mean, given to the racks by the rated links of their cells.
    fn size_racks(&mut self) {
        let links = self.servers.iter().map(|(id, s)| (s.entry.cell, (self.rated_link(&s.entry), *id)));
        for (cell, link) in links.collect::<Vec<_>>() {
            if let Some(rack) = self.rack_of(cell) {
                self.racks.entry(rack).or_default().cells.insert(cell, link);
            }
        }
        let all: f64 = self.racks.values().flat_map(|r| r.cells.values()).map(|c| c.0).sum();
        let mean = all / self.racks.len().max(1) as f64;
        for r in self.racks.values_mut() {
            let own: f64 = r.cells.values().map(|c| c.0).sum();
            r.uplink = self.set.rack_uplink * if mean > 0.0 { own / mean } else { 1.0 };
        }
    }

    fn is_cold(&self, s: &Server) -> bool {
        s.lost || s.cold_since.is_some_and(|t| t + self.set.rules.cold > self.now)
    }

    /// Rule 4: whether a set-up now stays within the own share of a cold server's budget, taking it for
    /// no warmer than at its start. Where the share is under one set-up a window, they are spread out.
    fn cold_allows(&self, s: &Server) -> bool {
        if !self.is_cold(s) {
            return true;
        }
        let r = &self.set.rules;
        let streams = self.set.streams_by_kind.get(s.entry.kind).copied().unwrap_or(1.0);
        let per_s = r.fall_multiple * streams / secs(r.cold).max(1e-9) * r.cold_from;
        let share = per_s * secs(r.fall_span) / self.set.fronts.max(1) as f64;
        let window = secs(r.fall_span) / share.clamp(1e-9, 1.0);
        let recent = s.sends.iter().filter(|t| secs(self.now - **t) < window).count();
        ((recent + 1) as f64) <= share.max(1.0)
    }

    /// A set-up or stream failed there: the server rests, longer each time.
    fn failed(&mut self, server: ServerId, lost: bool, why: &str) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.trial = false;
        s.lost |= lost;
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
        s.trial = false;
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

    /// Whether a set-up of this request may go to that server at all.
    fn usable(&self, call: &Call, s: &Server) -> bool {
        let class = &self.set.classes[call.class];
        s.entry.state == Listed::Serving
            && self.holds(call, s)
            && s.rest_until <= self.now
            && (s.fails == 0 || (!s.trial && !class.at_most_once))
            && self.cold_allows(s)
    }

    /// The holder with the most room on link and uplink, and the highest rung that fits there.
    fn pick(&mut self, call: &Call) -> Option<(ServerId, usize)> {
        let class = self.set.classes.get(call.class)?;
        let top = call.top.min(class.top).min(self.set.ladder.len().checked_sub(1)?);
        if class.floor > top {
            return None;
        }
        let mut rooms = Vec::new();
        for (id, s) in self.servers.iter().filter(|(_, s)| self.usable(call, s)) {
            let (link, rack) = self.use_of(s);
            rooms.push((link.max(rack.0), *id, link, rack));
        }
        self.rng.shuffle(&mut rooms); // ties at random
        rooms.sort_by(|a, b| a.0.total_cmp(&b.0));
        rooms.into_iter().find_map(|(_, id, link, rack)| {
            let fits = |rung: &usize| self.fits(call, *rung, &self.servers[&id], link, rack, 1.0);
            (class.floor..=top).rev().find(fits).map(|rung| (id, rung))
        })
    }

    /// Whether a session more at that rung stays under its mark on the link and on the uplink.
    fn fits(&self, call: &Call, rung: usize, s: &Server, link: f64, rack: (f64, f64), times: f64) -> bool {
        let n = s.groups.get(&(call.title, call.class, rung)).map_or(0, |g| g[0]);
        let cost = self.group_cost(s, call.class, rung, n + 1) - self.group_cost(s, call.class, rung, n);
        let rate = self.group_rate(call.class, rung, n + 1) - self.group_rate(call.class, rung, n);
        let mark = self.marks[call.class][rung] * self.tenant_worth(call.tenant).powf(TENANT_POWER);
        link + times * cost <= mark && rack.0 + times * rate / rack.1 <= mark
    }

    /// Use of a server's link, and use and size of its rack's uplink.
    fn use_of(&self, s: &Server) -> (f64, (f64, f64)) {
        let rack = self.rack_of(s.entry.cell).and_then(|r| self.racks.get(&r));
        let rack = rack.map_or((0.0, f64::INFINITY), |r| (self.rack_used(r), self.uplink(r)));
        (s.link.used(self.now, self.others()), rack)
    }

    /// Adopted sessions get the rung that an admission would have given them: a predecessor or the set-up's
    /// default chose theirs. Once for each, on a reading of the link, and within the own part of the room,
    /// since every front hears of it in the same instant.
    fn raise(&mut self, server: ServerId) {
        let ids = self.sessions.iter().filter(|(_, s)| s.adopted && s.at() == Some(server));
        let mut ids: Vec<_> = ids.map(|(id, s)| (self.set.classes[s.call.class].worth, *id)).collect();
        ids.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in ids {
            let (s, at) = (&self.sessions[&id], &self.servers[&server]);
            let (call, old) = (s.call.clone(), s.rung);
            let top = call.top.min(self.set.classes[call.class].top).min(self.set.ladder.len() - 1);
            let (link, rack) = self.use_of(at);
            let own = (self.group_cost(at, call.class, old, 1), self.group_rate(call.class, old, 1) / rack.1);
            let fronts = self.others() + 1.0;
            let base = (link - own.0 * fronts, (rack.0 - own.1 * fronts, rack.1));
            let fits = |rung: &usize| self.fits(&call, *rung, at, base.0, base.1, fronts);
            let Some(rung) = (old + 1..=top).rev().find(fits) else { continue };
            self.sessions.get_mut(&id).expect("listed above").adopted = false;
            self.set_rung(id, rung);
        }
    }

    /// Expected worth of a tenant's next session, beside that of the best tenant's: traffic past a share is
    /// worth little, but room is not kept for what does not come.
    fn tenant_worth(&self, tenant: Option<usize>) -> f64 {
        let worth = |i: usize| {
            let quota = self.set.tenants[i].quota / self.set.fronts.max(1) as f64;
            let within = if quota > 0.0 { (quota / self.traffic[i].0.max(1e-9)).min(1.0) } else { 1.0 };
            within + (1.0 - within) * self.set.over_share_worth
        };
        let best =
            (0..self.traffic.len()).filter(|i| self.traffic[*i].0 > 0.0).map(worth).fold(0.0, f64::max);
        tenant.map_or(1.0, |i| (worth(i) / best.max(1e-9)).min(1.0))
    }

    fn take(&mut self, call: &Call) -> bool {
        if self.sessions.contains_key(&call.request) {
            return false;
        }
        self.taken.push_back(self.now);
        let mut call = call.clone();
        if call.tenant.is_some_and(|t| t >= self.set.tenants.len()) {
            call.tenant = None;
        }
        if let (Some(i), false) = (call.tenant, call.again) {
            let (rate, since) = self.traffic[i];
            let left = rate * (-secs(self.now - since) / TENANT_SPAN).exp();
            self.traffic[i] = (left + 1.0 / TENANT_SPAN, self.now);
        }
        self.sessions.insert(call.request, Session { call, ..Session::default() });
        true
    }

    fn place(&mut self, request: RequestId) {
        let Some(s) = self.sessions.get(&request) else { return };
        if s.state != State::Waiting || s.over {
            return;
        }
        let call = s.call.clone();
        let (seats, key) =
            (self.set.classes.get(call.class).map_or(0, |c| c.seats), (call.title, call.class));
        // Rule 5: seats count adopted sessions and those in set-up.
        let seated = seats == 0 || self.seats.get(&key).copied().unwrap_or(0) < seats;
        match if seated { self.pick(&call) } else { None } {
            Some((server, rung)) => self.send(request, server, rung),
            None => self.answer(request),
        }
    }

    /// The one place that sends. What rules 1 to 5 ask is checked by `usable`, `place` and here.
    fn send(&mut self, request: RequestId, server: ServerId, rung: usize) {
        let further = self.ration_allows();
        let cold = self.servers.get(&server).is_some_and(|s| self.is_cold(s));
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
        let key = (s.call.title, s.call.class, rung);
        *self.seats.entry((key.0, key.1)).or_default() += 1;
        self.set_rung(request, rung);
        self.sessions.get_mut(&request).expect("looked up above").state = State::Out(server);
        self.out.push(Action::Send(request, server, within));
        self.book(server, key, 1, 0);
        let now = self.now;
        let s = self.servers.get_mut(&server).expect("picked among them");
        s.trial = s.fails > 0;
        if cold {
            s.sends.push_back(now);
            while s.sends.len() > 64 {
                s.sends.pop_front();
            }
        }
    }

    /// Rule 6: whether one more further attempt is within the ration.
    fn ration_allows(&mut self) -> bool {
        let Some(r) = self.set.rules.ration else { return true };
        for list in [&mut self.taken, &mut self.extra] {
            while list.front().is_some_and(|t| *t + r.span <= self.now) {
                list.pop_front();
            }
        }
        (self.extra.len() + 1) as f64 <= r.free + r.share * self.taken.len() as f64
    }

    /// The one place that sets rungs: never above what the viewer and the class allow nor below the floor.
    fn set_rung(&mut self, request: RequestId, rung: usize) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        let class = &self.set.classes[s.call.class];
        if rung < class.floor || rung > class.top || rung > s.call.top || rung >= self.set.ladder.len() {
            return;
        }
        self.rebook(request, rung);
        self.out.push(Action::Rung(request, rung));
    }

    /// The one place that gives final answers: a refusal where no harm can have been done, else a failure.
    fn answer(&mut self, request: RequestId) {
        let Some(s) = self.sessions.remove(&request) else { return };
        if s.over {
            return;
        }
        if s.ran && self.set.classes[s.call.class].at_most_once {
            self.out.push(Action::Fail(request));
        } else {
            self.out.push(Action::Refuse(request, self.set.limits.hold_off));
        }
    }

    // ---- Outcomes and news ----

    fn adopt(&mut self, call: &Call, server: ServerId) {
        if !self.servers.contains_key(&server) || call.class >= self.set.classes.len() {
            return;
        }
        let rung = self.set.classes[call.class].floor.min(self.set.ladder.len().saturating_sub(1));
        if self.set.ladder.is_empty() {
            return;
        }
        let (call, state) = (call.clone(), State::Playing(server, self.now));
        let (title, class, request) = (call.title, call.class, call.request);
        let session =
            Session { call, state, rung, attempts: 1, over: true, adopted: true, ..Session::default() };
        *self.seats.entry((title, class)).or_default() += 1;
        self.sessions.insert(request, session);
        self.book(server, (title, class, rung), 1, 1);
    }

    fn playing(&mut self, request: RequestId, server: ServerId) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        if s.state != State::Out(server) {
            return;
        }
        s.state = State::Playing(server, self.now);
        s.over = true;
        let key = (s.call.title, s.call.class, s.rung);
        self.book(server, key, 0, 1);
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
        let played = matches!(s.state, State::Playing(..));
        if attempt + 1 != s.attempts || s.state == State::Waiting {
            return;
        }
        s.state = State::Waiting;
        s.ran |= !outcome.never_ran();
        s.over |= closed;
        let (key, over) = ((s.call.title, s.call.class, s.rung), s.over);
        if let Some(n) = self.seats.get_mut(&(key.0, key.1)) {
            *n = n.saturating_sub(1);
        }
        self.book(server, key, -1, -i32::from(played));
        // One late answer may be a jam; a second before anything worked is silence.
        let silent = self.servers.get(&server).is_some_and(|s| s.fails > 0);
        match outcome {
            Outcome::Error => self.failed(server, false, "errors"),
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

    /// A reading, of a note of that age or (none) one that came along with an outcome.
    fn report(&mut self, server: ServerId, noted: Option<Duration>, report: Report) {
        let age = noted.unwrap_or(REPORT_AGE);
        let (now, round) = (self.now, self.set.told_every + self.set.told_late);
        let Some(s) = self.servers.get_mut(&server) else { return };
        let cell = s.entry.cell;
        if let Some(x) = report.link {
            // Many noisy readings would let the lowest decide: only where the regular notes stay out.
            if noted.is_some() || s.noted + round * 2 < now {
                self.read.push(server);
                s.noted = now;
            }
            s.link.read(now, age, x, round);
        }
        if let (Some(x), Some(rack)) = (report.rack, self.rack_of(cell)) {
            self.racks.entry(rack).or_default().meter.read(now, age, x, round);
        }
    }

    fn note(&mut self, request: RequestId, server: ServerId, note: Note) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        // At set-up a reading is of about now; later ones are late.
        let young = matches!(s.state, State::Playing(_, t) if self.now - t < self.set.told_late);
        let age = if young { Duration::ZERO } else { self.set.told_late };
        match note {
            Note::Rung(rung) if rung < self.set.ladder.len() => self.rebook(request, rung),
            Note::Rung(_) => {}
            Note::Link(x) => self.report(server, Some(age), Report { link: Some(x), rack: None }),
            Note::Rack(x) => self.report(server, Some(age), Report { link: None, rack: Some(x) }),
            Note::Share(share) => self.share(server, share),
        }
    }

    /// Sessions there got this share of their rates.
    fn share(&mut self, server: ServerId, share: f64) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.share = Some((now, share));
        if share >= SHORT {
            s.short_since = None;
            return;
        }
        let since = *s.short_since.get_or_insert(now);
        let cell = s.entry.cell;
        let link = s.link.told.unwrap_or(0.0);
        let rack = self.rack_of(cell).filter(|r| self.rack_short(*r, link));
        if let Some(r) = rack.and_then(|r| self.racks.get(&r)).filter(|r| r.meter.told.is_none()) {
            // Uplinks differ from the told mean. Where they are not read, what was asked and the share of it
            // that came tell the size. Also catches one that sags; errs if the links' readings are old.
            let size = self.rack_asked(r) * share;
            let part = (1.0 - size / r.uplink.max(1e-9)).clamp(0.0, 0.9).max(r.missing.at(now));
            let missing = Fading(part, now);
            self.racks.get_mut(&rack.expect("just read")).expect("just read").missing = missing;
        }
        let meter = match rack {
            Some(r) => &mut self.racks.entry(r).or_default().meter,
            None => &mut self.servers.get_mut(&server).expect("looked up above").link,
        };
        meter.fill(now);
        // Notes are late and all servers of a rack send them: what was done shows only after a while.
        if since + NOTE_GAP / 2 < now && meter.stepped + NOTE_GAP + self.set.told_late <= now {
            meter.stepped = now;
            self.step_down(server, rack, share);
        }
    }

    /// Whether it is the rack that is short: then every server there with own sessions is.
    ///
    /// Guards against one sick server (silent, slow, flapping link) that makes its rack look full, by
    /// which the front would refuse half its fleet. It errs while only one server there is in use.
    fn rack_short(&self, rack: u64, link: f64) -> bool {
        let told = self.racks.get(&rack).and_then(|r| r.meter.told);
        let (mut short, mut fine) = (0, 0);
        for s in self.servers.values().filter(|s| self.rack_of(s.entry.cell) == Some(rack)) {
            let in_use = s.rate[1] > 0.0 && s.link.own_at(self.now.saturating_sub(self.set.told_late)) > 0.0;
            match s.share {
                Some((t, share)) if share < SHORT && t + NOTE_GAP * 2 > self.now => short += 1,
                _ if in_use => fine += 1,
                _ => {}
            }
        }
        told.map_or(short > 1 && link < 1.0, |x| x > link) && short > fine * 4
    }

    /// A link that stays short: the own sessions there free what they take too much, those first that
    /// lose least worth for each kB, each one rung and at most once in `STEP_GAP`.
    fn step_down(&mut self, server: ServerId, rack: Option<u64>, share: f64) {
        let now = self.now;
        let there = |id: ServerId| match rack {
            Some(r) => self.servers.get(&id).is_some_and(|s| self.rack_of(s.entry.cell) == Some(r)),
            None => id == server,
        };
        let mut asked = 0.0;
        let mut steps = Vec::new();
        for (id, s) in &self.sessions {
            let State::Playing(at, _) = s.state else { continue };
            if !there(at) {
                continue;
            }
            let class = &self.set.classes[s.call.class];
            let rate = |rung: usize| self.set.ladder[rung].rate * class.scale;
            asked += rate(s.rung);
            if s.rung > class.floor && s.stepped.is_none_or(|t| t + STEP_GAP <= now) {
                let (from, to) = (self.set.ladder[s.rung], self.set.ladder[s.rung - 1]);
                let freed = rate(s.rung) - rate(s.rung - 1);
                let loss = class.worth * (from.worth - to.worth) / freed.max(1e-9);
                steps.push((loss, *id, freed));
            }
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut excess = asked * (1.0 - share);
        for (_, id, freed) in steps {
            if excess <= 0.0 {
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
    /// The server that it plays at.
    fn at(&self) -> Option<ServerId> {
        match self.state {
            State::Playing(server, _) => Some(server),
            _ => None,
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
        let density = (rung.worth - below.worth) / (rung.rate - below.rate).max(1e-9);
        best = best.max(density);
        let part = if best > 0.0 { (density / best).clamp(0.0, 1.0) } else { 1.0 };
        marks.push(MARK * part.powf(STEP_POWER));
    }
    marks
}
