//! The state machine of all sessions of one front.

mod actions;
mod attempts;
mod check;
mod list_news;
mod playing;
mod viewers;

use crate::gauge::Gauge;
use crate::held::{Phase, Session};
use crate::learn::{Learning, Shelf};
use crate::list::{SavedList, ServerList};
use crate::lives::Lives;
use crate::policy::Policy;
use crate::routes::Routes;
use crate::stats::Stats;
use crate::terms::Terms;
use crate::timers::{Due, Timers};
use crate::types::*;
use cloverhollow::{Action, Before, Event, RequestId, ServerId};
use cloverhollow_recovery::{Recovered, Trust};
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
        self.now = self.now.max(now);
        for input in inputs {
            self.take(input);
        }
        while let Some(due) = self.timers.pop(self.now) {
            self.fire(due);
        }
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

    fn take(&mut self, input: Input<A, B>) {
        match input {
            Input::Arrived(arrival) => self.arrived(arrival),
            Input::HungUp { viewer, sid } => self.hung_up(viewer, &sid),
            Input::Playing { attempt, load, answer } => self.playing(attempt, load, answer),
            Input::AttemptEnded { attempt, end, load } => self.attempt_ended(attempt, end, load),
            Input::Reading { request, server, load } => self.reading(request, server, load),
            Input::Lost { request } => self.over(request, OverWhy::Lost, Load::default()),
            Input::Over { sid, why, load } => {
                if let Some(request) = self.by_sid.get(&sid).copied() {
                    self.over(request, why, load);
                }
            }
            Input::Adopted { arrival, server } => self.adopted(arrival, server),
            Input::Note { sid, note } => self.note(&sid, note),
            Input::List(news) => self.news(news),
            Input::Told { peer, asked_at, nonce, message } => {
                let merged = self.learning.merge(self.now, asked_at, nonce, &message);
                let outcome = merged.map(|(heard, said)| {
                    self.events.extend(heard.into_iter().map(Event::Heard));
                    said
                });
                if let Err(error) = outcome {
                    tracing::warn!(%peer, %error, "a peer's word is not taken");
                }
                self.commands.push(Command::Merged { peer, outcome });
            }
            Input::Clock(ahead) => self.events.push(Event::Clock(ahead)),
            Input::Heard(heard) => self.events.push(Event::Heard(heard)),
            Input::Counted { fronts } => self.events.push(Event::Counted { fronts }),
            Input::Recovered(recovered) => self.recovered(*recovered),
            Input::Remembered(message) => {
                let heard = self.learning.remember(self.now, &message);
                self.events.extend(heard.into_iter().map(Event::Heard));
            }
        }
    }

    fn fire(&mut self, due: Due) {
        match due {
            Due::Policy(token) => self.events.push(Event::Timer(token)),
            Due::Attempt(attempt) => self.recall(attempt, RecallWhy::TimedOut),
            Due::Viewer(sid, viewer) => {
                let answer = Answer::Failed { late: true, reason: Reason::TimeUp };
                if self.stop_waiting(viewer, &sid) {
                    self.answer(viewer, answer);
                    self.nobody_waits(&sid);
                }
            }
            Due::Idle(request) => {
                let Some(Session { phase: Phase::Playing { route, .. }, .. }) = self.sessions.get(&request)
                else {
                    return;
                };
                let Some(idle) = self.terms.idle else { return };
                let seen = if route.is_fetching() { self.now } else { route.seen() };
                let until = seen + idle;
                if until <= self.now {
                    self.over(request, OverWhy::Idle, Load::default());
                } else {
                    self.timers.arm(until, Due::Idle(request));
                }
            }
        }
    }

    /// What earlier lives did, as far as it is proven. What is not proven counts as done.
    fn recovered(&mut self, mut r: Recovered) {
        let (paid, stopped) = (r.paid.iter().len(), r.stopped.len());
        tracing::info!(proven = r.trust.words(), paid, stopped, "this front ran before");
        let waits = self.terms.classes.iter().filter(|c| c.paid).map(|c| c.deadline);
        self.lives.recovered(self.now, &mut r, waits.max().unwrap_or_default());
        let ran = (r.trust != Trust::First).then_some(Duration::ZERO);
        // A front that keeps nothing has no list but what discovery tells it from now on.
        let doubts = !matches!(r.trust, Trust::First | Trust::Unkept);
        let late = self.terms.memory.as_ref().filter(|_| doubts).map_or(Duration::ZERO, |m| m.list_late);
        self.events.push(Event::Before(Before { further: r.further, known: r.known, ran, late }));
    }
}
