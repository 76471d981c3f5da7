//! One session between some fronts and a viewer, and all that may happen to it.

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

    fn acts_and_lives(&self, i: usize) -> bool {
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

    fn here(&mut self, i: usize, input: Input) {
        self.feed(i, Event::Here(input));
    }

    fn feed(&mut self, i: usize, event: Event) {
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

    fn done(&mut self, i: usize, acts: Vec<Act>) {
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

    pub fn may_happen(&self, w: &World, all: &mut Vec<Happens>) {
        let others = |i: usize| (0..w.fronts).filter(move |j| *j != i);
        for (i, side) in self.up() {
            if self.acts_and_lives(i) {
                if self.hands < w.hands && side.giver().is_some_and(|g| g.stage() == Stage::Settled) {
                    all.extend(others(i).map(|j| Happens::HandOn(i, j)));
                }
                if self.words < w.words {
                    all.push(Happens::Word(i));
                }
                if w.gone && !self.gone {
                    all.push(Happens::Gone(i));
                }
            }
            if self.timeouts < w.timeouts {
                let busy =
                    |g: &&Giver| !matches!(g.stage(), Stage::Settled | Stage::Closed { .. } | Stage::Over);
                all.extend(side.giver().filter(busy).map(|g| Happens::TimedOut(i, g.epoch())));
                all.extend(side.taker().held().map(|(_, epoch)| Happens::TimedOut(i, epoch)));
                all.extend(others(i).map(|j| Happens::Suspected(i, j)));
            }
            if self.kills < w.kills {
                all.push(Happens::Dies(i));
            }
            all.extend(self.dead.iter().map(|d| Happens::Heard(i, *d)));
            all.extend(self.heard.iter().map(|n| Happens::Confirmed(i, *n)));
        }
        for (from, to, says) in &self.net {
            if self.sides[*to].1 {
                all.push(Happens::Arrives(*from, *to, says.clone(), true));
                if matches!(says, Says::ToTaker(ToTaker::Offer { .. })) && self.refusals < w.refusals {
                    all.push(Happens::Arrives(*from, *to, says.clone(), false));
                }
            }
        }
        all.extend(self.says.iter().map(|s| Happens::Take(*s)));
    }

    pub fn happens(&mut self, action: Happens) {
        match action {
            Happens::HandOn(i, j) => {
                self.hands += 1;
                self.here(i, Input::HandOn { to: front(j) });
            }
            Happens::Word(i) => {
                self.words += 1;
                let what = Saying::Rung(self.words);
                let Some(giver) = self.sides[i].0.giver_mut() else { return };
                let Ok(acts) = giver.word(For::Viewer, what) else { return };
                let nth = giver.channel().last;
                self.twice |= self.given.insert(nth, what).is_some();
                self.done(i, acts.into_iter().map(Act::Do).collect());
            }
            Happens::Arrives(from, to, Says::ToTaker(says), takes) => {
                self.refusals += u8::from(!takes);
                let room = if takes { Ok(()) } else { Err(WhyNot::Full) };
                self.feed(to, Event::Giver { from: front(from), says, room });
            }
            Happens::Arrives(from, to, Says::ToGiver(answer), _) => {
                self.here(to, Input::Answered { from: front(from), answer });
            }
            Happens::Take(say) => {
                if self.ear.take(&say) == Took::Taken {
                    self.taken.push((say.nth, say.what));
                }
                self.heard.insert(self.ear.seen());
            }
            Happens::Confirmed(i, upto) => self.here(i, Input::Confirmed { by: For::Viewer, upto }),
            Happens::TimedOut(i, epoch) => {
                self.timeouts += 1;
                self.here(i, Input::TimedOut { epoch });
            }
            Happens::Suspected(i, j) => {
                self.timeouts += 1;
                self.here(i, Input::Suspected { front: front(j) });
            }
            Happens::Dies(i) => {
                self.kills += 1;
                let unsure = |g: &Giver| matches!(g.stage(), Stage::Switched { .. } | Stage::GaveUp { .. });
                let waits = self.sides[i].0.giver().is_some_and(unsure);
                // Nobody acts, and who would go on with it dies: its switch may still come, or not.
                let nobody = !(0..self.sides.len()).any(|j| self.acts_and_lives(j));
                self.owner_died |= self.acts_and_lives(i) || (waits && nobody);
                self.dead.insert(i);
                self.sides[i].1 = false;
            }
            Happens::Heard(i, d) => self.here(i, Input::Died { front: front(d) }),
            Happens::Gone(i) => {
                self.gone = true;
                self.here(i, Input::Gone);
            }
        }
    }

    /// All that was ever sent arrives once more, and what is owed is said again.
    fn all_arrives(&mut self) {
        for i in 0..self.sides.len() {
            if self.sides[i].1 {
                self.here(i, Input::SayAgain);
            }
        }
        for (from, to, says) in self.net.clone() {
            if self.sides[to].1 {
                self.happens(Happens::Arrives(from, to, says, true));
            }
        }
        for say in self.says.clone() {
            self.happens(Happens::Take(say));
        }
        for i in 0..self.sides.len() {
            if self.sides[i].1 {
                self.happens(Happens::Confirmed(i, self.ear.seen()));
            }
        }
    }

    /// The network mends and nothing new happens: every death is heard, all arrives.
    pub fn settle(mut self) -> State {
        let mut before = None;
        for _ in 0..24 {
            for d in self.dead.clone() {
                for i in 0..self.sides.len() {
                    if self.sides[i].1 {
                        self.happens(Happens::Heard(i, d));
                    }
                }
            }
            self.all_arrives();
            if before.as_ref() == Some(&self) {
                break;
            }
            before = Some(self.clone());
        }
        self
    }
}
