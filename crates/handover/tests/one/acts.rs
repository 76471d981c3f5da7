//! What may happen, and how it all ends.

use super::*;

impl State {
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
