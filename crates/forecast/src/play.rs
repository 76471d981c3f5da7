//! The module itself against servers in virtual time.

use crate::came::{Came, Collector};
use crate::cast::{Cast, News};
use crate::follow::Leaders;
use crate::wanted::Wanted;
use crate::world::{Loads, World};
use crate::{LaidTitle, Layout};
use cloverhollow::{AttemptOutcome, Event, RequestId, ServerId, SessionReport, Settings};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

/// When a play begins on the modules' clock: zero means 'long ago' there.
pub(crate) const EPOCH: Duration = Duration::from_secs(3_600);
/// Links are looked at so often; short delivery is noted as often.
pub(crate) const SECOND: Duration = Duration::from_secs(1);

/// How a play is played.
#[derive(Clone, Debug)]
pub struct Manner {
    /// Most modules; where there are more fronts, the sessions of the rest go as those of these
    /// (`follow.rs`).
    pub modules: usize,
    /// Time that a set-up takes...
    pub setup: Duration,
    /// ...and how much longer some take at most, as a part of it.
    pub uneven: f64,
    /// Every session gets its notes; else one of each front at a server, which hears the same.
    pub all_notes: bool,
    /// How long a viewer waits for its session.
    pub waits: Duration,
}

/// What is played.
pub struct Stage<'a> {
    /// What the fronts are told.
    pub settings: &'a Settings,
    /// The layout that holds until the span begins, if it is not the same.
    pub before: Option<&'a Layout>,
    /// The layout from then on.
    pub layout: &'a Layout,
    /// The hall that is lost in the middle of the span.
    pub lost: Option<usize>,
    /// How long the play goes on before the span; [`crate::wanted::LEAD`] for what is drawn by
    /// [`crate::wanted::draw`].
    pub lead: Duration,
    /// Length of the span.
    pub span: Duration,
    /// How.
    pub manner: &'a Manner,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum What {
    Second,
    Change,
    Lose,
    Comes(usize),
    Arrives(RequestId, u32, ServerId),
    Late(RequestId, u32, ServerId),
    Ends(RequestId),
    Timer(usize, u64),
}

pub(crate) struct Live {
    pub wanted: usize,
    pub front: usize,
    pub came: Duration,
    pub rung: usize,
    pub attempts: u32,
    pub at: Option<ServerId>,
    /// Its front is not played.
    pub follows: bool,
}

pub(crate) struct Run<'a> {
    pub stage: &'a Stage<'a>,
    pub wanted: &'a [Wanted],
    pub layout: &'a Layout,
    pub titles: BTreeMap<u64, LaidTitle>,
    /// As of the last second.
    pub loads: Loads,
    pub news: News,
    pub cast: Cast,
    pub leaders: Leaders,
    pub world: World,
    pub rng: ChaCha8Rng,
    pub queue: BinaryHeap<Reverse<(Duration, u64, What)>>,
    pub next: u64,
    pub live: BTreeMap<RequestId, Live>,
    pub requests: RequestId,
    pub inbox: BTreeMap<usize, Vec<Event>>,
    /// Notes under way, by the seconds until they come.
    pub late: VecDeque<Vec<(RequestId, ServerId, SessionReport)>>,
    pub short: BTreeSet<ServerId>,
    pub out: Collector,
}

/// Plays the sessions on the layout. Those that come before the lead is over make up what stands when the
/// span begins. The layout must be [`Layout::check`]ed. Same arguments, same outcome.
pub fn play(stage: &Stage, wanted: &[Wanted], seed: u64) -> Came {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let first = stage.before.unwrap_or(stage.layout);
    let cast = Cast::new(stage.settings, stage.layout, stage.manner.modules, &mut rng);
    let end = EPOCH + stage.lead + stage.span;
    let mut run = Run {
        stage,
        wanted,
        layout: first,
        titles: places(first),
        loads: Loads::default(),
        news: News::default(),
        cast,
        leaders: Leaders::default(),
        world: World::new(stage.settings, first),
        rng,
        queue: BinaryHeap::new(),
        next: 0,
        live: BTreeMap::new(),
        requests: 0,
        inbox: BTreeMap::new(),
        late: VecDeque::new(),
        short: BTreeSet::new(),
        out: Collector::new(stage.lead, stage.lead + stage.span),
    };
    run.tell_lists();
    run.deliver(EPOCH);
    run.plan(EPOCH, What::Second);
    if stage.before.is_some() {
        run.plan(EPOCH + stage.lead, What::Change);
    }
    if stage.lost.is_some() {
        run.plan(EPOCH + stage.lead + stage.span / 2, What::Lose);
    }
    for (i, w) in wanted.iter().enumerate() {
        run.plan(EPOCH + w.at, What::Comes(i));
    }
    while let Some(Reverse((now, _, what))) = run.queue.pop() {
        if now > end {
            break;
        }
        run.happens(now, what);
        while run.queue.peek().is_some_and(|Reverse((t, _, _))| *t == now) {
            let Some(Reverse((_, _, what))) = run.queue.pop() else { break };
            run.happens(now, what);
        }
        run.deliver(now);
    }
    debug_assert_eq!(run.world.check(), Ok(()));
    let mut came = run.out.came;
    (came.cold_setups, came.toppled) = (run.world.cold.0, run.world.toppled);
    came.cold_seconds = run.world.cold.1.map_or(0.0, |t| t.saturating_sub(EPOCH + stage.lead).as_secs_f64());
    came
}

pub(crate) fn places(layout: &Layout) -> BTreeMap<u64, LaidTitle> {
    layout.titles.iter().map(|t| (t.title, *t)).collect()
}

impl Run<'_> {
    pub fn plan(&mut self, at: Duration, what: What) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, what)));
    }

    pub fn tell(&mut self, front: usize, event: Event) {
        self.inbox.entry(front).or_default().push(event);
    }

    pub fn tell_lists(&mut self) {
        for front in (0..self.cast.fronts.len()).filter(|f| self.cast.alive(*f)).collect::<Vec<_>>() {
            let list = self.cast.list(front, self.layout, &self.news);
            self.tell(front, list);
        }
    }

    fn happens(&mut self, now: Duration, what: What) {
        match what {
            What::Second => self.second(now),
            What::Change => self.change(now),
            What::Lose => self.lose(now),
            What::Comes(i) => {
                let settings = self.stage.settings;
                self.out.asked(settings, &self.wanted[i]);
                self.comes(now, i);
            }
            What::Arrives(id, attempt, server) => self.arrives(now, id, attempt, server),
            What::Late(id, attempt, server) => {
                self.ended(id, attempt, server, AttemptOutcome::Timeout, false)
            }
            What::Ends(id) => self.ends(id),
            What::Timer(front, token) => self.tell(front, Event::Timer(token)),
        }
    }

    pub fn deliver(&mut self, now: Duration) {
        for (front, events) in std::mem::take(&mut self.inbox) {
            for action in self.cast.step(front, now, &events) {
                self.does(now, front, action);
            }
        }
    }
}
