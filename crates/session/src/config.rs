//! Configuration of the core, built from a front's YAML settings or from a platform's configuration.

use crate::arrival;
use cloverhollow_settings::{title_id, FrontSettings};
use std::sync::Arc;
use std::time::Duration;

/// Settings of one class of sessions that the core uses.
#[derive(Clone, Copy, Debug)]
pub struct ClassConfig {
    /// True if a set-up of this class must take effect at most once.
    pub paid: bool,
    /// Longest time that a viewer of this class waits for its answer.
    pub deadline: Duration,
}

/// Settings for state that outlives the process or is shared with peers.
#[derive(Clone, Debug)]
pub struct PersistenceConfig {
    /// Hash of the instance's name.
    pub instance_id: u64,
    /// Hash of the fleet's name.
    pub fleet_id: u64,
    /// Age from which an observation of a server is discarded.
    pub horizon: Duration,
    /// True if a retry budget applies, so that retries are recorded in the write-ahead log.
    pub retry_budget: bool,
    /// Longest delay between a server's start and the update of the server list that shows it.
    pub max_list_delay: Duration,
}

/// Configuration of the core, fixed at its start.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Classes of sessions, in the order that class indices refer to.
    pub classes: Vec<ClassConfig>,
    /// Bit rates of each class by rung, kbps.
    pub rates_kbps: Vec<Arc<[u32]>>,
    /// Names of the kinds of servers, in the order that kind indices refer to.
    pub server_kinds: Vec<String>,
    /// Zone of this front.
    pub zone: String,
    /// Time that a viewer refused by the core itself is asked to wait before its next request.
    pub retry_after: Duration,
    /// Time before a viewer's deadline at which its answer is given.
    pub answer_margin: Duration,
    /// Maximum number of sessions held, those being set up included.
    pub max_sessions: usize,
    /// Maximum number of requests that wait for the set-up of one session.
    pub max_waiting: usize,
    /// Maximum number of paid sessions remembered as possibly executed; beyond it the oldest is forgotten.
    pub max_paid_sessions: usize,
    /// Time after which a session with a silent player has ended. `None` if the servers report the ends of sessions.
    pub idle_timeout: Option<Duration>,
    /// Settings of persistence and peers. `None` if nothing is persisted and no peer requests knowledge.
    pub persistence: Option<PersistenceConfig>,
}

impl CoreConfig {
    /// Index of a kind by its name on the server list. An unknown name counts as the first kind.
    pub(crate) fn kind_index(&self, name: &str) -> usize {
        self.server_kinds.iter().position(|k| k == name).unwrap_or(0)
    }
}

impl From<&FrontSettings> for CoreConfig {
    fn from(settings: &FrontSettings) -> Self {
        let classes = &settings.classes.0;
        CoreConfig {
            classes: (classes.iter())
                .map(|c| ClassConfig { paid: c.at_most_once, deadline: c.deadline_ms.get() })
                .collect(),
            rates_kbps: (0..classes.len()).map(|c| arrival::rates_kbps(settings, c).into()).collect(),
            server_kinds: settings.fleet.kinds.iter().map(|k| k.name.as_str().to_owned()).collect(),
            zone: settings.instance.zone.as_str().to_owned(),
            retry_after: settings.limits.max_retry_after_ms.get(),
            answer_margin: settings.sessions.deadline_margin_ms.get(),
            max_sessions: settings.sessions.max_sessions.as_usize(),
            max_waiting: settings.sessions.max_waiting_requests.as_usize(),
            max_paid_sessions: settings.sessions.max_spent_sessions.as_usize(),
            idle_timeout: Some(settings.sessions.idle_timeout_ms.get()),
            persistence: Some(PersistenceConfig {
                instance_id: title_id(settings.instance.name.as_str()),
                fleet_id: title_id(settings.peers.fleet_name.as_str()),
                horizon: settings.peers.max_age_ms.get(),
                retry_budget: settings.rules.retry_budget.is_some(),
                max_list_delay: settings.discovery.max_list_delay_ms.get(),
            }),
        }
    }
}

impl From<Arc<FrontSettings>> for CoreConfig {
    fn from(settings: Arc<FrontSettings>) -> Self {
        (&*settings).into()
    }
}
