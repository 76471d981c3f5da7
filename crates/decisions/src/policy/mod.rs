//! Placement policy of one front. Its settings, events and actions are defined in `interface`.
//!
//! Reading order: constants and state in this file; `account` (load of one link), `ledger` (load of all links
//! and demand of other fronts), `servers` (server list, cold servers, health), `admission` (choice of server
//! and rung), `attempts`, `reports`. In `attempts`, `send` is the only function that sends set-ups,
//! `set_rung` the only one that sets rungs and `answer` the only one that gives final answers.

mod account;
mod admission;
mod attempts;
mod ledger;
mod reports;
mod servers;

use crate::interface::*;
use account::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Utilization that a link or uplink may reach; the paper's example of an operator's threshold.
const MAX_UTILIZATION: f64 = 0.95;
/// Time over which a reading fades to the typical demand, or to zero, as in the design.
const FADE_TIME: Duration = Duration::from_secs(30);
/// Shortest time between two steps down of one session, as in the design.
const STEP_DOWN_INTERVAL: Duration = Duration::from_secs(30);
/// Delivered share below which a link counts as short of capacity; servers report shares below the same
/// bound.
const MIN_DELIVERED_SHARE: f64 = 0.98;
/// Length of a time slot at a cold server, in overload windows.
const SLOT_LENGTH_WINDOWS: f64 = 2.0;
/// Longest time from the decision on a set-up to its arrival, including the difference of the fronts' clocks.
const MAX_SETUP_DELAY: Duration = Duration::from_millis(250);
/// Part of `MAX_SETUP_DELAY` for the network and the difference of the clocks.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(50);
/// Exponent that turns the relative worth per kB of a rung's step into its utilization limit.
const LIMIT_EXPONENT: f64 = 0.15;
/// Typical age of a load report that does not give its age: half a usual refresh and the network delay.
const TYPICAL_REPORT_AGE: Duration = Duration::from_millis(500);
/// Backoff after a server's first failure, doubled for each further one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Longest backoff, short enough to find a recovered server within a fraction of a usual outage.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Time limit of an attempt as a fraction of the class's target, so that a second attempt can still meet it.
const ATTEMPT_TIME_FRACTION: f64 = 0.5;
/// Interval between reports of short delivery from one server.
const SHORT_DELIVERY_INTERVAL: Duration = Duration::from_secs(1);
/// Utilization added to servers of other zones when servers are compared. Readings have about as much noise,
/// so that servers that differ by less are equal and the front's own zone is preferred.
const OTHER_ZONE_PENALTY: f64 = 0.04;
/// Replaces zero as a divisor.
const EPSILON: f64 = 1e-9;
/// Token of the timer that renews the subscription to the server list.
const RESUBSCRIBE_TOKEN: u64 = 1;

fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

#[derive(Default)]
struct Server {
    entry: ListEntry,
    link: LinkAccount,
    /// Capacity of the link when the server is warm, kB a second.
    rated_capacity: f64,
    /// Demand of this front's sessions at the server.
    own: OwnDemand,
    /// Start of the server's warm-up: its last known start, or its first success after a possible restart.
    cold_since: Option<Duration>,
    /// The server failed in a way that may mean a restart, so it counts as cold until it works again.
    may_have_restarted: bool,
    /// Failures since the last success.
    failures: u32,
    /// An error was recorded since the last success. Only the first error of each request is recorded.
    error_since_success: bool,
    suspended_until: Duration,
    /// A set-up that tests whether the server works again has been sent and has not ended.
    probe_in_flight: bool,
    /// Time of the last report of short delivery, unless a report of full delivery came after it.
    short_delivery_at: Option<Duration>,
    /// Time of this front's last set-up at the server.
    last_setup_at: Option<Duration>,
    sessions: BTreeSet<RequestId>,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum SessionState {
    #[default]
    Waiting,
    /// An attempt is in flight at the server.
    SettingUp(ServerId),
    /// The session plays at the server, since the given time.
    Playing(ServerId, Duration),
}

#[derive(Default)]
struct Session {
    request: SessionRequest,
    state: SessionState,
    rung: usize,
    attempts: u32,
    /// Server that last replied to the request with an error; not selected for it again.
    error_server: Option<ServerId>,
    /// A server may have executed an attempt.
    possibly_executed: bool,
    /// The request needs no answer any more.
    settled: bool,
    last_step_down_at: Option<Duration>,
    /// The session was adopted and this front has not chosen its rung yet.
    rung_undecided: bool,
}

/// Placement policy of one front.
pub struct SessionPolicy {
    settings: Settings,
    rng: fastrand::Rng,
    now: Duration,
    /// Actions of the current step.
    actions: Vec<Action>,
    servers: BTreeMap<ServerId, Server>,
    racks: BTreeMap<u64, Rack>,
    /// Number of this front's sessions at all servers, as the `reserved` value of an account that also
    /// records its recent past. The other fields of the account are unused.
    session_count: LinkAccount,
    sessions: BTreeMap<RequestId, Session>,
    /// Times of the requests accepted within the window of the retry budget.
    request_times: VecDeque<Duration>,
    /// Times of the retries sent within that window.
    retry_times: VecDeque<Duration>,
    /// Time until which previous incarnations may have used up the retry budget.
    budget_unproven_until: Duration,
    /// Time of the last set-up that a previous incarnation may have sent.
    recovered_setup_at: Option<Duration>,
    /// Time until which any server may have restarted while this front was down.
    restarts_unknown_until: Duration,
    /// Content of the last fleet size event (`None` inside: no bound is known); `None` if there was none.
    fleet_size: Option<Option<usize>>,
    /// Time by which the clock shared by all fronts is ahead of `now`.
    clock_offset: Duration,
    /// Requests to be placed again in this step.
    retry_queue: Vec<RequestId>,
    /// Servers whose link load was reported in this step.
    reported_servers: Vec<ServerId>,
    /// Time of the last estimate of the other fronts' demand.
    estimated_at: Option<Duration>,
    /// Mean rate of this front's sessions at `estimated_at`, kB a second.
    session_rate: f64,
    /// For each class and rung, the utilization up to which the rung is granted.
    utilization_limits: Vec<Vec<f64>>,
}

impl SessionPolicy {
    /// Creates the policy of a front that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let utilization_limits = settings.classes.iter().map(|c| utilization_limits(&settings, c)).collect();
        SessionPolicy {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            actions: Vec::new(),
            servers: BTreeMap::new(),
            racks: BTreeMap::new(),
            session_count: LinkAccount::default(),
            sessions: BTreeMap::new(),
            request_times: VecDeque::new(),
            retry_times: VecDeque::new(),
            budget_unproven_until: Duration::ZERO,
            recovered_setup_at: None,
            restarts_unknown_until: Duration::ZERO,
            fleet_size: None,
            clock_offset: Duration::ZERO,
            retry_queue: Vec::new(),
            reported_servers: Vec::new(),
            estimated_at: None,
            session_rate: EPSILON,
            utilization_limits,
        }
    }

    /// Returns the number of servers tracked: those listed, and removed ones that still have sessions.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Handles all events of one instant and returns the actions to carry out, in order. List updates,
    /// reports and ends of attempts take effect before any request is placed.
    pub fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut accepted = Vec::new();
        for event in events {
            match event {
                Event::ListUpdate(mode, entries) => self.update_list(*mode, entries),
                Event::Request(request) => accepted.extend(self.accept(request)),
                Event::Adopted(request, server_id) => self.adopt(request, *server_id),
                Event::Playing(id, _, server_id, _) => self.session_playing(*id, *server_id),
                Event::SessionReport(id, server_id, report) => {
                    self.apply_session_report(*id, *server_id, *report)
                }
                Event::AttemptEnded(id, attempt, server_id, outcome, closed, load) => {
                    self.apply_load_report(*server_id, TYPICAL_REPORT_AGE, *load);
                    self.attempt_ended(*id, *attempt, *server_id, *outcome, *closed)
                }
                Event::ViewerLeft(id) => self.viewer_left(*id),
                Event::PeerReport(report) => self.apply_peer_report(report),
                Event::RecoveredHistory(history) => self.restore_history(history),
                Event::ClockOffset(offset) => self.clock_offset = *offset,
                Event::FleetSize { max_fronts } => self.set_fleet_size(*max_fronts),
                Event::Timer(RESUBSCRIBE_TOKEN) => self.actions.push(Action::Subscribe),
                Event::Timer(_) => {}
            }
        }
        for id in std::mem::take(&mut self.retry_queue).into_iter().chain(accepted) {
            self.place(id);
        }
        for server_id in std::mem::take(&mut self.reported_servers) {
            self.raise_adopted(server_id);
        }
        std::mem::take(&mut self.actions)
    }
}

impl Session {
    /// Returns the server at which the session is set up or plays.
    fn server(&self) -> Option<ServerId> {
        match self.state {
            SessionState::Waiting => None,
            SessionState::SettingUp(server_id) | SessionState::Playing(server_id, _) => Some(server_id),
        }
    }
}

/// Returns the utilization limit of each rung for a class: `MAX_UTILIZATION` up to the rung with the most
/// worth per kB. For each rung above it, the limit is scaled down by the ratio of the worth per kB of its
/// step to the best one, raised to `LIMIT_EXPONENT`.
fn utilization_limits(settings: &Settings, class: &Class) -> Vec<f64> {
    let mut best_density = 0.0f64;
    let mut limits = Vec::new();
    for (i, rung) in settings.ladder.iter().enumerate() {
        let below = if i <= class.min_rung { Rung::default() } else { settings.ladder[i - 1] };
        let density = (rung.worth - below.worth) / (rung.rate_kb_per_s - below.rate_kb_per_s).max(EPSILON);
        best_density = best_density.max(density);
        let relative = if best_density > 0.0 { (density / best_density).clamp(0.0, 1.0) } else { 1.0 };
        limits.push(MAX_UTILIZATION * relative.powf(LIMIT_EXPONENT));
    }
    limits
}
