//! A fleet in virtual time: fronts that hand their sessions on over wires that lose, double, hold back and are cut.

mod clock;
mod ends;
mod events;
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
    pub stood: BTreeMap<usize, VecDeque<Ev>>,
    /// What befalls who sees a session in that stage (by `stage_name`) for the n-th time.
    pub traps: Vec<(&'static str, u32, Trap)>,
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
