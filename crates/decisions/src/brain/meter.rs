//! The ledger's pages: what is booked, read and guessed of one link or uplink.

use super::*;

/// A value that fades to zero over `FADE`.
#[derive(Clone, Copy, Default)]
pub(super) struct Fading(pub(super) f64, pub(super) Duration);

impl Fading {
    pub(super) fn at(self, now: Duration) -> f64 {
        self.0 * (1.0 - secs(now.saturating_sub(self.1)) / secs(FADE)).max(0.0)
    }
}

/// The ledger's page on one link or uplink, in parts of its size.
#[derive(Default)]
pub(super) struct Meter {
    pub(super) booked: f64,
    /// What the own playing sessions ask, with its recent past: reports are late.
    pub(super) playing: VecDeque<(Duration, f64)>,
    /// The last reading less what the own sessions asked at the time that it speaks of.
    pub(super) base: f64,
    pub(super) own_read: f64,
    /// How many own sessions there were in all at that time.
    pub(super) all_read: f64,
    pub(super) read_at: Option<Duration>,
    /// What short delivery adds: a later reading of a link that comes and goes does not clear it.
    pub(super) short: Fading,
    pub(super) stepped: Duration,
    /// What others are taken to ask, as of the last look round.
    pub(super) others: f64,
}

impl Meter {
    /// What others have booked since the reading if they did as this front: in a rush, over the whole fleet
    /// (one session is chance), or here, those who heard it too (each has a session here).
    pub(super) fn since(&self, p: &Peers) -> f64 {
        let here = (self.booked - self.own_read).max(0.0) * (self.base * p.streams).clamp(0.0, p.fronts);
        here.max((p.all - self.all_read - 1.0).max(0.0) * p.session * p.fronts / p.size)
    }

    /// What others ask: the base and what came since, fading to what is usual in the fleet.
    pub(super) fn others(&self, now: Duration, usual: f64, p: &Peers) -> f64 {
        let Some(t) = self.read_at else {
            return usual.max(self.booked * (usual * p.streams).clamp(0.0, p.fronts));
        };
        let left = Fading(1.0, t).at(now);
        (self.base + self.since(p)) * left + usual * (1.0 - left)
    }

    pub(super) fn used(&self, now: Duration) -> f64 {
        self.booked + self.others.max(self.short.at(now))
    }

    pub(super) fn record(&mut self, now: Duration, booked: f64, playing: f64, keep: Duration) {
        self.booked = booked;
        while self.playing.len() > 1 && self.playing[1].0 + keep < now {
            self.playing.pop_front();
        }
        self.playing.push_back((now, playing));
    }

    pub(super) fn own_at(&self, then: Duration) -> f64 {
        let past = self.playing.iter().rev().find(|(t, _)| *t <= then).or(self.playing.front());
        past.map_or(0.0, |p| p.1)
    }

    /// A reading taken `age` ago. One that finds room a round of notes after the last short delivery ends
    /// that: room stood empty long after each sag. A link that comes and goes more slowly is filled again.
    pub(super) fn read(&mut self, now: Duration, age: Duration, reading: f64, round: Duration, all: f64) {
        if reading < MARK && self.short.1 + round < now {
            self.short = Fading::default();
        }
        (self.read_at, self.all_read) = (Some(now), all);
        self.own_read = self.own_at(now.saturating_sub(age));
        self.base = reading - self.own_read;
    }

    pub(super) fn told(&self) -> Option<f64> {
        self.read_at.map(|_| self.base + self.own_read)
    }

    /// Short delivery: the page reads full from now on, fading.
    pub(super) fn fill(&mut self, now: Duration) {
        self.short = Fading(1.0 - self.booked, now);
    }
}

#[derive(Default)]
pub(super) struct Rack {
    pub(super) uplink: f64,
    /// The part of it that short delivery showed to be missing.
    pub(super) missing: Fading,
    pub(super) meter: Meter,
    pub(super) links: f64,
    pub(super) own: Own,
}

/// What is known of the other fronts: how many, what all of this front's own sessions ask, the size of all
/// links (or uplinks), and how many sessions fill the one looked at.
pub(super) struct Peers {
    pub(super) fronts: f64,
    pub(super) all: f64,
    pub(super) size: f64,
    pub(super) streams: f64,
    pub(super) session: f64,
}

/// What sessions take: a share of a link, and kB a second.
#[derive(Clone, Copy, Default)]
pub(super) struct Price {
    pub(super) link: f64,
    pub(super) rate: f64,
}

/// The price of the own sessions booked, and of those of them that play.
#[derive(Clone, Copy, Default)]
pub(super) struct Own {
    pub(super) booked: Price,
    pub(super) playing: Price,
}

/// Use of a server's link and of its rack's uplink, and the size of that.
pub(super) struct Use {
    pub(super) link: f64,
    pub(super) rack: f64,
    pub(super) uplink: f64,
}

/// Mean and spread of what others ask of these pages (size and page), by how fresh they are. What they would
/// ask if they did as this front does counts as one reading.
pub(super) fn usual(now: Duration, pages: &[(f64, &Meter)], peers: impl Fn(f64) -> Peers) -> (f64, f64) {
    let all = peers(0.0);
    let (one, prior) =
        (all.size / pages.len().max(1) as f64, (all.all * all.session * all.fronts / all.size).min(1.0));
    let (mut sum, mut squares, mut weight) = (one * prior, one * prior * prior, one);
    for (size, m) in pages {
        let base = (m.base + m.since(&peers(*size))).clamp(0.0, 1.0);
        let w = size * m.read_at.map_or(0.0, |t| Fading(1.0, t).at(now));
        (sum, squares, weight) = (sum + w * base, squares + w * base * base, weight + w);
    }
    let mean = sum / weight.max(TINY);
    (mean, (squares / weight.max(TINY) - mean * mean).max(0.0).sqrt())
}
