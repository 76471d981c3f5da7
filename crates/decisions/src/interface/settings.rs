//! Settings of a front, passed to a [`crate::SessionPolicy`] when it is created.

use std::time::Duration;

/// Settings of one front.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of fronts that send set-ups into the fleet, this one included.
    pub front_count: usize,
    /// Index of this front, from 0; `None` if the fronts have no indices that all of them agree on.
    pub front_index: Option<usize>,
    /// Classes of sessions; requests refer to them by index.
    pub classes: Vec<Class>,
    /// Ladder of bit rates, lowest first.
    pub ladder: Vec<Rung>,
    /// Tenants; requests refer to them by index.
    pub tenants: Vec<Tenant>,
    /// Worth of traffic beyond a tenant's quota, as a fraction of its ordinary worth.
    pub over_quota_worth: f64,
    /// Highest number of streams of one server, by kind of server.
    pub max_streams_by_kind: Vec<f64>,
    /// Capacity of a server's link for each unit of the server's weight.
    pub link_unit_kb_per_s: f64,
    /// True if a server's weight gives the size of its link; false if the streams of its kind do.
    pub sized_by_weight: bool,
    /// Mean capacity of a rack's uplink; 0 if uplinks do not limit.
    pub rack_uplink_kb_per_s: f64,
    /// Number of cells; a title is stored on a run of them. 0 if every server holds every title.
    pub cell_count: u64,
    /// Number of racks; a server's rack is its cell modulo this number. 0 if there are no racks.
    pub rack_count: u64,
    /// Load that a further viewer of the same live stream adds, as a fraction of its rate; 1 if viewers share
    /// nothing.
    pub join_cost_fraction: f64,
    /// Delay of session reports.
    pub report_delay: Duration,
    /// Interval between reports of a link's load; zero if there are none.
    pub report_interval: Duration,
    /// Limits that the caller sets.
    pub limits: Limits,
    /// Parameters of the placement rules.
    pub rules: Rules,
    /// True if changes of the server list are pushed; false if the front has to subscribe.
    pub list_pushed: bool,
}

/// A class of sessions.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Time within which a set-up should lead to playing.
    pub target_setup_time: Duration,
    /// True if a set-up may be executed only once.
    pub at_most_once: bool,
    /// Relative value to the operator of playing for one second at a rung of worth 1.
    pub worth: f64,
    /// Factor between the class's rates and those of the ladder.
    pub rate_scale: f64,
    /// Lowest rung that the class may play at.
    pub min_rung: usize,
    /// Highest rung that the class may play at.
    pub max_rung: usize,
    /// True if the titles of the class are live streams.
    pub live: bool,
    /// Highest number of sessions of one title at this front; 0 for no limit.
    pub max_sessions_per_title: usize,
}

/// One rung of the ladder.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rung {
    /// Bit rate of the rung.
    pub rate_kb_per_s: f64,
    /// Relative value of playing at the rung; 1 for the highest.
    pub worth: f64,
}

/// A tenant and its quota.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tenant {
    /// Requests a second that the tenant may make over all fronts; 0 if unknown.
    pub quota_per_s: f64,
}

/// Limits that the caller sets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limits {
    /// Highest number of attempts for one request.
    pub max_attempts: u32,
    /// Longest retry-after delay that clients respect; zero if they respect none.
    pub max_retry_after: Duration,
}

/// Parameters of the placement rules.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rules {
    /// Time after its start within which a server becomes warm.
    pub warm_up: Duration,
    /// Fraction of its capacity that a server has at its start.
    pub cold_capacity_fraction: f64,
    /// Multiple of its present capacity at which a cold server is overloaded.
    pub overload_multiple: f64,
    /// Window in which a cold server's set-ups are counted.
    pub overload_window: Duration,
    /// Set-ups that a window may hold beyond the number N that the multiple gives.
    pub overload_margin: f64,
    /// Factor of the square root of N, for still more set-ups in a window.
    pub overload_margin_root: f64,
    /// Budget of retries; `None` if retries are not limited.
    pub retry_budget: Option<RetryBudget>,
    /// Longest time between two subscriptions to a list that is not pushed.
    pub list_refresh_interval: Duration,
}

/// A budget of retries, counted over a sliding window.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudget {
    /// Retries that are always allowed in a window.
    pub base: f64,
    /// Further retries allowed for each request accepted in the window.
    pub per_request: f64,
    /// Length of the window.
    pub window: Duration,
}
