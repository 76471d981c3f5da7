//! What fronts do by the clock, and what befalls them.

use super::*;

/// Deaths are suspected, then known, after so long.
const SEEN: (u64, u64) = (4_000, 9_000);

impl Fleet {
    pub fn tick(&mut self, at: usize) {
        self.after(50, Ev::Tick { at });
        let now = self.now;
        let f = &mut self.fronts[at];
        let waits = |k: Key| f.sides.get(&k.0).and_then(Side::giver).is_some_and(Giver::must_wait);
        for start in f.stream.next(now, |k| !waits(k)) {
            self.here(at, start.key.0, Input::HandOn { to: start.to });
        }
        let due = self.fronts[at].stream.due(now);
        for d in due {
            match d {
                Due::Again(key) => self.here(at, key.0, Input::SayAgain),
                Due::TimedOut(key, epoch) => self.here(at, key.0, Input::TimedOut { epoch }),
            }
        }
        if now.as_millis() % 250 < 50 {
            let clear = |s: &&Side| {
                s.is_clear() || s.giver().is_some_and(|g| g.stage() == Stage::Settled && g.is_clear())
            };
            let f = &self.fronts[at];
            let again: Vec<u64> = f
                .sides
                .iter()
                .filter(|(_, s)| !clear(s) || s.taker().is_telling())
                .map(|(k, _)| *k)
                .collect();
            again.into_iter().for_each(|key| self.here(at, key, Input::SayAgain));
        }
        let old: Vec<(u64, Epoch)> = self.fronts[at]
            .held_since
            .iter()
            .filter(|(_, h)| now >= h.1 + HOLD_FOR)
            .map(|(k, h)| (*k, h.0))
            .collect();
        old.into_iter().for_each(|(key, epoch)| self.here(at, key, Input::TimedOut { epoch }));
    }

    pub fn leave(&mut self, at: usize) {
        self.fronts[at].leaving = true;
        let mine = self.fronts[at].sides.iter().filter(|(_, s)| s.giver().is_some_and(Giver::is_live));
        let mine: Vec<u64> = mine.map(|(k, _)| *k).collect();
        mine.into_iter().for_each(|key| self.hand_on(at, key));
        // What it holds for others it lets go of: they find another.
        let held: Vec<(u64, Epoch)> = self.fronts[at].held_since.iter().map(|(k, h)| (*k, h.0)).collect();
        held.into_iter().for_each(|(key, epoch)| self.here(at, key, Input::TimedOut { epoch }));
    }

    pub fn hand_on(&mut self, at: usize, key: u64) {
        let tries = self.tries(at, key);
        let Some(c) = self.fronts[at].sides.get(&key).and_then(Side::giver).map(Giver::identity) else {
            return;
        };
        let rank = Rank { paid: c.paid, playing: c.live.server.is_some() };
        self.fronts[at].stream.add(Key(key), rank, &tries).expect("once each");
    }

    pub fn kill(&mut self, at: usize) {
        if !std::mem::replace(&mut self.fronts[at].up, false) {
            return;
        }
        let keys: Vec<u64> = self.fronts[at].sides.keys().copied().collect();
        for key in keys {
            let giver = self.fronts[at].sides[&key].giver();
            let unsure = giver.is_some_and(|g| g.is_live() && !g.acts());
            let acted = giver.is_some_and(|g| g.is_live() && g.acts());
            let there = self.ends[&key].viewer_at == Some(at);
            if acted || (unsure && self.owner(key).is_none()) || there {
                self.lose(key);
            }
        }
        for other in 0..self.fronts.len() {
            let (view, sure) = (SEEN.0 + self.drawn(1_000), SEEN.1 + self.drawn(1_000));
            self.after(view, Ev::Heard { at: other, of: at, sure: false });
            self.after(sure, Ev::Heard { at: other, of: at, sure: true });
        }
    }

    pub fn stall(&mut self, at: usize, for_ms: u64) {
        self.fronts[at].until = Some(self.now + ms(for_ms));
        if for_ms > SEEN.0 {
            for other in 0..self.fronts.len() {
                self.after(SEEN.0, Ev::Heard { at: other, of: at, sure: false });
            }
        }
    }
}
