//! The taker's side of one session, at one front: it holds, and owns once it is told to.

use crate::words::{BrokenRow, Row};
use crate::{Attempt, Channel, FrontId, ToGiver, ToTaker, WhyNot, MOST_ASKED};
use cloverhollow_moves::Epoch;
use thiserror::Error;

/// What to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reply {
    /// Say something to a front.
    Tell(FrontId, ToGiver),
    /// The session is this front's from now on.
    Mine {
        /// What it goes on with.
        channel: Box<Channel>,
        /// As of which step.
        epoch: Epoch,
        /// Who gave it.
        from: FrontId,
    },
    /// Who gave it knows: it may be handed on.
    Known,
    /// Who gave it has told the viewer that it is over.
    Abandoned,
}

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BrokenTaker {
    /// The row that is held.
    #[error(transparent)]
    Row(#[from] BrokenRow),
    /// A step is held that was let go of, or is not past one that was owned.
    #[error("step {0:?} is held and over")]
    Held(Epoch),
    /// A step was let go of that was owned.
    #[error("step {0:?} was owned and is said to be let go of")]
    Fence(Epoch),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Hold {
    giver: FrontId,
    epoch: Epoch,
    channel: Channel,
    row: Row,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Owned {
    epoch: Epoch,
    /// Who is still to be told; `None`: who gave it knows, is known to be dead, or nobody gave it.
    tell: Option<FrontId>,
}

/// What a front holds of a session that another owns, and what it remembers of its steps.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Taker {
    hold: Option<Hold>,
    /// Steps up to this were let go of: a late offer or switch of one takes nothing.
    fence: Option<Epoch>,
    /// The last step in which the session came to be this front's.
    owned: Option<Owned>,
}

impl Taker {
    /// At a front where the session began.
    pub fn began(epoch: Epoch) -> Taker {
        Taker { owned: Some(Owned { epoch, tell: None }), ..Taker::default() }
    }

    /// The session that is held for another, not yet owned.
    pub fn held(&self) -> Option<(&Channel, Epoch)> {
        self.hold.as_ref().map(|h| (&h.channel, h.epoch))
    }

    /// Whether who gave it is still to be told that it is here.
    pub fn is_telling(&self) -> bool {
        self.owned.is_some_and(|o| o.tell.is_some())
    }

    /// Takes a message. `room`: whether this front can take a session like that. `viewer`: whether the session is here
    /// and its viewer has come.
    ///
    /// What comes twice is answered alike and changes nothing the second time.
    pub fn hear(
        &mut self,
        from: FrontId,
        msg: ToTaker,
        room: Result<(), WhyNot>,
        viewer: bool,
    ) -> Vec<Reply> {
        match msg {
            ToTaker::Offer { epoch, channel, .. } => {
                vec![Reply::Tell(from, self.offer(from, epoch, channel, room))]
            }
            ToTaker::More { epoch, after, word } => match &mut self.hold {
                Some(h) if h.epoch == epoch => {
                    h.row.put(after, word);
                    vec![Reply::Tell(from, ToGiver::Held { epoch, upto: h.row.last() })]
                }
                _ => self.fenced(epoch).map(|a| Reply::Tell(from, a)).into_iter().collect(),
            },
            ToTaker::Switch { epoch, last, owed, said, live } => {
                if let Some(Owned { epoch: had, .. }) = self.owned.filter(|o| o.epoch >= epoch) {
                    // Who still asks in an earlier step does so because it has not heard that this front owned that
                    // one: a later step can only have come of it.
                    debug_assert!(had >= epoch);
                    return vec![Reply::Tell(from, ToGiver::Owns { epoch })];
                }
                if let Some(answer) = self.fenced(epoch) {
                    return vec![Reply::Tell(from, answer)];
                }
                // Guards against a late switch of another step: its words, its room are not what is held.
                let Some(h) = self.hold.as_mut().filter(|h| (h.epoch, h.giver) == (epoch, from)) else {
                    return Vec::new();
                };
                // Guards against two attempts: only its giver hears the answer of one that is out.
                let out_there = matches!(live.attempt, Attempt::Out { .. });
                // Guards against a switch that overtook a word: that word would never be said.
                if out_there || live.asked.len() > MOST_ASKED || h.row.go_on(last, &owed, &said).is_none() {
                    return vec![Reply::Tell(from, ToGiver::Held { epoch, upto: h.row.last() })];
                }
                let words = h.row.owed().copied().collect();
                let (heard, last) = (h.row.heard(), h.row.last());
                let channel = Box::new(Channel { live, words, heard, last, ..h.channel.clone() });
                self.hold = None;
                self.owned = Some(Owned { epoch, tell: Some(from) });
                vec![Reply::Mine { channel, epoch, from }, Reply::Tell(from, ToGiver::Owns { epoch })]
            }
            ToTaker::Withdraw { epoch } => match self.owned {
                Some(o) if o.epoch == epoch => {
                    let abandoned = o.tell == Some(from) && !viewer;
                    let told = [Reply::Tell(from, ToGiver::Owns { epoch })];
                    told.into_iter().chain(abandoned.then_some(Reply::Abandoned)).collect()
                }
                _ => {
                    self.let_go(epoch);
                    vec![Reply::Tell(from, ToGiver::LetGo { epoch })]
                }
            },
            ToTaker::Done { epoch } => match &mut self.owned {
                Some(o) if o.epoch == epoch && o.tell == Some(from) => {
                    o.tell = None;
                    vec![Reply::Known]
                }
                _ => Vec::new(),
            },
        }
    }

    fn offer(&mut self, giver: FrontId, epoch: Epoch, channel: Channel, room: Result<(), WhyNot>) -> ToGiver {
        // Guards against a late copy of a step that was let go of: it would hold for nobody.
        if let Some(answer) = self.fenced(epoch) {
            return answer;
        }
        if self.owned.is_some_and(|o| o.epoch >= epoch) || self.hold.as_ref().is_some_and(|h| h.epoch > epoch)
        {
            return ToGiver::Refused { epoch, why: WhyNot::Later };
        }
        if let Some(h) = self.hold.as_ref().filter(|h| h.epoch == epoch) {
            return ToGiver::Held { epoch, upto: h.row.last() };
        }
        // A later offer: what was held before it is over.
        if let Some(h) = self.hold.take() {
            self.let_go(h.epoch);
        }
        let row = Row::of(&channel.words, &channel.heard, channel.last);
        match (room, row.filter(|_| channel.fits())) {
            (Err(why), _) => ToGiver::Refused { epoch, why },
            (_, None) => ToGiver::Refused { epoch, why: WhyNot::Full },
            (Ok(()), Some(row)) => {
                let upto = row.last();
                self.hold = Some(Hold { giver, epoch, channel, row });
                ToGiver::Held { epoch, upto }
            }
        }
    }

    fn fenced(&self, epoch: Epoch) -> Option<ToGiver> {
        let owned = self.owned.is_some_and(|o| o.epoch == epoch);
        (!owned && self.fence.is_some_and(|f| epoch <= f)).then_some(ToGiver::LetGo { epoch })
    }

    fn let_go(&mut self, epoch: Epoch) {
        self.fence = self.fence.max(Some(epoch));
        if self.hold.as_ref().is_some_and(|h| h.epoch <= epoch) {
            self.hold = None;
        }
    }

    fn drop_hold(&mut self, of: impl Fn(&Hold) -> bool) -> Vec<Reply> {
        let Some((giver, epoch)) = self.hold.as_ref().filter(|h| of(h)).map(|h| (h.giver, h.epoch)) else {
            return Vec::new();
        };
        self.let_go(epoch);
        vec![Reply::Tell(giver, ToGiver::LetGo { epoch })]
    }

    /// It was held for too long: the room is another's.
    pub fn timed_out(&mut self, epoch: Epoch) -> Vec<Reply> {
        self.drop_hold(|h| h.epoch == epoch)
    }

    /// The view takes that front for gone. If it is wrong nothing is lost: the giver hears that this one has let go.
    pub fn suspected(&mut self, front: FrontId) -> Vec<Reply> {
        self.drop_hold(|h| h.giver == front)
    }

    /// Known to be dead. What was held for it is not taken over: another may hold it too, of a step whose withdrawal was
    /// lost. Its viewer comes again, by rule 2's terms.
    pub fn died(&mut self, front: FrontId) -> Vec<Reply> {
        let mut out = self.drop_hold(|h| h.giver == front);
        if let Some(o) = self.owned.as_mut().filter(|o| o.tell == Some(front)) {
            o.tell = None;
            out.push(Reply::Known);
        }
        out
    }

    /// Time to say again what was not confirmed.
    pub fn again(&self) -> Vec<Reply> {
        let held = self.hold.as_ref();
        let held = held.map(|h| Reply::Tell(h.giver, ToGiver::Held { epoch: h.epoch, upto: h.row.last() }));
        let owns = self.owned.and_then(|o| Some(Reply::Tell(o.tell?, ToGiver::Owns { epoch: o.epoch })));
        held.into_iter().chain(owns).collect()
    }

    /// What must hold.
    pub fn check(&self) -> Result<(), BrokenTaker> {
        if let Some(h) = &self.hold {
            h.row.check()?;
            let over = self.fence.max(self.owned.map(|o| o.epoch));
            if over.is_some_and(|over| h.epoch <= over) {
                return Err(BrokenTaker::Held(h.epoch));
            }
        }
        match (self.owned, self.fence) {
            (Some(o), Some(f)) if o.tell.is_some() && f == o.epoch => Err(BrokenTaker::Fence(f)),
            _ => Ok(()),
        }
    }
}
