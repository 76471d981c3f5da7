//! What fronts say of themselves to a driver, and what it has done.

use crate::change::Change;
use crate::halt_detector::Tally;
use crate::staged_config::{FencedOrder, Generation};
use crate::types::{Place, Term};
use std::time::Duration;

/// Most fronts that a driver takes reports of; of more it takes those of the lowest names.
pub const MAX_REPORTS: usize = 4_096;

/// Whether a front is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServiceState {
    /// It serves.
    Serving,
    /// It goes, is out or warms, by a permit.
    OutByPermit,
    /// The platform or an operator told it to: the release waits for it.
    OutByOrder,
}

/// What a front says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FrontReport {
    /// Where it stands.
    pub place: Place,
    /// When it was last heard of, on the driver's clock.
    pub received_at: Duration,
    /// What it runs, as [`What::target`] names it.
    pub running: u64,
    /// The newest text that is staged and checked there.
    pub newest_staged: Generation,
    /// A text did not pass its checks there.
    pub staging_failed: bool,
    /// Whether it is out.
    pub service_state: ServiceState,
    /// It has an order to go that it has not followed to its end.
    pub restart_pending: bool,
    /// How long it has waited for a permit.
    pub permit_wait: Option<Duration>,
    /// Restarts that failed, in a row.
    pub failed_restarts: u16,
    /// A rule's checker, or an invariant, has failed there.
    pub rule_violated: bool,
    /// Paid requests, since it started.
    pub paid: Tally,
    /// The highest fence that it has seen.
    pub fence: Term,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DriverAction {
    /// Ask the witnesses; how that ended goes to [`Driver::told`].
    Submit(Change),
    /// Tell a front.
    Send(u64, FencedOrder),
}

/// Who does worst has the highest: rules first, then failed restarts, then paid requests that were not
/// served.
pub(crate) fn does_worse(r: &FrontReport) -> u64 {
    let not_served = u64::from(r.paid.requested.saturating_sub(r.paid.served)) * 1_000;
    let share = not_served.checked_div(r.paid.requested.into()).unwrap_or(0);
    u64::from(r.rule_violated) << 32 | u64::from(r.failed_restarts) << 16 | share
}
