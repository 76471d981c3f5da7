//! Layouts foretold, and what came: how good [`cloverhollow_forecast`] is.
//!
//! [`Fleet`] and [`Process`] are drawn; days are recorded as fronts record them; the
//! forecast sees the record alone. `truth` plays the day after, of the same process, by a module for each
//! front. `textbook` is what one does without: sums of mean demand over weights. [`Scores`] holds them side
//! by side.

mod big;
mod fleet;
mod process;
mod score;
mod textbook;
mod truth;

pub use big::{big, Big};
pub use fleet::Fleet;
pub use process::Process;
pub use score::{Outcome, Scores};

use cloverhollow_forecast::{assess, Advice, Asking, Bars, Fault, Manner, Plan, Record};
use std::time::Duration;

/// Minutes that a forecast looks at: all, since a link may be asked too much outside the busiest ones.
const MINUTES: u32 = process::LONG;

/// Other days that one who knows the process is given.
const OTHERS: usize = 6;

/// How the forecast plays. Truth has other manners (`truth`).
fn plan(seed: u64) -> Plan {
    Plan {
        manner: Manner {
            modules: 512,
            setup: Duration::from_millis(150),
            uneven: 0.0,
            all_notes: false,
            waits: Duration::from_secs(8),
        },
        minutes: MINUTES,
        quick: 32,
        plays: 12,
        few: 2,
        most_sessions: 40_000,
        lasts: Duration::from_secs(3_600),
        seed,
    }
}

/// Draws one fleet and its days, foretells its layout, plays the day after.
pub fn one(seed: u64) -> Result<Outcome, Fault> {
    let fleet = Fleet::draw(seed);
    let process = Process::draw(&fleet, seed);
    let demand = process.record(seed);
    let plan = plan(seed.wrapping_mul(31).wrapping_add(7));
    let record = Record::default();
    let steps = [fleet.before.clone(), fleet.layout.clone()];
    let asking = Asking {
        settings: &fleet.settings,
        steps: &steps,
        demand: &demand,
        now: demand.until,
        record: &record,
        bars: Bars::default(),
        plan: &plan,
    };
    let begun = std::time::Instant::now();
    let verdict = assess(&asking)?;
    let took = begun.elapsed().as_secs_f64();
    let span = verdict.at_end.span;
    let wanted = process.truth(seed);
    let came = truth::play(&fleet, &wanted, span, seed);
    let known = truth::known(&fleet, &process.others(OTHERS, seed), span, seed);
    let book = textbook::foretell(&fleet, &demand, span);
    let takes = verdict.advice != Advice::Dont;
    Ok(Outcome { took, ..Outcome::of(seed, &fleet, &verdict, takes, &came, (&book, known)) })
}
