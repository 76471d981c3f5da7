//! Invariants of a member between two steps.

use super::Member;
use crate::invariants::{ensure, InvariantViolation};
use crate::lease_count::FleetSize;
use std::time::Duration;

/// Values before the last step, which later values are compared with.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Checkpoint {
    now: Duration,
    round: u64,
    fleet_size: Option<FleetSize>,
    sequence_number: u64,
}

impl Member {
    fn sequence_number(&self) -> u64 {
        self.signer.as_ref().map_or(0, |s| s.last_number())
    }

    /// Records the checkpoint at the start of a step.
    pub(super) fn record_checkpoint(&mut self, now: Duration) {
        let (round, fleet_size) = (self.lease_count.round(), self.lease_count.fleet_size());
        let sequence_number = self.sequence_number();
        let now = now.max(self.checkpoint.now);
        self.checkpoint = Checkpoint { now, round, fleet_size, sequence_number };
    }

    /// Checks the invariants between two steps: those of the view ([`Swim::check`](crate::Swim::check)) and of the
    /// leases ([`LeaseCount::check`](crate::LeaseCount::check), [`Witness::check`](crate::Witness::check)), and that
    /// sequence numbers never decrease. Takes time linear in the number of members, lease holders and senders.
    ///
    /// # Errors
    /// The first violated invariant.
    pub fn check(&self) -> Result<(), InvariantViolation> {
        self.swim.check()?;
        self.lease_count.check()?;
        self.witness.as_ref().map_or(Ok(()), |w| w.check())?;
        self.verifier.check()?;
        let Checkpoint { now, round, fleet_size, sequence_number } = self.checkpoint;
        let current_round = self.lease_count.round();
        ensure(current_round >= round, || InvariantViolation::RoundFell {
            before: round,
            now: current_round,
        })?;
        self.lease_count.check_newcomer_wait(fleet_size, now)?;
        let (number, sent) = (self.sequence_number(), self.stats.sent);
        // Bodies sent over a connection take sequence numbers too, so there may be more numbers than datagrams.
        let is_valid = number >= sequence_number && number >= sent;
        ensure(is_valid, || InvariantViolation::SequenceNumber { before: sequence_number, now: number, sent })
    }
}
