//! When a release halts by itself.
//!
//! Paid worth at changed fronts against that at unchanged ones is judged by a sequential test that is valid
//! at any time: an e-process of two proportions (Turner, Ly, Grünwald, "Generic E-variables for exact
//! sequential k-sample tests that allow for optional stopping", 2021). For a block of paid requests, `nc` at
//! changed fronts and `nu` at unchanged ones, and guesses `c < u` made before the block, each outcome counts
//! by its likelihood under its guess over that under `m = (nc c + nu u) / (nc + nu)`. Where changed ones
//! serve no less, the product's mean over a block is at most one: it falls with the true share at unchanged
//! ones taken lower or at changed ones taken higher, and for one share `p` at both it is `A^nc B^nu` with `A
//! = 1 + (p - m)(c - m)/m(1 - m)` and `B` alike with `u`, whose weighted mean is one. So the product over all
//! blocks, and its mean over some guesses of the difference, passes `1 / error` at any time at all with a
//! chance of at most `error` (Ville). Two things are taken for given: requests of a block are independent,
//! and of one share at both sides if nothing is changed; that share may differ from block to block.

use crate::release::Plan;
use crate::report::{FrontReport, ServiceState};
use crate::types::HaltCause;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Differences that are looked for, of a thousand.
const DIFFERENCES: [u16; 6] = [20, 50, 100, 200, 400, 700];
/// Logarithms are kept as whole numbers of this part, so that a test can be compared and hashed.
const UNIT: f64 = 1e9;
/// Guesses stay away from nought and one by this.
const EDGE: f64 = 1e-3;

/// Paid requests of one front or of many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tally {
    /// Asked for.
    #[serde(rename = "asked")]
    pub requested: u32,
    /// Served, of those.
    pub served: u32,
}

impl Tally {
    /// Both together.
    pub fn combined_with(self, other: Tally) -> Tally {
        Tally {
            requested: self.requested.saturating_add(other.requested),
            served: self.served.saturating_add(other.served),
        }
    }

    /// What came since `before`, of a count that begins anew with each life. `None`: it did.
    pub fn delta_since(self, before: Tally) -> Option<Tally> {
        let asked = self.requested.checked_sub(before.requested)?;
        Some(Tally { requested: asked, served: self.served.checked_sub(before.served)?.min(asked) })
    }

    fn sane(self) -> Tally {
        Tally { served: self.served.min(self.requested), ..self }
    }
}

/// Paid worth of a block: changed fronts against unchanged ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PaidBlock {
    /// At changed fronts.
    pub changed: Tally,
    /// At unchanged ones.
    pub unchanged: Tally,
}

/// The test.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ServedShareTest {
    error_ppm: u32,
    /// For each difference, the logarithm of its product.
    logs: [i64; DIFFERENCES.len()],
    /// Of unchanged fronts, up to now.
    past: Tally,
    halts: bool,
}

impl ServedShareTest {
    /// One that has seen nothing. `error_ppm`: how often it may halt where nothing is changed, of a million.
    pub fn new(error_ppm: u32) -> ServedShareTest {
        ServedShareTest { error_ppm, logs: [0; DIFFERENCES.len()], past: Tally::default(), halts: false }
    }

    /// A block more. Whether there is less at changed fronts, by more than chance.
    pub fn add_block(&mut self, paid: PaidBlock) -> bool {
        let (c, u) = (paid.changed.sane(), paid.unchanged.sane());
        if c.requested > 0 && u.requested > 0 {
            let past = (f64::from(self.past.served) + 4.5) / (f64::from(self.past.requested) + 5.0);
            let share = past.clamp(2.0 * EDGE, 1.0 - EDGE);
            for (log, difference) in self.logs.iter_mut().zip(DIFFERENCES) {
                let guess = (share - f64::from(difference) / 1e3).max(EDGE);
                let (nc, nu) = (f64::from(c.requested), f64::from(u.requested));
                let middle = (nc * guess + nu * share) / (nc + nu);
                let one = |t: Tally, guess: f64| {
                    let (good, bad) = (f64::from(t.served), f64::from(t.requested - t.served));
                    good * (guess / middle).ln() + bad * ((1.0 - guess) / (1.0 - middle)).ln()
                };
                let by = (one(c, guess) + one(u, share)) * UNIT;
                *log = log.saturating_add(by.floor() as i64);
            }
            self.halts |= self.log_evidence() >= (1e6 / f64::from(self.error_ppm.max(1))).ln();
        }
        self.past = self.past.combined_with(u);
        self.halts
    }

    /// The logarithm of the evidence that changed fronts serve less: the mean over the differences.
    pub fn log_evidence(&self) -> f64 {
        let logs = self.logs.map(|l| l as f64 / UNIT);
        let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = logs.iter().map(|l| (l - most).exp()).sum();
        most + (sum / logs.len() as f64).ln()
    }
}

/// All causes together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HaltDetector {
    worth: ServedShareTest,
    /// What each front had counted, and what it ran then.
    counted: BTreeMap<u64, (u64, Tally)>,
}

impl HaltDetector {
    /// One that has seen nothing. `error_ppm`: as for [`Worth::new`].
    pub fn new(error_ppm: u32) -> HaltDetector {
        HaltDetector { worth: ServedShareTest::new(error_ppm), counted: BTreeMap::new() }
    }

    /// Why the release must not go on, if it must not. `silent`: nobody has heard of those of late.
    pub fn halt_cause(
        &mut self,
        plan: &Plan,
        reports: &BTreeMap<u64, FrontReport>,
        silent: &BTreeSet<u64>,
        unsure_for: Duration,
    ) -> Option<HaltCause> {
        let target = plan.target.version_id();
        let worse = self.paid(target, reports);
        let away = reports
            .iter()
            .filter(|(n, r)| silent.contains(n) || r.service_state != ServiceState::Serving)
            .count();
        let waits = Duration::from_millis(plan.max_permit_wait_ms.into());
        let some = |is: &dyn Fn(&FrontReport) -> bool| reports.values().any(is);
        let causes = [
            (some(&|r| r.rule_violated && r.running == target), HaltCause::RuleViolation),
            (
                some(&|r| r.failed_restarts > 0 && r.failed_restarts >= plan.max_failed_restarts),
                HaltCause::FailedRestarts,
            ),
            (some(&|r| r.staging_failed), HaltCause::Staging),
            (away > usize::from(plan.max_out), HaltCause::TooManyOut),
            (
                unsure_for > Duration::from_millis(plan.limits.max_uncertain_ms.into()),
                HaltCause::UncertainView,
            ),
            (some(&|r| r.permit_wait.is_some_and(|w| w > waits)), HaltCause::PermitWait),
            (worse, HaltCause::ServedShare),
        ];
        causes.into_iter().find(|(is, _)| *is).map(|(_, cause)| cause)
    }

    /// What came since the last look, of fronts that ran the same all the while.
    fn paid(&mut self, target: u64, reports: &BTreeMap<u64, FrontReport>) -> bool {
        let mut block = PaidBlock::default();
        for (name, r) in reports {
            let before = self.counted.insert(*name, (r.running, r.paid));
            let Some((_, before)) = before.filter(|(runs, _)| *runs == r.running) else { continue };
            let Some(new) = r.paid.delta_since(before) else { continue };
            let side = if r.running == target { &mut block.changed } else { &mut block.unchanged };
            *side = side.combined_with(new);
        }
        self.counted.retain(|name, _| reports.contains_key(name));
        self.worth.add_block(block)
    }
}
