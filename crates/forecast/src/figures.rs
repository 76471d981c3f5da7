//! Figures with what they may be, from plays on resampled days.

use crate::came::Came;
use crate::demand::{student, Judged, Unfit, NORMAL};
use crate::layout::BadLayout;
use crate::play::{play, Manner, Stage};
use crate::wanted::{busiest, draw, Wanted, LEAD};
use crate::{bound, Demand, Foretold, Layout, Likely, Limiting};
use cloverhollow::Settings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Most plays of one figure.
pub const MOST_PLAYS: usize = 64;
/// The flow is looked at for so many of the days.
const BOUNDED: usize = 2;

/// Why nothing is foretold.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The record of demand is not fit.
    #[error(transparent)]
    Demand(#[from] Unfit),
    /// A layout is none.
    #[error(transparent)]
    Layout(#[from] BadLayout),
    /// There is no layout to judge.
    #[error("no layout to judge")]
    NoLayout,
}

/// How much is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How.
    pub manner: Manner,
    /// Minutes that are played: the busiest.
    pub minutes: u32,
    /// Modules of a play of a wave, of the loss of a hall, and of a change that may help: these are held
    /// against each other, not against what comes.
    pub quick: usize,
    /// Plays of a layout itself...
    pub plays: usize,
    /// ...and of each wave on the way.
    pub few: usize,
    /// Sessions of all plays of a layout itself, about; past them there are fewer plays, two at least.
    pub most_sessions: usize,
    /// How long the release is to run.
    pub lasts: Duration,
    /// Seed of all that is drawn.
    pub seed: u64,
}

/// What is played on a day.
#[derive(Clone, Copy)]
pub struct Scene<'a> {
    /// The layout that holds until the busiest minutes begin, if it is another.
    pub before: Option<&'a Layout>,
    /// The layout.
    pub layout: &'a Layout,
    /// The hall that is lost in the middle.
    pub lost: Option<usize>,
}

impl<'a> From<&'a Layout> for Scene<'a> {
    fn from(layout: &'a Layout) -> Self {
        Scene { before: None, layout, lost: None }
    }
}

/// Days drawn from the record, the same for all that is compared.
pub struct Days<'a> {
    settings: &'a Settings,
    plan: &'a Plan,
    /// What the record is good for.
    pub judged: Judged,
    /// The minutes that are played.
    pub span: (u32, u32),
    wanted: Vec<Vec<Wanted>>,
    widen: f64,
    /// Plays the same sessions by another seed.
    pub again: bool,
}

impl<'a> Days<'a> {
    /// Draws them as they may be in the middle of the release. `spread`: how much wider figures are made for
    /// having been wrong ([`crate::Record::spread`]).
    pub fn new(
        settings: &'a Settings,
        plan: &'a Plan,
        demand: &Demand,
        now: Duration,
        spread: f64,
    ) -> Result<Self, Fault> {
        let judged = demand.judge(now, plan.lasts / 2)?;
        let class = |a: &crate::Asked| a.class < settings.classes.len();
        if !demand.days.iter().flat_map(|d| d.values().flatten()).all(class) {
            return Err(Unfit::Bad("a class that the settings do not have").into());
        }
        let span = busiest(demand, plan.minutes.max(1));
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut days = demand.resample(&judged, plan.plays.clamp(2, MOST_PLAYS), &mut rng).into_iter();
        let (mut wanted, mut sessions) = (Vec::new(), 0);
        for day in days.by_ref() {
            let all = draw(&day, span, demand.burst, &mut rng);
            sessions += all.len();
            if wanted.len() >= 2 && sessions > plan.most_sessions {
                break;
            }
            wanted.push(all);
        }
        Ok(Days { settings, plan, judged, span, wanted, widen: judged.widen * spread.max(1.0), again: false })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.wanted.len()
    }

    fn length(&self) -> Duration {
        Duration::from_secs(60) * (self.span.1 - self.span.0)
    }

    /// Plays one of them. `quick`: by [`Plan::quick`] modules.
    pub fn play(&self, i: usize, scene: &Scene, quick: bool) -> Came {
        let settings = self.settings;
        let Scene { before, layout, lost } = *scene;
        let quick = if quick { self.plan.quick } else { usize::MAX };
        let manner = &Manner { modules: self.plan.manner.modules.min(quick), ..self.plan.manner.clone() };
        let stage = Stage { settings, before, layout, lost, lead: LEAD, span: self.length(), manner };
        play(
            &stage,
            &self.wanted[i % self.wanted.len()],
            self.plan.seed ^ (i as u64 + 1) ^ (u64::from(self.again) << 32),
        )
    }

    /// The first of them played, and what that tells.
    pub fn foretell(&self, scene: &Scene, quick: bool, plays: usize) -> Foretold {
        let plays = plays.clamp(1, self.wanted.len());
        let all: Vec<_> = (0..plays).map(|i| self.play(i, scene, quick)).collect();
        let most = all.iter().zip(&self.wanted).take(BOUNDED).map(|(came, wanted)| {
            bound::most_served(self.settings, scene.layout, wanted, self.length()) / came.asked.max(1e-9)
        });
        let most: Vec<f64> = most.collect();
        let sessions = self.wanted.iter().map(Vec::len).sum::<usize>() as f64 / self.wanted.len() as f64;
        let mut it = figures(&all, self.widen, 1.0 / sessions.max(1.0));
        it.most_served = most.iter().sum::<f64>() / most.len().max(1) as f64;
        it.span = self.span;
        it
    }
}

/// Of several plays: the middle, and what the next may be. `one`: a usual session's part of all worth.
fn figures(all: &[Came], widen: f64, one: f64) -> Foretold {
    // What was seen in none of n plays is still met by three of n at the most, nineteen times in twenty.
    let rare = 3.0 / all.len().max(1) as f64;
    let of =
        |f: &dyn Fn(&Came) -> f64, least: f64| likely(&all.iter().map(f).collect::<Vec<_>>(), widen, least);
    let part = |x: f64, of: f64| if of > 0.0 { x / of } else { 0.0 };
    let get = |m: &BTreeMap<usize, f64>, k: usize| m.get(&k).copied().unwrap_or(0.0);
    let keys = |f: fn(&Came) -> &BTreeMap<usize, f64>| {
        let all = all.iter().flat_map(move |c| f(c).keys().copied());
        all.collect::<std::collections::BTreeSet<_>>()
    };
    let servers: std::collections::BTreeSet<u64> = all.iter().flat_map(|c| c.links.keys().copied()).collect();
    let rows = |f: fn(&Came) -> &BTreeMap<u64, f64>, least: f64| {
        let one = |id: &u64| (*id, of(&|c| f(c).get(id).copied().unwrap_or(0.0), least));
        servers.iter().map(one).collect::<BTreeMap<u64, Likely>>()
    };
    let refused = |asked: fn(&Came) -> &BTreeMap<usize, f64>, no: fn(&Came) -> &BTreeMap<usize, f64>| {
        let one = |k: usize| (k, of(&|c| part(get(no(c), k), get(asked(c), k)), rare * one).within(0.0, 1.0));
        keys(asked).into_iter().map(one).collect::<BTreeMap<usize, Likely>>()
    };
    let mut blame: BTreeMap<Limiting, f64> = BTreeMap::new();
    for (what, worth) in all.iter().flat_map(|c| &c.blame) {
        *blame.entry(*what).or_default() += worth;
    }
    let uplink = |k: usize| (k, of(&|c| get(&c.uplinks, k), 0.0));
    Foretold {
        links: rows(|c| &c.links, 0.0),
        uplinks: keys(|c| &c.uplinks).into_iter().map(uplink).collect(),
        peak: of(&Came::peak, 0.0),
        sessions: rows(|c| &c.sessions, 0.0),
        refused_by_class: refused(|c| &c.asked_by_class, |c| &c.refused_by_class),
        refused_by_tenant: refused(|c| &c.asked_by_tenant, |c| &c.refused_by_tenant),
        expected: all.iter().map(Came::refused_part).sum::<f64>() / all.len().max(1) as f64,
        refused: of(&|c| c.refused_part(), rare * one).within(0.0, 1.0),
        crossing: of(&|c| part(c.crossed as f64, c.setups as f64), 0.0).within(0.0, 1.0),
        first_connections: of(&|c| c.first_connections as f64, 0.0),
        cold_setups: of(&|c| c.cold_setups as f64, 0.0),
        cold_seconds: of(&|c| c.cold_seconds, 0.0),
        served: of(&|c| part(c.served, c.asked), 0.0).within(0.0, 1.0),
        most_served: 1.0,
        span: (0, 0),
        limiting: blame.iter().max_by(|a, b| a.1.total_cmp(b.1)).filter(|b| *b.1 > 0.0).map(|b| *b.0),
    }
}

/// The middle of these, and where the next one lies nine times in ten if both halves are as normal ones.
fn likely(values: &[f64], widen: f64, least: f64) -> Likely {
    let n = values.len();
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let middle = match n {
        0 => return Likely::default(),
        _ if n % 2 == 1 => sorted[n / 2],
        _ => (sorted[n / 2 - 1] + sorted[n / 2]) / 2.0,
    };
    let half = |up: bool| {
        let side = sorted.iter().filter(|x| (**x > middle) == up && **x != middle);
        (side.map(|x| (x - middle).powi(2)).sum::<f64>() / (n as f64 / 2.0)).sqrt()
    };
    let few = if n > 1 { student(n - 1) * (1.0 + 1.0 / n as f64).sqrt() } else { NORMAL };
    let by = few * widen;
    Likely {
        middle,
        low: (middle - (by * half(false)).max(least)).max(0.0),
        high: middle + (by * half(true)).max(least),
    }
}

impl Likely {
    /// Cut to where it can be.
    fn within(self, low: f64, high: f64) -> Likely {
        let cut = |x: f64| x.clamp(low, high);
        Likely { middle: cut(self.middle), low: cut(self.low), high: cut(self.high) }
    }

    /// How far something lies from the middle, in parts of the spread on its side; past 1 it is outside.
    pub fn off(&self, x: f64) -> f64 {
        let side = if x > self.middle { self.high - self.middle } else { self.middle - self.low };
        (x - self.middle).abs() / side.max(1e-6)
    }
}
