//! Foretold and came, side by side.

use super::fleet::Fleet;
use super::textbook::Book;
use super::truth::Truth;
use cloverhollow_forecast::{Advice, Likely, Limiting, Verdict};
use serde::Serialize;

/// One layout.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// What it was drawn from.
    pub seed: u64,
    /// Demand at its peak over what all links give.
    pub busy: f64,
    /// What was advised.
    pub advice: Advice,
    /// What limits.
    pub limiting: Option<Limiting>,
    /// Worth refused: foretold, its mean...
    pub refused: Likely,
    /// See above.
    pub expected: f64,
    /// ...as it came, and by the textbook.
    pub came: f64,
    /// See above.
    pub book: f64,
    /// The mean of other days of the same process: what one who knows all but the day could foretell.
    pub known: f64,
    /// Of each link: foretold (low, middle, high), came, by the textbook.
    pub links: Vec<(Likely, f64, f64)>,
    /// The same of each uplink, without the textbook.
    pub uplinks: Vec<(Likely, f64)>,
    /// The highest peak of a link or uplink over the day, as it came.
    pub peak: f64,
    /// The forecast advises to take it, at once or in waves; so does the textbook.
    pub takes: bool,
    /// See above.
    pub book_takes: bool,
    /// Worth served, as it came, and the most that a flow could in the foretold days.
    pub served: f64,
    /// See above.
    pub most_served: f64,
    /// Time of the forecast, s.
    pub took: f64,
}

impl Outcome {
    pub(super) fn of(
        seed: u64,
        fleet: &Fleet,
        verdict: &Verdict,
        takes: bool,
        truth: &Truth,
        (book, known): (&Book, f64),
    ) -> Outcome {
        let (it, came) = (&verdict.at_end, &truth.span);
        let link = |(id, l): (&u64, &Likely)| {
            (*l, came.links.get(id).copied().unwrap_or(0.0), book.links.get(id).copied().unwrap_or(0.0))
        };
        let uplink = |(rack, l): (&usize, &Likely)| (*l, came.uplinks.get(rack).copied().unwrap_or(0.0));
        Outcome {
            seed,
            busy: fleet.busy,
            advice: verdict.advice.clone(),
            limiting: verdict.limiting,
            refused: it.refused,
            expected: it.expected,
            came: came.refused_part(),
            known,
            book: book.refused,
            links: it.links.iter().map(link).collect(),
            uplinks: it.uplinks.iter().map(uplink).collect(),
            peak: truth.day.links.values().chain(truth.day.uplinks.values()).copied().fold(0.0, f64::max),
            takes,
            book_takes: book.takes,
            served: came.served / came.asked.max(1e-9),
            most_served: it.most_served,
            took: 0.0,
        }
    }
}

/// All of them.
#[derive(Clone, Debug, Serialize)]
pub struct Scores {
    /// Error of a link's peak, as a part of what came: median and ninetieth of a hundred.
    pub error: (f64, f64),
    /// By the textbook.
    pub book_error: (f64, f64),
    /// The same of uplinks.
    pub uplink_error: (f64, f64),
    /// Links whose truth lay in the stated spread, of all; the same of uplinks.
    pub links_inside: f64,
    /// See above.
    pub uplinks_inside: f64,
    /// Layouts whose refused worth lay in its spread, of all.
    pub refused_inside: f64,
    /// Kendall's tau (b) of layouts by refused worth, foretold and came; by the textbook and came.
    pub tau: f64,
    /// See above.
    pub book_tau: f64,
    /// By the mean of other days of the process and came: as far as a forecast can get.
    pub known_tau: f64,
    /// Layouts advised to be taken, and of them those that broke a limit.
    pub taken: (usize, usize),
    /// By the textbook.
    pub book_taken: (usize, usize),
    /// Time of a forecast, s: the longest.
    pub longest: f64,
    /// Each layout.
    pub layouts: Vec<Outcome>,
}

fn quantiles(mut all: Vec<f64>) -> (f64, f64) {
    all.sort_by(f64::total_cmp);
    let at = |p: f64| all.get(((all.len() as f64 - 1.0) * p).round() as usize).copied().unwrap_or(0.0);
    (at(0.5), at(0.9))
}

/// Kendall's tau-b: ties on both sides are counted out.
pub fn kendall(pairs: &[(f64, f64)]) -> f64 {
    let (mut sum, mut x, mut y) = (0.0, 0.0, 0.0);
    for (i, a) in pairs.iter().enumerate() {
        for b in &pairs[..i] {
            let order = |p: f64, q: f64| if (p - q).abs() < 1e-4 { 0.0 } else { (p - q).signum() };
            let (one, two) = (order(a.0, b.0), order(a.1, b.1));
            sum += one * two;
            x += one.abs();
            y += two.abs();
        }
    }
    sum / f64::sqrt(x * y).max(1e-9)
}

impl Scores {
    /// Sums up.
    pub fn of(layouts: Vec<Outcome>) -> Scores {
        let links = || layouts.iter().flat_map(|o| &o.links).filter(|l| l.1 > 0.0);
        let uplinks = || layouts.iter().flat_map(|o| &o.uplinks).filter(|l| l.1 > 0.0);
        let error = |told: f64, came: f64| (told - came).abs() / came;
        let inside = |l: &Likely, came: f64| f64::from(u8::from((l.low..=l.high).contains(&came)));
        let mean = |all: Vec<f64>| all.iter().sum::<f64>() / all.len().max(1) as f64;
        let taken = |takes: fn(&Outcome) -> bool| {
            let all = layouts.iter().filter(|o| takes(o));
            (all.clone().count(), all.filter(|o| o.peak > 1.0).count())
        };
        Scores {
            error: quantiles(links().map(|(l, came, _)| error(l.middle, *came)).collect()),
            book_error: quantiles(links().map(|(_, came, book)| error(*book, *came)).collect()),
            uplink_error: quantiles(uplinks().map(|(l, came)| error(l.middle, *came)).collect()),
            links_inside: mean(links().map(|(l, came, _)| inside(l, *came)).collect()),
            uplinks_inside: mean(uplinks().map(|(l, came)| inside(l, *came)).collect()),
            refused_inside: mean(layouts.iter().map(|o| inside(&o.refused, o.came)).collect()),
            tau: kendall(&layouts.iter().map(|o| (o.expected, o.came)).collect::<Vec<_>>()),
            book_tau: kendall(&layouts.iter().map(|o| (o.book, o.came)).collect::<Vec<_>>()),
            known_tau: kendall(&layouts.iter().map(|o| (o.known, o.came)).collect::<Vec<_>>()),
            taken: taken(|o| o.takes),
            book_taken: taken(|o| o.book_takes),
            longest: layouts.iter().map(|o| o.took).fold(0.0, f64::max),
            layouts,
        }
    }

    /// As a table.
    pub fn text(&self) -> String {
        use std::fmt::Write;
        let mut out = String::new();
        let pc = |x: f64| format!("{:.1}", x * 100.0);
        let _ =
            writeln!(out, "seed busy% refused% foretold (low, high) came book | peak% served most | advice");
        for o in &self.layouts {
            let _ = writeln!(
                out,
                "{:>6} {:>5} {:>6} ({}, {}) {:>6} {:>6} | {:>6} {:>6} {:>6} | {:?} {:?}",
                o.seed,
                pc(o.busy),
                pc(o.refused.middle),
                pc(o.refused.low),
                pc(o.refused.high),
                pc(o.came),
                pc(o.book),
                pc(o.peak),
                pc(o.served),
                pc(o.most_served),
                o.advice,
                o.limiting
            );
        }
        let two = |(a, b): (f64, f64)| format!("{}, {}", pc(a), pc(b));
        let _ = writeln!(out, "                                     forecast      textbook");
        let mut row = |what: &str, a: String, b: String| {
            let _ = writeln!(out, "{what:<36} {a:<13} {b}");
        };
        row("error of a link's peak % (p50, p90)", two(self.error), two(self.book_error));
        row("error of an uplink's peak %", two(self.uplink_error), "-".into());
        row("links inside their spread %", pc(self.links_inside), "-".into());
        row("uplinks inside %", pc(self.uplinks_inside), "-".into());
        row("refused worth inside %", pc(self.refused_inside), "-".into());
        row("Kendall's tau by refused worth", format!("{:.3}", self.tau), format!("{:.3}", self.book_tau));
        row("the same, knowing the process", format!("{:.3}", self.known_tau), "-".into());
        let both = |(all, broke): (usize, usize)| format!("{broke} of {all}");
        row("advised to take, broke a limit", both(self.taken), both(self.book_taken));
        row("longest forecast s", format!("{:.2}", self.longest), "-".into());
        out
    }
}
