//! What the owner does with what it hears: steps of handing a session on.

use crate::events::{Input, Output, Stage};
use crate::giver::{Giver, MOST_OWED};
use crate::words::Row;
use crate::{Attempt, FrontId, Nth, ToGiver, ToTaker, WhyNot};
use cloverhollow_moves::Epoch;

impl Giver {
    pub(crate) fn take(&mut self, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::HandOn { to } => self.begin(to, out),
            Input::Answered { from, answer } => self.answered(from, answer, out),
            Input::Confirmed { by, upto } => self.row.confirm(by, upto),
            Input::Opened { to, kind } => self.row.open(to, kind),
            Input::Shut { to } => self.row.shut(to),
            Input::Asked { object } => self.asked(object, out),
            Input::Began { object } if self.acts() => {
                if self.flows.is_none() && self.channel.live.asked.contains(&object) {
                    self.flows = Some(object);
                }
            }
            Input::Ended { object } if self.acts() => {
                self.channel.live.asked.retain(|o| *o != object);
                self.flows = self.flows.filter(|o| *o != object);
            }
            Input::Changed(live) if self.acts() => self.changed(live, out),
            // Only who acts has anything under way.
            Input::Began { .. } | Input::Ended { .. } | Input::Changed(_) => {}
            Input::TimedOut { epoch } if epoch == self.epoch => self.timed_out(out),
            Input::TimedOut { .. } => {}
            Input::Suspected { front } => self.suspected(front, None, out),
            Input::Died { front } => self.died(front, out),
            Input::Gone => self.gone(out),
            Input::SayAgain => self.again(out),
        }
        self.switch(out);
    }

    pub(crate) fn begin(&mut self, to: FrontId, out: &mut Vec<Output>) {
        // Guards against a third owner: a giver that has not heard that this front owns the session might go on with
        // it when it hears that this one died, after this one has handed it on.
        if self.stage != Stage::Settled || self.bound.is_some() || to == self.me {
            return;
        }
        if self.owed.len() >= MOST_OWED {
            return;
        }
        self.epoch = self.epoch.next();
        self.stage = Stage::Offering { to, epoch: self.epoch };
        (self.upto, self.shutting) = (Nth(0), false);
        out.push(self.offer(to));
    }

    fn offer(&self, to: FrontId) -> Output {
        Output::Tell(to, ToTaker::Offer { epoch: self.epoch, giver: self.me, channel: self.channel() })
    }

    /// Words that the neighbour lacks, each with the one before it that it has.
    fn more(&self, to: FrontId, out: &mut Vec<Output>) -> bool {
        let mut after = self.upto;
        let epoch = self.epoch;
        for word in self.row.owed().filter(|q| q.nth > self.upto).copied() {
            out.push(Output::Tell(to, ToTaker::More { epoch, after, word }));
            after = word.nth;
        }
        after > self.upto
    }

    /// Hands over as soon as nothing is under way that only the owner hears. From here on it does not act.
    fn switch(&mut self, out: &mut Vec<Output>) {
        let Stage::Held { to, epoch } = self.stage else { return };
        let lacks = self.row.owed().any(|q| q.nth > self.upto);
        let out_there = matches!(self.channel.live.attempt, Attempt::Out { .. });
        if lacks || out_there || self.flows.is_some() || !self.row.unsure().is_empty() {
            return;
        }
        self.stage = Stage::Switched { to, epoch };
        out.push(self.switch_word(to, epoch));
    }

    fn switch_word(&self, to: FrontId, epoch: Epoch) -> Output {
        let owed = self.row.owed().map(|q| q.nth).collect();
        let (last, said, live) = (self.row.last(), self.row.heard(), self.channel.live.clone());
        Output::Tell(to, ToTaker::Switch { epoch, last, owed, said, live })
    }

    fn answered(&mut self, from: FrontId, answer: ToGiver, out: &mut Vec<Output>) {
        match answer {
            ToGiver::Held { epoch, upto } => match self.stage {
                Stage::Offering { to, epoch: e } | Stage::Held { to, epoch: e }
                    if to == from && e == epoch =>
                {
                    self.stage = Stage::Held { to, epoch };
                    self.upto = self.upto.max(upto);
                    self.more(to, out);
                }
                // A late word of a step that was switched: to withdraw that would end the session there.
                Stage::Switched { .. } | Stage::GaveUp { .. } | Stage::Closed { .. } => {}
                // It holds a step that is over, and says so until it hears that.
                _ => out.push(Output::Tell(from, ToTaker::Withdraw { epoch })),
            },
            ToGiver::Refused { epoch, why } if self.is_at(from, epoch) => {
                self.suspected(from, Some(why), out)
            }
            ToGiver::Refused { .. } => {}
            ToGiver::Owns { epoch } => {
                self.owed.confirm(from, epoch);
                match self.stage {
                    Stage::Switched { to, epoch: e } | Stage::GaveUp { to, epoch: e }
                        if to == from && e == epoch =>
                    {
                        // Whose viewer was told that it is over is not told where it plays.
                        if matches!(self.stage, Stage::Switched { .. }) {
                            out.push(Output::HandedOn(to));
                        }
                        self.stage = Stage::Closed { at: to };
                        self.owed.remove(to);
                        self.late.clear();
                        self.row = Row::default();
                    }
                    _ => {}
                }
                if !self.is_at(from, epoch) {
                    out.push(Output::Tell(from, ToTaker::Done { epoch }));
                }
            }
            ToGiver::LetGo { epoch } => {
                self.owed.confirm(from, epoch);
                match self.stage {
                    Stage::Switched { to, epoch: e } if to == from && e == epoch => self.resume(to, out),
                    Stage::GaveUp { to, epoch: e } if to == from && e == epoch => self.over(),
                    _ if self.is_at(from, epoch) => self.suspected(from, None, out),
                    _ => {}
                }
            }
        }
    }

    /// Whether that front is asked in that step, and the session is still here.
    fn is_at(&self, front: FrontId, epoch: Epoch) -> bool {
        matches!(self.stage, Stage::Offering { to, epoch: e } | Stage::Held { to, epoch: e }
            if to == front && e == epoch)
    }

    /// It may hold it all the same: its word may have been lost.
    pub(crate) fn withdraw(&mut self, to: FrontId, epoch: Epoch, out: &mut Vec<Output>) {
        self.owed.add(to, epoch);
        out.push(Output::Tell(to, ToTaker::Withdraw { epoch }));
    }

    /// The neighbour does not take it, or seems to be gone. After the switch that says nothing: it may own it.
    fn suspected(&mut self, front: FrontId, why: Option<WhyNot>, out: &mut Vec<Output>) {
        if let Stage::Offering { to, epoch } | Stage::Held { to, epoch } = self.stage {
            if to == front {
                self.stage = Stage::Settled;
                self.withdraw(to, epoch, out);
                out.push(Output::Stayed(to, why));
            }
        }
    }

    fn timed_out(&mut self, out: &mut Vec<Output>) {
        match self.stage {
            Stage::Held { .. } if !self.shutting && !self.row.unsure().is_empty() => {
                self.shutting = true;
                out.extend(self.row.unsure().into_iter().map(Output::Shut));
            }
            Stage::Offering { to, .. } | Stage::Held { to, .. } => self.suspected(to, None, out),
            Stage::Switched { to, epoch } => {
                self.stage = Stage::GaveUp { to, epoch };
                self.late.clear();
                out.push(self.told());
                self.withdraw(to, epoch, out);
            }
            _ => {}
        }
    }

    fn again(&mut self, out: &mut Vec<Output>) {
        let owed = self.owed.iter();
        out.extend(owed.map(|(to, epoch)| Output::Tell(to, ToTaker::Withdraw { epoch })));
        match self.stage {
            Stage::Offering { to, .. } => out.push(self.offer(to)),
            Stage::Held { to, .. } => {
                self.more(to, out);
            }
            Stage::Switched { to, epoch } => out.push(self.switch_word(to, epoch)),
            _ => {}
        }
        if self.acts() {
            self.row.again();
        }
    }
}
