//! One change on its way through Paxos, and its outcome.

use crate::change::{Change, DenialReason};
use crate::types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of attempts for one change.
pub const MAX_ATTEMPTS: u32 = 8;
/// Interval after which an unanswered message is sent again.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// Unit of the backoff between attempts, in milliseconds.
const BACKOFF_UNIT_MS: u64 = 50;
/// Longest backoff in units.
const MAX_BACKOFF_UNITS: u64 = 32;

/// Lease granted to this process: a permit's or that of the release's driver. Check it at each use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GrantedLease {
    /// Identifier of the lease.
    pub lease_id: LeaseId,
    /// End of the lease on this process's clock.
    pub expires_at: Duration,
}

impl GrantedLease {
    /// Returns whether the lease is valid at `now`. A process that was suspended past its end holds nothing.
    pub fn is_valid_at(&self, now: Duration) -> bool {
        now < self.expires_at
    }
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A majority accepted it: the new value, and the lease if the change requested one.
    Committed(Register, Option<GrantedLease>),
    /// The change is not allowed; nothing was changed.
    Denied(DenialReason),
    /// No majority promised; nothing was changed.
    NoQuorum,
    /// A value was sent, but no majority is known to have accepted it: it may be committed already or later.
    /// Submit the change again; applying it twice has the effect of applying it once.
    Unknown,
}

/// Promise that a proposer received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReceivedPromise {
    /// Incarnation of the acceptor.
    pub(crate) incarnation: u64,
    /// Value that the acceptor accepted last, and its ballot.
    pub(crate) accepted: Option<(Ballot, Register)>,
    /// Bit set of the accepted value's leases that have expired at the acceptor, as in [`crate::Message`].
    pub(crate) expired_leases: u32,
    /// State of the acceptor's memory.
    pub(crate) memory: MemoryState,
}

/// Phase of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// Between attempts, until that time.
    BackingOff(Duration),
    /// Phase 1: the promises received, by acceptor.
    Preparing(BTreeMap<SocketAddr, ReceivedPromise>),
    /// Phase 2: the proposed value, the incarnations of the acceptors that promised, and those that accepted.
    Accepting { value: Register, incarnations: BTreeMap<SocketAddr, u64>, accepted_by: BTreeSet<SocketAddr> },
}

/// Change in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Proposal {
    /// Change to apply to the register.
    pub(crate) change: Change,
    /// Time of submission, before the first prepare message: the requested lease runs from then on.
    pub(crate) submitted_at: Duration,
    /// Number of attempts started.
    pub(crate) attempts: u32,
    /// Time of the current attempt's first prepare message.
    pub(crate) attempt_started_at: Duration,
    /// Time at which unanswered messages are sent again.
    pub(crate) resend_at: Duration,
    /// True if a value of any attempt has been sent, so that the change may have been accepted.
    pub(crate) value_sent: bool,
    /// Phase of the current attempt.
    pub(crate) phase: Phase,
}

impl Proposal {
    /// Returns whether an attempt is in progress.
    pub(crate) fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::BackingOff(_))
    }

    /// Lease that the change obtained with the committed value. It runs from the submission of the change.
    pub(crate) fn granted_lease(
        &self,
        holder: u64,
        request_id: u32,
        value: &Register,
    ) -> Option<GrantedLease> {
        let lease = |lease_id, ms: u32| GrantedLease {
            lease_id,
            expires_at: self.submitted_at + Duration::from_millis(ms.into()),
        };
        match self.change {
            Change::Grant { subject, lease_ms, .. } => {
                Some(lease(LeaseId { subject: Some(subject), holder, request_id }, lease_ms))
            }
            Change::StartRelease { .. } | Change::DriveRelease { .. } | Change::AdvanceRelease { .. } => {
                let own = LeaseId { subject: None, holder, request_id };
                value.release.filter(|r| r.lease_id() == own).map(|r| lease(own, r.lease_ms))
            }
            Change::ReturnPermit { .. } | Change::HaltRelease { .. } => None,
        }
    }

    /// Backoff before the next attempt: its upper limit doubles with each attempt, and the seed makes
    /// proposers differ.
    pub(crate) fn backoff(&self, seed: u64) -> Duration {
        let random = mix_bits(seed ^ u64::from(self.attempts) << 48);
        Duration::from_millis(
            BACKOFF_UNIT_MS * (1 + random % MAX_BACKOFF_UNITS.min(1 << self.attempts.min(16))),
        )
    }
}

impl ReceivedPromise {
    /// Leases that this acceptor has had, with these very ids, for longer than their hold time.
    pub(crate) fn expired_lease_ids(&self) -> Vec<LeaseId> {
        let Some((_, value)) = &self.accepted else { return Vec::new() };
        let is_expired = |bit: usize| self.expired_leases & 1 << bit != 0;
        let permits = value.permits.iter().take(MAX_PERMITS).enumerate();
        let expired = permits.filter(|(n, _)| is_expired(*n)).map(|(_, p)| p.lease_id());
        expired.chain(value.release.filter(|_| is_expired(MAX_PERMITS)).map(|r| r.lease_id())).collect()
    }
}

/// Spreads a number's bits (SplitMix64's finaliser: Steele, Lea, Flood, "Fast splittable pseudorandom number
/// generators", 2014).
pub(crate) fn mix_bits(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
