//! What a day came to.

use crate::exchange::Exchange;
use crate::fleet::PeerCost;
use crate::rules::{Left, Verdict};
use crate::score::Score;
use crate::wires::FaultReport;
use serde::Serialize;
use std::time::Duration;

/// A day as it came out.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Its name.
    pub day: String,
    /// Its seed.
    pub seed: u64,
    /// Who decided.
    pub policy: String,
    /// How many servers, fronts and viewers.
    pub servers: usize,
    /// How many fronts.
    pub fronts: usize,
    /// How many viewers came.
    pub viewers: usize,
    /// Worth and latencies.
    pub score: Score,
    /// The rules.
    pub rules: Vec<Verdict>,
    /// Attempts for viewers who had left, on the platform.
    pub left: Option<Left>,
    /// Servers that fell over, by whoever's doing.
    pub toppled: usize,
    /// Fronts that were killed.
    pub deaths: usize,
    /// When the day began on the exchanges' clock.
    #[serde(skip)]
    pub start: Duration,
    /// What the exchange of knowledge cost.
    pub cost: PeerCost,
    /// What befell the wires, as they saw it; times on the exchanges' clock.
    pub faults: Vec<FaultReport>,
    /// All that passed.
    #[serde(skip)]
    pub exchanges: Vec<Exchange>,
}

impl Outcome {
    /// Whether every rule was kept, and nothing begun long after its viewer had left.
    pub fn kept(&self) -> bool {
        self.rules.iter().all(|r| r.first.is_none()) && self.left.as_ref().is_none_or(|l| l.first.is_none())
    }
}
