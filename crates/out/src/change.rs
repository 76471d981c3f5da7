//! Changes of the register, and why one is not made.

use crate::release::ReleaseEvent;
use crate::types::{HaltCause, Place, Stage, Subject, Term};

/// Why a change was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum DenialReason {
    /// As many are out as may be, of the fleet.
    #[error("as many of the fleet are out as may be")]
    FleetLimit,
    /// Of the hall.
    #[error("as many of the hall are out as may be")]
    ZoneLimit,
    /// Of the rack.
    #[error("as many of the rack are out as may be")]
    RackLimit,
    /// It is the last one that serves some title.
    #[error("the last one that serves some title")]
    LastCopy,
    /// The hall's link has not that much free.
    #[error("the hall's link is needed")]
    LinkCapacity,
    /// The view is too unsure.
    #[error("the view is too unsure")]
    UncertainView,
    /// The register is full.
    #[error("the register is full")]
    RegisterFull,
    /// Another process holds a permit for the same one.
    #[error("another process holds that permit")]
    HeldByAnother,
    /// A lease longer than witnesses wait.
    #[error("too long a lease")]
    LeaseTooLong,
    /// The release is not one under which anybody goes.
    #[error("nobody goes under that release now")]
    ReleaseInactive,
    /// Another drives, or drove since.
    #[error("another drives the release")]
    Fenced,
    /// The table of releases has no such move.
    #[error("no such move of a release")]
    InvalidTransition,
}

/// One change. Each is idempotent: made twice, by the same `ask`, it is made once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Change {
    /// A permit, or its renewal by the same holder.
    Grant {
        /// For whom.
        subject: Subject,
        /// Where that one stands.
        place: Place,
        /// For how long, ms.
        lease_ms: u32,
        /// The release under which it goes, if any.
        release: Option<u64>,
    },
    /// The permit's subject is back. Its holder does not use it any more, from before it asks this.
    ReturnPermit {
        /// Who.
        subject: Subject,
    },
    /// A new release, driven by the asker.
    StartRelease {
        /// Above the last one's.
        number: u64,
        /// The plan's digest.
        plan_digest: u64,
        /// It takes another one back: it may begin at any time, and over another one.
        is_rollback: bool,
        /// The driver's lease, ms.
        lease_ms: u32,
    },
    /// The asker drives from now on, or goes on driving: renews its lease.
    DriveRelease {
        /// The plans that the asker has, by digest: the release's and its way back.
        plan_digests: [u64; 2],
        /// The driver's lease, ms.
        lease_ms: u32,
    },
    /// A move of the release, by its driver.
    AdvanceRelease {
        /// The driver's fence.
        fence: Term,
        /// Where it stands.
        from: Stage,
        /// What happened.
        event: ReleaseEvent,
        /// Waves of the plan.
        last_wave: u16,
    },
    /// Anybody may halt a release.
    HaltRelease {
        /// Which.
        number: u64,
        /// Why.
        cause: HaltCause,
    },
}

/// What a change came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Applied {
    /// It is made.
    Changed,
    /// It had been made.
    AlreadyApplied,
}
