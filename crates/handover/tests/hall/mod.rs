//! A fleet in virtual time: fronts that hand their sessions on over wires that lose, double, hold back and are cut.

mod ends;
mod wires;

use cloverhollow_handover::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

pub use ends::{Ends, Report};
pub use wires::{Cut, Wires};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn id(i: usize) -> FrontId {
    FrontId(i as u64 + 1)
}

#[derive(Clone, Debug)]
pub enum Says {
    ToTaker(ToTaker),
    ToGiver(ToGiver),
}

#[derive(Clone, Debug)]
pub enum Ev {
    Msg {
        from: usize,
        to: usize,
        key: u64,
        says: Says,
    },
    /// A word reaches its receiver, on that front's connection.
    Say {
        from: usize,
        key: u64,
        say: Say,
    },
    /// Something reaches a front from outside.
    Here {
        at: usize,
        key: u64,
        input: Input,
    },
    /// The viewer's connection comes to that front.
    Viewer {
        at: usize,
        key: u64,
    },
    Tick {
        at: usize,
    },
    Word {
        key: u64,
        n: u8,
    },
    Object {
        key: u64,
        n: u64,
    },
    /// The set-up was answered.
    SetUp {
        key: u64,
    },
    Kill {
        at: usize,
    },
    Stall {
        at: usize,
        for_ms: u64,
    },
    Heard {
        at: usize,
        of: usize,
        sure: bool,
    },
    Leave {
        at: usize,
    },
}

/// One process.
pub struct Front {
    pub up: bool,
    pub until: Option<Duration>,
    pub sides: BTreeMap<u64, Side>,
    pub stream: Stream,
    pub leaving: bool,
    pub room: usize,
    pub held_since: BTreeMap<u64, (Epoch, Duration)>,
}

/// All of them.
pub struct Fleet {
    pub now: Duration,
    pub queue: BTreeMap<(Duration, u64), Ev>,
    seq: u64,
    pub rng: ChaCha8Rng,
    pub fronts: Vec<Front>,
    pub wires: Wires,
    pub ends: BTreeMap<u64, Ends>,
    pub switched: BTreeMap<u64, Duration>,
    pub report: Report,
    /// What stood at a front that stands still.
    stood: BTreeMap<usize, VecDeque<Ev>>,
    /// Kill whoever first reaches that stage (by `stage_name`), and its like.
    pub traps: Vec<(&'static str, Trap)>,
}

#[derive(Clone, Copy, Debug)]
pub enum Trap {
    KillGiver,
    KillTaker,
    KillBoth,
    StallGiver(u64),
    StallTaker(u64),
}

pub fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Settled => "settled",
        Stage::Offering { .. } => "offering",
        Stage::Held { .. } => "held",
        Stage::Switched { .. } => "switched",
        Stage::GaveUp { .. } => "gave up",
        Stage::Closed { .. } => "closed",
        Stage::Over => "over",
    }
}

impl Fleet {
    pub fn new(fronts: usize, room: usize, wires: Wires, rng: ChaCha8Rng) -> Fleet {
        let limits = Limits::default();
        let front = |_| Front {
            up: true,
            until: None,
            sides: BTreeMap::new(),
            stream: Stream::new(limits),
            leaving: false,
            room,
            held_since: BTreeMap::new(),
        };
        let mut f = Fleet {
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            seq: 0,
            rng,
            fronts: (0..fronts).map(front).collect(),
            wires,
            ends: BTreeMap::new(),
            switched: BTreeMap::new(),
            report: Report::default(),
            stood: BTreeMap::new(),
            traps: vec![],
        };
        for at in 0..fronts {
            f.at(ms(at as u64 % 50), Ev::Tick { at });
        }
        f
    }

    pub fn at(&mut self, when: Duration, ev: Ev) {
        self.seq += 1;
        self.queue.insert((when, self.seq), ev);
    }

    pub fn after(&mut self, wait: u64, ev: Ev) {
        self.at(self.now + ms(wait), ev);
    }

    pub fn owner(&self, key: u64) -> Option<usize> {
        self.fronts.iter().position(|f| f.up && f.sides.get(&key).is_some_and(Side::acts))
    }

    pub fn run(&mut self, until: Duration) {
        while let Some(((when, _), ev)) = self.queue.pop_first() {
            if when > until {
                break;
            }
            self.now = when;
            self.happens(ev);
        }
    }

    fn happens(&mut self, ev: Ev) {
        let at = match &ev {
            Ev::Msg { to: at, .. } | Ev::Here { at, .. } | Ev::Tick { at } | Ev::Heard { at, .. } => {
                Some(*at)
            }
            Ev::Leave { at } => Some(*at),
            _ => None,
        };
        if let Some(at) = at {
            if !self.fronts[at].up {
                return;
            }
            // It stands still: what comes waits for it.
            if self.fronts[at].until.is_some_and(|u| u > self.now) {
                if matches!(ev, Ev::Tick { .. }) {
                    let wake = self.fronts[at].until.unwrap_or_default();
                    self.at(wake, ev);
                } else {
                    self.stood.entry(at).or_default().push_back(ev);
                }
                return;
            }
            for late in self.stood.remove(&at).into_iter().flatten() {
                self.acts(late);
            }
        }
        self.acts(ev);
    }

    fn acts(&mut self, ev: Ev) {
        match ev {
            Ev::Msg { from, to, key, says } => self.message(from, to, key, says),
            Ev::Here { at, key, input } => self.here(at, key, input),
            Ev::Tick { at } => self.tick(at),
            Ev::Heard { at, of, sure } => {
                let front = id(of);
                let input = if sure { Input::Died { front } } else { Input::Suspected { front } };
                for key in self.fronts[at].sides.keys().copied().collect::<Vec<_>>() {
                    self.here(at, key, input.clone());
                }
            }
            Ev::Leave { at } => self.leave(at),
            Ev::Kill { at } => self.kill(at),
            Ev::Stall { at, for_ms } => self.stall(at, for_ms),
            Ev::Say { from, key, say } => self.say(from, key, say),
            Ev::Viewer { at, key } => self.viewer(at, key),
            Ev::Word { key, n } => self.word(key, n),
            Ev::Object { key, n } => self.object(key, n),
            Ev::SetUp { key } => self.set_up(key),
        }
    }

    fn message(&mut self, from: usize, to: usize, key: u64, says: Says) {
        match says {
            Says::ToGiver(answer) => self.here(to, key, Input::Answered { from: id(from), answer }),
            Says::ToTaker(says) => {
                let f = &mut self.fronts[to];
                let used = f.sides.values().filter(|s| counted(s).is_some()).count();
                let room = match (f.leaving, used >= f.room) {
                    (true, _) => Err(WhyNot::GoingOut),
                    (_, true) => Err(WhyNot::Full),
                    _ => Ok(()),
                };
                let side = f.sides.entry(key).or_insert_with(|| Side::empty(id(to)));
                let acts = side.step(Event::Giver { from: id(from), says, room });
                self.done(to, key, acts);
            }
        }
    }

    pub fn here(&mut self, at: usize, key: u64, input: Input) {
        let side = self.fronts[at].sides.entry(key).or_insert_with(|| Side::empty(id(at)));
        let acts = side.step(Event::Here(input));
        self.done(at, key, acts);
    }

    pub fn done(&mut self, at: usize, key: u64, acts: Vec<Act>) {
        let why = acts.iter().find_map(|a| match a {
            Act::Do(Output::Stayed(_, why)) => *why,
            _ => None,
        });
        for act in acts {
            self.act(at, key, act);
        }
        let Some(side) = self.fronts[at].sides.get(&key) else { return };
        assert_eq!(side.check(), Ok(()), "front {at}, session {key}");
        let held = side.taker().held().map(|(_, e)| e);
        let stage = side.giver().map(Giver::stage);
        match held {
            None => self.fronts[at].held_since.remove(&key),
            Some(e) => match self.fronts[at].held_since.get(&key) {
                Some((known, _)) if *known == e => None,
                _ => self.fronts[at].held_since.insert(key, (e, self.now)),
            },
        };
        let now = self.now;
        if let Some(stage) = stage {
            self.fronts[at].stream.saw(Key(key), stage, why, now);
            assert_eq!(self.fronts[at].stream.check(), Ok(()));
            if let Stage::Switched { .. } = stage {
                self.switched.entry(key).or_insert(now);
            }
            self.trap(at, stage);
        }
        self.check(key);
    }

    fn trap(&mut self, at: usize, stage: Stage) {
        let (Stage::Offering { to, .. } | Stage::Held { to, .. } | Stage::Switched { to, .. }) = stage else {
            return;
        };
        let Some(i) = self.traps.iter().position(|(name, _)| *name == stage_name(stage)) else { return };
        let (_, trap) = self.traps.remove(i);
        let to = to.0 as usize - 1;
        match trap {
            Trap::KillGiver => self.after(0, Ev::Kill { at }),
            Trap::KillTaker => self.after(0, Ev::Kill { at: to }),
            Trap::KillBoth => [at, to].into_iter().for_each(|at| self.after(0, Ev::Kill { at })),
            Trap::StallGiver(for_ms) => self.after(0, Ev::Stall { at, for_ms }),
            Trap::StallTaker(for_ms) => self.after(0, Ev::Stall { at: to, for_ms }),
        }
    }

    /// One acts at a time, and who lives counts what is live.
    fn check(&self, key: u64) {
        let up = || self.fronts.iter().filter(|f| f.up).filter_map(|f| f.sides.get(&key));
        assert!(up().filter(|s| s.acts()).count() <= 1, "two act for {key}");
        let whole = self.ends.get(&key).is_some_and(|e| !e.lost && !e.over);
        assert!(!whole || up().any(|s| counted(s).is_some()), "{key} is counted nowhere");
    }

    pub fn send(&mut self, from: usize, to: usize, key: u64, says: Says) {
        self.report.messages += 1;
        self.report.bytes += match &says {
            Says::ToTaker(s) => postcard::to_allocvec(s).map_or(0, |b| b.len()),
            Says::ToGiver(s) => postcard::to_allocvec(s).map_or(0, |b| b.len()),
        };
        let copies = self.wires.copies(from, to, self.now, &mut self.rng);
        for late in copies {
            self.after(late, Ev::Msg { from, to, key, says: says.clone() });
        }
    }

    /// Where sessions may go: halls in a row, the next one first.
    pub fn tries(&self, from: usize, key: u64) -> Vec<FrontId> {
        let halls = 3;
        let own = (from % halls) as u16;
        let order = [(own + 1) % 3, (own + 2) % 3, own];
        let none = BTreeSet::new();
        let need = Need { sid: &key.to_string(), halls: &order, no_way: &none, me: id(from) };
        let seen = |(i, f): (usize, &Front)| Neighbour {
            front: id(i),
            hall: (i % halls) as u16,
            there: f.up,
            going_out: f.leaving && i % 2 == 0,
            room: f.room as u32,
        };
        choose(&need, &self.fronts.iter().enumerate().map(seen).collect::<Vec<_>>())
    }

    pub fn drawn(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }
}
