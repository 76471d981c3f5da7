//! Plan of a release, and the transitions between its stages.

use crate::limits::Limits;
use crate::proposal::mix_bits;
use crate::types::{HaltCause, Place, Stage};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of waves in a plan.
pub const MAX_WAVES: usize = 64;

/// Event that moves a release to its next stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReleaseEvent {
    /// The forecast allows the release.
    ForecastAllowed,
    /// All fronts have staged and checked the text.
    Staged,
    /// All fronts of the stage run the target and are in service again.
    WaveCompleted,
    /// The observation time has passed without a reason to halt.
    ObservationPassed,
    /// The release must halt.
    Halt(HaltCause),
}

/// Transition table of a release: the stage after the event, or `None` if there is no such transition.
/// `last_wave` is the number of the plan's last wave.
///
/// A rollback starts at [`Stage::RollingBack`].
pub fn next_stage(stage: Stage, event: ReleaseEvent, last_wave: u16) -> Option<Stage> {
    Some(match (stage, event) {
        (Stage::Planned, ReleaseEvent::ForecastAllowed) => Stage::Forecast,
        (Stage::Forecast, ReleaseEvent::Staged) => Stage::Canary,
        (Stage::Canary, ReleaseEvent::WaveCompleted) => Stage::Observed(0),
        (Stage::Wave(n), ReleaseEvent::WaveCompleted) => Stage::Observed(n),
        (Stage::Observed(n), ReleaseEvent::ObservationPassed) if n < last_wave => Stage::Wave(n + 1),
        (Stage::Observed(_), ReleaseEvent::ObservationPassed) => Stage::Done,
        (Stage::RollingBack, ReleaseEvent::WaveCompleted) => Stage::RolledBack,
        // Only an operator halts a rollback.
        (Stage::RollingBack, ReleaseEvent::Halt(HaltCause::Operator)) => Stage::Halted(HaltCause::Operator),
        (
            Stage::Planned | Stage::Forecast | Stage::Canary | Stage::Wave(_) | Stage::Observed(_),
            ReleaseEvent::Halt(cause),
        ) => Stage::Halted(cause),
        _ => return None,
    })
}

/// Version that a release brings to the fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReleaseTarget {
    /// Build, into which a front restarts under a permit.
    Build {
        /// Identifier of the build.
        #[serde(rename = "word")]
        build_id: u64,
    },
    /// Settings, which a front stages, checks and activates between two steps.
    Settings {
        /// Number of the text, increasing with each new one.
        generation: u64,
        /// Digest of the text.
        digest: u64,
    },
    /// Layout (which servers store which titles), handled in the same way as settings.
    Layout {
        /// Number of the text, increasing with each new one.
        generation: u64,
        /// Digest of the text.
        digest: u64,
    },
}

impl ReleaseTarget {
    /// Value that a front on this version reports as running: the build id or the digest of the text.
    pub fn version_id(self) -> u64 {
        match self {
            ReleaseTarget::Build { build_id } => build_id,
            ReleaseTarget::Settings { digest, .. } | ReleaseTarget::Layout { digest, .. } => digest,
        }
    }

    /// The same build or text, with a generation above that of `other`.
    fn as_newer_than(self, other: ReleaseTarget) -> ReleaseTarget {
        let after = match other {
            ReleaseTarget::Build { .. } => 0,
            ReleaseTarget::Settings { generation, .. } | ReleaseTarget::Layout { generation, .. } => {
                generation
            }
        };
        let generation = after.saturating_add(1);
        match self {
            ReleaseTarget::Build { .. } => self,
            ReleaseTarget::Settings { digest, .. } => ReleaseTarget::Settings { generation, digest },
            ReleaseTarget::Layout { digest, .. } => ReleaseTarget::Layout { generation, digest },
        }
    }
}

/// Part of the fleet that is changed in one wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Wave {
    /// Zone of the fronts; `None` for the whole fleet.
    #[serde(rename = "hall")]
    pub zone: Option<u32>,
    /// Thousandths of those fronts that are changed in addition to earlier waves, rounded up.
    #[serde(rename = "share")]
    pub share_permille: u16,
}

/// Plan of a release. All fronts have its text; the register has its digest.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Number of the release, increasing with each one.
    pub number: u64,
    /// Version to change to.
    #[serde(rename = "what")]
    pub target: ReleaseTarget,
    /// Version that the fronts run before the release.
    #[serde(rename = "before")]
    pub previous: ReleaseTarget,
    /// Number of canaries, which are changed first.
    pub canaries: u16,
    /// Waves after the canaries; a last wave with all other fronts follows.
    pub waves: Vec<Wave>,
    /// Limits on members out of service.
    pub limits: Limits,
    /// Time for which each wave is observed, in milliseconds.
    #[serde(rename = "watch_ms")]
    pub observation_ms: u32,
    /// The release halts if more fronts than this are out of service, for whatever reason.
    #[serde(rename = "most_out")]
    pub max_out: u16,
    /// Number of consecutive failed restarts of a front at which the release halts.
    #[serde(rename = "restarts")]
    pub max_failed_restarts: u16,
    /// The release halts if a front waits longer than this for a permit, in milliseconds.
    #[serde(rename = "permits_ms")]
    pub max_permit_wait_ms: u32,
    /// Highest probability, in millionths, that the test of the served share halts a release that changes
    /// nothing.
    #[serde(rename = "error_ppm")]
    pub false_halt_ppm: u32,
    /// Number of the release that this one rolls back, if it is a rollback.
    #[serde(rename = "back")]
    pub rollback_of: Option<u64>,
}

impl Plan {
    /// Digest of the plan: the first eight bytes of the SHA-256 hash of its encoding.
    pub fn digest(&self) -> u64 {
        let text = postcard::to_stdvec(self).unwrap_or_default();
        let digest = Sha256::digest(&text);
        u64::from_be_bytes(std::array::from_fn(|i| digest[i]))
    }

    /// Number of the last wave; the canaries are wave 0.
    pub fn last_wave(&self) -> u16 {
        self.waves.len().min(MAX_WAVES) as u16 + 1
    }

    /// Plan of the release that rolls this one back.
    pub fn rollback_plan(&self) -> Plan {
        Plan {
            number: self.number.saturating_add(1),
            target: self.previous.as_newer_than(self.target),
            previous: self.target,
            canaries: 0,
            waves: Vec::new(),
            rollback_of: Some(self.number),
            ..self.clone()
        }
    }

    /// Version for a front that joins at the given stage; `None` if the driver orders it.
    pub fn target_at(&self, stage: Stage) -> Option<ReleaseTarget> {
        match stage {
            Stage::Done | Stage::RollingBack | Stage::RolledBack => Some(self.target),
            Stage::Planned | Stage::Forecast => Some(self.previous),
            _ => None,
        }
    }

    /// Order in which fronts are changed, the same for every driver. `severity` is higher for a front with
    /// worse failures; a rollback changes those first.
    pub fn rollout_order(&self, fleet: &BTreeMap<u64, Place>, severity: impl Fn(u64) -> u64) -> Vec<u64> {
        let mut order: Vec<u64> = fleet.keys().copied().collect();
        let random = |name: u64| mix_bits(name ^ mix_bits(self.number));
        match self.rollback_of {
            Some(_) => order.sort_by_key(|n| (std::cmp::Reverse(severity(*n)), random(*n))),
            None => order.sort_by_key(|n| (random(*n), *n)),
        }
        order
    }

    /// Fronts that run the target by the end of the stage, including those of earlier waves. A pure function
    /// of the plan and the fleet, so that every driver gets the same result.
    pub fn fronts_at(&self, stage: Stage, fleet: &BTreeMap<u64, Place>) -> BTreeSet<u64> {
        let wave_number = match stage {
            Stage::Canary | Stage::Observed(0) => 0,
            Stage::Wave(n) | Stage::Observed(n) => n,
            Stage::Done | Stage::RollingBack | Stage::RolledBack => return fleet.keys().copied().collect(),
            Stage::Planned | Stage::Forecast | Stage::Halted(_) => return BTreeSet::new(),
        };
        if wave_number >= self.last_wave() {
            return fleet.keys().copied().collect();
        }
        let order = self.rollout_order(fleet, |_| 0);
        let mut fronts: BTreeSet<u64> = order.iter().take(self.canaries.into()).copied().collect();
        for wave in self.waves.iter().take(wave_number.into()) {
            let eligible: Vec<u64> = order
                .iter()
                .filter(|n| wave.zone.is_none() || fleet.get(n).map(|p| p.zone) == wave.zone)
                .copied()
                .collect();
            let count = (eligible.len() * usize::from(wave.share_permille)).div_ceil(1_000);
            fronts
                .extend(eligible.into_iter().filter(|n| !fronts.contains(n)).take(count).collect::<Vec<_>>());
        }
        fronts
    }
}
