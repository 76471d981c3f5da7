//! Detection of reasons to halt a release.
//!
//! The share of paid requests served at changed fronts is compared with that at unchanged ones by a
//! sequential test that is valid at any time: an e-process of two proportions (Turner, Ly, Grünwald, "Generic
//! E-variables for exact sequential k-sample tests that allow for optional stopping", 2021). For a block of
//! paid requests, `nc` at changed fronts and `nu` at unchanged ones, and estimates `c < u` of the served
//! shares made before the block, each request counts by the likelihood of its result under its estimate over
//! that under `m = (nc c + nu u) / (nc + nu)`. If changed fronts serve no less, the mean of the product over
//! a block is at most one: it decreases as the true share at unchanged fronts decreases or that at changed
//! fronts increases, and for the same share `p` at both it is `A^nc B^nu` with `A = 1 + (p - m)(c - m)/m(1 -
//! m)` and `B` alike with `u`, whose weighted mean is one. So the product over all blocks, and its mean over
//! several estimates of the difference, ever exceeds `1 / error` with a probability of at most `error`
//! (Ville's inequality), where `error` is the permitted probability of a false halt. The test assumes that
//! the requests of a block are independent and that without a change both sides have the same share, which
//! may differ from block to block.

use crate::release::Plan;
use crate::report::{FrontReport, ServiceState};
use crate::types::HaltCause;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Differences between the shares that the test looks for, in thousandths.
const DIFFERENCES_PERMILLE: [u16; 6] = [20, 50, 100, 200, 400, 700];
/// Units of the fixed-point logarithms per one. Integers make the test comparable and hashable.
const LOG_UNITS: f64 = 1e9;
/// Smallest estimate of a share.
const MIN_SHARE: f64 = 1e-3;

/// Paid requests of one front or of several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tally {
    /// Number of requests.
    #[serde(rename = "asked")]
    pub requested: u32,
    /// Number of requests that were served.
    pub served: u32,
}

impl Tally {
    /// Sum of both counts.
    pub fn combined_with(self, other: Tally) -> Tally {
        Tally {
            requested: self.requested.saturating_add(other.requested),
            served: self.served.saturating_add(other.served),
        }
    }

    /// Requests since the earlier count `before`; `None` if the counter was reset by a restart of the
    /// process.
    pub fn delta_since(self, before: Tally) -> Option<Tally> {
        let requested = self.requested.checked_sub(before.requested)?;
        Some(Tally { requested, served: self.served.checked_sub(before.served)?.min(requested) })
    }

    /// Tally whose served requests do not exceed its requests: a report from a front may be inconsistent.
    fn clamped(self) -> Tally {
        Tally { served: self.served.min(self.requested), ..self }
    }
}

/// Paid requests at changed and unchanged fronts in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PaidBlock {
    /// Requests at changed fronts.
    pub changed: Tally,
    /// Requests at unchanged fronts.
    pub unchanged: Tally,
}

/// Sequential test of whether changed fronts serve a smaller share of paid requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ServedShareTest {
    /// Probability of a false halt, in millionths.
    false_halt_ppm: u32,
    /// Fixed-point logarithm of the product for each of the differences.
    logs: [i64; DIFFERENCES_PERMILLE.len()],
    /// All requests at unchanged fronts in earlier blocks, from which their share is estimated.
    past: Tally,
    /// True once the evidence was sufficient.
    halts: bool,
}

impl ServedShareTest {
    /// Creates a test without evidence. `false_halt_ppm` is the highest probability, in millionths, that it
    /// halts a release that changes nothing.
    pub fn new(false_halt_ppm: u32) -> ServedShareTest {
        ServedShareTest {
            false_halt_ppm,
            logs: [0; DIFFERENCES_PERMILLE.len()],
            past: Tally::default(),
            halts: false,
        }
    }

    /// Adds a block. Returns whether changed fronts serve less, by more than chance.
    pub fn add_block(&mut self, paid: PaidBlock) -> bool {
        let (changed, unchanged) = (paid.changed.clamped(), paid.unchanged.clamped());
        if changed.requested > 0 && unchanged.requested > 0 {
            // The prior of 4.5 served out of 5 requests gives an estimate before the first block.
            let past = (f64::from(self.past.served) + 4.5) / (f64::from(self.past.requested) + 5.0);
            let share = past.clamp(2.0 * MIN_SHARE, 1.0 - MIN_SHARE);
            for (log, difference) in self.logs.iter_mut().zip(DIFFERENCES_PERMILLE) {
                let changed_share = (share - f64::from(difference) / 1e3).max(MIN_SHARE);
                let (nc, nu) = (f64::from(changed.requested), f64::from(unchanged.requested));
                let mean_share = (nc * changed_share + nu * share) / (nc + nu);
                let log_ratio = |tally: Tally, estimate: f64| {
                    let (served, not_served) =
                        (f64::from(tally.served), f64::from(tally.requested - tally.served));
                    served * (estimate / mean_share).ln()
                        + not_served * ((1.0 - estimate) / (1.0 - mean_share)).ln()
                };
                let units = (log_ratio(changed, changed_share) + log_ratio(unchanged, share)) * LOG_UNITS;
                *log = log.saturating_add(units.floor() as i64);
            }
            self.halts |= self.log_evidence() >= (1e6 / f64::from(self.false_halt_ppm.max(1))).ln();
        }
        self.past = self.past.combined_with(unchanged);
        self.halts
    }

    /// Natural logarithm of the evidence that changed fronts serve less: the mean over the differences.
    pub fn log_evidence(&self) -> f64 {
        let logs = self.logs.map(|log| log as f64 / LOG_UNITS);
        let max = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = logs.iter().map(|log| (log - max).exp()).sum();
        max + (sum / logs.len() as f64).ln()
    }
}

/// Detector of all reasons to halt a release, fed with the fronts' reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HaltDetector {
    /// Test of the served share.
    served_share: ServedShareTest,
    /// Last count of each front's paid requests, with the version that it ran then.
    last_counts: BTreeMap<u64, (u64, Tally)>,
}

impl HaltDetector {
    /// Creates a detector without evidence. `false_halt_ppm` is as for [`ServedShareTest::new`].
    pub fn new(false_halt_ppm: u32) -> HaltDetector {
        HaltDetector { served_share: ServedShareTest::new(false_halt_ppm), last_counts: BTreeMap::new() }
    }

    /// Reason to halt the release, if there is one. `silent` names the fronts without a recent report, which
    /// count as out of service.
    pub fn halt_cause(
        &mut self,
        plan: &Plan,
        reports: &BTreeMap<u64, FrontReport>,
        silent: &BTreeSet<u64>,
        uncertain_for: Duration,
    ) -> Option<HaltCause> {
        let target = plan.target.version_id();
        let serves_less = self.serves_less(target, reports);
        let out = reports
            .iter()
            .filter(|(n, r)| silent.contains(n) || r.service_state != ServiceState::Serving)
            .count();
        let max_wait = Duration::from_millis(plan.max_permit_wait_ms.into());
        let any = |condition: &dyn Fn(&FrontReport) -> bool| reports.values().any(condition);
        let causes = [
            (any(&|r| r.rule_violated && r.running == target), HaltCause::RuleViolation),
            (
                any(&|r| r.failed_restarts > 0 && r.failed_restarts >= plan.max_failed_restarts),
                HaltCause::FailedRestarts,
            ),
            (any(&|r| r.staging_failed), HaltCause::Staging),
            (out > usize::from(plan.max_out), HaltCause::TooManyOut),
            (
                uncertain_for > Duration::from_millis(plan.limits.max_uncertain_ms.into()),
                HaltCause::UncertainView,
            ),
            (any(&|r| r.permit_wait.is_some_and(|wait| wait > max_wait)), HaltCause::PermitWait),
            (serves_less, HaltCause::ServedShare),
        ];
        causes.into_iter().find(|(applies, _)| *applies).map(|(_, cause)| cause)
    }

    /// Adds the paid requests since the last call, of fronts whose version has not changed. Returns whether
    /// changed fronts serve less.
    fn serves_less(&mut self, target: u64, reports: &BTreeMap<u64, FrontReport>) -> bool {
        let mut block = PaidBlock::default();
        for (name, r) in reports {
            let before = self.last_counts.insert(*name, (r.running, r.paid));
            let Some((_, before)) = before.filter(|(running, _)| *running == r.running) else { continue };
            let Some(new) = r.paid.delta_since(before) else { continue };
            let side = if r.running == target { &mut block.changed } else { &mut block.unchanged };
            *side = side.combined_with(new);
        }
        self.last_counts.retain(|name, _| reports.contains_key(name));
        self.served_share.add_block(block)
    }
}
