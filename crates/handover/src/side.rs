//! All that one front has of one session: its giver, if it owns it or did, and its taker.

use crate::events::{Input, Output, Stage};
use crate::giver::{BrokenGiver, Giver};
use crate::taker::{BrokenTaker, Reply, Taker};
use crate::{Channel, FrontId, ToGiver, ToTaker, WhyNot};
use cloverhollow_moves::Epoch;
use thiserror::Error;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A front that gives, or gave, said something.
    Giver {
        /// Who.
        from: FrontId,
        /// What.
        says: ToTaker,
        /// Whether there is room for a session like that, and a way to its server. Looked at for an offer alone.
        room: Result<(), WhyNot>,
    },
    /// All else.
    Here(Input),
}

/// What to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Act {
    /// As owner, or as who was it: [`Output::Tell`] goes to the other's taker.
    Do(Output),
    /// Say something to a front that gives.
    Tell(FrontId, ToGiver),
    /// The session is here from now on: what was asked for in it is to be answered, its words to be said.
    Mine(FrontId),
}

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Broken {
    /// As owner.
    #[error(transparent)]
    Giver(#[from] BrokenGiver),
    /// As taker.
    #[error(transparent)]
    Taker(#[from] BrokenTaker),
    /// It holds for another what it owns itself.
    #[error("holds step {0:?} of a session that it owns")]
    Both(Epoch),
    /// It hands on, or may, what its own giver does not know to be here.
    #[error("is free to hand on before its own giver knows")]
    Free,
}

/// One session at one front.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Side {
    me: FrontId,
    giver: Option<Giver>,
    taker: Taker,
}

impl Side {
    /// At a front that does not have the session.
    pub fn empty(me: FrontId) -> Side {
        Side { me, giver: None, taker: Taker::default() }
    }

    /// At the front at which it began. `None`: the channel is past its bounds.
    pub fn began(me: FrontId, channel: Channel, epoch: Epoch) -> Option<Side> {
        let giver = Some(Giver::new(me, channel, epoch, None)?);
        Some(Side { me, giver, taker: Taker::began(epoch) })
    }

    /// As owner, or as who was it last.
    pub fn giver(&self) -> Option<&Giver> {
        self.giver.as_ref()
    }

    /// The same, for words.
    pub fn giver_mut(&mut self) -> Option<&mut Giver> {
        self.giver.as_mut()
    }

    /// As taker.
    pub fn taker(&self) -> &Taker {
        &self.taker
    }

    /// Whether this front acts for the session.
    pub fn acts(&self) -> bool {
        self.giver.as_ref().is_some_and(Giver::acts)
    }

    /// Whether it may be forgotten, [`crate::KEEP`] from now.
    pub fn is_clear(&self) -> bool {
        let at_end = |g: &Giver| g.is_clear() && !g.is_live();
        self.giver.as_ref().is_none_or(at_end) && self.taker.held().is_none() && !self.taker.is_telling()
    }

    /// Takes one event.
    pub fn step(&mut self, event: Event) -> Vec<Act> {
        let mut acts = Vec::new();
        match event {
            Event::Giver { from, says, room } => {
                // Guards against an offer of what is here already: nobody else can give it.
                let here = self.giver.as_ref().is_some_and(|g| !matches!(g.stage(), Stage::Closed { .. }));
                let room = if here { Err(WhyNot::Later) } else { room };
                let viewer = self.giver.as_ref().is_some_and(|g| g.acts() && g.has_viewer());
                let replies = self.taker.hear(from, says, room, viewer);
                self.replies(replies, &mut acts);
            }
            Event::Here(input) => {
                let replies = match &input {
                    Input::TimedOut { epoch } => self.taker.timed_out(*epoch),
                    Input::Suspected { front } => self.taker.suspected(*front),
                    Input::Died { front } => self.taker.died(*front),
                    Input::SayAgain => self.taker.again(),
                    _ => Vec::new(),
                };
                self.replies(replies, &mut acts);
                match (&mut self.giver, input) {
                    (Some(giver), input) => acts.extend(giver.step(input).into_iter().map(Act::Do)),
                    // Nothing is here that could go on with it.
                    (None, Input::Answered { from, answer: ToGiver::Owns { epoch } }) => {
                        acts.push(Act::Do(Output::Tell(from, ToTaker::Done { epoch })));
                    }
                    (None, Input::Answered { from, answer: ToGiver::Held { epoch, .. } }) => {
                        acts.push(Act::Do(Output::Tell(from, ToTaker::Withdraw { epoch })));
                    }
                    (None, _) => {}
                }
            }
        }
        acts
    }

    fn replies(&mut self, replies: Vec<Reply>, acts: &mut Vec<Act>) {
        for reply in replies {
            match reply {
                Reply::Tell(to, answer) => acts.push(Act::Tell(to, answer)),
                Reply::Mine { channel, epoch, from } => {
                    if let Some(mut giver) = Giver::new(self.me, *channel, epoch, Some(from)) {
                        // It was here before: who still owes a word from then owes it on.
                        giver.owed = self.giver.take().map(|g| g.owed).unwrap_or_default();
                        self.giver = Some(giver);
                        acts.push(Act::Mine(from));
                    }
                }
                Reply::Known => {
                    if let Some(giver) = &mut self.giver {
                        giver.bound = None;
                    }
                }
                Reply::Abandoned => {
                    let gone = self.giver.as_mut().map(|g| g.step(Input::Gone));
                    acts.extend(gone.into_iter().flatten().map(Act::Do));
                }
            }
        }
    }

    /// What must hold.
    pub fn check(&self) -> Result<(), Broken> {
        self.taker.check()?;
        if let Some(giver) = &self.giver {
            giver.check()?;
            if let (true, Some((_, epoch))) = (giver.acts() && giver.is_live(), self.taker.held()) {
                return Err(Broken::Both(epoch));
            }
            if giver.acts() && self.taker.is_telling() != giver.bound.is_some() {
                return Err(Broken::Free);
            }
        }
        Ok(())
    }
}
