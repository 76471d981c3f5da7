//! Changes of the register, and the reasons for which one is denied.

use crate::release::ReleaseEvent;
use crate::types::{HaltCause, Place, Stage, Subject, Term};

/// Reason why a change was denied. Operators see the texts on the members page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum DenialReason {
    /// The limit of members out of service in the fleet is reached.
    #[error("as many of the fleet are out as may be")]
    FleetLimit,
    /// The limit of members out of service in the zone is reached.
    #[error("as many of the hall are out as may be")]
    ZoneLimit,
    /// The limit of members out of service in the rack is reached.
    #[error("as many of the rack are out as may be")]
    RackLimit,
    /// The server is the last one in service that holds some title.
    #[error("the last one that serves some title")]
    LastCopy,
    /// The zone's link has too little free capacity to lose the server.
    #[error("the hall's link is needed")]
    LinkCapacity,
    /// The membership view has been uncertain for too long.
    #[error("the view is too unsure")]
    UncertainView,
    /// The register holds [`crate::MAX_PERMITS`] permits.
    #[error("the register is full")]
    RegisterFull,
    /// Another process holds a permit for the same subject.
    #[error("another process holds that permit")]
    HeldByAnother,
    /// The lease is longer than the maximum of the witnesses.
    #[error("too long a lease")]
    LeaseTooLong,
    /// The change names no current release, or its stage does not allow the change.
    #[error("nobody goes under that release now")]
    ReleaseInactive,
    /// Another process drives the release, or has driven it since.
    #[error("another drives the release")]
    Fenced,
    /// [`crate::next_stage`] has no such transition.
    #[error("no such move of a release")]
    InvalidTransition,
}

/// Change of the register. Each is idempotent: applied twice with the same request id, it takes effect once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Change {
    /// Grants a permit, or renews it for the same holder.
    Grant {
        /// Member that may be out of service.
        subject: Subject,
        /// Location of the subject.
        place: Place,
        /// Duration of the lease in milliseconds.
        lease_ms: u32,
        /// Number of the release under which it goes out of service, if any.
        release: Option<u64>,
    },
    /// Returns a permit. Its holder must have stopped using it before it submits this.
    ReturnPermit {
        /// Subject of the permit.
        subject: Subject,
    },
    /// Registers a new release, driven by the proposer.
    StartRelease {
        /// Number of the release, above that of the last one.
        number: u64,
        /// Digest of the plan.
        plan_digest: u64,
        /// True for a rollback, which may start at any time and replace a release in progress.
        is_rollback: bool,
        /// Duration of the driver's lease in milliseconds.
        lease_ms: u32,
    },
    /// Makes the proposer the driver of the release, or renews its lease.
    DriveRelease {
        /// Digests of the plans that the proposer has: the release's and its rollback's.
        plan_digests: [u64; 2],
        /// Duration of the driver's lease in milliseconds.
        lease_ms: u32,
    },
    /// Moves the release to its next stage; allowed for its driver only.
    AdvanceRelease {
        /// Fencing token of the driver.
        fence: Term,
        /// Stage before the transition.
        from: Stage,
        /// Event that causes the transition.
        event: ReleaseEvent,
        /// Number of the last wave of the plan.
        last_wave: u16,
    },
    /// Halts a release; allowed for every process.
    HaltRelease {
        /// Number of the release.
        number: u64,
        /// Reason for the halt.
        cause: HaltCause,
    },
}

/// Effect of a change that was allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Applied {
    /// The register was changed.
    Changed,
    /// The register had the change already.
    AlreadyApplied,
}
