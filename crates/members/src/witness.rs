//! A witness: who has renewed a lease, for a while.

use crate::invariants::{hold, InvariantViolation};
use crate::words::{Counted, Renew};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most processes that a witness remembers; past them it is blind.
pub const MAX_LEASE_HOLDERS: usize = 65_536;

/// Remembers who renewed, each for the hold. It keeps nothing over its own death, and says so.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Witness {
    me: SocketAddr,
    hold: Duration,
    /// It knows of everybody that may still hold a lease from then on.
    sees_from: Duration,
    renewed: BTreeMap<u64, Duration>,
}

impl Witness {
    /// One that starts now. `me`: as the settings name it; `hold`: as all members have it.
    pub fn new(now: Duration, me: SocketAddr, hold: Duration) -> Witness {
        Witness { me, hold, sees_from: now + hold, renewed: BTreeMap::new() }
    }

    /// A member renews: its answer counts all that may hold a lease, the asker included.
    pub fn renew(&mut self, now: Duration, renew: Renew) -> Counted {
        let hold = self.hold;
        self.renewed.retain(|_, at| *at + hold > now);
        if self.renewed.len() < MAX_LEASE_HOLDERS || self.renewed.contains_key(&renew.holder) {
            self.renewed.insert(renew.holder, now);
        } else {
            // It can't remember this one: it must not vouch for a count without it for as long as it may hold.
            self.sees_from = now + hold;
        }
        Counted {
            witness: self.me,
            round: renew.round,
            count: u32::try_from(self.renewed.len()).unwrap_or(u32::MAX),
            print: self.renewed.keys().fold(0, |print, holder| print ^ holder),
            blind: now < self.sees_from,
        }
    }

    /// Whether all that holds after a renewal holds: holders are bounded, none is older than the hold, and it is blind no
    /// longer than a hold.
    ///
    /// # Errors
    /// The first invariant that is broken.
    pub fn check(&self) -> Result<(), InvariantViolation> {
        let (holders, most) = (self.renewed.len(), MAX_LEASE_HOLDERS);
        hold(holders <= most, || InvariantViolation::Holders { holders, most })?;
        let Some(latest) = self.renewed.values().max().copied() else { return Ok(()) };
        for (holder, at) in &self.renewed {
            let (holder, at) = (*holder, *at);
            hold(at + self.hold > latest, || InvariantViolation::Old { holder, at, latest })?;
        }
        Ok(())
    }

    /// Processes that it remembers.
    pub fn holders(&self) -> usize {
        self.renewed.len()
    }
}
