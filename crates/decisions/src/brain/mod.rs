//! The decisions of one front. The vocabulary (settings, events, actions) is in `interface`.
//!
//! Reading order: constants and state here, `meter`, `ledger`, `news` (list, cold servers, health), `pick`
//! (admission), `attempts`, `notes`. In `attempts`, `send` alone sends, `set_rung` alone sets rungs, `answer`
//! alone gives final answers.

mod attempts;
mod ledger;
mod meter;
mod news;
mod notes;
mod pick;

use crate::interface::*;
use meter::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Share of a link or uplink that the ledger may reach (the paper's example for an operator's threshold).
const MARK: f64 = 0.95;
/// A reported or noted base fades over this time, to the usual or to zero (the design's figure).
const FADE: Duration = Duration::from_secs(30);
/// A session steps down at most once in this time (the design's figure).
const STEP_GAP: Duration = Duration::from_secs(30);
/// Delivered share under which a link counts as short (the wire's own bound for notes of it).
const SHORT: f64 = 0.98;
/// How long a turn at a cold server stays open, in spans over which it falls.
const OPEN: f64 = 2.0;
/// A set-up comes so long after it was decided at the latest, the difference of the fronts' clocks in it.
const LATE: Duration = Duration::from_millis(250);
/// Of that, the way to the server and the difference of the clocks.
const WAY: Duration = Duration::from_millis(50);
/// How much lower the mark of a step of lesser worth per kB is: the mark goes with this power of it.
const STEP_POWER: f64 = 0.15;
/// Usual age of a load report that comes without one: about half of a usual refresh and the way.
const REPORT_AGE: Duration = Duration::from_millis(500);
/// First rest of a server after a failure, doubled for each further one...
const REST: Duration = Duration::from_secs(1);
/// ...up to this, so that one that is back is found within a fraction of a usual outage.
const LONGEST_REST: Duration = Duration::from_secs(8);
/// An attempt gets this part of the class's aim, so that a second one can still meet the aim.
const TRY_PART: f64 = 0.5;
/// Time between notes of short delivery (the wire's own).
const NOTE_GAP: Duration = Duration::from_secs(1);
/// Rooms that differ by less are alike, as noisy as reports are: then the own zone goes first.
const ALIKE: f64 = 0.04;
/// What stands in for zero where a size is divided by.
const TINY: f64 = 1e-9;
/// The timer token for asking for the list again.
const ASK_AGAIN: u64 = 1;

fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

#[derive(Default)]
struct Server {
    entry: Entry,
    link: Meter,
    rated: f64,
    own: Own,
    cold_since: Option<Duration>,
    /// It was seen to fail in a way that may mean a restart: cold when it returns.
    lost: bool,
    fails: u32,
    /// The last answer was an error, the one before was none.
    erred: bool,
    rest_until: Duration,
    trial: bool,
    /// When short delivery was last noted, if that was the last note of it.
    short_at: Option<Duration>,
    /// This front's last set-up there.
    sent: Option<Duration>,
    sessions: BTreeSet<RequestId>,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Waiting,
    Out(ServerId),
    Playing(ServerId, Duration),
}

#[derive(Default)]
struct Session {
    call: Call,
    state: State,
    rung: usize,
    attempts: u32,
    /// Where its last attempt got an error.
    erred_at: Option<ServerId>,
    /// An attempt may have run.
    ran: bool,
    /// Nothing is owed any more.
    over: bool,
    stepped: Option<Duration>,
    /// It was adopted and its rung not chosen by this front.
    adopted: bool,
}

/// One front.
pub struct Brain {
    set: Settings,
    rng: fastrand::Rng,
    now: Duration,
    out: Vec<Action>,
    servers: BTreeMap<ServerId, Server>,
    racks: BTreeMap<u64, Rack>,
    all: Meter,
    sessions: BTreeMap<RequestId, Session>,
    /// Requests taken and further attempts made, within the ration's span.
    taken: VecDeque<Duration>,
    extra: VecDeque<Duration>,
    /// Earlier lives may have used up the ration until this...
    unproven: Duration,
    /// ...which may last have sent a set-up then.
    ran: Option<Duration>,
    /// Until then any server may have started anew while this front was dead.
    doubt: Duration,
    /// The count in force, if any, where fronts are counted.
    counted: Option<Option<usize>>,
    /// How far the clock that all fronts share is ahead.
    ahead: Duration,
    waiting: Vec<RequestId>,
    read: Vec<ServerId>,
    /// When others' parts were last worked out, and the mean rate of an own session then.
    looked: Option<Duration>,
    session_rate: f64,
    /// For each class and rung: the mark of the ledger up to which it is given.
    marks: Vec<Vec<f64>>,
}

impl Brain {
    /// A front that knows its settings and nothing else.
    pub fn new(set: Settings, seed: u64) -> Self {
        let marks = set.classes.iter().map(|c| marks(&set, c)).collect();
        Brain {
            set,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            out: Vec::new(),
            servers: BTreeMap::new(),
            racks: BTreeMap::new(),
            all: Meter::default(),
            sessions: BTreeMap::new(),
            taken: VecDeque::new(),
            extra: VecDeque::new(),
            unproven: Duration::ZERO,
            ran: None,
            doubt: Duration::ZERO,
            counted: None,
            ahead: Duration::ZERO,
            waiting: Vec::new(),
            read: Vec::new(),
            looked: None,
            session_rate: TINY,
            marks,
        }
    }

    /// How many servers it keeps: those of the list, and those that are gone while sessions are there.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Takes all events of one instant, news and ends before retries and calls; returns what to do, in order.
    pub fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut calls = Vec::new();
        for event in events {
            match event {
                Event::List(mode, entries) => self.list(*mode, entries),
                Event::Call(call) => calls.extend(self.take(call)),
                Event::Adopted(call, server) => self.adopt(call, *server),
                Event::Playing(request, _, server, _) => self.playing(*request, *server),
                Event::Note(request, server, note) => self.note(*request, *server, *note),
                Event::Ended(request, attempt, server, outcome, closed, report) => {
                    self.report(*server, REPORT_AGE, *report);
                    self.ended(*request, *attempt, *server, *outcome, *closed)
                }
                Event::Gone(request) => self.gone(*request),
                Event::Heard(heard) => self.heard(heard),
                Event::Before(before) => self.before(before),
                Event::Clock(ahead) => self.ahead = *ahead,
                Event::Counted { fronts } => self.counted(*fronts),
                Event::Timer(ASK_AGAIN) => self.out.push(Action::Subscribe),
                Event::Timer(_) => {}
            }
        }
        for request in std::mem::take(&mut self.waiting).into_iter().chain(calls) {
            self.place(request);
        }
        for server in std::mem::take(&mut self.read) {
            self.raise(server);
        }
        std::mem::take(&mut self.out)
    }
}

impl Session {
    fn at(&self) -> Option<ServerId> {
        match self.state {
            State::Waiting => None,
            State::Out(server) | State::Playing(server, _) => Some(server),
        }
    }
}

/// The marks of a class: full for the rung of most worth per kB and below, lower for each step above by
/// how much less it earns for what it takes.
fn marks(set: &Settings, class: &Class) -> Vec<f64> {
    let mut best = 0.0f64;
    let mut marks = Vec::new();
    for (i, rung) in set.ladder.iter().enumerate() {
        let below = if i <= class.floor { Rung::default() } else { set.ladder[i - 1] };
        let density = (rung.worth - below.worth) / (rung.rate - below.rate).max(TINY);
        best = best.max(density);
        let part = if best > 0.0 { (density / best).clamp(0.0, 1.0) } else { 1.0 };
        marks.push(MARK * part.powf(STEP_POWER));
    }
    marks
}
