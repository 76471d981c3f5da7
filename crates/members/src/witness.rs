//! Witness that remembers lease renewals for a limited time.

use crate::invariants::{ensure, InvariantViolation};
use crate::messages::{RenewRequest, RenewResponse};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of lease holders of one witness. Beyond it the witness reports itself as recovering.
pub const MAX_LEASE_HOLDERS: usize = 65_536;

/// Lease holders, each remembered for the hold time after its last renewal.
///
/// Nothing is persisted: after a restart the witness reports itself as recovering for the hold time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Witness {
    local_address: SocketAddr,
    hold_time: Duration,
    /// Time from which every possible lease holder is known.
    complete_from: Duration,
    /// Time of the last renewal by holder.
    renewed: BTreeMap<u64, Duration>,
}

impl Witness {
    /// Creates a witness that starts at `now`.
    ///
    /// `local_address` must be the one in the configuration, and `hold_time` the same in all members.
    pub fn new(now: Duration, local_address: SocketAddr, hold_time: Duration) -> Witness {
        Witness { local_address, hold_time, complete_from: now + hold_time, renewed: BTreeMap::new() }
    }

    /// Records a renewal. The response counts all processes that may hold a lease, the requester included.
    pub fn handle_request(&mut self, now: Duration, request: RenewRequest) -> RenewResponse {
        let hold_time = self.hold_time;
        self.renewed.retain(|_, renewed_at| *renewed_at + hold_time > now);
        if self.renewed.len() < MAX_LEASE_HOLDERS || self.renewed.contains_key(&request.holder) {
            self.renewed.insert(request.holder, now);
        } else {
            // This holder cannot be stored, so no count may be reported while its lease may be valid.
            self.complete_from = now + hold_time;
        }
        RenewResponse {
            witness: self.local_address,
            round: request.round,
            holder_count: u32::try_from(self.renewed.len()).unwrap_or(u32::MAX),
            holder_fingerprint: self.renewed.keys().fold(0, |print, holder| print ^ holder),
            recovering: now < self.complete_from,
        }
    }

    /// Checks what must hold after a renewal: the number of holders is bounded, and no renewal is older than the hold
    /// time.
    ///
    /// # Errors
    /// The first violated invariant.
    pub fn check(&self) -> Result<(), InvariantViolation> {
        let (holders, max) = (self.renewed.len(), MAX_LEASE_HOLDERS);
        ensure(holders <= max, || InvariantViolation::Holders { holders, max })?;
        let Some(latest) = self.renewed.values().max().copied() else { return Ok(()) };
        for (holder, renewed_at) in &self.renewed {
            let (holder, renewed_at) = (*holder, *renewed_at);
            ensure(renewed_at + self.hold_time > latest, || InvariantViolation::ExpiredHolder {
                holder,
                renewed_at,
                latest,
            })?;
        }
        Ok(())
    }

    /// Number of remembered lease holders.
    pub fn holder_count(&self) -> usize {
        self.renewed.len()
    }
}
