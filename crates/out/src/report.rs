//! Reports of the fronts to a driver, and the actions of a driver.

use crate::change::Change;
use crate::halt_detector::Tally;
use crate::order::{FencedOrder, Generation};
use crate::types::{Place, Term};
use std::time::Duration;

/// Maximum number of fronts whose reports a driver uses; of more, it uses those with the lowest names.
pub const MAX_REPORTS: usize = 4_096;

/// Service state of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServiceState {
    /// In service.
    Serving,
    /// Draining, out of service or warming up under a permit.
    OutByPermit,
    /// Ordered out of service by the platform or an operator. A release waits for such a front.
    OutByOrder,
}

/// Report of a front about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FrontReport {
    /// Location of the front.
    pub place: Place,
    /// Time of receipt on the driver's clock.
    pub received_at: Duration,
    /// Version that the front runs, as named by [`crate::ReleaseTarget::version_id`].
    pub running: u64,
    /// Newest text that the front has staged and checked.
    pub newest_staged: Generation,
    /// True if a text failed its checks at the front.
    pub staging_failed: bool,
    /// Service state of the front.
    pub service_state: ServiceState,
    /// True if the front has an order to restart that it has not completed.
    pub restart_pending: bool,
    /// Time for which the front has been waiting for a permit; `None` if it is not waiting.
    pub permit_wait: Option<Duration>,
    /// Number of consecutive failed restarts.
    pub failed_restarts: u16,
    /// True if a rule checker or an invariant has failed at the front.
    pub rule_violated: bool,
    /// Paid requests since the start of the process.
    pub paid: Tally,
    /// Highest fencing token that the front has seen.
    pub fence: Term,
}

/// Action that the caller performs for a driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DriverAction {
    /// Submit a change to the witnesses and pass its outcome to [`crate::Driver::handle_outcome`].
    Submit(Change),
    /// Send an order to the front of that name.
    Send(u64, FencedOrder),
}

/// Severity of a front's failures: rule violations first, then failed restarts, then the share of paid
/// requests that were not served (in thousandths).
pub(crate) fn failure_severity(report: &FrontReport) -> u64 {
    let not_served = u64::from(report.paid.requested.saturating_sub(report.paid.served)) * 1_000;
    let share = not_served.checked_div(report.paid.requested.into()).unwrap_or(0);
    u64::from(report.rule_violated) << 32 | u64::from(report.failed_restarts) << 16 | share
}
