//! What happens, one event at a time, and what is checked after each.

use super::*;

impl Fleet {
    pub fn happens(&mut self, ev: Ev) {
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
        let Some(i) = self.traps.iter().position(|(name, ..)| *name == stage_name(stage)) else { return };
        self.traps[i].1 = self.traps[i].1.saturating_sub(1);
        if self.traps[i].1 > 0 {
            return;
        }
        let (.., trap) = self.traps.remove(i);
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
}
