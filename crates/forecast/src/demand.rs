//! What was recorded, judged, and days drawn from it.

use crate::wanted::MOST_WANTED;
use crate::{Asked, Demand};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Most days that are kept or looked at.
pub const MOST_DAYS: usize = 60;
/// Minutes of a day.
pub const MINUTES: u32 = 1_440;
/// Most lines of one minute.
pub const MOST_LINES: usize = 65_536;
/// Fewer days than this tell nothing of how they vary.
pub const FEWEST_DAYS: usize = 2;
/// Days from fewer sessions are chance.
pub const FEWEST_SESSIONS: f64 = 100.0;
/// Older demand is not believed.
pub const OLDEST: Duration = Duration::from_secs(3 * 86_400);
/// Demand is not taken to grow or shrink by more than this factor a day, whatever few days say.
const MOST_GROWTH: f64 = 2.0;
/// The 0.95 point of Student's t by degrees of freedom, from 1; past its end the normal's and a bit.
const STUDENT: [f64; 10] = [6.31, 2.92, 2.35, 2.13, 2.02, 1.94, 1.89, 1.86, 1.83, 1.81];
/// The same of the normal distribution.
pub(crate) const NORMAL: f64 = 1.645;

/// One day, minute by minute.
pub type Day = BTreeMap<u32, Vec<Asked>>;

/// Why nothing is foretold from a record.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum Unfit {
    /// Recorded too long ago.
    #[error("the demand was recorded {0:?} ago")]
    Stale(Duration),
    /// Too few days.
    #[error("{0} days of demand are too few")]
    FewDays(usize),
    /// Too few sessions.
    #[error("{0:.0} sessions a day are too few")]
    FewSessions(f64),
    /// Past a bound, or no figure.
    #[error("the demand has {0}")]
    Bad(&'static str),
}

/// What a record is good for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judged {
    /// Logarithm of a day's load, as it is likely at the time looked at.
    pub level: f64,
    /// Its standard deviation, of the days and of what is not known of their mean and growth.
    pub spread: f64,
    /// Growth a day, as a factor.
    pub growth: f64,
    /// How much wider the spread of any figure is for being from few days.
    pub widen: f64,
}

fn load(day: &Day) -> f64 {
    day.values().flatten().map(|a| a.began * a.played.as_secs_f64()).sum()
}

impl Demand {
    /// What must be true of a record: within its bounds, figures that are figures.
    pub fn check(&self) -> Result<(), Unfit> {
        let fine = |x: f64| x.is_finite() && (0.0..1e9).contains(&x);
        for day in &self.days {
            for (minute, lines) in day {
                if *minute >= MINUTES || lines.len() > MOST_LINES {
                    return Err(Unfit::Bad("more minutes or lines than its bound"));
                }
                for a in lines {
                    if !fine(a.began)
                        || !fine(a.at_once)
                        || a.at_once > a.began
                        || a.played.as_secs() > 86_400
                    {
                        return Err(Unfit::Bad("a line without sense"));
                    }
                }
            }
        }
        let many = |d: &Day| d.values().flatten().map(|a| a.began).sum::<f64>() > MOST_WANTED as f64;
        if self.days.iter().any(many) {
            return Err(Unfit::Bad("a day of more sessions than its bound"));
        }
        if self.days.len() > MOST_DAYS {
            return Err(Unfit::Bad("more days than its bound"));
        }
        Ok(())
    }

    /// Whether something can be foretold from it now, for a time so much later.
    ///
    /// The growth is a line through the logarithms of the days' loads, shrunk by how sure it is. What is old
    /// is less sure: each day of age adds as much variance as a day has.
    pub fn judge(&self, now: Duration, ahead: Duration) -> Result<Judged, Unfit> {
        self.check()?;
        let age = now.saturating_sub(self.until);
        if age > OLDEST {
            return Err(Unfit::Stale(age));
        }
        let n = self.days.len();
        if n < FEWEST_DAYS {
            return Err(Unfit::FewDays(n));
        }
        let sessions =
            self.days.iter().flat_map(|d| d.values().flatten()).map(|a| a.began).sum::<f64>() / n as f64;
        if sessions < FEWEST_SESSIONS {
            return Err(Unfit::FewSessions(sessions));
        }
        let logs: Vec<f64> = self.days.iter().map(|d| load(d).max(1e-9).ln()).collect();
        let (count, middle) = (n as f64, (n as f64 - 1.0) / 2.0);
        let mean = logs.iter().sum::<f64>() / count;
        let across: f64 = (0..n).map(|i| (i as f64 - middle).powi(2)).sum();
        let line =
            logs.iter().enumerate().map(|(i, y)| (i as f64 - middle) * (y - mean)).sum::<f64>() / across;
        let left = |slope: f64, free: f64| {
            let rest = logs.iter().enumerate().map(|(i, y)| (y - mean - slope * (i as f64 - middle)).powi(2));
            rest.sum::<f64>() / free.max(1.0)
        };
        // Two days show no growth apart from chance: half of it is believed.
        let noise = if n > 2 { left(line, count - 2.0) } else { line * line * across };
        let sure = line * line / (line * line + noise / across).max(1e-18);
        let slope = (line * sure).clamp(-MOST_GROWTH.ln(), MOST_GROWTH.ln());
        let days = |d: Duration| d.as_secs_f64() / 86_400.0;
        let at = count - middle + days(age + ahead);
        let variance = left(slope, count - 1.0 - sure) * (1.0 + 1.0 / count + days(age));
        let unsure = at * at * noise / across * sure;
        Ok(Judged {
            level: mean + slope * at,
            spread: (variance + unsure).sqrt(),
            growth: slope.exp(),
            widen: student(n - 1) / NORMAL,
        })
    }

    /// As many days as they may be at the time that was judged: which day's mix is drawn with replacement,
    /// the level laid evenly over its distribution. The first is the middle one of them.
    pub fn resample(&self, j: &Judged, count: usize, rng: &mut ChaCha8Rng) -> Vec<Day> {
        let mut mixes: Vec<usize> = Vec::new();
        while mixes.len() < count && !self.days.is_empty() {
            let mut once: Vec<usize> =
                (0..self.days.len()).map(|_| rng.random_range(0..self.days.len())).collect();
            mixes.append(&mut once);
        }
        let order = inside_out(count);
        let draw = |(i, mix): (usize, &usize)| {
            let z = normal((order[i] as f64 + 0.5) / count as f64);
            let day = &self.days[*mix];
            let by = (j.level + z * j.spread).exp() / load(day).max(1e-9);
            let scale = |a: &Asked| Asked { began: a.began * by, at_once: a.at_once * by, ..*a };
            day.iter().map(|(m, lines)| (*m, lines.iter().map(scale).collect())).collect()
        };
        mixes.iter().take(count).enumerate().map(draw).collect()
    }
}

/// The 0.95 point of Student's t.
pub(crate) fn student(freedom: usize) -> f64 {
    STUDENT.get(freedom.saturating_sub(1)).copied().unwrap_or(NORMAL + 0.1)
}

/// Numbers under `n`, the middle one first.
fn inside_out(n: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..n).collect();
    all.sort_by_key(|i| (2 * i).abs_diff(n - 1));
    all
}

/// Where that part of the standard normal distribution lies below (Abramowitz and Stegun, 26.2.23; to
/// 4.5e-4).
fn normal(p: f64) -> f64 {
    let q = p.min(1.0 - p).max(1e-12);
    let t = (-2.0 * q.ln()).sqrt();
    let x = t
        - (2.515517 + t * (0.802853 + t * 0.010328)) / (1.0 + t * (1.432788 + t * (0.189269 + t * 0.001308)));
    if p < 0.5 {
        -x
    } else {
        x
    }
}
