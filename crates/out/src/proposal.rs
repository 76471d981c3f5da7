//! One change on its way, and how it ends.

use crate::change::{Change, DenialReason};
use crate::types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Tries for one change.
pub const MAX_ATTEMPTS: u32 = 8;
/// What was not answered is said again after so long.
pub(crate) const AGAIN: Duration = Duration::from_millis(400);
/// One that was outbid waits so long at the least, and up to so many times that.
const WAIT_MS: u64 = 50;
const WAITS: u64 = 32;

/// A lease that was had: a permit's or the release's. To be asked at the time of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GrantedLease {
    /// Which.
    pub lease_id: LeaseId,
    /// It holds until then.
    pub expires_at: Duration,
}

impl GrantedLease {
    /// Whether it holds at that time: whoever stood still holds nothing.
    pub fn is_valid_at(&self, now: Duration) -> bool {
        now < self.expires_at
    }
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It is made: the value with it, and the lease where it asked for one.
    Committed(Register, Option<GrantedLease>),
    /// It was not made.
    Denied(DenialReason),
    /// No majority answered; nothing was changed.
    NoQuorum,
    /// It may have been made, or may yet be. Ask again: a change made twice is made once.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Promised {
    pub(crate) life: u64,
    pub(crate) taken: Option<(Ballot, Register)>,
    pub(crate) lapsed: u32,
    pub(crate) sight: MemoryState,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    Waiting(Duration),
    Preparing(BTreeMap<SocketAddr, Promised>),
    Accepting { value: Register, lives: BTreeMap<SocketAddr, u64>, took: BTreeSet<SocketAddr> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Job {
    pub(crate) change: Change,
    /// Before its first question went out: its lease runs from then on.
    pub(crate) begun: Duration,
    pub(crate) tries: u32,
    /// This try's first question.
    pub(crate) asked: Duration,
    /// What is said is said again then.
    pub(crate) again: Duration,
    /// Some value of it has gone out.
    pub(crate) may_be: bool,
    pub(crate) phase: Phase,
}

impl Job {
    pub(crate) fn is_on(&self) -> bool {
        !matches!(self.phase, Phase::Waiting(_))
    }

    /// The lease that it has, now that a majority took that value: from before its first question went out.
    pub(crate) fn granted(&self, holder: u64, ask: u32, value: &Register) -> Option<GrantedLease> {
        let lease = |id, ms: u32| GrantedLease {
            lease_id: id,
            expires_at: self.begun + Duration::from_millis(ms.into()),
        };
        match self.change {
            Change::Grant { subject, lease_ms, .. } => {
                Some(lease(LeaseId { subject: Some(subject), holder, request_id: ask }, lease_ms))
            }
            Change::StartRelease { .. } | Change::DriveRelease { .. } | Change::AdvanceRelease { .. } => {
                let own = LeaseId { subject: None, holder, request_id: ask };
                value.release.filter(|r| r.lease_id() == own).map(|r| lease(own, r.lease_ms))
            }
            Change::ReturnPermit { .. } | Change::HaltRelease { .. } => None,
        }
    }

    /// How long until the next try: longer with each, and differing by asker.
    pub(crate) fn wait(&self, seed: u64) -> Duration {
        let drawn = mix(seed ^ u64::from(self.tries) << 48);
        Duration::from_millis(WAIT_MS * (1 + drawn % WAITS.min(1 << self.tries.min(16))))
    }
}

impl Promised {
    /// Leases that this witness has had, by these very ids, for longer than their hold.
    pub(crate) fn over(&self) -> Vec<LeaseId> {
        let Some((_, value)) = &self.taken else { return Vec::new() };
        let bit = |n: usize| self.lapsed & 1 << n != 0;
        let permits = value.permits.iter().take(MAX_PERMITS).enumerate();
        let over = permits.filter(|(n, _)| bit(*n)).map(|(_, p)| p.lease_id());
        over.chain(value.release.filter(|_| bit(MAX_PERMITS)).map(|r| r.lease_id())).collect()
    }
}

/// Spreads a number's bits (SplitMix64's finaliser: Steele, Lea, Flood, "Fast splittable pseudorandom number
/// generators", 2014).
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
