//! Who decides in a laboratory front: the decision module, a baseline, or the module broken on purpose in one
//! of the six ways that the rules forbid. Never part of the product.

use cloverhollow::{
    Action, Brain, Call, Entry, Event, ListMode, Listed, Outcome, RequestId, ServerId, Settings,
};
use cloverhollow_session::Policy;
use cloverhollow_settings::FrontSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyName {
    /// The decision module.
    Brain,
    /// A random holder at the lowest rung.
    Random,
    /// The module, breaking that rule (1 to 6) on purpose.
    Broken(u8),
    /// The module, in a front of which each life is its first: all that it kept is gone when it comes back.
    Forgets,
}

impl fmt::Display for PolicyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PolicyName::Brain => f.write_str("brain"),
            PolicyName::Random => f.write_str("random"),
            PolicyName::Broken(rule) => write!(f, "broken-{rule}"),
            PolicyName::Forgets => f.write_str("forgets"),
        }
    }
}

impl FromStr for PolicyName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "brain" => Ok(PolicyName::Brain),
            "random" => Ok(PolicyName::Random),
            "forgets" => Ok(PolicyName::Forgets),
            _ => {
                let rule = text.strip_prefix("broken-").and_then(|n| n.parse().ok());
                let rule = rule.filter(|n| (1..=6).contains(n));
                rule.map(PolicyName::Broken)
                    .ok_or(format!("`{text}` is none of brain, random, forgets, broken-1 to broken-6"))
            }
        }
    }
}

impl PolicyName {
    /// Makes whoever decides.
    pub fn make(self, settings: &FrontSettings, seed: u64) -> Box<dyn Policy> {
        let decisions = settings.decisions();
        match self {
            PolicyName::Brain | PolicyName::Forgets => Box::new(Brain::new(decisions, seed)),
            PolicyName::Random => Box::new(Random::new(decisions, seed)),
            PolicyName::Broken(rule) => Box::new(Broken::new(rule, decisions, seed)),
        }
    }
}

/// One request as [`Random`] knows it.
struct Tried {
    call: Call,
    attempts: u32,
    ran: bool,
    out: Option<ServerId>,
}

/// Baseline: a random holder that serves, at the class's lowest rung; tried again on proof only, refused when
/// attempts are used up. It looks at no load, no health and no warmth; seats, floors and drains it keeps.
pub struct Random {
    set: Settings,
    rng: fastrand::Rng,
    servers: BTreeMap<ServerId, Entry>,
    requests: BTreeMap<RequestId, Tried>,
}

impl Random {
    fn new(set: Settings, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        Random { set, rng, servers: BTreeMap::new(), requests: BTreeMap::new() }
    }

    fn holders(&self, call: &Call) -> Vec<ServerId> {
        let cells = self.set.cells;
        let holds = |e: &&Entry| {
            cells == 0 || (e.cell + cells - call.first_cell % cells.max(1)) % cells.max(1) < call.cells
        };
        let serving = self.servers.values().filter(|e| e.state == Listed::Serving);
        serving.filter(holds).map(|e| e.server).collect()
    }

    fn place(&mut self, now: Duration, request: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&request) else { return };
        let class = &self.set.classes[r.call.class];
        let left = r.call.deadline.saturating_sub(now);
        let alike =
            |t: &&Tried| t.out.is_some() && (t.call.title, t.call.class) == (r.call.title, r.call.class);
        let seated = class.seats == 0 || self.requests.values().filter(alike).count() < class.seats;
        let may = seated && !(r.ran && class.at_most_once) && r.attempts < self.set.limits.attempts;
        let holders = self.holders(&r.call);
        if !may || left.is_zero() || holders.is_empty() {
            let failed = r.ran && class.at_most_once;
            self.requests.remove(&request);
            let hold_off = self.set.limits.hold_off;
            out.push(if failed { Action::Fail(request) } else { Action::Refuse(request, hold_off) });
            return;
        }
        let (server, floor) = (holders[self.rng.usize(..holders.len())], class.floor);
        if let Some(r) = self.requests.get_mut(&request) {
            r.attempts += 1;
            r.out = Some(server);
        }
        out.push(Action::Rung(request, floor));
        out.push(Action::Send(request, server, left));
    }
}

impl Policy for Random {
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        let mut waiting = Vec::new();
        for event in events {
            match event {
                Event::List(ListMode::Broken, _) => {}
                Event::List(mode, entries) => {
                    if *mode != ListMode::Patch {
                        self.servers.clear();
                    }
                    self.servers.extend(entries.iter().map(|e| (e.server, *e)));
                }
                Event::Call(call) => {
                    let tried = Tried { call: call.clone(), attempts: 0, ran: false, out: None };
                    self.requests.insert(call.request, tried);
                    waiting.push(call.request);
                }
                Event::Ended(request, _, _, _, true, _) | Event::Gone(request) => {
                    self.requests.remove(request);
                }
                Event::Ended(request, _, _, outcome, false, _) => {
                    if let Some(r) = self.requests.get_mut(request) {
                        r.ran |= !outcome.never_ran();
                        r.out = None;
                        waiting.push(*request);
                    }
                }
                _ => {}
            }
        }
        for request in waiting {
            self.place(now, request, &mut out);
        }
        out
    }
}

/// The module behind a wrapper that breaks one rule.
pub struct Broken {
    rule: u8,
    brain: Brain,
    /// For each class, whether it is paid for at set-up.
    paid_classes: Vec<bool>,
    paid: BTreeSet<RequestId>,
    calls: u64,
}

impl Broken {
    fn new(rule: u8, mut set: Settings, seed: u64) -> Self {
        match rule {
            4 => {
                // A cold server is taken for a warm one, and the front for the only one.
                set.rules.cold = Duration::ZERO;
                set.fronts = 1;
            }
            5 => set.classes.iter_mut().for_each(|c| (c.floor, c.seats) = (0, 0)),
            6 => {
                set.rules.ration = None;
                set.limits.attempts = 16;
            }
            _ => {}
        }
        let paid_classes = set.classes.iter().map(|c| c.at_most_once).collect();
        Broken { rule, brain: Brain::new(set, seed), paid_classes, paid: BTreeSet::new(), calls: 0 }
    }

    /// What the module is told in place of an event.
    fn lie(&mut self, event: &Event) -> Event {
        match (self.rule, event) {
            (2 | 6, Event::Call(call)) if self.paid_classes[call.class] => {
                self.paid.insert(call.request);
                event.clone()
            }
            // Every end of a paid attempt is taken for proof that it never ran, and as no fault of the server.
            (2, Event::Ended(request, n, server, _, false, report)) if self.paid.contains(request) => {
                Event::Ended(*request, *n, *server, Outcome::Moot, false, *report)
            }
            (3 | 4, Event::List(mode, entries)) => {
                let open = |e: &Entry| {
                    let state = if self.rule == 3 { Listed::Serving } else { e.state };
                    let started = if self.rule == 4 { Duration::ZERO } else { e.started };
                    Entry { state, started, ..*e }
                };
                Event::List(*mode, entries.iter().map(open).collect())
            }
            // Full of eagerness: what failed is taken for a fault that will not come again.
            (6, Event::Ended(request, n, server, Outcome::Error | Outcome::Reset, closed, report))
                if !self.paid.contains(request) =>
            {
                Event::Ended(*request, *n, *server, Outcome::Moot, *closed, *report)
            }
            // No failure is held against a server: it is sent to at once when it is back, cold.
            (4, Event::Ended(request, n, server, Outcome::ConnectFailed, closed, report)) => {
                Event::Ended(*request, *n, *server, Outcome::Moot, *closed, *report)
            }
            _ => event.clone(),
        }
    }

    /// What becomes of one of the module's actions.
    fn spoil(&mut self, action: Action) -> Option<Action> {
        match (self.rule, action) {
            // One call in four is forgotten.
            (1, action @ Action::Send(..)) => {
                self.calls += 1;
                (!self.calls.is_multiple_of(4)).then_some(action)
            }
            (5, Action::Rung(request, _)) => Some(Action::Rung(request, 0)),
            (_, action) => Some(action),
        }
    }
}

impl Policy for Broken {
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        let told: Vec<_> = events.iter().map(|e| self.lie(e)).collect();
        let actions = self.brain.step(now, &told);
        actions.into_iter().filter_map(|a| self.spoil(a)).collect()
    }

    fn send_within(&self, server: ServerId) -> Option<Duration> {
        self.brain.send_within(server)
    }
}
