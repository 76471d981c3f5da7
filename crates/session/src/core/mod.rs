//! State machine of all sessions of one front.

mod actions;
mod attempts;
mod check;
mod inputs;
mod list_updates;
mod playing;
mod viewers;

use crate::config::CoreConfig;
use crate::history::FrontHistory;
use crate::knowledge::{KnowledgeExchange, SnapshotCell};
use crate::list::{SavedList, ServerList};
use crate::policy::Policy;
use crate::report_throttle::ReportThrottle;
use crate::routes::Routes;
use crate::session_state::Session;
use crate::stats::Stats;
use crate::timers::Timers;
use crate::types::*;
use cloverhollow::{Action, Event, RequestId, ServerId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of times that the policy is stepped in one instant, for actions that end in that instant. Each
/// round uses up an attempt, and the settings allow at most 16 attempts.
const MAX_POLICY_ROUNDS: usize = 20;

/// Callback that receives each step of the policy: the time, its events and its actions.
pub type StepObserver = Box<dyn FnMut(Duration, &[Event], &[Action]) + Send>;

/// All sessions of one front. The crate's documentation describes how a request passes through it.
pub struct Core<P, A, B> {
    policy: P,
    config: CoreConfig,
    routes: Arc<Routes>,
    stats: Arc<Stats>,
    step_observer: Option<StepObserver>,
    now: Duration,
    next_request: RequestId,
    sessions: BTreeMap<RequestId, Session<A>>,
    by_sid: HashMap<SessionId, RequestId>,
    /// Attempts that have neither been answered nor ended, by server.
    pending_attempts: BTreeSet<(ServerId, AttemptId)>,
    list: ServerList,
    report_throttles: HashMap<ServerId, Arc<ReportThrottle>>,
    history: FrontHistory,
    knowledge: KnowledgeExchange,
    timers: Timers,
    /// Events for the next step of the policy.
    events: Vec<Event>,
    /// Commands not yet returned to the caller.
    commands: Vec<Command<A, B>>,
    /// Number of requests that have neither been answered nor abandoned by their viewer.
    pending_answers: usize,
}

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    /// Creates a core that knows no server yet. `incarnation` must differ from that of every other start of this
    /// front.
    pub fn new(policy: P, config: impl Into<CoreConfig>, incarnation: u64) -> Self {
        let config = config.into();
        Core {
            policy,
            routes: Arc::new(Routes::default()),
            stats: Arc::new(Stats::default()),
            step_observer: None,
            now: Duration::ZERO,
            next_request: 1,
            sessions: BTreeMap::new(),
            by_sid: HashMap::new(),
            pending_attempts: BTreeSet::new(),
            list: ServerList::default(),
            report_throttles: HashMap::new(),
            history: FrontHistory::new(&config),
            knowledge: KnowledgeExchange::new(config.persistence.as_ref(), incarnation),
            timers: Timers::default(),
            events: Vec::new(),
            commands: Vec::new(),
            pending_answers: 0,
            config,
        }
    }

    /// Sets the callback that receives each step of the policy.
    pub fn set_step_observer(&mut self, observer: StepObserver) {
        self.step_observer = Some(observer);
    }

    /// Routes of playing sessions.
    pub fn routes(&self) -> Arc<Routes> {
        self.routes.clone()
    }

    /// Snapshot of this front's knowledge of servers, for its peers.
    pub fn knowledge_snapshot(&self) -> Arc<SnapshotCell> {
        self.knowledge.snapshot()
    }

    /// Counters for operators.
    pub fn stats(&self) -> Arc<Stats> {
        self.stats.clone()
    }

    /// Copy of the server list to persist.
    pub fn saved_list(&self) -> SavedList {
        self.list.to_saved(self.now)
    }

    /// Current server list.
    pub fn server_list(&self) -> &ServerList {
        &self.list
    }

    /// Number of sessions held, those being set up included.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Numbers of items held, to detect leaks.
    pub fn retained_counts(&self) -> RetainedCounts {
        RetainedCounts {
            servers: self.list.len(),
            report_throttles: self.report_throttles.len(),
            sessions: self.sessions.len(),
            timers: self.timers.len(),
        }
    }

    /// Time at which [`Core::step`] must be called next if no input arrives before. `None` if no timer is armed.
    pub fn next_deadline(&self) -> Option<Duration> {
        if self.events.is_empty() {
            self.timers.first_deadline()
        } else {
            Some(self.now)
        }
    }

    /// Processes all inputs of one instant in order of arrival, then the timers that are due, and returns the
    /// commands to carry out.
    ///
    /// Inputs go before timers: an answer that arrives in the same instant as its time-out counts.
    pub fn step(
        &mut self,
        now: Duration,
        inputs: impl IntoIterator<Item = Input<A, B>>,
    ) -> Vec<Command<A, B>> {
        let mut commands = self.process_inputs(now, inputs);
        commands.extend(self.decide());
        commands
    }

    /// First half of a step: returns the commands that follow from the inputs alone, such as servers' answers to
    /// waiting viewers.
    ///
    /// [`Core::decide`] must be called before any further inputs are processed. A caller that carries these commands
    /// out first delays no answer by decisions about other sessions.
    pub fn process_inputs(
        &mut self,
        now: Duration,
        inputs: impl IntoIterator<Item = Input<A, B>>,
    ) -> Vec<Command<A, B>> {
        self.now = self.now.max(now);
        for input in inputs {
            self.process_input(input);
        }
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.fire(timer);
        }
        std::mem::take(&mut self.commands)
    }

    /// Second half of a step: runs the policy in the instant of the first half and returns the resulting commands.
    pub fn decide(&mut self) -> Vec<Command<A, B>> {
        for _ in 0..MAX_POLICY_ROUNDS {
            if self.events.is_empty() {
                break;
            }
            let events = std::mem::take(&mut self.events);
            let actions = self.policy.step(self.now, &events);
            if let Some(observer) = &mut self.step_observer {
                observer(self.now, &events, &actions);
            }
            for action in actions {
                self.execute_action(action);
            }
        }
        self.knowledge.publish();
        std::mem::take(&mut self.commands)
    }
}
