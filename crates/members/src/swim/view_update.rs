//! Application of the effects requested by `foca`, and the membership view that follows from its state.

use super::Swim;
use crate::identity::Incarnation;
use crate::view::{KnownMember, MemberState};
use foca::State;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a refused incarnation within which another refusal doubles the increment.
const REPEATED_REFUSAL: Duration = Duration::from_secs(10);

impl Swim {
    /// Other members that are not down and have the name of the local one.
    pub(super) fn members_with_local_name(&self) -> impl Iterator<Item = &KnownMember> {
        let local_id = self.foca.identity();
        let has_local_name = |m: &&KnownMember| {
            m.state != MemberState::Down && m.id.name == local_id.name && m.id.address != local_id.address
        };
        self.view.members.values().filter(has_local_name)
    }

    /// Applies the effects that the library requested.
    pub(super) fn apply_effects(&mut self, now: Duration) {
        if std::mem::take(&mut self.effects.refused) && !self.left {
            self.raise_incarnation(now);
        }
        for (after, timer) in std::mem::take(&mut self.effects.timers) {
            self.last_timer_number += 1;
            self.timers.insert((now + after, self.last_timer_number), timer);
        }
        if std::mem::take(&mut self.effects.changed) {
            self.update_view(now);
        }
    }

    /// Continues with a higher incarnation after other members declared the current one down.
    ///
    /// If they know a higher incarnation of this address, because the clock of this process is behind that of its
    /// predecessor, the increment doubles with each refusal until the incarnation is accepted.
    fn raise_incarnation(&mut self, now: Duration) {
        let is_repeated = self.last_raise.is_some_and(|t| now < t + REPEATED_REFUSAL);
        self.increment = if is_repeated { self.increment.saturating_mul(2) } else { 1 };
        self.last_raise = Some(now);
        let mut next = self.local_id().clone();
        let number = next.incarnation.number.saturating_add(self.increment);
        next.incarnation = Incarnation { number, ..next.incarnation };
        let _ = self.foca.change_identity(next, &mut self.effects);
        self.effects.changed = true;
        self.next_announcement = now;
    }

    /// Rebuilds the view from the library's state.
    pub(super) fn update_view(&mut self, now: Duration) {
        let local = foca::Member::alive(self.local_id().clone());
        let mut members = BTreeMap::new();
        for member in self.foca.iter_membership_state().chain([&local]) {
            let id = member.id();
            let last_received = self.last_received.get(&id.address).copied();
            let (state, reason) = match member.state() {
                _ if id == local.id() => (MemberState::Alive, "this member"),
                State::Alive => (MemberState::Alive, "it answers, or others say that it does"),
                State::Suspect => (MemberState::Suspect, "it did not answer, nor to others; it may object"),
                State::Down => (MemberState::Down, "it did not object in time, left, or has a later life"),
            };
            let unchanged = |m: &&KnownMember| m.state == state && m.id == *id;
            let since = self.view.members.get(&id.address).filter(unchanged).map_or(now, |m| m.since);
            let known = KnownMember { id: id.clone(), state, since, last_received, reason };
            members.insert(id.address, known);
        }
        let differ = members.len() != self.view.members.len()
            || members
                .values()
                .zip(self.view.members.values())
                .any(|(a, b)| (a.state, &a.id) != (b.state, &b.id));
        self.last_received.retain(|address, _| members.contains_key(address));
        self.view.members = members;
        self.view.version += u64::from(differ);
        // Only a member that was recently received from replaces this one: the record of a dead process does not.
        let is_recent =
            |m: &&KnownMember| m.last_received.is_some_and(|t| now < t + self.config.suspicion_timeout);
        let younger = self
            .members_with_local_name()
            .filter(is_recent)
            .map(|m| m.id.clone())
            .find(|id| id.incarnation > self.local_id().incarnation);
        self.replaced_by = younger.or(self.replaced_by.take());
    }
}
