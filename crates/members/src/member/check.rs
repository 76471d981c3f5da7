//! What holds of a member between any two steps.

use super::Member;
use crate::invariants::{hold, InvariantViolation};
use crate::lease_count::FleetSize;
use std::time::Duration;

/// How it stood before the last step: what never falls is compared with it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Marks {
    now: Duration,
    round: u64,
    part: Option<FleetSize>,
    sealed: u64,
}

impl Member {
    fn sealed(&self) -> u64 {
        self.sealer.as_ref().map_or(0, |s| s.number())
    }

    /// Before a step.
    pub(super) fn mark(&mut self, now: Duration) {
        let (round, part, sealed) = (self.heads.round(), self.heads.fleet_size(), self.sealed());
        self.marks = Marks { now: now.max(self.marks.now), round, part, sealed };
    }

    /// Whether all that holds between two steps holds: of the view ([`Swim::check`](crate::Swim::check)), of the leases
    /// ([`LeaseCount::check`](crate::LeaseCount::check), [`Witness::check`](crate::Witness::check)), and of the seals, whose numbers
    /// only rise. The time it takes grows as the number of members, of holders and of senders.
    ///
    /// # Errors
    /// The first invariant that is broken.
    pub fn check(&self) -> Result<(), InvariantViolation> {
        self.swim.check()?;
        self.heads.check()?;
        self.witness.as_ref().map_or(Ok(()), |w| w.check())?;
        self.keys.check()?;
        let Marks { now, round, part, sealed } = self.marks;
        let rounds = self.heads.round();
        hold(rounds >= round, || InvariantViolation::RoundFell { before: round, now: rounds })?;
        self.heads.check_waited(part, now)?;
        let (number, sent) = (self.sealed(), self.stats.sent);
        // Each datagram has a number of its own, and each body over a connection.
        let own = number >= sealed && number >= sent;
        hold(own, || InvariantViolation::Sealed { before: sealed, now: number, sent })
    }
}
