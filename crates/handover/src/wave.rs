//! A wave: its bounds, its order, how far it is.

use crate::FrontId;
use cloverhollow_moves::Epoch;
use std::time::Duration;
use thiserror::Error;

/// Most sessions of one wave at one front.
pub const MOST_QUEUED: usize = 65_536;
/// A session that full neighbours keep waiting stays after so many of [`Limits::full_for`].
pub const MOST_ROUNDS: u32 = 3;
/// What is not confirmed is said again after so long.
pub const AGAIN: Duration = Duration::from_millis(250);
/// An offer that is not taken, or whose session is not free to go, ends after so long.
pub const OFFER_FOR: Duration = Duration::from_secs(3);
/// After a switch of which nothing is heard the viewer is told after so long. Longer than a front that stood still is suspected.
pub const GIVE_UP: Duration = Duration::from_secs(10);
/// A neighbour holds a session that it does not own for so long: past [`GIVE_UP`], so that a giver that waits may still go on.
pub const HOLD_FOR: Duration = Duration::from_secs(20);
/// For so long what is over is remembered: longer than a giver waits and than a message is late.
pub const KEEP: Duration = Duration::from_secs(60);

/// A session, as the shell names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Which go first: paid, then playing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Its set-up was paid for.
    pub paid: bool,
    /// It plays.
    pub playing: bool,
}

/// How much at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Sessions under way at once.
    pub under_way: usize,
    /// Of those to one neighbour.
    pub to_one: usize,
    /// A neighbour that refused as full is not asked for so long.
    pub full_for: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { under_way: 64, to_one: 16, full_for: Duration::from_secs(2) }
    }
}

/// What the plan says where sessions stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// The wave waits until all are handed on or over.
    Waits,
    /// The front goes out without them.
    Without,
}

/// How far it is. Their sum is all that were added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Not yet begun, or to be tried again.
    pub waiting: usize,
    /// Under way.
    pub under_way: usize,
    /// At another front.
    pub handed_on: usize,
    /// Taken by nobody: still here.
    pub stayed: usize,
    /// Over meanwhile by itself.
    pub over: usize,
    /// Given up, or failed by its taker's death.
    pub lost: usize,
}

impl Progress {
    /// Whether the front may go out now.
    pub fn may_go(&self, plan: Plan) -> bool {
        self.waiting == 0 && self.under_way == 0 && (plan == Plan::Without || self.stayed == 0)
    }
}

/// A session to be begun: `Input::HandOn`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Which.
    pub key: Key,
    /// To whom.
    pub to: FrontId,
}

/// What one that is under way needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// `Input::SayAgain`.
    Again(Key),
    /// `Input::TimedOut` of that step.
    TimedOut(Key, Epoch),
}

/// Why one is not added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoRoom {
    /// [`MOST_QUEUED`] wait or are under way.
    #[error("{MOST_QUEUED} sessions are in it")]
    Full,
    /// It waits, or is under way.
    #[error("it is in it already")]
    Twice,
}
