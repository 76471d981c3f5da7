//! Worth served over worth asked, and latencies.

use crate::plan::Viewer;
use crate::script::Script;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Delivered share from which nothing is missed, and points that are missed below it (the users' brief, 4.4).
const WHOLE: f64 = 0.98;
/// Length of a window of the course of the day.
const WINDOW: Duration = Duration::from_secs(10);

/// Worth asked and served.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[allow(missing_docs)] // the names say it
pub struct Worth {
    pub asked: f64,
    pub served: f64,
}

impl Worth {
    /// The served part.
    pub fn part(self) -> f64 {
        if self.asked > 0.0 {
            self.served / self.asked
        } else {
            1.0
        }
    }
}

struct Sums {
    classes: Vec<Worth>,
    seconds: Vec<Worth>,
    statuses: BTreeMap<u16, u64>,
    setups: Histogram<u64>,
    objects: Histogram<u64>,
    playing: u64,
    late: u64,
    breaks: u64,
}

/// Takes worth down as it is asked and served.
pub struct Tally {
    sums: Mutex<Sums>,
    worths: Vec<f64>,
    aims: Vec<Duration>,
    names: Vec<String>,
    rungs: Vec<f64>,
    tops: Vec<usize>,
    stall: f64,
    start: Duration,
}

/// Percentiles, ms.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)] // the names say it
pub struct Percentiles {
    pub count: u64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub max: f64,
}

/// A day in figures.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)] // the names say it
pub struct Score {
    /// Worth served over worth asked.
    pub served: f64,
    /// The same of each class.
    pub classes: BTreeMap<String, f64>,
    /// The same of each window of 10 s.
    pub windows: Vec<f64>,
    /// Each second of the day.
    #[serde(skip)]
    pub seconds: Vec<Worth>,
    /// The worst of them.
    pub worst_window: f64,
    /// Answers to calls, by status.
    pub answers: BTreeMap<u16, u64>,
    pub playing: u64,
    /// Set-ups that came to play after the class's aim: they earn nothing.
    pub late: u64,
    /// Sessions that broke while they played.
    pub breaks: u64,
    pub setup_ms: Percentiles,
    pub object_ms: Percentiles,
}

fn histogram() -> Histogram<u64> {
    // Bounds and precision are constants: 1 us to 2 minutes, three figures.
    Histogram::new_with_bounds(1, 120_000_000, 3).unwrap_or_else(|_| unreachable!("valid bounds"))
}

/// Percentiles of a histogram of microseconds.
pub fn percentiles(h: &Histogram<u64>) -> Percentiles {
    let ms = |us: u64| us as f64 / 1e3;
    Percentiles {
        count: h.len(),
        p50: ms(h.value_at_quantile(0.5)),
        p90: ms(h.value_at_quantile(0.9)),
        p99: ms(h.value_at_quantile(0.99)),
        max: ms(h.max()),
    }
}

impl Tally {
    /// For a day that begins at `start`.
    pub fn new(script: &Script, start: Duration) -> Self {
        let seconds = script.length_ms.get().as_secs() as usize + 1;
        let classes = &script.front.classes.0;
        let highest = script.front.ladder.0.len() - 1;
        Tally {
            sums: Mutex::new(Sums {
                classes: vec![Worth::default(); classes.len()],
                seconds: vec![Worth::default(); seconds],
                statuses: BTreeMap::new(),
                setups: histogram(),
                objects: histogram(),
                playing: 0,
                late: 0,
                breaks: 0,
            }),
            worths: classes.iter().map(|c| c.worth.get()).collect(),
            aims: classes.iter().map(|c| c.target_setup_ms.get()).collect(),
            names: classes.iter().map(|c| c.name.as_str().to_string()).collect(),
            rungs: script.front.ladder.0.iter().map(|r| r.worth.get()).collect(),
            tops: classes.iter().map(|c| c.max_rung.as_ref().map_or(highest, |t| t.value)).collect(),
            stall: script.viewers.stall.get(),
            start,
        }
    }

    fn sums(&self) -> MutexGuard<'_, Sums> {
        self.sums.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Spreads worth over the seconds that it belongs to.
    fn spread(&self, class: usize, from: Duration, span: Duration, rate: f64, put: impl Fn(&mut Worth, f64)) {
        let mut sums = self.sums();
        put(&mut sums.classes[class], rate * span.as_secs_f64());
        let from = from.saturating_sub(self.start);
        let (mut at, end) = (from.as_secs_f64(), (from + span).as_secs_f64());
        while at < end {
            let next = (at.floor() + 1.0).min(end);
            if let Some(second) = sums.seconds.get_mut(at as usize) {
                put(second, rate * (next - at));
            }
            at = next;
        }
    }

    /// A viewer wants its session, at the highest rung that it can use, for its whole length.
    pub fn asked(&self, v: &Viewer) {
        let top = v.top.min(self.tops[v.class]);
        let rate = self.worths[v.class] * self.rungs[top];
        self.spread(v.class, v.at, v.length, rate, |w, n| w.asked += n);
    }

    /// It plays for a span at a rung, with that share of its rate.
    pub fn served(&self, v: &Viewer, from: Duration, span: Duration, rung: usize, share: f64) {
        let missed = (WHOLE - share).max(0.0) * self.stall;
        let worth = self.rungs.get(rung).copied().unwrap_or(0.0) * (1.0 - missed).max(0.0);
        self.spread(v.class, from, span, self.worths[v.class] * worth, |w, n| w.served += n);
    }

    /// A call was answered.
    pub fn answered(&self, status: u16, waited: Duration) {
        let mut sums = self.sums();
        *sums.statuses.entry(status).or_default() += 1;
        if (200..300).contains(&status) {
            sums.setups.saturating_record(waited.as_micros() as u64);
        }
    }

    /// A session came to play.
    pub fn playing(&self, v: &Viewer, waited: Duration) {
        let mut sums = self.sums();
        sums.playing += 1;
        sums.late += u64::from(waited > self.aims[v.class]);
    }

    /// A later object was had.
    pub fn object(&self, took: Duration) {
        self.sums().objects.saturating_record(took.as_micros() as u64);
    }

    /// A session broke while it played.
    pub fn broke(&self) {
        self.sums().breaks += 1;
    }

    /// The day in figures.
    pub fn score(&self) -> Score {
        let sums = self.sums();
        let add = |all: &[Worth]| {
            all.iter().fold(Worth::default(), |a, w| Worth {
                asked: a.asked + w.asked,
                served: a.served + w.served,
            })
        };
        let windows: Vec<f64> = sums
            .seconds
            .chunks(WINDOW.as_secs() as usize)
            .map(add)
            .filter(|w| w.asked > 0.0)
            .map(Worth::part)
            .collect();
        Score {
            served: add(&sums.classes).part(),
            classes: self.names.iter().cloned().zip(sums.classes.iter().map(|w| w.part())).collect(),
            worst_window: windows.iter().copied().fold(1.0, f64::min),
            windows,
            seconds: sums.seconds.clone(),
            answers: sums.statuses.clone(),
            playing: sums.playing,
            late: sums.late,
            breaks: sums.breaks,
            setup_ms: percentiles(&sums.setups),
            object_ms: percentiles(&sums.objects),
        }
    }
}
