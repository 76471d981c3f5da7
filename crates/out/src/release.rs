//! A release: its plan, and the one table of states and moves.

use crate::job::mix;
use crate::limits::Limits;
use crate::types::{Cause, Place, Stage};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

/// Most waves that a plan names.
pub const MOST_WAVES: usize = 64;

/// What moves a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Event {
    /// The forecast allows it.
    Foretold,
    /// It is staged and checked at all.
    Staged,
    /// Whoever was to go has gone and is back.
    Went,
    /// Whoever went was watched for long enough.
    Well,
    /// It must not go on.
    Halt(Cause),
}

/// The table: where a release stands after that, of a plan of so many waves. `None`: there is no such move.
///
/// A release that takes another one back begins at [`Stage::GoingBack`].
pub fn next(stage: Stage, event: Event, waves: u16) -> Option<Stage> {
    Some(match (stage, event) {
        (Stage::Planned, Event::Foretold) => Stage::Forecast,
        (Stage::Forecast, Event::Staged) => Stage::Canary,
        (Stage::Canary, Event::Went) => Stage::Watched(0),
        (Stage::Wave(n), Event::Went) => Stage::Watched(n),
        (Stage::Watched(n), Event::Well) if n < waves => Stage::Wave(n + 1),
        (Stage::Watched(_), Event::Well) => Stage::Done,
        (Stage::GoingBack, Event::Went) => Stage::TakenBack,
        // Only an operator stops what takes a bad release back.
        (Stage::GoingBack, Event::Halt(Cause::Operator)) => Stage::Halted(Cause::Operator),
        (
            Stage::Planned | Stage::Forecast | Stage::Canary | Stage::Wave(_) | Stage::Watched(_),
            Event::Halt(cause),
        ) => Stage::Halted(cause),
        _ => return None,
    })
}

/// What is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum What {
    /// The build: a front restarts into it, by a permit.
    Build {
        /// Its word.
        word: u64,
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

impl What {
    /// What a front that has it says that it runs: a build's word, a text's digest.
    pub fn target(self) -> u64 {
        match self {
            What::Build { word } => word,
            What::Settings { digest, .. } | What::Layout { digest, .. } => digest,
        }
    }

    /// The same as a newer generation than `other`.
    fn again_after(self, other: What) -> What {
        let after = match other {
            What::Build { .. } => 0,
            What::Settings { generation, .. } | What::Layout { generation, .. } => generation,
        };
        let generation = after.saturating_add(1);
        match self {
            What::Build { .. } => self,
            What::Settings { digest, .. } => What::Settings { generation, digest },
            What::Layout { digest, .. } => What::Layout { generation, digest },
        }
    }
}

/// Some of the fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Wave {
    /// Of that hall, or of the fleet.
    pub hall: Option<u32>,
    /// So many of a thousand of those, beside whom went before; rounded up.
    pub share: u16,
}

/// A release as it is meant. Its text is kept at all fronts, its digest in the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Rises with each release.
    pub number: u64,
    /// What all are to have.
    pub what: What,
    /// What they have.
    pub before: What,
    /// How many go first.
    pub canaries: u16,
    /// Who goes then; a last wave of all others follows.
    pub waves: Vec<Wave>,
    /// Who may be out.
    pub limits: Limits,
    /// Each wave is watched for so long, ms.
    pub watch_ms: u32,
    /// More fronts out than so many, for whatever reason, halt it.
    pub most_out: u16,
    /// So many failed restarts in a row at a front halt it.
    pub restarts: u16,
    /// A permit that a front waits for longer than this halts it, ms.
    pub permits_ms: u32,
    /// How often the test on paid worth may halt a release that changes nothing, of a million.
    pub error_ppm: u32,
    /// The release that it takes back.
    pub back: Option<u64>,
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
        self.waves.len().min(MOST_WAVES) as u16 + 1
    }

    /// The release that takes this one back.
    pub fn way_back(&self) -> Plan {
        Plan {
            number: self.number.saturating_add(1),
            what: self.before.again_after(self.what),
            before: self.what,
            canaries: 0,
            waves: Vec::new(),
            back: Some(self.number),
            ..self.clone()
        }
    }

    /// What a front that was away is to have, by the release's stage; `None`: its driver says so.
    pub fn holds_at(&self, stage: Stage) -> Option<What> {
        match stage {
            Stage::Done | Stage::GoingBack | Stage::TakenBack => Some(self.what),
            Stage::Planned | Stage::Forecast => Some(self.before),
            _ => None,
        }
    }

    /// In which order fronts go: the same at whoever drives. `worse`: higher for one that does worse; a way
    /// back goes first through those.
    pub fn order(&self, fleet: &BTreeMap<u64, Place>, worse: impl Fn(u64) -> u64) -> Vec<u64> {
        let mut order: Vec<u64> = fleet.keys().copied().collect();
        let drawn = |name: u64| mix(name ^ mix(self.number));
        match self.back {
            Some(_) => order.sort_by_key(|n| (std::cmp::Reverse(worse(*n)), drawn(*n))),
            None => order.sort_by_key(|n| (drawn(*n), *n)),
        }
        order
    }

    /// Who is to have it at that stage, those of earlier waves among them. A pure function of the plan and of
    /// who there is: whoever drives has the same.
    pub fn targets(&self, stage: Stage, fleet: &BTreeMap<u64, Place>) -> BTreeSet<u64> {
        let wave = match stage {
            Stage::Canary | Stage::Watched(0) => 0,
            Stage::Wave(n) | Stage::Watched(n) => n,
            Stage::Done | Stage::GoingBack | Stage::TakenBack => return fleet.keys().copied().collect(),
            Stage::Planned | Stage::Forecast | Stage::Halted(_) => return BTreeSet::new(),
        };
        if wave >= self.last_wave() {
            return fleet.keys().copied().collect();
        }
        let order = self.order(fleet, |_| 0);
        let mut targets: BTreeSet<u64> = order.iter().take(self.canaries.into()).copied().collect();
        for w in self.waves.iter().take(wave.into()) {
            let of: Vec<u64> = order
                .iter()
                .filter(|n| w.hall.is_none() || fleet.get(n).map(|p| p.hall) == w.hall)
                .copied()
                .collect();
            let share = (of.len() * usize::from(w.share)).div_ceil(1_000);
            targets.extend(of.into_iter().filter(|n| !targets.contains(n)).take(share).collect::<Vec<_>>());
        }
        targets
    }
}
