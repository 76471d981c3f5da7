//! One front's knowledge: what it observed itself, and what it heard.

use crate::facts::*;
use crate::wire::{Message, WireFacts};
use crate::Level;
use imbl::OrdMap;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most servers in a book. Past them nothing new is taken in.
pub const MOST_SERVERS: usize = 65_536;
/// Most peers' addresses that are passed on.
pub const MOST_PEERS: usize = 64;
/// Over so many fronts a piece may come; further it is not passed on.
pub const MOST_HOPS: u8 = 3;
/// Oldest age that a message may tell, ms: a day. What is older is no observation but a fault.
const OLDEST_MS: u32 = 86_400_000;

/// Why a message is not merged. Nothing of it is then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum MergeError {
    #[error("of another fleet")]
    Fleet,
    #[error("not the answer to what was asked: a replay")]
    Nonce,
    #[error("its own")]
    Own,
    #[error("older than one that was merged from the same sender")]
    Old,
    #[error("an observer's later observation is told as older than its earlier one")]
    Ages,
    #[error("more than {MOST_SERVERS} servers")]
    TooMany,
    #[error("an age, a reading or a count that cannot be")]
    Range,
}

/// What a merge brought of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Learned {
    /// The server.
    pub server: u64,
    /// What is now heard of it, and not better known by the front itself.
    pub facts: Facts,
}

/// What a merge brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Merged {
    /// Servers of which something new was heard.
    pub learned: Vec<Learned>,
    /// Peers that the sender knows.
    pub peers: Vec<SocketAddr>,
}

/// A snapshot of a book: taken in constant time, read without blocking its owner.
#[derive(Clone, Debug)]
pub struct BookView {
    me: Observer,
    fleet: u64,
    horizon: Duration,
    seq: u64,
    own: OrdMap<u64, Facts>,
    heard: OrdMap<u64, Facts>,
    changed: OrdMap<u64, u64>,
}

/// The book itself.
#[derive(Debug)]
pub struct Book {
    view: BookView,
    /// Last message merged of each sender.
    senders: BTreeMap<Observer, u64>,
}

impl Book {
    /// An empty book. `horizon`: what is older says nothing any more.
    pub fn new(me: Observer, fleet: u64, horizon: Duration) -> Self {
        let (own, heard, changed) = (OrdMap::new(), OrdMap::new(), OrdMap::new());
        Book { view: BookView { me, fleet, horizon, seq: 0, own, heard, changed }, senders: BTreeMap::new() }
    }

    /// A snapshot.
    pub fn view(&self) -> BookView {
        self.view.clone()
    }

    fn observe(&mut self, now: Duration, server: u64, put: impl FnOnce(&mut Facts, Seen) -> bool) {
        let v = &mut self.view;
        let mut facts = v.own.get(&server).copied().unwrap_or_default();
        if !v.own.contains_key(&server) && v.own.len() >= MOST_SERVERS {
            return;
        }
        let seen = Seen { at: now, origin: Origin { observer: v.me, seq: v.seq + 1 }, hops: 0 };
        if put(&mut facts, seen) {
            v.seq += 1;
            v.own.insert(server, facts);
            v.changed.insert(server, v.seq);
        }
    }

    /// The own list told a state.
    pub fn listed(&mut self, now: Duration, server: u64, state: State) {
        self.observe(now, server, |f, seen| join(&mut f.state, Some(Piece { fact: state, seen })));
    }

    /// The own list told a start. A new process's health and load are not the old one's.
    pub fn started(&mut self, now: Duration, server: u64, start: Start) {
        self.observe(now, server, |f, seen| {
            let known = f.start.map(|s| s.fact.incarnation);
            if known.is_some_and(|k| k >= start.incarnation) {
                return false; // told again, some milliseconds off
            }
            if known.is_some() {
                (f.health, f.link, f.short) = (None, None, None);
            }
            join(&mut f.start, Some(Piece { fact: start, seen }))
        });
    }

    /// The front's own attempt there worked, or failed; `lost`: in a way that may mean a restart.
    pub fn behaved(&mut self, now: Duration, server: u64, worked: bool, lost: bool) {
        self.observe(now, server, |f, seen| {
            let incarnation = f.start.map_or(0, |s| s.fact.incarnation);
            let failures =
                f.health.filter(|h| h.fact.incarnation == incarnation).map_or(0, |h| h.fact.failures);
            if worked && failures == 0 && f.health.is_some_and(|h| h.seen.age(now) < FRESH) {
                return false; // the usual: not worth a change each time
            }
            let failures = if worked { 0 } else { failures.saturating_add(1) };
            let health = Health { incarnation, failures, lost: lost && !worked };
            join(&mut f.health, Some(Piece { fact: health, seen }))
        });
    }

    /// An answer told the load.
    pub fn read(
        &mut self,
        now: Duration,
        server: u64,
        link: Option<f64>,
        rack: Option<f64>,
        share: Option<f64>,
    ) {
        self.observe(now, server, |f, seen| {
            let piece = |share: Option<f64>| share.map(|s| Piece { fact: Reading::of(s), seen });
            let (a, b) = (join(&mut f.link, piece(link)), join(&mut f.rack, piece(rack)));
            join(&mut f.short, piece(share)) || a || b
        });
    }

    /// Merges a peer's message. `sent_at`: when the question went out, on this front's clock; ages count from
    /// then, so that nothing looks younger than it is. `nonce`: what was asked with.
    ///
    /// # Errors
    /// It cannot be trusted; nothing of it is merged.
    pub fn merge(
        &mut self,
        now: Duration,
        sent_at: Duration,
        nonce: u64,
        m: &Message,
    ) -> Result<Merged, MergeError> {
        if m.fleet != self.view.fleet {
            return Err(MergeError::Fleet);
        }
        if m.nonce != nonce {
            return Err(MergeError::Nonce);
        }
        if m.sender.instance == self.view.me.instance {
            return Err(MergeError::Own);
        }
        if m.servers.len() > MOST_SERVERS || m.peers.len() > MOST_PEERS {
            return Err(MergeError::TooMany);
        }
        if self.senders.get(&m.sender).is_some_and(|seq| m.seq < *seq) {
            return Err(MergeError::Old);
        }
        check(m)?;
        self.senders.insert(m.sender, m.seq);
        if self.senders.len() > MOST_SERVERS {
            self.senders.pop_first();
        }
        let mut out = Merged { peers: m.peers.clone(), ..Merged::default() };
        for (server, wire) in &m.servers {
            let told = wire.facts(sent_at);
            let told = own_left_out(&told, self.view.me.instance).within(now, self.view.horizon);
            if let Some(facts) = self.hear(now, *server, &told) {
                out.learned.push(Learned { server: *server, facts });
            }
        }
        Ok(out)
    }

    fn hear(&mut self, now: Duration, server: u64, told: &Facts) -> Option<Facts> {
        let v = &mut self.view;
        let known = v.heard.get(&server).copied();
        if known.is_none() && v.heard.len() >= MOST_SERVERS {
            return None;
        }
        let mut heard = known.unwrap_or_default();
        if !heard.join(told) {
            return None;
        }
        v.seq += 1;
        v.heard.insert(server, heard);
        v.changed.insert(server, v.seq);
        let better = self.view.better(now, server);
        (better != Facts::default()).then_some(better)
    }

    /// What is heard of a server and not better known by the front itself.
    pub fn heard(&self, now: Duration, server: u64) -> Facts {
        self.view.better(now, server)
    }

    /// Servers of which something was heard.
    pub fn heard_of(&self) -> Vec<u64> {
        self.view.heard.keys().copied().collect()
    }

    /// Drops what is past the horizon; a piece that came from elsewhere never outlives its origin.
    pub fn forget_old(&mut self, now: Duration) {
        let horizon = self.view.horizon;
        let v = &mut self.view;
        let kept = v.heard.iter().filter_map(|(server, f)| {
            let mut f = f.within(now, horizon);
            f.state = f.state.filter(|p| p.seen.age(now) < horizon);
            f.start = f.start.filter(|p| p.seen.age(now) < horizon);
            (f != Facts::default()).then_some((*server, f))
        });
        v.heard = kept.collect();
    }
}

/// A working server's health is told anew at most so often.
const FRESH: Duration = Duration::from_secs(1);

/// What others say that this very front once saw is no second witness.
fn own_left_out(f: &Facts, me: u64) -> Facts {
    fn other<T: Copy>(p: Option<Piece<T>>, me: u64) -> Option<Piece<T>> {
        p.filter(|p| p.seen.origin.observer.instance != me)
    }
    Facts {
        // Its own list of before a restart is its last list, which it has.
        state: other(f.state, me),
        start: f.start,
        health: other(f.health, me),
        link: other(f.link, me),
        rack: other(f.rack, me),
        short: other(f.short, me),
    }
}

/// Ranges, and that each observer's later observations are the younger ones: the cheapest lie on ages.
fn check(m: &Message) -> Result<(), MergeError> {
    let mut told: BTreeMap<Observer, Vec<(u64, u32)>> = BTreeMap::new();
    for (_, wire) in &m.servers {
        for (origin, age, hops) in wire.observations() {
            if age > OLDEST_MS || hops > MOST_HOPS {
                return Err(MergeError::Range);
            }
            told.entry(origin.observer).or_default().push((origin.seq, age));
        }
        if wire.readings().any(|r| r.0 > 1_000_000) {
            return Err(MergeError::Range);
        }
    }
    for mut all in told.into_values() {
        all.sort_unstable();
        if all.windows(2).any(|w| w[0].0 < w[1].0 && w[1].1 > w[0].1.saturating_add(AGE_GRAIN_MS)) {
            return Err(MergeError::Ages);
        }
    }
    Ok(())
}

/// Ages of pieces that came over different ways differ by the ways' lengths.
const AGE_GRAIN_MS: u32 = 2_000;

impl BookView {
    /// What is heard of a server, without what the front knows as well or better itself. What it heard
    /// itself goes before all; a newer word on a drain or a start goes before its own older one.
    fn better(&self, now: Duration, server: u64) -> Facts {
        let Some(heard) = self.heard.get(&server) else { return Facts::default() };
        let heard = heard.within(now, self.horizon);
        let own = self.own.get(&server).copied().unwrap_or_default().within(now, self.horizon);
        let newer = |h: &Piece<State>| own.state.is_none_or(|o| h.fact.version > o.fact.version);
        let later = |h: &Piece<Start>| own.start.is_none_or(|o| h.fact.incarnation > o.fact.incarnation);
        let current = own.start.or(heard.start).map(|s| s.fact.incarnation);
        Facts {
            state: heard.state.filter(newer),
            start: heard.start.filter(later),
            health: heard
                .health
                .filter(|h| own.health.is_none() && current.is_none_or(|i| h.fact.incarnation >= i)),
            link: heard.link.filter(|_| own.link.is_none()),
            rack: heard.rack.filter(|_| own.rack.is_none()),
            short: heard.short.filter(|_| own.short.is_none()),
        }
    }

    /// Number of the last change: what to ask the next delta after.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// How many servers something is known of.
    pub fn servers(&self) -> usize {
        self.own.len().max(self.heard.len())
    }

    /// A message for a peer: all, or what changed after that number. Pieces past the horizon and those that
    /// came too far are left out; each one that was heard has come one front further.
    pub fn message(
        &self,
        now: Duration,
        nonce: u64,
        after: Option<u64>,
        level: Level,
        peers: Vec<SocketAddr>,
    ) -> Message {
        let mut servers = Vec::new();
        let ids = self.changed.iter().filter(|(_, seq)| after.is_none_or(|a| **seq > a));
        for (server, _) in ids {
            let mut facts = self.own.get(server).copied().unwrap_or_default();
            if let Some(heard) = self.heard.get(server) {
                facts.join(heard);
            }
            let wire = WireFacts::of(&facts.within(now, self.horizon), now);
            if wire != WireFacts::default() {
                servers.push((*server, wire));
            }
        }
        Message { fleet: self.fleet, nonce, sender: self.me, seq: self.seq, after, level, peers, servers }
    }
}
