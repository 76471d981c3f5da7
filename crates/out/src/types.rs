//! Identifiers, leases, and the value of the register.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum number of permits in the register: a message with the largest value fits into one datagram.
pub const MAX_PERMITS: usize = 20;
/// Time for which the messages of one attempt are valid. A proposer ignores promises received later than this
/// after its prepare message; an acceptor refuses to accept later than this after its promise.
pub const ROUND_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest delay between an action taken under a lease and its effect.
const MAX_EFFECT_DELAY: Duration = Duration::from_secs(2);
/// Clock rates of two machines may differ by one part in this many.
const CLOCK_DRIFT_DIVISOR: u32 = 10;

/// Time for which a witness treats a lease as held: longer than the lease itself, because the holder's clock
/// may run slower by a tenth and an effect of the lease may come late.
pub fn hold_time(lease: Duration) -> Duration {
    lease + lease / CLOCK_DRIFT_DIVISOR + MAX_EFFECT_DELAY
}

/// Failed check of an invariant, which means a bug in this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{component} of {id:x}: {invariant}")]
pub struct InvariantViolation {
    /// Name of the state machine.
    pub component: &'static str,
    /// Which instance of it: an incarnation, a port or a term.
    pub id: u64,
    /// Statement that does not hold.
    pub invariant: &'static str,
}

/// Returns an error that names the invariant if the condition is false.
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

/// Version of the register, which increases with each change. Also used as a fencing token: a receiver that
/// has seen a higher term refuses orders with a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// Number of one attempt to change the register. Ballots of different proposers differ, and those of one
/// proposer increase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Increases with each attempt.
    pub round: u64,
    /// Incarnation of the proposer, drawn when its process starts.
    #[serde(rename = "asker")]
    pub proposer: u64,
}

/// Member of the fleet that may be out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// Front, by a digest of its name; the same for all its incarnations.
    Front(u64),
    /// Video server, by its id in the server list.
    Server(u64),
}

/// Location of a member of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Zone, by a digest of its name.
    #[serde(rename = "hall")]
    pub zone: u32,
    /// Rack in the zone, if known.
    pub rack: Option<u32>,
    /// Cell of a server; each title is stored on a run of consecutive cells.
    pub cell: Option<u32>,
}

/// Lease that allows one member of the fleet to be out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// Member that may be out of service.
    pub subject: Subject,
    /// Location of the subject.
    pub place: Place,
    /// Incarnation of the process that requested the permit and may return it.
    pub holder: u64,
    /// Number of the holder's request. Holder and request id identify this grant or renewal; a term alone
    /// does not, because two attempts that both failed may have used the same one.
    #[serde(rename = "ask")]
    pub request_id: u32,
    /// Term in which it was granted or last renewed.
    pub term: Term,
    /// Duration in milliseconds, counted from before the request was sent.
    pub lease_ms: u32,
}

impl Permit {
    /// Duration of the lease for its holder.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms.into())
    }

    /// Time for which a witness treats the permit as held, from when it accepted it.
    pub fn hold_time(&self) -> Duration {
        hold_time(self.lease())
    }

    /// Identifier of this grant or renewal.
    pub fn lease_id(&self) -> LeaseId {
        LeaseId { subject: Some(self.subject), holder: self.holder, request_id: self.request_id }
    }
}

/// Identifier of one grant or renewal of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId {
    /// Subject of a permit; `None` for the lease of the release's driver.
    pub subject: Option<Subject>,
    /// Incarnation of the process that holds the lease.
    pub holder: u64,
    /// Number of the holder's request.
    #[serde(rename = "ask")]
    pub request_id: u32,
}

/// Extent to which an acceptor remembers earlier promises and accepted values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemoryState {
    /// The acceptor lost its state, and leases or attempts that it forgot may still be in force. Its messages
    /// do not count towards a quorum.
    #[serde(rename = "Blind")]
    Recovering,
    /// The acceptor lost its state, but everything that it forgot has expired. It has not accepted a value
    /// since, so it counts only if all witnesses answer, as at the first start of a fleet.
    #[serde(rename = "Waited")]
    WaitedOut,
    /// The acceptor knows everything that it ever accepted.
    #[serde(rename = "Sees")]
    Current,
}

/// State of a release. Transitions are defined by [`crate::next_stage`] alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Registered; nothing has been done yet.
    Planned,
    /// Allowed by its forecast; the change is being staged at all fronts.
    Forecast,
    /// Staged at all fronts; the canaries are being changed.
    Canary,
    /// The wave of that number is being changed.
    Wave(u16),
    /// The wave of that number (0: the canaries) is under observation; no front is being changed.
    #[serde(rename = "Watched")]
    Observed(u16),
    /// No further front goes out of service; those that are out return.
    Halted(HaltCause),
    /// The changed fronts are being changed back.
    #[serde(rename = "GoingBack")]
    RollingBack,
    /// All fronts run the new version.
    Done,
    /// All fronts run the previous version.
    #[serde(rename = "TakenBack")]
    RolledBack,
}

/// Reason why a release halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum HaltCause {
    /// An operator halted the release.
    Operator,
    /// A rule checker or an invariant failed at a changed front.
    #[serde(rename = "Rule")]
    RuleViolation,
    /// Restarts fail, or a front restarts in a loop.
    #[serde(rename = "Restarts")]
    FailedRestarts,
    /// Changed fronts serve a smaller share of paid requests than unchanged ones, by more than chance.
    #[serde(rename = "Worth")]
    ServedShare,
    /// A front waited too long for a permit.
    #[serde(rename = "Permits")]
    PermitWait,
    /// The membership view has been uncertain for too long.
    #[serde(rename = "View")]
    UncertainView,
    /// More fronts are out of service than planned.
    #[serde(rename = "Out")]
    TooManyOut,
    /// The forecast does not allow the release, or was wrong.
    Forecast,
    /// A front rejected the staged text.
    Staging,
}

/// State of the current or last release, as stored in the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReleaseRecord {
    /// Increases with each release; a rollback is a release of its own.
    pub number: u64,
    /// Digest of the plan.
    #[serde(rename = "plan")]
    pub plan_digest: u64,
    /// Current stage.
    pub stage: Stage,
    /// Incarnation of the process that drives the release.
    pub driver: u64,
    /// Term in which the driver took over: the fencing token of all its orders.
    pub fence: Term,
    /// Duration of the driver's lease in milliseconds.
    pub lease_ms: u32,
    /// Number of the driver's request that last renewed the lease.
    #[serde(rename = "ask")]
    pub request_id: u32,
}

impl ReleaseRecord {
    /// Identifier of the driver's lease as last renewed.
    pub fn lease_id(&self) -> LeaseId {
        LeaseId { subject: None, holder: self.driver, request_id: self.request_id }
    }

    /// Time for which a witness treats the driver's lease as held.
    pub fn hold_time(&self) -> Duration {
        hold_time(Duration::from_millis(self.lease_ms.into()))
    }
}

/// Replicated value on which a majority of the witnesses agrees.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Register {
    /// Increases with each change.
    pub term: Term,
    /// Permits in force, ordered by subject; at most [`MAX_PERMITS`].
    pub permits: Vec<Permit>,
    /// Current release, or the last one if it has ended.
    pub release: Option<ReleaseRecord>,
}
