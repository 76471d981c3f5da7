//! A release: its plan, and the one table of states and moves.

use crate::limits::Limits;
use crate::proposal::mix;
use crate::types::{HaltCause, Place, Stage};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

/// Most waves that a plan names.
pub const MAX_WAVES: usize = 64;

/// What moves a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReleaseEvent {
    /// The forecast allows it.
    ForecastAllowed,
    /// It is staged and checked at all.
    Staged,
    /// Whoever was to go has gone and is back.
    WaveCompleted,
    /// Whoever went was watched for long enough.
    ObservationPassed,
    /// It must not go on.
    Halt(HaltCause),
}

/// The table: where a release stands after that, of a plan of so many waves. `None`: there is no such move.
///
/// A release that takes another one back begins at [`Stage::RollingBack`].
pub fn next_stage(stage: Stage, event: ReleaseEvent, waves: u16) -> Option<Stage> {
    Some(match (stage, event) {
        (Stage::Planned, ReleaseEvent::ForecastAllowed) => Stage::Forecast,
        (Stage::Forecast, ReleaseEvent::Staged) => Stage::Canary,
        (Stage::Canary, ReleaseEvent::WaveCompleted) => Stage::Observed(0),
        (Stage::Wave(n), ReleaseEvent::WaveCompleted) => Stage::Observed(n),
        (Stage::Observed(n), ReleaseEvent::ObservationPassed) if n < waves => Stage::Wave(n + 1),
        (Stage::Observed(_), ReleaseEvent::ObservationPassed) => Stage::Done,
        (Stage::RollingBack, ReleaseEvent::WaveCompleted) => Stage::RolledBack,
        // Only an operator stops what takes a bad release back.
        (Stage::RollingBack, ReleaseEvent::Halt(HaltCause::Operator)) => Stage::Halted(HaltCause::Operator),
        (
            Stage::Planned | Stage::Forecast | Stage::Canary | Stage::Wave(_) | Stage::Observed(_),
            ReleaseEvent::Halt(cause),
        ) => Stage::Halted(cause),
        _ => return None,
    })
}

/// What is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReleaseTarget {
    /// The build: a front restarts into it, by a permit.
    Build {
        /// Its word.
        #[serde(rename = "word")]
        build_id: u64,
    },
    /// The settings: staged, checked, taken at a step boundary.
    Settings {
        /// Rises.
        generation: u64,
        /// Of the text.
        digest: u64,
    },
    /// The layout; the same way.
    Layout {
        /// Rises.
        generation: u64,
        /// Of the text.
        digest: u64,
    },
}

impl ReleaseTarget {
    /// What a front that has it says that it runs: a build's word, a text's digest.
    pub fn version_id(self) -> u64 {
        match self {
            ReleaseTarget::Build { build_id: word } => word,
            ReleaseTarget::Settings { digest, .. } | ReleaseTarget::Layout { digest, .. } => digest,
        }
    }

    /// The same as a newer generation than `other`.
    fn again_after(self, other: ReleaseTarget) -> ReleaseTarget {
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

/// Some of the fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Wave {
    /// Of that hall, or of the fleet.
    #[serde(rename = "hall")]
    pub zone: Option<u32>,
    /// So many of a thousand of those, beside whom went before; rounded up.
    #[serde(rename = "share")]
    pub share_permille: u16,
}

/// A release as it is meant. Its text is kept at all fronts, its digest in the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Rises with each release.
    pub number: u64,
    /// What all are to have.
    #[serde(rename = "what")]
    pub target: ReleaseTarget,
    /// What they have.
    #[serde(rename = "before")]
    pub previous: ReleaseTarget,
    /// How many go first.
    pub canaries: u16,
    /// Who goes then; a last wave of all others follows.
    pub waves: Vec<Wave>,
    /// Who may be out.
    pub limits: Limits,
    /// Each wave is watched for so long, ms.
    #[serde(rename = "watch_ms")]
    pub observation_ms: u32,
    /// More fronts out than so many, for whatever reason, halt it.
    #[serde(rename = "most_out")]
    pub max_out: u16,
    /// So many failed restarts in a row at a front halt it.
    #[serde(rename = "restarts")]
    pub max_failed_restarts: u16,
    /// A permit that a front waits for longer than this halts it, ms.
    #[serde(rename = "permits_ms")]
    pub max_permit_wait_ms: u32,
    /// How often the test on paid worth may halt a release that changes nothing, of a million.
    #[serde(rename = "error_ppm")]
    pub false_halt_ppm: u32,
    /// The release that it takes back.
    #[serde(rename = "back")]
    pub rollback_of: Option<u64>,
}

impl Plan {
    /// Of its text.
    pub fn digest(&self) -> u64 {
        let text = postcard::to_stdvec(self).unwrap_or_default();
        let digest = Sha256::digest(&text);
        u64::from_be_bytes(std::array::from_fn(|i| digest[i]))
    }

    /// Waves after the canaries, the last one among them.
    pub fn last_wave(&self) -> u16 {
        self.waves.len().min(MAX_WAVES) as u16 + 1
    }

    /// The release that takes this one back.
    pub fn rollback_plan(&self) -> Plan {
        Plan {
            number: self.number.saturating_add(1),
            target: self.previous.again_after(self.target),
            previous: self.target,
            canaries: 0,
            waves: Vec::new(),
            rollback_of: Some(self.number),
            ..self.clone()
        }
    }

    /// What a front that was away is to have, by the release's stage; `None`: its driver says so.
    pub fn target_at(&self, stage: Stage) -> Option<ReleaseTarget> {
        match stage {
            Stage::Done | Stage::RollingBack | Stage::RolledBack => Some(self.target),
            Stage::Planned | Stage::Forecast => Some(self.previous),
            _ => None,
        }
    }

    /// In which order fronts go: the same at whoever drives. `worse`: higher for one that does worse; a way
    /// back goes first through those.
    pub fn rollout_order(&self, fleet: &BTreeMap<u64, Place>, worse: impl Fn(u64) -> u64) -> Vec<u64> {
        let mut order: Vec<u64> = fleet.keys().copied().collect();
        let drawn = |name: u64| mix(name ^ mix(self.number));
        match self.rollback_of {
            Some(_) => order.sort_by_key(|n| (std::cmp::Reverse(worse(*n)), drawn(*n))),
            None => order.sort_by_key(|n| (drawn(*n), *n)),
        }
        order
    }

    /// Who is to have it at that stage, those of earlier waves among them. A pure function of the plan and of
    /// who there is: whoever drives has the same.
    pub fn fronts_at(&self, stage: Stage, fleet: &BTreeMap<u64, Place>) -> BTreeSet<u64> {
        let wave = match stage {
            Stage::Canary | Stage::Observed(0) => 0,
            Stage::Wave(n) | Stage::Observed(n) => n,
            Stage::Done | Stage::RollingBack | Stage::RolledBack => return fleet.keys().copied().collect(),
            Stage::Planned | Stage::Forecast | Stage::Halted(_) => return BTreeSet::new(),
        };
        if wave >= self.last_wave() {
            return fleet.keys().copied().collect();
        }
        let order = self.rollout_order(fleet, |_| 0);
        let mut targets: BTreeSet<u64> = order.iter().take(self.canaries.into()).copied().collect();
        for w in self.waves.iter().take(wave.into()) {
            let of: Vec<u64> = order
                .iter()
                .filter(|n| w.zone.is_none() || fleet.get(n).map(|p| p.zone) == w.zone)
                .copied()
                .collect();
            let share = (of.len() * usize::from(w.share_permille)).div_ceil(1_000);
            targets.extend(of.into_iter().filter(|n| !targets.contains(n)).take(share).collect::<Vec<_>>());
        }
        targets
    }
}
