//! Invariants of the view between two steps.

use super::{Swim, MAX_MEMBERS};
use crate::auth::MAX_DATAGRAM_BYTES;
use crate::identity::Incarnation;
use crate::invariants::{ensure, InvariantViolation};
use crate::view::MemberState;
use std::time::Duration;

/// Maximum number of members in one datagram. The limit of members is checked before a datagram, not within it.
const MAX_MEMBERS_PER_DATAGRAM: usize = MAX_DATAGRAM_BYTES / 16;
/// Maximum number of the library's timers: several for each member, those of its earlier states included.
const MAX_TIMERS: usize = 16 * MAX_MEMBERS;

/// Values before the last step, which later values are compared with.
#[derive(Clone, Copy, Debug)]
pub(super) struct Checkpoint {
    now: Duration,
    view_version: u64,
    incarnation: Incarnation,
}

impl Swim {
    /// Records the checkpoint at the start of a step.
    pub(super) fn record_checkpoint(&mut self, now: Duration) {
        let now = now.max(self.checkpoint.map_or(now, |c| c.now));
        let (view_version, incarnation) = (self.view.version, self.local_id().incarnation);
        self.checkpoint = Some(Checkpoint { now, view_version, incarnation });
    }

    /// Checks the invariants between two steps: the view's version and the local incarnation never decrease, members
    /// and timers are bounded, the local member is alive in its own view, and all requested effects are applied.
    ///
    /// # Errors
    /// The first violated invariant.
    pub fn check(&self) -> Result<(), InvariantViolation> {
        let local_id = self.local_id();
        let effects = &self.effects;
        let applied = effects.timers.is_empty() && !effects.changed && !effects.refused;
        ensure(applied, || InvariantViolation::UnappliedEffects)?;
        let (known, max) = (self.view.members.len(), 2 * MAX_MEMBERS + MAX_MEMBERS_PER_DATAGRAM);
        ensure(known <= max, || InvariantViolation::KnownMembers { known, max })?;
        // Senders whose datagrams the library could not read stay in this map until the next update of the view.
        let senders = self.last_received.len();
        ensure(senders <= max, || InvariantViolation::ReceiveTimes { senders, max })?;
        let (armed, max) = (self.timers.len(), MAX_TIMERS);
        ensure(armed <= max, || InvariantViolation::Timers { armed, max })?;
        ensure(self.increment > 0, || InvariantViolation::ZeroIncrement)?;
        let own = self.view.members.get(&local_id.address);
        let is_alive = own.is_some_and(|m| m.state == MemberState::Alive && m.id == *local_id);
        ensure(is_alive, || InvariantViolation::LocalMemberMissing { address: local_id.address })?;
        if let Some(other) = &self.replaced_by {
            let is_valid = other.name == local_id.name && other.address != local_id.address;
            ensure(is_valid, || InvariantViolation::WrongReplacement { address: other.address })?;
        }
        let Some(Checkpoint { now, view_version, incarnation }) = self.checkpoint else { return Ok(()) };
        let version = self.view.version;
        ensure(version >= view_version, || InvariantViolation::ViewVersionFell {
            before: view_version,
            now: version,
        })?;
        ensure(local_id.incarnation >= incarnation, || InvariantViolation::IncarnationFell {
            before: incarnation,
            now: local_id.incarnation,
        })?;
        let (at, interval) = (self.next_announcement, self.config.rejoin_interval);
        ensure(at <= now + interval, || InvariantViolation::NextAnnouncement { at, interval, now })?;
        for (address, known) in &self.view.members {
            let (address, id, since) = (*address, known.id.address, known.since);
            ensure(id == address, || InvariantViolation::AddressMismatch { address, id })?;
            ensure(since <= now, || InvariantViolation::SinceInFuture { address, since, now })?;
        }
        Ok(())
    }
}
