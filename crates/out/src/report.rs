//! What fronts say of themselves to a driver, and what it has done.

use crate::change::Change;
use crate::halts::Tally;
use crate::staged::{Act, Generation};
use crate::types::{Place, Term};
use std::time::Duration;

/// Most fronts that a driver takes reports of; of more it takes those of the lowest names.
pub const MOST_REPORTS: usize = 4_096;

/// Whether a front is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Out {
    /// It serves.
    Serves,
    /// It goes, is out or warms, by a permit.
    Permit,
    /// The platform or an operator told it to: the release waits for it.
    Told,
}

/// What a front says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    /// Where it stands.
    pub place: Place,
    /// When it was last heard of, on the driver's clock.
    pub heard: Duration,
    /// What it runs, as [`What::target`] names it.
    pub runs: u64,
    /// The newest text that is staged and checked there.
    pub staged: Generation,
    /// A text did not pass its checks there.
    pub bad_text: bool,
    /// Whether it is out.
    pub out: Out,
    /// It has an order to go that it has not followed to its end.
    pub goes: bool,
    /// How long it has waited for a permit.
    pub waits: Option<Duration>,
    /// Restarts that failed, in a row.
    pub failed: u16,
    /// A rule's checker, or an invariant, has failed there.
    pub rule: bool,
    /// Paid requests, since it started.
    pub paid: Tally,
    /// The highest fence that it has seen.
    pub fence: Term,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Do {
    /// Ask the witnesses; how that ended goes to [`Driver::told`].
    Ask(Change),
    /// Tell a front.
    Act(u64, Act),
}

/// Who does worst has the highest: rules first, then failed restarts, then paid requests that were not
/// served.
pub(crate) fn does_worse(r: &Report) -> u64 {
    let not_served = u64::from(r.paid.asked.saturating_sub(r.paid.served)) * 1_000;
    let share = not_served.checked_div(r.paid.asked.into()).unwrap_or(0);
    u64::from(r.rule) << 32 | u64::from(r.failed) << 16 | share
}
