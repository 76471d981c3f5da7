//! One session between three fronts, a viewer that counts and a server that does not, each connection a row of bytes in order;
//! what passes between fronts is lost, doubled and late as drawn.

use cloverhollow_handover::*;
use std::collections::{BTreeMap, VecDeque};

pub const FRONTS: usize = 3;
pub const SERVER: For = For::Server(7);

fn front(i: usize) -> FrontId {
    FrontId(i as u64 + 1)
}

#[derive(Clone, Debug)]
enum Says {
    ToTaker(ToTaker),
    ToGiver(ToGiver),
}

pub struct World {
    sides: Vec<Side>,
    net: Vec<(usize, usize, Says)>,
    /// Written and not yet read, by front and receiver.
    sockets: BTreeMap<(usize, For), VecDeque<Say>>,
    /// Confirmations on their way back.
    back: VecDeque<(usize, For, Nth)>,
    ear: Ear,
    /// Words that no front has spoken yet, because none acted.
    pub waiting: VecDeque<(For, Saying)>,
    pub viewer: Vec<Saying>,
    pub server: Vec<Saying>,
    pub handed_on: usize,
}

impl World {
    pub fn new() -> World {
        let live = Live { attempt: Attempt::Ran { server: 7 }, server: Some(7), ..Live::default() };
        let (words, heard, last) = (vec![], vec![], Nth(0));
        let (class, title, tenant, paid, generation) = (0, 0, None, true, Generation(1));
        let c = Channel { sid: "s".into(), class, title, tenant, paid, live, words, heard, last, generation };
        let first = Side::began(front(0), c, Epoch(0)).expect("within its bounds");
        let rest = (1..FRONTS).map(|i| Side::empty(front(i)));
        let mut w = World {
            sides: [first].into_iter().chain(rest).collect(),
            net: vec![],
            sockets: BTreeMap::new(),
            back: VecDeque::new(),
            ear: Ear::default(),
            waiting: VecDeque::new(),
            viewer: vec![],
            server: vec![],
            handed_on: 0,
        };
        w.open(0);
        w
    }

    fn open(&mut self, i: usize) {
        self.here(i, Input::Opened { to: For::Viewer, kind: Kind::Numbered });
        self.here(i, Input::Opened { to: SERVER, kind: Kind::Plain });
    }

    pub fn owner(&self) -> Option<usize> {
        self.sides.iter().position(Side::acts)
    }

    fn giver(&self, i: usize) -> Option<&Giver> {
        self.sides[i].giver()
    }

    fn here(&mut self, i: usize, input: Input) {
        let acts = self.sides[i].step(Event::Here(input));
        self.done(i, acts);
    }

    fn done(&mut self, i: usize, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Do(Output::Tell(to, says)) => self.net.push((i, to.0 as usize - 1, Says::ToTaker(says))),
                Act::Tell(to, says) => self.net.push((i, to.0 as usize - 1, Says::ToGiver(says))),
                Act::Do(Output::Say(say)) => self.sockets.entry((i, say.to)).or_default().push_back(say),
                Act::Do(Output::Shut(to)) => self.shut(i, to, 0),
                Act::Do(Output::HandedOn(_)) => self.handed_on += 1,
                Act::Mine(_) => self.open(i),
                Act::Do(_) => {}
            }
        }
        self.net.truncate(4096);
        while let Some((to, what)) = self.waiting.front().copied() {
            let Some(i) = self.owner() else { break };
            let Some(Ok(acts)) = self.sides[i].giver_mut().map(|g| g.word(to, what)) else { break };
            self.waiting.pop_front();
            self.done(i, acts.into_iter().map(Act::Do).collect());
        }
    }

    pub fn word(&mut self, to: For, what: Saying) {
        self.waiting.push_back((to, what));
        self.done(0, vec![]);
    }

    pub fn hand_on(&mut self, to: usize) {
        if let Some(i) = self.owner() {
            self.here(i, Input::HandOn { to: front(to) });
        }
    }

    pub fn arrives(&mut self, k: usize, keep: bool) {
        if self.net.is_empty() {
            return;
        }
        let k = k % self.net.len();
        let (from, to, says) = if keep { self.net[k].clone() } else { self.net.swap_remove(k) };
        match says {
            Says::ToTaker(says) => {
                let acts = self.sides[to].step(Event::Giver { from: front(from), says, room: Ok(()) });
                self.done(to, acts);
            }
            Says::ToGiver(answer) => self.here(to, Input::Answered { from: front(from), answer }),
        }
    }

    pub fn lost(&mut self, k: usize) {
        if !self.net.is_empty() {
            let k = k % self.net.len();
            self.net.swap_remove(k);
        }
    }

    /// A receiver reads one word of a connection, and confirms.
    pub fn reads(&mut self, i: usize, to: For) {
        let Some(say) = self.sockets.get_mut(&(i, to)).and_then(VecDeque::pop_front) else { return };
        if to == For::Viewer {
            if self.ear.take(&say) == Took::Taken {
                self.viewer.push(say.what);
            }
            self.back.push_back((i, to, self.ear.seen()));
        } else {
            self.server.push(say.what);
            self.back.push_back((i, to, say.nth));
        }
    }

    pub fn confirms(&mut self) {
        if let Some((i, by, upto)) = self.back.pop_front() {
            self.here(i, Input::Confirmed { by, upto });
        }
    }

    /// A connection closes after `read` more words of it were read; its confirmations are lost with it.
    pub fn shut(&mut self, i: usize, to: For, read: usize) {
        if !self.giver(i).is_some_and(Giver::acts) {
            return;
        }
        for _ in 0..read {
            self.reads(i, to);
        }
        self.sockets.remove(&(i, to));
        self.back.retain(|(at, by, _)| (*at, *by) != (i, to));
        self.here(i, Input::Shut { to });
        let kind = if to == For::Viewer { Kind::Numbered } else { Kind::Plain };
        self.here(i, Input::Opened { to, kind });
    }

    /// A time-out, but for a switch: what gives up is looked at elsewhere.
    pub fn timed_out(&mut self, i: usize) {
        let asks = |g: &&Giver| matches!(g.stage(), Stage::Offering { .. } | Stage::Held { .. });
        let held = self.sides[i].taker().held().map(|(_, e)| e);
        if let Some(epoch) = self.giver(i).filter(asks).map(Giver::epoch).or(held) {
            self.here(i, Input::TimedOut { epoch });
        }
    }

    pub fn suspected(&mut self, i: usize, of: usize) {
        self.here(i, Input::Suspected { front: front(of) });
    }

    pub fn again(&mut self, i: usize) {
        self.here(i, Input::SayAgain);
    }

    pub fn attempt(&mut self, out: bool) {
        let Some(i) = self.owner() else { return };
        let Some(g) = self.giver(i) else { return };
        let attempt = if out { Attempt::Out { server: 7 } } else { Attempt::Ran { server: 7 } };
        let live = Live { attempt, ..g.identity().live.clone() };
        self.here(i, Input::Changed(live));
    }

    pub fn object(&mut self, number: u64, ends: bool) {
        let Some(i) = self.owner() else { return };
        if ends {
            self.here(i, Input::Ended { object: number });
        } else {
            self.here(i, Input::Asked { object: number });
            self.here(i, Input::Began { object: number });
        }
    }

    pub fn check(&self) {
        for side in &self.sides {
            assert_eq!(side.check(), Ok(()));
        }
        assert!(self.sides.iter().filter(|s| s.acts()).count() <= 1, "two act");
        assert!(self.sides.iter().any(|s| counted(s).is_some()), "counted nowhere");
        let out = |s: &&Side| {
            s.giver().is_some_and(|g| matches!(g.identity().live.attempt, Attempt::Out { .. }) && g.is_live())
        };
        assert!(self.sides.iter().filter(out).count() <= 1, "two have an attempt out");
    }

    /// All is heard: nothing more is lost, and what is under way ends.
    pub fn settle(&mut self) {
        self.attempt(false);
        for n in 0..4 {
            self.object(n, true);
        }
        for _ in 0..40 {
            (0..FRONTS).for_each(|i| self.again(i));
            for _ in 0..self.net.len().min(400) {
                self.arrives(0, false);
                self.check();
            }
            for i in 0..FRONTS {
                for to in [For::Viewer, SERVER] {
                    while self.sockets.get(&(i, to)).is_some_and(|s| !s.is_empty()) {
                        self.reads(i, to);
                    }
                }
            }
            while !self.back.is_empty() {
                self.confirms();
            }
        }
    }
}
