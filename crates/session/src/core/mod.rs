//! The state machine of all sessions of one front.

mod actions;
mod attempts;
mod check;
mod inputs;
mod list_news;
mod playing;
mod viewers;

use crate::gauge::Gauge;
use crate::held::Session;
use crate::learn::{Learning, Shelf};
use crate::list::{SavedList, ServerList};
use crate::lives::Lives;
use crate::policy::Policy;
use crate::routes::Routes;
use crate::stats::Stats;
use crate::terms::Terms;
use crate::timers::Timers;
use crate::types::*;
use cloverhollow::{Action, Event, RequestId, ServerId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// How often the module is asked again within one instant, for actions that end in that instant. Each such
/// round uses up an attempt, of which the settings allow 16 at most.
const MOST_ROUNDS: usize = 20;

/// Called with each step of the decision module: the time, its events, its actions.
pub type Tap = Box<dyn FnMut(Duration, &[Event], &[Action]) + Send>;

/// One front's sessions. See the crate's page.
pub struct Core<P, A, B> {
    policy: P,
    terms: Terms,
    routes: Arc<Routes>,
    stats: Arc<Stats>,
    tap: Option<Tap>,
    now: Duration,
    next_request: RequestId,
    sessions: BTreeMap<RequestId, Session<A>>,
    by_sid: HashMap<Sid, RequestId>,
    /// Attempts whose first byte may still be held back, by server.
    out_at: BTreeSet<(ServerId, AttemptId)>,
    list: ServerList,
    gauges: HashMap<ServerId, Arc<Gauge>>,
    lives: Lives,
    learning: Learning,
    timers: Timers,
    events: Vec<Event>,
    commands: Vec<Command<A, B>>,
    /// Requests that came and have neither been answered nor hung up.
    owed: usize,
}

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    /// A front that knows no server yet. `incarnation`: a number that no other start of it has.
    pub fn new(policy: P, terms: impl Into<Terms>, incarnation: u64) -> Self {
        let terms = terms.into();
        Core {
            policy,
            routes: Arc::new(Routes::default()),
            stats: Arc::new(Stats::default()),
            tap: None,
            now: Duration::ZERO,
            next_request: 1,
            sessions: BTreeMap::new(),
            by_sid: HashMap::new(),
            out_at: BTreeSet::new(),
            list: ServerList::default(),
            gauges: HashMap::new(),
            lives: Lives::new(terms.memory.as_ref()),
            learning: Learning::new(terms.memory.as_ref(), incarnation),
            timers: Timers::default(),
            events: Vec::new(),
            commands: Vec::new(),
            owed: 0,
            terms,
        }
    }

    /// Has each step of the module told to `tap`.
    pub fn set_tap(&mut self, tap: Tap) {
        self.tap = Some(tap);
    }

    /// Where playing sessions go.
    pub fn routes(&self) -> Arc<Routes> {
        self.routes.clone()
    }

    /// What this front knows of servers, for its peers.
    pub fn shelf(&self) -> Arc<Shelf> {
        self.learning.shelf()
    }

    /// Counts for operators.
    pub fn stats(&self) -> Arc<Stats> {
        self.stats.clone()
    }

    /// The list to be kept on disk.
    pub fn saved_list(&self) -> SavedList {
        self.list.save(self.now)
    }

    /// The server list.
    pub fn list(&self) -> &ServerList {
        &self.list
    }

    /// Sessions held, those being set up among them.
    pub fn held(&self) -> usize {
        self.sessions.len()
    }

    /// How much is kept of what comes and goes.
    pub fn kept(&self) -> Kept {
        Kept {
            servers: self.list.len(),
            gauges: self.gauges.len(),
            sessions: self.sessions.len(),
            timers: self.timers.len(),
        }
    }

    /// When [`Core::step`] must be called next though nothing has come in.
    pub fn next_due(&self) -> Option<Duration> {
        if self.events.is_empty() {
            self.timers.first()
        } else {
            Some(self.now)
        }
    }

    /// Takes all that has come in by one instant, in order of arrival, and what is due; gives what to do.
    ///
    /// Inputs go before timers: an answer that came in the same instant as its time-out counts.
    pub fn step(
        &mut self,
        now: Duration,
        inputs: impl IntoIterator<Item = Input<A, B>>,
    ) -> Vec<Command<A, B>> {
        let mut commands = self.take_in(now, inputs);
        commands.extend(self.decide());
        commands
    }

    /// The first half of a step: what follows from the inputs alone, answers of servers to those who wait for them among it.
    /// [`Core::decide`] comes next, before anything else is taken in. A shell that carries this out before it has the module
    /// decide lets no answer wait for what others are decided.
    pub fn take_in(
        &mut self,
        now: Duration,
        inputs: impl IntoIterator<Item = Input<A, B>>,
    ) -> Vec<Command<A, B>> {
        self.now = self.now.max(now);
        for input in inputs {
            self.take(input);
        }
        while let Some(due) = self.timers.pop(self.now) {
            self.fire(due);
        }
        std::mem::take(&mut self.commands)
    }

    /// The second half: the module decides, in the instant of the first.
    pub fn decide(&mut self) -> Vec<Command<A, B>> {
        for _ in 0..MOST_ROUNDS {
            if self.events.is_empty() {
                break;
            }
            let events = std::mem::take(&mut self.events);
            let actions = self.policy.step(self.now, &events);
            if let Some(tap) = &mut self.tap {
                tap(self.now, &events, &actions);
            }
            for action in actions {
                self.act(action);
            }
        }
        self.learning.publish();
        std::mem::take(&mut self.commands)
    }
}
