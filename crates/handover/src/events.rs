//! Where a session stands at its owner, what happens to it, and what is to be done.

use crate::ear::Say;
use crate::{For, FrontId, Kind, Live, Nth, ToGiver, ToTaker, WhyNot};
use cloverhollow_moves::Epoch;

/// Where a session stands at a front that owned it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// It is here.
    Settled,
    /// A neighbour was asked to hold it; it is here.
    Offering {
        /// Who was asked.
        to: FrontId,
        /// The step.
        epoch: Epoch,
    },
    /// The neighbour holds it; it is here until nothing is under way that only its owner hears.
    Held {
        /// Who holds it.
        to: FrontId,
        /// The step.
        epoch: Epoch,
    },
    /// The neighbour was told to take it. It is not here any more.
    Switched {
        /// Who was told.
        to: FrontId,
        /// The step.
        epoch: Epoch,
    },
    /// Nothing was heard of the neighbour for too long: the viewer was told, it may be there all the same.
    GaveUp {
        /// Who was told.
        to: FrontId,
        /// The step.
        epoch: Epoch,
    },
    /// It is there.
    Closed {
        /// Where.
        at: FrontId,
    },
    /// It is over, and was so here. Words for servers may still be owed.
    Over,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Input {
    /// The session is to go to that front.
    HandOn {
        /// Which.
        to: FrontId,
    },
    /// A front's answer.
    Answered {
        /// Whose.
        from: FrontId,
        /// What.
        answer: ToGiver,
    },
    /// A receiver confirmed all its words up to there.
    Confirmed {
        /// Who.
        by: For,
        /// Up to where.
        upto: Nth,
    },
    /// A connection to a receiver stands.
    Opened {
        /// To whom.
        to: For,
        /// Which kind of receiver it is.
        kind: Kind,
    },
    /// A connection to a receiver is known to be closed.
    Shut {
        /// To whom.
        to: For,
    },
    /// The viewer asked for an object.
    Asked {
        /// Its number.
        object: u64,
    },
    /// An object that was asked for begins to flow.
    Began {
        /// Its number.
        object: u64,
    },
    /// It has been answered whole, or broke off.
    Ended {
        /// Its number.
        object: u64,
    },
    /// The session changed: its attempts, where it plays, its rung. `asked` of it is not looked at.
    Changed(Live),
    /// What was begun last was not done in time.
    TimedOut {
        /// The step.
        epoch: Epoch,
    },
    /// The view takes that front for gone. It may be wrong.
    Suspected {
        /// Which.
        front: FrontId,
    },
    /// That front is known to have ended.
    Died {
        /// Which.
        front: FrontId,
    },
    /// The viewer has gone, or the session has ended.
    Gone,
    /// Time to say again what is owed.
    SayAgain,
}

/// What to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Output {
    /// Say something to a front.
    Tell(FrontId, ToTaker),
    /// Say a word of the session to its receiver, on the connection that stands.
    Say(Say),
    /// Close the connection to that receiver, and tell when it is known to be closed.
    Shut(For),
    /// The session is there. The viewer's requests are answered with where, what it asked for here included.
    HandedOn(FrontId),
    /// The session stays here for now; that front did not take it.
    Stayed(FrontId, Option<WhyNot>),
    /// That object is one too many: the viewer is to ask again.
    Busy(u64),
    /// The viewer is told for good that it failed: it was paid for, and is never set up again.
    Failed,
    /// The viewer is told to come again: its session may be set up anew.
    ComeAgain,
}
