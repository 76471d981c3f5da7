//! The state machine of all sessions of one front.

use crate::gauge::Gauge;
use crate::held::{Phase, Session, Waiter};
use crate::learn::{Learning, Shelf};
use crate::list::{ListNews, SavedList, ServerList};
use crate::lives::Lives;
use crate::policy::Policy;
use crate::routes::{Route, Routes};
use crate::stats::{count, Stats};
use crate::terms::Terms;
use crate::timers::{Due, Timers};
use crate::types::*;
use cloverhollow::{Action, Before, Event, ListMode, Note, Outcome, Report, RequestId, ServerId};
use cloverhollow_hints::Contradiction;
use cloverhollow_recovery::{digest, Deed, Recovered, Trust};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64};
use std::sync::Arc;
use std::time::Duration;

/// How often the module is asked again within one instant, for actions that end in that instant. Each such
/// round uses up an attempt, of which the settings allow 16 at most.
const MOST_ROUNDS: usize = 20;
/// A set-up whose first byte has not gone out so long after the decision never goes out. Guards a front that
/// stood still in between: it would act on what has changed since (rules 3 and 4).
const STALE: Duration = Duration::from_secs(1);
/// The same for a further attempt, which is counted when it is decided: one that goes out later would fall into
/// another span of the ration (rule 6).
const STALE_FURTHER: Duration = Duration::from_millis(100);

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

    // ---- Viewers ----

    fn arrived(&mut self, a: Arrival<A>) {
        self.stats.hints(&a.faults, a.contradictions);
        if let Some(request) = self.by_sid.get(&a.sid).copied() {
            return self.joined(request, a);
        }
        let class = self.terms.classes[a.class];
        // Rule 2: it may have run here, in this life or another, or, when the hints say that it plays, at a
        // front that is gone.
        let plays = (class.paid && a.underway).then_some(Reason::SetUpBefore);
        if let Some(reason) = self.lives.bars(self.now, &a.sid, class.paid).or(plays) {
            return self.answer(a.viewer, Answer::Failed { late: false, reason });
        }
        if self.sessions.len() >= self.terms.most {
            let after = self.terms.hold_off;
            return self.answer(a.viewer, Answer::Refused { after, reason: Reason::FrontFull });
        }
        count(&self.stats.calls);
        let request = self.next_request;
        self.next_request += 1;
        let deadline = self.now + a.patience.saturating_sub(self.terms.margin);
        self.events.push(Event::Call(a.call(request, deadline)));
        self.note_hints(&a);
        self.by_sid.insert(a.sid.clone(), request);
        let waiting = vec![Waiter { viewer: a.viewer, owner: true }];
        let session = Session { waiting, ..Session::new(a, class.paid, deadline) };
        self.sessions.insert(request, session);
    }

    /// A session that plays already at a server of the list, as an earlier life of this front set it up. No
    /// answer is owed. One that is held already stays as it is.
    fn adopted(&mut self, a: Arrival<A>, server: ServerId) {
        let takes = self.sessions.len() < self.terms.most && !self.by_sid.contains_key(&a.sid);
        let Some(address) = self.list.address(server).filter(|_| takes) else { return };
        let request = self.next_request;
        self.next_request += 1;
        self.events.push(Event::Adopted(a.call(request, self.now), server));
        self.by_sid.insert(a.sid.clone(), request);
        let paid = self.terms.classes[a.class].paid;
        let mut s = Session { sent: 1, ..Session::new(a, paid, self.now) };
        self.plays(request, &mut s, AttemptId { request, number: 0 }, server, address);
        self.sessions.insert(request, s);
    }

    /// One line a session for hints that could not be used.
    fn note_hints(&self, a: &Arrival<A>) {
        if a.faults.total() > 0 || !a.contradictions.is_empty() {
            let words: Vec<_> = a.contradictions.iter().map(Contradiction::word).collect();
            tracing::info!(session = %a.sid, dropped = %a.faults, contradicted = words.join(","), "hints dropped");
        }
    }

    /// A further request of a session that is known: it waits along, or follows.
    fn joined(&mut self, request: RequestId, a: Arrival<A>) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        let mut found = a.contradictions;
        if s.title != a.title || s.class != a.class {
            found.add(Contradiction::ContentChanged);
        }
        let new = s.told.learn(found);
        for c in new.iter() {
            tracing::info!(session = %s.sid, contradicted = c.word(), "hints dropped");
            count(&self.stats.contradictions[c as usize]);
        }
        let answer = match &s.phase {
            Phase::Playing { route, .. } => Answer::Follow(route.clone()),
            _ if s.waiting.len() >= self.terms.waiting => {
                let after = self.terms.hold_off;
                Answer::Refused { after, reason: Reason::TooManyWaiting }
            }
            _ => {
                let own = self.now + a.patience.saturating_sub(self.terms.margin);
                s.waiting.push(Waiter { viewer: a.viewer, owner: false });
                // The first one's time is the module's to keep; a further one may have less.
                if own < s.deadline {
                    self.timers.arm(own, Due::Viewer(s.sid.clone(), a.viewer));
                }
                return;
            }
        };
        self.answer(a.viewer, answer);
    }

    /// Takes a viewer off the waiting; whether it was there.
    fn stop_waiting(&mut self, viewer: ViewerId, sid: &Sid) -> bool {
        let Some(request) = self.by_sid.get(sid) else { return false };
        let Some(s) = self.sessions.get_mut(request) else { return false };
        let before = s.waiting.len();
        s.waiting.retain(|w| w.viewer != viewer);
        s.waiting.len() < before
    }

    fn hung_up(&mut self, viewer: ViewerId, sid: &Sid) {
        if !self.stop_waiting(viewer, sid) {
            return; // it has been answered, or another session has its name by now
        }
        count(&self.stats.hung_up);
        let Some(request) = self.by_sid.get(sid).copied() else { return };
        let Some(s) = self.sessions.get(&request).filter(|s| s.waiting.is_empty()) else { return };
        match s.phase {
            Phase::Deciding => {
                self.events.push(Event::Gone(request));
                self.forget(request);
            }
            Phase::Out { attempt, .. } => {
                self.events.push(Event::Gone(request));
                self.recall(attempt, RecallWhy::HungUp);
            }
            Phase::Playing { .. } => {}
        }
    }

    fn answer(&mut self, viewer: ViewerId, answer: Answer<B>) {
        match &answer {
            Answer::Refused { reason, .. } => count(&self.stats.refused[*reason as usize]),
            Answer::Failed { reason, .. } => count(&self.stats.failed[*reason as usize]),
            _ => {}
        }
        self.commands.push(Command::Answer { viewer, answer });
    }

    // ---- Attempts ----

    fn recall(&mut self, attempt: AttemptId, why: RecallWhy) {
        let Some(s) = self.sessions.get_mut(&attempt.request) else { return };
        let Phase::Out { attempt: out, server, recalled, .. } = &mut s.phase else { return };
        if *out != attempt || recalled.is_some_and(|r| r != RecallWhy::Drained) {
            return;
        }
        *recalled = Some(why);
        if why == RecallWhy::TimedOut {
            count(&self.stats.timed_out);
            tracing::info!(session = %s.sid, %attempt, server = *server, "attempt timed out");
        }
        self.commands.push(Command::Recall { attempt, why });
    }

    /// Whether that attempt is the one that is out.
    fn is_out(&self, attempt: AttemptId) -> bool {
        let s = self.sessions.get(&attempt.request);
        s.is_some_and(|s| matches!(s.phase, Phase::Out { attempt: out, .. } if out == attempt))
    }

    fn playing(&mut self, attempt: AttemptId, load: Load, answer: B) {
        if !self.is_out(attempt) {
            // Its end is booked already: whatever the server began is closed by dropping the answer, and by
            // the release that went with that end.
            count(&self.stats.late_answers);
            return;
        }
        let Some(s) = self.sessions.get_mut(&attempt.request) else { return };
        // Where it went, whatever the list says by now: an answer counts even if its server has left the list.
        let Phase::Out { server, address, since, recalled, .. } = s.phase else { return };
        self.out_at.remove(&(server, attempt));
        count(&self.stats.playing);
        self.learning.behaved(self.now, server, true, false);
        self.commands.extend(self.lives.behaved(server, true).map(Command::Keep));
        let request = attempt.request;
        self.events.push(Event::Playing(request, attempt.number, server, self.now.saturating_sub(since)));
        let Some(mut s) = self.sessions.remove(&request) else { return };
        let route = self.plays(request, &mut s, attempt, server, address);
        if s.paid {
            self.lives.ran(&s.sid);
        }
        tracing::debug!(session = %s.sid, %attempt, server, rung = s.rung, "plays");
        let waiting = std::mem::take(&mut s.waiting);
        let nobody = waiting.is_empty();
        let mut answer = Some(answer);
        for w in waiting {
            let reply = match answer.take_if(|_| w.owner) {
                Some(answer) => Answer::Stream { route: route.clone(), answer },
                None => Answer::Follow(route.clone()),
            };
            self.answer(w.viewer, reply);
        }
        self.sessions.insert(request, s);
        self.reading(request, server, load);
        if nobody && recalled == Some(RecallWhy::HungUp) {
            self.over(request, OverWhy::Quit, Load::default());
        }
    }

    fn attempt_ended(&mut self, attempt: AttemptId, end: AttemptEnd, load: Load) {
        if !self.is_out(attempt) {
            return; // the other of two words after a recall
        }
        let Some(s) = self.sessions.get_mut(&attempt.request) else { return };
        let Phase::Out { server, address, recalled, .. } = s.phase else { return };
        self.out_at.remove(&(server, attempt));
        let left = recalled == Some(RecallWhy::HungUp);
        let outcome = match (end, recalled) {
            (AttemptEnd::NotConnected, _) => Outcome::ConnectFailed,
            (AttemptEnd::Full, _) => Outcome::Full,
            (AttemptEnd::Error { .. }, _) => Outcome::Error,
            (AttemptEnd::Reset, _) => Outcome::Reset,
            // Time ran out before a connection was made: it never ran, and the server is out of reach.
            (AttemptEnd::NeverSent, Some(RecallWhy::TimedOut)) => Outcome::ConnectFailed,
            (AttemptEnd::NeverSent | AttemptEnd::NotKept, _) => Outcome::Moot,
            (AttemptEnd::Unanswered, Some(RecallWhy::HungUp)) => Outcome::Cancelled,
            (AttemptEnd::Unanswered, _) => Outcome::Timeout,
        };
        match outcome {
            Outcome::Error => self.learning.behaved(self.now, server, false, false),
            Outcome::ConnectFailed | Outcome::Reset | Outcome::Timeout => {
                self.learning.behaved(self.now, server, false, outcome != Outcome::Timeout);
                self.commands.extend(self.lives.behaved(server, false).map(Command::Keep));
            }
            _ => {}
        }
        if outcome == Outcome::Moot {
            count(&self.stats.recalled_unsent);
        }
        tracing::info!(session = %s.sid, %attempt, server, ?end, "attempt ended");
        s.phase = Phase::Deciding;
        s.not_kept |= end == AttemptEnd::NotKept;
        if !outcome.never_ran() {
            s.ran = Some(end);
            if s.paid {
                self.lives.ran(&s.sid);
            }
            // It may hold the session all the same.
            self.commands.push(Command::Release { address, server, sid: s.sid.clone() });
        } else if s.paid && s.ran.is_none() && end != AttemptEnd::NotKept {
            self.commands.push(Command::Keep(Deed::Unrun { sid: digest(&s.sid) }));
        }
        let ended = Event::Ended(attempt.request, attempt.number, server, outcome, left, load.report());
        self.events.push(ended);
        if left {
            self.forget(attempt.request);
        }
    }

    // ---- Playing sessions ----

    /// A session plays from now on: its route, for whoever follows it.
    fn plays(
        &mut self,
        request: RequestId,
        s: &mut Session<A>,
        attempt: AttemptId,
        server: ServerId,
        address: SocketAddr,
    ) -> Arc<Route> {
        let route = Arc::new(Route {
            request,
            sid: s.sid.clone(),
            class: s.class,
            server,
            address,
            gauge: self.gauges.entry(server).or_default().clone(),
            rates: self.terms.rates[s.class].clone(),
            rung: AtomicU32::new(s.rung as u32),
            seen_ms: AtomicU64::new(self.now.as_millis() as u64),
            fetching: AtomicU32::new(0),
        });
        self.routes.insert(route.clone());
        s.phase = Phase::Playing { attempt, route: route.clone() };
        if let Some(idle) = self.terms.idle {
            self.timers.arm(self.now + idle, Due::Idle(request));
        }
        route
    }

    /// News on a session that plays, as its server told it.
    fn note(&mut self, sid: &Sid, note: Note) {
        let Some(request) = self.by_sid.get(sid).copied() else { return };
        let Some(Session { phase: Phase::Playing { route, .. }, .. }) = self.sessions.get(&request) else {
            return;
        };
        self.events.push(Event::Note(request, route.server, note));
    }

    fn reading(&mut self, request: RequestId, server: ServerId, load: Load) {
        let playing = self
            .sessions
            .get(&request)
            .is_some_and(|s| matches!(&s.phase, Phase::Playing { route, .. } if route.server == server));
        if !playing {
            return;
        }
        self.learning.read(self.now, server, load);
        let notes = [load.share.map(Note::Share), load.rack.map(Note::Rack), load.link.map(Note::Link)];
        self.events.extend(notes.into_iter().flatten().map(|n| Event::Note(request, server, n)));
    }

    fn over(&mut self, request: RequestId, why: OverWhy, load: Load) {
        let Some(s) = self.sessions.get(&request) else { return };
        // While it is being set up, its request gets its own answer first.
        let Phase::Playing { attempt, route } = &s.phase else { return };
        let outcome = if why == OverWhy::Lost { Outcome::Reset } else { Outcome::Ok };
        self.stats.over(why);
        tracing::debug!(session = %s.sid, server = route.server, ?why, "over");
        let (address, server) = (route.address, route.server);
        if why == OverWhy::Lost {
            self.learning.behaved(self.now, server, false, true);
            self.commands.extend(self.lives.behaved(server, false).map(Command::Keep));
        }
        let sid = s.sid.clone();
        self.commands.push(Command::Release { address, server, sid: sid.clone() });
        self.commands.push(Command::Over { sid, server, why });
        self.events.push(Event::Ended(request, attempt.number, server, outcome, true, load.report()));
        self.forget(request);
    }

    fn forget(&mut self, request: RequestId) {
        let Some(s) = self.sessions.remove(&request) else { return };
        if let Phase::Out { attempt, server, .. } = s.phase {
            self.out_at.remove(&(server, attempt));
        }
        if self.by_sid.get(&s.sid) == Some(&request) {
            self.by_sid.remove(&s.sid);
            self.routes.remove(&s.sid);
        }
    }

    // ---- List ----

    fn news(&mut self, mut news: ListNews) {
        // Peers are told the list as it was kept.
        let heard = self.learning.listed(self.now, &news);
        self.lives.remind(&mut news);
        let applied = self.list.apply(self.now, &news, &self.terms);
        if news.mode == ListMode::Broken {
            tracing::warn!(version = self.list.version(), "server list broken; the last one stays");
        }
        self.events.push(Event::List(news.mode, applied.entries));
        self.events.extend(heard.into_iter().map(Event::Heard));
        let failed = self.lives.remembers(|server| self.list.address(server).is_some());
        self.events.extend(failed.into_iter().map(Event::Heard));
        let whole = news.mode == ListMode::Whole;
        for (address, held) in self.lives.let_go(whole, |server| self.list.address(server)) {
            let (server, sid) = (held.server, Sid::from(held.sid));
            self.commands.push(Command::Release { address, server, sid });
        }
        let deeds = self.lives.listed(&news, &applied.stopped);
        self.commands.extend(deeds.into_iter().map(Command::Keep));
        // Rule 3: a drain that comes between choice and send. What has not been sent is called back; the
        // module is told that it never ran, and picks anew.
        for server in applied.stopped {
            tracing::info!(server, "takes no new work");
            let low = AttemptId { request: 0, number: 0 };
            let high = AttemptId { request: RequestId::MAX, number: u32::MAX };
            let out: Vec<_> = self.out_at.range((server, low)..=(server, high)).map(|(_, a)| *a).collect();
            out.into_iter().for_each(|attempt| self.recall(attempt, RecallWhy::Drained));
        }
        self.let_go();
    }

    /// Lets go of what is kept of servers that are gone for good. One where a session is stays.
    fn let_go(&mut self) {
        if !self.list.holds_gone() {
            return;
        }
        let used: BTreeSet<ServerId> = self.sessions.values().filter_map(Session::at).collect();
        self.list.let_go(|server| used.contains(&server));
        self.gauges.retain(|server, _| self.list.address(*server).is_some());
    }

    // ---- The module's actions ----

    fn act(&mut self, action: Action) {
        match action {
            Action::Send(request, server, within) => self.send(request, server, within),
            Action::Rung(request, rung) => self.set_rung(request, rung),
            Action::Refuse(request, after) => {
                let not_kept = self.sessions.get(&request).is_some_and(|s| s.not_kept);
                let reason = match self.list.serving() {
                    0 => Reason::NoServers,
                    _ if not_kept => Reason::NotKept,
                    _ => Reason::NoRoom,
                };
                self.finish(request, || Answer::Refused { after, reason });
            }
            Action::Fail(request) => {
                let ran = self.sessions.get(&request).and_then(|s| s.ran);
                let (late, reason) = match ran {
                    Some(AttemptEnd::Error { .. } | AttemptEnd::Reset) => (false, Reason::ServerFailed),
                    _ => (true, Reason::Unanswered),
                };
                self.finish(request, || Answer::Failed { late, reason });
            }
            Action::Timer(after, token) => self.timers.arm(self.now + after, Due::Policy(token)),
            // The shell keeps its subscription by itself: the settings say that the list is pushed.
            Action::Subscribe => {}
            Action::Log(words) => tracing::info!("{words}"),
        }
    }

    fn send(&mut self, request: RequestId, server: ServerId, within: Duration) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        let number = s.sent;
        s.sent += 1;
        let attempt = AttemptId { request, number };
        let Some(address) = self.list.address(server) else {
            let report = Report::default();
            self.events.push(Event::Ended(request, number, server, Outcome::Moot, false, report));
            return;
        };
        s.phase = Phase::Out { attempt, server, address, since: self.now, recalled: None };
        let kbps = self.terms.rates[s.class].get(s.rung).copied().unwrap_or(0);
        let (sid, rung, ask) = (s.sid.clone(), s.rung, s.ask.clone());
        // Only what a rule counts over a death is taken down: other set-ups wait for nothing.
        let rationed = self.terms.memory.as_ref().is_some_and(|m| m.rationed);
        let (paid, further) = (s.paid, number > 0 && rationed);
        let kept = self.terms.memory.is_some() && (paid || further);
        let deed = kept.then(|| Deed::Out { sid: sid.to_string(), server, paid, further });
        let until = self.now + if further { STALE_FURTHER } else { STALE };
        if number > 0 {
            tracing::info!(session = %sid, %attempt, server, "tries again");
        }
        count(&self.stats.attempts);
        self.out_at.insert((server, attempt));
        self.timers.arm(self.now + within, Due::Attempt(attempt));
        self.commands.push(Command::Send(Setup {
            attempt,
            server,
            address,
            sid,
            rung,
            kbps,
            paid,
            deed,
            within,
            until,
            ask,
        }));
    }

    fn set_rung(&mut self, request: RequestId, rung: usize) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        s.rung = rung;
        if let Phase::Playing { route, .. } = &s.phase {
            count(&self.stats.rung_changes);
            tracing::info!(session = %s.sid, server = route.server, from = route.rung(), to = rung, "rung changes");
            route.set_rung(rung);
            let (server, sid) = (route.server, s.sid.clone());
            self.commands.push(Command::Rung { server, sid, rung });
        }
    }

    /// The one final answer to all that wait for a session that does not come to play.
    fn finish(&mut self, request: RequestId, answer: impl Fn() -> Answer<B>) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        if matches!(s.phase, Phase::Playing { .. }) {
            return;
        }
        for w in std::mem::take(&mut s.waiting) {
            self.answer(w.viewer, answer());
        }
        self.forget(request);
    }
}
