//! What the fronts feed: one line for each title, class, tenant and hall of a minute, bounded.

use crate::demand::{Day, MINUTES, MOST_DAYS, MOST_LINES};
use crate::{Asked, Demand};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A minute.
const MINUTE: Duration = Duration::from_secs(60);
/// A day.
const DAY: Duration = Duration::from_secs(86_400);

/// Whose a line is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    /// The title.
    pub title: u64,
    /// The class, by index.
    pub class: usize,
    /// The tenant, by index.
    pub tenant: Option<usize>,
    /// The hall of its viewers.
    pub hall: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    began: u64,
    at_once: u64,
    ended: u64,
    played: Duration,
}

/// A broken invariant of a recorder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BrokenRecorder {
    /// More days or lines than their bounds.
    #[error("the recorder holds more than its bound")]
    Bound,
    /// More in a burst than in all.
    #[error("a line has more in a burst than in all")]
    Burst,
}

/// Records what was asked. Times are the caller's clock; the day begins where it is told.
#[derive(Clone, Debug)]
pub struct Recorder {
    burst: Duration,
    begin: Duration,
    until: Duration,
    /// Number of the oldest day kept.
    first: u64,
    days: VecDeque<BTreeMap<u32, BTreeMap<Line, Sum>>>,
    /// Sessions that were not taken down, past the bounds.
    pub left_out: u64,
}

impl Recorder {
    /// Empty. `begin`: a midnight on the caller's clock; `burst`: how long the burst after a begin lasts.
    pub fn new(begin: Duration, burst: Duration) -> Self {
        Recorder { burst, begin, until: begin, first: 0, days: VecDeque::new(), left_out: 0 }
    }

    /// A session ended that began then and was wanted so long. `at_once`: it came in a burst.
    pub fn asked(&mut self, began: Duration, line: Line, at_once: bool, played: Duration) {
        let Some(since) = began.checked_sub(self.begin) else {
            self.left_out += 1;
            return;
        };
        let day = since.as_secs() / DAY.as_secs();
        let minute = (since.as_secs() % DAY.as_secs() / MINUTE.as_secs()) as u32;
        if self.days.is_empty() {
            self.first = day;
        }
        while day >= self.first + self.days.len() as u64 {
            if day - self.first > 2 * MOST_DAYS as u64 {
                (self.first, self.days) = (day, VecDeque::new());
            }
            self.days.push_back(BTreeMap::new());
            if self.days.len() > MOST_DAYS {
                self.days.pop_front();
                self.first += 1;
            }
        }
        let at = day.checked_sub(self.first).and_then(|i| self.days.get_mut(i as usize));
        let Some(lines) = at.map(|d| d.entry(minute).or_default()) else {
            self.left_out += 1;
            return;
        };
        if lines.len() >= MOST_LINES && !lines.contains_key(&line) {
            self.left_out += 1;
            return;
        }
        let sum = lines.entry(line).or_default();
        sum.began += 1;
        sum.at_once += u64::from(at_once);
        sum.ended += 1;
        sum.played = sum.played.saturating_add(played.min(DAY));
        self.until = self.until.max(began);
    }

    /// What was recorded. A day that has not ended is left out, but when it is the only one.
    pub fn demand(&self, now: Duration) -> Demand {
        let today = now.saturating_sub(self.begin).as_secs() / DAY.as_secs();
        let whole = |i: &usize| self.days.len() == 1 || self.first + (*i as u64) < today;
        let day = |d: &BTreeMap<u32, BTreeMap<Line, Sum>>| -> Day {
            let asked = |(l, s): (&Line, &Sum)| Asked {
                title: l.title,
                class: l.class,
                tenant: l.tenant,
                hall: l.hall,
                began: s.began as f64,
                at_once: s.at_once as f64,
                played: s.played / u32::try_from(s.ended).unwrap_or(u32::MAX).max(1),
            };
            d.iter().map(|(m, lines)| (*m, lines.iter().map(asked).collect())).collect()
        };
        let kept = self.days.iter().enumerate().filter(|(i, _)| whole(i)).map(|(_, d)| day(d));
        Demand { until: self.until, burst: self.burst, days: kept.collect() }
    }

    /// Its invariants.
    pub fn check(&self) -> Result<(), BrokenRecorder> {
        let lines = || self.days.iter().flat_map(|d| d.iter());
        if self.days.len() > MOST_DAYS || lines().any(|(m, l)| *m >= MINUTES || l.len() > MOST_LINES) {
            return Err(BrokenRecorder::Bound);
        }
        if lines().flat_map(|(_, l)| l.values()).any(|s| s.at_once > s.began) {
            return Err(BrokenRecorder::Burst);
        }
        Ok(())
    }
}
