//! What holds of the view between any two steps.

use super::{Swim, MAX_MEMBERS};
use crate::identity::Incarnation;
use crate::invariants::{hold, InvariantViolation};
use crate::seal::MAX_DATAGRAM_BYTES;
use crate::view::MemberState;
use std::time::Duration;

/// Members that one datagram names at the most: it is looked at before it is read whether there is room.
const AT_ONCE: usize = MAX_DATAGRAM_BYTES / 16;
/// Timers of the library: some for each member, those of its earlier states among them.
const MOST_TIMERS: usize = 16 * MAX_MEMBERS;

/// How it stood before the last step: what never falls is compared with it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Marks {
    now: Duration,
    view: u64,
    incarnation: Incarnation,
}

impl Swim {
    /// Before a step.
    pub(super) fn mark(&mut self, now: Duration) {
        let now = now.max(self.marks.map_or(now, |m| m.now));
        self.marks = Some(Marks { now, view: self.view.version, incarnation: self.local_id().incarnation });
    }

    /// Whether all that holds between two steps holds: neither the view's number nor the own incarnation fell, members and timers
    /// are bounded, this member is there in its own view, and nothing that the library asked for is left undone.
    ///
    /// # Errors
    /// The first invariant that is broken.
    pub fn check(&self) -> Result<(), InvariantViolation> {
        let me = self.local_id();
        let effects = &self.effects;
        let settled = effects.timers.is_empty() && !effects.changed && !effects.refused;
        hold(settled, || InvariantViolation::Unsettled)?;
        let (known, most) = (self.view.members.len(), 2 * MAX_MEMBERS + AT_ONCE);
        hold(known <= most, || InvariantViolation::Known { known, most })?;
        // MemberId was heard and not understood is forgotten at the next look.
        let heard = self.last_received.len();
        hold(heard <= most, || InvariantViolation::Heard { heard, most })?;
        let (armed, most) = (self.timers.len(), MOST_TIMERS);
        hold(armed <= most, || InvariantViolation::Timers { armed, most })?;
        hold(self.rise > 0, || InvariantViolation::NoRise)?;
        let own = self.view.members.get(&me.address);
        let there = own.is_some_and(|s| s.state == MemberState::Alive && s.id == *me);
        hold(there, || InvariantViolation::NotThere { address: me.address })?;
        if let Some(other) = &self.replaced_by {
            let namesake = other.name == me.name && other.address != me.address;
            hold(namesake, || InvariantViolation::StepsBack { address: other.address })?;
        }
        let Some(Marks { now, view, incarnation }) = self.marks else { return Ok(()) };
        let number = self.view.version;
        hold(number >= view, || InvariantViolation::ViewFell { before: view, now: number })?;
        hold(me.incarnation >= incarnation, || InvariantViolation::LifeFell {
            before: incarnation,
            now: me.incarnation,
        })?;
        let (at, heal) = (self.next_call, self.set.rejoin_interval);
        hold(at <= now + heal, || InvariantViolation::Call { at, heal, now })?;
        for (address, seen) in &self.view.members {
            let (address, who, since) = (*address, seen.id.address, seen.since);
            hold(who == address, || InvariantViolation::Address { address, who })?;
            hold(since <= now, || InvariantViolation::Since { address, since, now })?;
        }
        Ok(())
    }
}
