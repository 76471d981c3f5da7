//! Names, and the register's value.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Most permits that the register holds: a word with the largest value fits into one datagram.
pub const MAX_PERMITS: usize = 20;
/// A try's words count for so long: an asker uses promises no longer after its question went out, a witness
/// takes a value no longer after its promise.
pub const ROUND_TIMEOUT: Duration = Duration::from_secs(2);
/// What was done under a lease may be done so long after it at the most.
const MAX_EFFECT_DELAY: Duration = Duration::from_secs(2);
/// Clocks may differ in pace by this part.
const CLOCK_DRIFT_DIVISOR: u32 = 10;

/// How long a witness keeps what lasts for a lease: past its end by the holder's clock, whose pace may differ
/// by a tenth, and by what is done late under it.
pub fn hold_time(lease: Duration) -> Duration {
    lease + lease / CLOCK_DRIFT_DIVISOR + MAX_EFFECT_DELAY
}

/// An invariant does not hold: a fault of this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{component} of {id:x}: {invariant}")]
pub struct InvariantViolation {
    /// Which state machine.
    pub component: &'static str,
    /// Whose: a life, a port, a term.
    pub id: u64,
    /// Which invariant.
    pub invariant: &'static str,
}

/// Fails with the invariant's name unless it holds.
pub(crate) fn ensure(
    condition: bool,
    component: &'static str,
    id: u64,
    invariant: &'static str,
) -> Result<(), InvariantViolation> {
    if condition {
        Ok(())
    } else {
        Err(InvariantViolation { component, id, invariant })
    }
}

/// Rises with each change of the register; a fence: whoever has seen a higher one refuses what carries a
/// lower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// One try at a change. No two askers' are alike, and each asker's rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Rises.
    pub round: u64,
    /// The asker's life (drawn at its start).
    #[serde(rename = "asker")]
    pub proposer: u64,
}

/// Who may be out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A front, by a digest of its name: whichever of its lives.
    Front(u64),
    /// A video server, as the list names it.
    Server(u64),
}

/// Where somebody stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The hall, by a digest of its name.
    #[serde(rename = "hall")]
    pub zone: u32,
    /// The rack, where it stands in one.
    pub rack: Option<u32>,
    /// A server's cell: a title lies on a run of them.
    pub cell: Option<u32>,
}

/// The fleet's word that somebody may be out for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// Who.
    pub subject: Subject,
    /// Where.
    pub place: Place,
    /// Whose process asked for it, and may give it back.
    pub holder: u64,
    /// Which of that process's asks: with the holder it names this grant or renewal, as a term alone does
    /// not: two tries of which none got through may bear the same one.
    #[serde(rename = "ask")]
    pub request_id: u32,
    /// The term in which it was granted or last renewed.
    pub term: Term,
    /// How long it lasts from before that was asked, ms.
    pub lease_ms: u32,
}

impl Permit {
    /// How long it lasts for its holder.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms.into())
    }

    /// How long a witness keeps it from when it took it.
    pub fn hold_time(&self) -> Duration {
        hold_time(self.lease())
    }

    /// This very grant or renewal.
    pub fn lease_id(&self) -> LeaseId {
        LeaseId { subject: Some(self.subject), holder: self.holder, request_id: self.request_id }
    }
}

/// One lease that a witness counts the age of: a permit's, or (without a subject) the release's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId {
    /// Of a permit: for whom.
    pub subject: Option<Subject>,
    /// Whose.
    pub holder: u64,
    /// By which of its asks.
    #[serde(rename = "ask")]
    pub request_id: u32,
}

/// What a witness knows after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemoryState {
    /// It forgot, and what it forgot may be in force: its word counts for nothing.
    #[serde(rename = "Blind")]
    Recovering,
    /// It forgot, and nothing that it forgot is in force any more. It has not taken the value anew: it counts
    /// only where all witnesses answer, as at a fleet's first start.
    #[serde(rename = "Waited")]
    WaitedOut,
    /// It knows all that it ever took.
    #[serde(rename = "Sees")]
    Current,
}

/// Where a release stands. The moves between these are [`crate::Release`]'s table alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Taken in, nothing done.
    Planned,
    /// Its forecast allows it.
    Forecast,
    /// Staged at all; the canaries go.
    Canary,
    /// That wave goes.
    Wave(u16),
    /// Whoever went in that wave (0: the canaries) is watched, nobody goes.
    #[serde(rename = "Watched")]
    Observed(u16),
    /// Nobody new goes out, who is out comes back.
    Halted(HaltCause),
    /// What was changed is changed back.
    #[serde(rename = "GoingBack")]
    RollingBack,
    /// All have it.
    Done,
    /// All have what they had.
    #[serde(rename = "TakenBack")]
    RolledBack,
}

/// Why a release halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum HaltCause {
    /// An operator said so.
    Operator,
    /// A rule's checker, or an invariant, at a changed front.
    #[serde(rename = "Rule")]
    RuleViolation,
    /// Restarts that fail or loop.
    #[serde(rename = "Restarts")]
    FailedRestarts,
    /// Paid worth served at changed fronts is under that of unchanged ones by more than chance.
    #[serde(rename = "Worth")]
    ServedShare,
    /// Permits could not be had for too long.
    #[serde(rename = "Permits")]
    PermitWait,
    /// The view is too unsure.
    #[serde(rename = "View")]
    UncertainView,
    /// More are out than planned.
    #[serde(rename = "Out")]
    TooManyOut,
    /// What came was outside what was foretold.
    Forecast,
    /// A front does not take what was staged.
    Staging,
}

/// The release as the witnesses keep it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReleaseRecord {
    /// Rises with each release; the way back is one too.
    pub number: u64,
    /// Which plan, by a digest of its text.
    #[serde(rename = "plan")]
    pub plan_digest: u64,
    /// Where it stands.
    pub stage: Stage,
    /// The life that drives it.
    pub driver: u64,
    /// The term in which that one took it: the fence of all that it does.
    pub fence: Term,
    /// How long the driver may act without renewing it, ms.
    pub lease_ms: u32,
    /// Which of the driver's asks renewed it last.
    #[serde(rename = "ask")]
    pub request_id: u32,
}

impl ReleaseRecord {
    /// The lease as it was last renewed.
    pub fn lease_id(&self) -> LeaseId {
        LeaseId { subject: None, holder: self.driver, request_id: self.request_id }
    }

    /// How long a witness keeps it.
    pub fn hold_time(&self) -> Duration {
        hold_time(Duration::from_millis(self.lease_ms.into()))
    }
}

/// The one value that a majority of the witnesses holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Register {
    /// Rises with each change.
    pub term: Term,
    /// Who may be out, by subject; [`MOST_PERMITS`] at most.
    pub permits: Vec<Permit>,
    /// The release, the last one where it is over.
    pub release: Option<ReleaseRecord>,
}
