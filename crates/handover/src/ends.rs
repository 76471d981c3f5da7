//! What becomes of a session at its owner by deaths, by its viewer, by its end.

use crate::events::{Output, Stage};
use crate::giver::Giver;
use crate::{Attempt, For, FrontId, Live, Saying, MOST_ASKED, MOST_LATE};

impl Giver {
    /// It is here again: the taker did not own it and will not.
    pub(crate) fn resume(&mut self, from: FrontId, out: &mut Vec<Output>) {
        self.stage = Stage::Settled;
        let late = std::mem::take(&mut self.late);
        let room = MOST_ASKED.saturating_sub(self.channel.live.asked.len());
        self.channel.live.asked.extend(late.into_iter().take(room));
        out.push(Output::Stayed(from, None));
        if self.left {
            self.over();
        }
    }

    /// Known to be dead. If it was told to take the session it may have owned it: what it did with it is not known.
    pub(crate) fn died(&mut self, front: FrontId, out: &mut Vec<Output>) {
        self.bound = self.bound.filter(|b| *b != front);
        self.owed.remove(front);
        match self.stage {
            Stage::Offering { to, .. } | Stage::Held { to, .. } if to == front => {
                self.stage = Stage::Settled;
                out.push(Output::Stayed(to, None));
            }
            Stage::Switched { to, .. } if to == front => {
                // Numbers above all that it may have given out.
                self.epoch = self.epoch.next();
                self.row.doubt();
                if self.channel.live.server.is_none() {
                    self.channel.live.attempt = Attempt::Unknown;
                    if self.channel.paid {
                        out.push(Output::Failed);
                        return self.over();
                    }
                }
                self.resume(to, out);
            }
            Stage::GaveUp { to, .. } if to == front => {
                self.epoch = self.epoch.next();
                self.row.doubt();
                self.over();
            }
            _ => {}
        }
    }

    /// It ends here: the server that it plays at is told. What the viewer is told is not a word of the row any more.
    pub(crate) fn over(&mut self) {
        self.stage = Stage::Over;
        if let Some(server) = self.channel.live.server {
            // A full row has words that wait for servers that do not answer: their own idle time ends it there.
            let _ = self.row.push(self.epoch, For::Server(server), Saying::End);
        }
    }

    pub(crate) fn gone(&mut self, out: &mut Vec<Output>) {
        match self.stage {
            Stage::Settled => self.over(),
            Stage::Offering { to, epoch } | Stage::Held { to, epoch } => {
                self.withdraw(to, epoch, out);
                self.flows = None;
                self.over();
            }
            Stage::Switched { .. } => self.left = true,
            Stage::GaveUp { .. } | Stage::Closed { .. } | Stage::Over => {}
        }
    }

    pub(crate) fn asked(&mut self, object: u64, out: &mut Vec<Output>) {
        let list = match self.stage {
            Stage::Closed { at } => return out.push(Output::HandedOn(at)),
            Stage::Over | Stage::GaveUp { .. } => return out.push(self.told()),
            Stage::Switched { .. } => &mut self.late,
            _ => &mut self.channel.live.asked,
        };
        let most = if matches!(self.stage, Stage::Switched { .. }) { MOST_LATE } else { MOST_ASKED };
        if list.len() >= most {
            out.push(Output::Busy(object));
        } else if !list.contains(&object) {
            list.push(object);
        }
    }

    /// What the viewer of a session that nobody can go on with is told: rule 2's terms.
    pub(crate) fn told(&self) -> Output {
        if self.channel.paid {
            Output::Failed
        } else {
            Output::ComeAgain
        }
    }

    pub(crate) fn changed(&mut self, live: Live, out: &mut Vec<Output>) {
        let elsewhere = live.server != self.channel.live.server;
        let asked = std::mem::take(&mut self.channel.live.asked);
        self.channel.live = Live { asked, ..live };
        if let (true, Stage::Offering { to, epoch } | Stage::Held { to, epoch }) = (elsewhere, self.stage) {
            // Whether the neighbour reaches that server is not known: it is asked anew.
            self.withdraw(to, epoch, out);
            self.stage = Stage::Settled;
            self.begin(to, out);
        }
    }
}
