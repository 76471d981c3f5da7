//! One session between some fronts and a viewer, and all that may happen to it.

mod acts;

use cloverhollow_handover::*;
use std::collections::{BTreeMap, BTreeSet};

pub fn front(i: usize) -> FrontId {
    FrontId(i as u64 + 1)
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Says {
    ToTaker(ToTaker),
    ToGiver(ToGiver),
}

/// What may happen at most so often.
pub struct World {
    pub fronts: usize,
    pub hands: u8,
    pub words: u8,
    pub kills: u8,
    pub timeouts: u8,
    pub refusals: u8,
    pub gone: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Whether it lives beside it.
    pub sides: Vec<(Side, bool)>,
    pub net: BTreeSet<(usize, usize, Says)>,
    pub says: BTreeSet<Say>,
    pub ear: Ear,
    pub taken: Vec<(Nth, Saying)>,
    pub given: BTreeMap<Nth, Saying>,
    pub heard: BTreeSet<Nth>,
    pub dead: BTreeSet<usize>,
    pub was_at: BTreeSet<FrontId>,
    pub refused: BTreeSet<FrontId>,
    pub top: Epoch,
    pub hands: u8,
    pub words: u8,
    pub kills: u8,
    pub timeouts: u8,
    pub refusals: u8,
    pub fell: bool,
    pub twice: bool,
    pub gone: bool,
    pub gave_up: bool,
    pub resumed: bool,
    /// Whoever acted for it, or would have gone on with it, has died.
    pub owner_died: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Happens {
    HandOn(usize, usize),
    Word(usize),
    Arrives(usize, usize, Says, bool),
    Take(Say),
    Confirmed(usize, Nth),
    TimedOut(usize, Epoch),
    Suspected(usize, usize),
    Dies(usize),
    Heard(usize, usize),
    Gone(usize),
}

fn channel() -> Channel {
    let live = Live { attempt: Attempt::Ran { server: 7 }, server: Some(7), ..Live::default() };
    let (sid, words, heard) = ("s".into(), vec![], vec![]);
    let (generation, last) = (Generation(1), Nth(0));
    Channel { sid, class: 0, title: 0, tenant: None, paid: true, live, words, heard, last, generation }
}

impl State {
    pub fn begin(fronts: usize) -> State {
        let side = |i| match i {
            0 => Side::began(front(0), channel(), Epoch(0)).expect("within its bounds"),
            _ => Side::empty(front(i)),
        };
        let mut s = State {
            sides: (0..fronts).map(|i| (side(i), true)).collect(),
            net: BTreeSet::new(),
            says: BTreeSet::new(),
            ear: Ear::default(),
            taken: vec![],
            given: BTreeMap::new(),
            heard: BTreeSet::new(),
            dead: BTreeSet::new(),
            was_at: BTreeSet::from([front(0)]),
            refused: BTreeSet::new(),
            top: Epoch(0),
            hands: 0,
            words: 0,
            kills: 0,
            timeouts: 0,
            refusals: 0,
            fell: false,
            twice: false,
            gone: false,
            gave_up: false,
            resumed: false,
            owner_died: false,
        };
        s.here(0, Input::Opened { to: For::Viewer, kind: Kind::Numbered });
        s.here(0, Input::Opened { to: For::Server(7), kind: Kind::Numbered });
        s
    }

    pub fn up(&self) -> impl Iterator<Item = (usize, &Side)> {
        self.sides.iter().enumerate().filter(|(_, (_, up))| *up).map(|(i, (side, _))| (i, side))
    }

    pub fn acts_and_lives(&self, i: usize) -> bool {
        let (side, up) = &self.sides[i];
        *up && side.acts() && side.giver().is_some_and(Giver::is_live)
    }

    /// Whether it is settled there.
    pub fn at(&self, i: usize) -> bool {
        self.sides
            .get(i)
            .is_some_and(|(side, up)| *up && side.giver().is_some_and(|g| g.stage() == Stage::Settled))
    }

    /// Whether it ended, or was its owner's when that one died.
    pub fn is_over(&self) -> bool {
        self.owner_died || self.sides.iter().any(|(s, _)| s.giver().is_some_and(|g| g.stage() == Stage::Over))
    }

    pub fn here(&mut self, i: usize, input: Input) {
        self.feed(i, Event::Here(input));
    }

    pub fn feed(&mut self, i: usize, event: Event) {
        let before = self.sides[i].0.giver().map(Giver::stage);
        let acts = self.sides[i].0.step(event);
        self.done(i, acts);
        let giver = self.sides[i].0.giver();
        let after = giver.map(Giver::stage);
        self.gave_up |= matches!(after, Some(Stage::GaveUp { .. }));
        self.resumed |= matches!(before, Some(Stage::Switched { .. })) && after == Some(Stage::Settled);
        if let Some(epoch) = giver.filter(|g| g.acts()).map(Giver::epoch) {
            self.fell |= epoch < self.top;
            self.top = self.top.max(epoch);
        }
    }

    pub fn done(&mut self, i: usize, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Do(Output::Tell(to, says)) => {
                    self.net.insert((i, to.0 as usize - 1, Says::ToTaker(says)));
                }
                Act::Tell(to, says) => {
                    if let ToGiver::Refused { .. } = says {
                        self.refused.insert(front(i));
                    }
                    self.net.insert((i, to.0 as usize - 1, Says::ToGiver(says)));
                }
                Act::Do(Output::Say(say)) if say.to == For::Viewer => {
                    self.says.insert(say);
                }
                // The server confirms at once.
                Act::Do(Output::Say(say)) => self.here(i, Input::Confirmed { by: say.to, upto: say.nth }),
                Act::Mine(_) => {
                    self.was_at.insert(front(i));
                    self.here(i, Input::Opened { to: For::Viewer, kind: Kind::Numbered });
                    self.here(i, Input::Opened { to: For::Server(7), kind: Kind::Numbered });
                }
                Act::Do(_) => {}
            }
        }
    }
}
