//! The owner's side of one session: it speaks for it, and may hand it on. What it hears of the taker is in `hand.rs`.

use crate::events::{Input, Output, Stage};
use crate::words::{BrokenRow, NoWord, Row};
use crate::{Attempt, Channel, For, FrontId, Nth, Saying, ToTaker, MOST_ASKED};
use cloverhollow_moves::{Epoch, PendingReleases};
use thiserror::Error;

/// Most objects that are asked for at a front while it does not know who owns the session.
pub const MOST_LATE: usize = MOST_ASKED;
/// Most fronts that owe the word that they have let go of it; past it the session is offered to nobody.
pub const MOST_OWED: usize = 16;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BrokenGiver {
    /// The row.
    #[error(transparent)]
    Row(#[from] BrokenRow),
    /// A step is past the last one begun.
    #[error("step {0:?} was never begun")]
    Epoch(Epoch),
    /// It was switched with an attempt out, or an object that flows.
    #[error("handed on with something under way that only its owner hears")]
    UnderWay,
    /// It was switched before its giver knew that it is here.
    #[error("handed on before its own giver has closed")]
    Bound,
    /// More than bounds allow.
    #[error("{0} objects asked for")]
    Asked(usize),
    /// More than bounds allow: one more, for what gives up after its switch.
    #[error("{0} fronts owe a word")]
    Owed(usize),
}

/// One session at the front that owns it, or owned it last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Giver {
    pub(crate) me: FrontId,
    pub(crate) stage: Stage,
    pub(crate) epoch: Epoch,
    /// But for words, which are in the row.
    pub(crate) channel: Channel,
    pub(crate) row: Row,
    /// Up to where the neighbour holds the words.
    pub(crate) upto: Nth,
    pub(crate) flows: Option<u64>,
    /// Asked for while nobody here knew who owns the session.
    pub(crate) late: Vec<u64>,
    /// The viewer left meanwhile.
    pub(crate) left: bool,
    /// From whom it came, until that one knows that it is here.
    pub(crate) bound: Option<FrontId>,
    /// Connections were asked to be closed for this step.
    pub(crate) shutting: bool,
    pub(crate) owed: PendingReleases<FrontId>,
}

impl Giver {
    /// A session that is this front's, as of step `epoch`. `from`: who gave it, if it was handed on.
    ///
    /// `None`: the channel is past its bounds.
    pub fn new(me: FrontId, channel: Channel, epoch: Epoch, from: Option<FrontId>) -> Option<Giver> {
        if !channel.fits() {
            return None;
        }
        let row = Row::of(&channel.words, &channel.heard, channel.last)?;
        let channel = Channel { words: Vec::new(), heard: Vec::new(), ..channel };
        let (stage, owed) = (Stage::Settled, PendingReleases::default());
        let (upto, flows, late) = (Nth(0), None, Vec::new());
        let g = Giver {
            me,
            stage,
            epoch,
            channel,
            row,
            upto,
            flows,
            late,
            left: false,
            bound: from,
            shutting: false,
            owed,
        };
        Some(g)
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The last step that was begun.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether this front acts for the session: attempts, words. One that is over still has its last words to say.
    pub fn acts(&self) -> bool {
        matches!(self.stage, Stage::Settled | Stage::Offering { .. } | Stage::Held { .. } | Stage::Over)
    }

    /// Whether it is live here, as far as this front knows.
    pub fn is_live(&self) -> bool {
        !matches!(self.stage, Stage::Closed { .. } | Stage::Over)
    }

    /// The session as it is now.
    pub fn channel(&self) -> Channel {
        let words = self.row.owed().copied().collect();
        Channel { words, heard: self.row.heard(), last: self.row.last(), ..self.channel.clone() }
    }

    /// The session but for its words.
    pub fn identity(&self) -> &Channel {
        &self.channel
    }

    /// Whether the viewer's connection stands here.
    pub fn has_viewer(&self) -> bool {
        self.row.is_open(For::Viewer)
    }

    /// Whether it cannot be handed on yet: an attempt is out, or who gave it does not know that it is here.
    pub fn must_wait(&self) -> bool {
        let out = matches!(self.channel.live.attempt, Attempt::Out { .. });
        self.stage == Stage::Settled && (out || self.bound.is_some())
    }

    /// Whether nothing is owed to anybody.
    pub fn is_clear(&self) -> bool {
        let at_rest = matches!(self.stage, Stage::Settled | Stage::Closed { .. } | Stage::Over);
        at_rest && self.owed.is_empty() && self.row.owed().next().is_none()
    }

    /// A word of the session, by its owner. It goes to the neighbour too while one is asked.
    pub fn word(&mut self, to: For, what: Saying) -> Result<Vec<Output>, NoWord> {
        if !self.acts() || self.stage == Stage::Over {
            return Err(NoWord::NotOurs);
        }
        let after = self.row.last();
        let word = self.row.push(self.epoch, to, what)?;
        let mut out = Vec::new();
        if let Stage::Offering { to, epoch } | Stage::Held { to, epoch } = self.stage {
            out.push(Output::Tell(to, ToTaker::More { epoch, after, word }));
        }
        self.say(&mut out);
        Ok(out)
    }

    /// Takes one input.
    pub fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.take(input, &mut out);
        self.say(&mut out);
        out
    }

    /// What is due to receivers: by who acts, and by nobody else.
    fn say(&mut self, out: &mut Vec<Output>) {
        if self.acts() {
            let hold = matches!(self.stage, Stage::Held { .. });
            out.extend(self.row.due(hold).into_iter().map(Output::Say));
        }
    }

    /// What must hold.
    pub fn check(&self) -> Result<(), BrokenGiver> {
        self.row.check()?;
        let asked = self.channel.live.asked.len().max(self.late.len());
        if asked > MOST_ASKED {
            return Err(BrokenGiver::Asked(asked));
        }
        if self.owed.len() > MOST_OWED + 1 {
            return Err(BrokenGiver::Owed(self.owed.len()));
        }
        if let Stage::Offering { epoch, .. }
        | Stage::Held { epoch, .. }
        | Stage::Switched { epoch, .. }
        | Stage::GaveUp { epoch, .. } = self.stage
        {
            if epoch != self.epoch {
                return Err(BrokenGiver::Epoch(epoch));
            }
            if self.bound.is_some() {
                return Err(BrokenGiver::Bound);
            }
        }
        let gone = matches!(self.stage, Stage::Switched { .. } | Stage::GaveUp { .. } | Stage::Closed { .. });
        if gone && (self.flows.is_some() || matches!(self.channel.live.attempt, Attempt::Out { .. })) {
            return Err(BrokenGiver::UnderWay);
        }
        Ok(())
    }
}
