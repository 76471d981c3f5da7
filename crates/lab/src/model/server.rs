//! One video server.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// What does not change while a server lives.
#[derive(Clone, Debug)]
pub struct ServerFacts {
    /// Its id.
    pub id: u64,
    /// Its hall.
    pub hall: String,
    /// Its kind, by name.
    pub kind: String,
    /// Its cell; its rack is this modulo the racks.
    pub cell: u64,
    /// Its weight as the list tells it.
    pub weight: f64,
    /// What its link gives, kB a second.
    pub link_kb: f64,
    /// Streams that it runs at most.
    pub streams: usize,
    /// Time that a set-up takes.
    pub setup: Duration,
}

/// How a fresh server warms, and when it falls over.
#[derive(Clone, Copy, Debug)]
pub struct ColdFacts {
    /// It is warm after this.
    pub span: Duration,
    /// The part of its capacity at which it starts.
    pub from: f64,
    /// It falls over at this multiple of its present capacity...
    pub multiple: f64,
    /// ...kept up over this span.
    pub window: Duration,
    /// Set-ups that chance may add to a window before it falls.
    pub slack: f64,
}

impl ColdFacts {
    /// Set-ups that a server of that age takes within one window without falling: rate x window, with its
    /// places over its warm-up as the full rate.
    pub fn budget(&self, streams: usize, age: Duration) -> f64 {
        let rate = streams as f64 / self.span.as_secs_f64().max(1e-9) * self.warmth(age);
        self.multiple * rate * self.window.as_secs_f64()
    }

    /// The part of its capacity that a server of that age has.
    pub fn warmth(&self, age: Duration) -> f64 {
        let part = age.as_secs_f64() / self.span.as_secs_f64().max(1e-9);
        (self.from + (1.0 - self.from) * part).min(1.0)
    }
}

/// A session that it holds.
#[derive(Clone, Debug)]
struct Held {
    rate_kb: f64,
    seen: Duration,
}

/// What becomes of a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetupVerdict {
    /// It runs.
    Runs,
    /// It runs, though the session was set up here before.
    RunsAgain,
    /// It does not run: no place, or the link is full.
    Full,
    /// It does not run: its session is over already.
    Over,
    /// It runs, and one too many in the window: the server falls over.
    Topples,
}

/// Load as an answer tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadTold {
    /// What is asked of its link over what the link gives.
    pub link: f64,
    /// The same for its rack's uplink.
    pub rack: f64,
    /// Sessions that it holds.
    pub streams: usize,
}

/// Most ended sessions that a server remembers, so that a set-up behind its own end does not run.
const MOST_OVER: usize = 4_096;
/// Longest history of its load that is kept.
const HISTORY: Duration = Duration::from_secs(10);

/// One video server.
#[derive(Clone, Debug)]
pub struct Server {
    /// What does not change.
    pub facts: ServerFacts,
    /// Rises with each start.
    pub incarnation: u64,
    /// When it started; `None`: long ago.
    pub started: Option<Duration>,
    /// What its link gives, over the usual.
    pub link_factor: f64,
    /// The part of its link that another program takes.
    pub taken: f64,
    /// How many times longer its set-ups take.
    pub ageing: f64,
    /// Set-ups turned away while this part of the link is asked; 0: never.
    pub full_from: f64,
    /// A session that was not asked for so long asks nothing of the link, though it is held: nobody fetches.
    pub active: Duration,
    /// It has fallen over and stays down.
    pub fallen: bool,
    sessions: BTreeMap<Arc<str>, Held>,
    over: VecDeque<Arc<str>>,
    setups: VecDeque<Duration>,
    history: VecDeque<(Duration, LoadTold)>,
}

impl Server {
    /// One that has run for long.
    pub fn new(facts: ServerFacts) -> Self {
        Server {
            facts,
            incarnation: 1,
            started: None,
            link_factor: 1.0,
            taken: 0.0,
            ageing: 1.0,
            full_from: 0.0,
            active: Duration::MAX,
            fallen: false,
            sessions: BTreeMap::new(),
            over: VecDeque::new(),
            setups: VecDeque::new(),
            history: VecDeque::new(),
        }
    }

    /// A new process: cold, without sessions.
    pub fn restart(&mut self, now: Duration) {
        self.incarnation += 1;
        self.started = Some(now);
        self.ageing = 1.0;
        self.lose();
    }

    /// Its sessions are lost.
    pub fn lose(&mut self) {
        self.sessions.clear();
        self.over.clear();
        self.setups.clear();
        self.history.clear();
    }

    /// Sessions that it holds.
    pub fn streams(&self) -> usize {
        self.sessions.len()
    }

    /// kB a second that its sessions ask.
    pub fn asked(&self, now: Duration) -> f64 {
        let active = self.sessions.values().filter(|h| now.saturating_sub(h.seen) < self.active);
        active.map(|h| h.rate_kb).sum()
    }

    /// kB a second that its link gives now.
    pub fn gives(&self, now: Duration, cold: &ColdFacts) -> f64 {
        let warmth = self.started.map_or(1.0, |t| cold.warmth(now.saturating_sub(t)));
        (self.facts.link_kb * self.link_factor * (1.0 - self.taken) * warmth).max(1e-6)
    }

    /// Whether it was set up here and is not over.
    pub fn holds(&self, sid: &str) -> bool {
        self.sessions.contains_key(sid)
    }

    /// A set-up arrives.
    pub fn set_up(&mut self, now: Duration, sid: &Arc<str>, rate_kb: f64, cold: &ColdFacts) -> SetupVerdict {
        if self.over.contains(sid) {
            return SetupVerdict::Over;
        }
        let again = self.sessions.contains_key(sid);
        let full = self.full_from > 0.0 && self.asked(now) >= self.full_from * self.gives(now, cold);
        if !again && (self.sessions.len() >= self.facts.streams || full) {
            return SetupVerdict::Full;
        }
        self.sessions.insert(sid.clone(), Held { rate_kb, seen: now });
        let Some(age) = self.started.map(|t| now.saturating_sub(t)).filter(|a| *a < cold.span) else {
            return if again { SetupVerdict::RunsAgain } else { SetupVerdict::Runs };
        };
        while self.setups.front().is_some_and(|t| *t + cold.window <= now) {
            self.setups.pop_front();
        }
        self.setups.push_back(now);
        if self.setups.len() as f64 > cold.budget(self.facts.streams, age) + cold.slack {
            self.fallen = true;
            return SetupVerdict::Topples;
        }
        if again {
            SetupVerdict::RunsAgain
        } else {
            SetupVerdict::Runs
        }
    }

    /// A later object is asked for; whether it holds the session.
    pub fn object(&mut self, now: Duration, sid: &str, rate_kb: f64) -> bool {
        let Some(held) = self.sessions.get_mut(sid) else { return false };
        (held.rate_kb, held.seen) = (rate_kb, now);
        true
    }

    /// A session is over; whether it was held.
    pub fn end(&mut self, sid: &Arc<str>) -> bool {
        if self.over.len() == MOST_OVER {
            self.over.pop_front();
        }
        self.over.push_back(sid.clone());
        self.sessions.remove(sid).is_some()
    }

    /// Sessions not heard of for so long; they are let go.
    pub fn idle(&mut self, now: Duration, after: Duration) -> Vec<Arc<str>> {
        let idle: Vec<_> =
            self.sessions.iter().filter(|(_, h)| h.seen + after <= now).map(|(s, _)| s.clone()).collect();
        for sid in &idle {
            self.end(sid);
        }
        idle
    }

    /// Takes its load down for later reports.
    pub fn record(&mut self, now: Duration, load: LoadTold) {
        while self.history.front().is_some_and(|(t, _)| *t + HISTORY < now) {
            self.history.pop_front();
        }
        self.history.push_back((now, load));
    }

    /// Its load as it was at that time, or the oldest known; `None` before the first report.
    pub fn told(&self, at: Duration) -> Option<LoadTold> {
        let past = self.history.iter().rev().find(|(t, _)| *t <= at).or(self.history.front());
        past.map(|(_, load)| *load)
    }
}
