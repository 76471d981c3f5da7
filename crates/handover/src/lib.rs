//! A live session handed on to another front, no word lost: protocol state without I/O.
//!
//! The giver holds the session; the taker is a front of the neighbouring hall. Messages may be lost, doubled and late. As in
//! `cloverhollow-moves`, from which [`Epoch`] and [`PendingReleases`] are: each step carries an epoch that only rises; words are numbered and
//! owed until they are confirmed. Who may be wrong about whom is in `docs/changes.md`.
//!
//! # Who may act
//!
//! To act is to say a word of the session, or to make an attempt for it.
//!
//! | giver | taker | who acts | the ledger counts it at |
//! |---|---|---|---|
//! | [`Stage::Settled`], `Offering`, `Held` | nothing, or holds | the giver | the giver, and the taker if it holds |
//! | `Switched` | holds: the word is on its way | nobody | both |
//! | `Switched` | owns: its word is on its way | the taker | both |
//! | `Switched` | let go, and says so | nobody, until the giver hears it | the giver |
//! | `GaveUp` | as in the three above | as in the three above | as in the three above |
//! | `Closed` | owns | the taker | the taker |
//!
//! A giver that sent `Switch` is not the owner any more, whatever it believes, until the taker says `LetGo` of that step (it has
//! then fenced the step: no copy of the switch is taken), or is **known** to have died. A taker that owns hands nothing
//! on before its giver has said `Done`, or is known to have died: else a giver that hears of its death too late to
//! know would go on beside a third front. So one acts at a time, and there is a time at which nobody does. That time
//! is bounded: [`Input::TimedOut`] leads to `GaveUp`, and the viewer is told by rule 2's terms ([`Output::Failed`] if
//! its set-up was paid for, else [`Output::ComeAgain`]).
//!
//! # Each word once and in order
//!
//! - [`Kind::Numbered`] receivers (our own fronts' viewers, servers that confirm by number; [`Ear`] is their side) drop what
//!   they have seen and take nothing before its turn. The giver switches with words under way; the taker says all that is not
//!   confirmed again, under the same numbers. Once and in order, whoever dies.
//! - [`Kind::Plain`] receivers (an old protocol) take all that comes. The giver writes nothing more to them once the taker
//!   holds the session, and does not switch until each word written is confirmed or its connection is closed: after one
//!   time-out it asks for that ([`Output::Shut`]). Once and in order while connections last. A word whose connection closed before
//!   it was confirmed may have been taken: it is said again only if that does no harm ([`Saying::repeats`]), so those are
//!   taken once or more, in order but for the copy, and the others once or never.
//!
//! A taker that died between `Switch` and `Owns` may have said words to plain receivers: what does harm twice is not said
//! again to them. What it had on its connections may still be read after what the giver says next: to plain receivers, over a
//! death, order is not kept. What a front took down and did not say before it died is lost with it.
//!
//! # Deaths
//!
//! | who dies | when | what is then known | who acts | what the viewer sees |
//! |---|---|---|---|---|
//! | giver | before `Switch` | the taker holds, and does not know whether another does too | nobody: the taker lets go | its connection ends; it comes again, by rule 2's terms |
//! | giver | `Switch` on its way | the same | the taker, if that comes before word of the death; else nobody | the same |
//! | giver | the taker owns | all, at the taker | the taker; it is free to hand on | its connection ends; it goes on if it was told where, else rule 2's terms, and the taker's part ends as idle |
//! | giver | `Closed` | all, at the taker | the taker | nothing, once it was told where |
//! | taker | before `Switch` | all, at the giver | the giver: the next neighbour | nothing |
//! | taker | after `Switch`, before `Owns` is heard | what the giver knew; whether it was owned is not known | the giver, once the death is **known**; not yet set up and paid for: nobody | a wait; then it goes on, or [`Output::Failed`] |
//! | taker | the giver has `Closed` | as of any front's death | nobody | its connection ends; rule 2's terms |
//! | both | any | nothing | nobody | its connection ends; rule 2's terms |
//!
//! One that stands still, or is cut off, is silent and nothing else: offers end by [`OFFER_FOR`], holds by [`HOLD_FOR`], a switch of
//! which nothing is heard by [`GIVE_UP`]. What it does when it goes on is harmless by its step's number.
//!
//! # What the shell must do
//!
//! - [`Input::Died`] only of a front that is known to have ended: a later process under its name has spoken, or the
//!   platform says so. What the view thinks is [`Input::Suspected`]; it may be wrong and never makes two owners.
//! - A [`FrontId`] names one process; what is for another does not reach this one.
//! - Connections carry bytes in order; [`Input::Shut`] only when nothing that was written on it can still be read, or the receiver counts.
//! - A record of a session that is [`Stage::Closed`] or over, and a taker's fence, are kept for [`KEEP`] at least, and longer
//!   than any message may be late. A front without a record answers [`ToGiver::Owns`] by [`ToTaker::Done`], and a
//!   [`ToTaker::Switch`] not at all.
//! - A front that begins to go out lets go of what it holds ([`Input::TimedOut`] of that step), refuses offers as
//!   [`WhyNot::GoingOut`], and adds what still comes ([`Act::Mine`]) to its [`Stream`].
//! - Who keeps a receiver that counts remembers its [`Ear`] over connections, and says what it has on each new one
//!   ([`Input::Confirmed`]).

mod choose;
mod ear;
mod ends;
mod events;
mod giver;
mod hand;
mod ledger;
mod messages;
mod side;
mod stream;
mod taker;
mod types;
mod wave;
mod words;

pub use choose::{choose, Need, Neighbour, MOST_TRIED};
pub use cloverhollow_moves::{Epoch, PendingReleases};
pub use ear::{Ear, Say, Took};
pub use events::{Input, Output, Stage};
pub use giver::{BrokenGiver, Giver, MOST_LATE, MOST_OWED};
pub use ledger::{counted, load, Counted};
pub use messages::*;
pub use side::{Act, Broken, Event, Side};
pub use stream::{BrokenStream, Stream};
pub use taker::{BrokenTaker, Reply, Taker};
pub use types::*;
pub use wave::*;
pub use words::{BrokenRow, NoWord, Row};
