//! What the library's word means for the view.

use super::Swim;
use crate::identity::Incarnation;
use crate::view::{KnownMember, MemberState};
use foca::State;
use std::collections::BTreeMap;
use std::time::Duration;

/// A incarnation that was refused within this time of the last one rises by twice as much.
const REFUSED_AGAIN: Duration = Duration::from_secs(10);

impl Swim {
    pub(super) fn namesakes(&self) -> impl Iterator<Item = &KnownMember> {
        let me = self.foca.identity();
        let same = |s: &&KnownMember| {
            s.state != MemberState::Down && s.id.name == me.name && s.id.address != me.address
        };
        self.view.members.values().filter(same)
    }

    /// Takes over what the library asked for.
    pub(super) fn settle(&mut self, now: Duration) {
        if std::mem::take(&mut self.effects.refused) && !self.left {
            self.rise(now);
        }
        for (after, timer) in std::mem::take(&mut self.effects.timers) {
            self.timer += 1;
            self.timers.insert((now + after, self.timer), timer);
        }
        if std::mem::take(&mut self.effects.changed) {
            self.look(now);
        }
    }

    /// The others hold this incarnation for gone: it goes on as the next one. Where they know a higher one of this address
    /// (this process's clock is behind its last one's), each time by twice as much until it is believed.
    pub(super) fn rise(&mut self, now: Duration) {
        let again = self.risen.is_some_and(|t| now < t + REFUSED_AGAIN);
        self.rise = if again { self.rise.saturating_mul(2) } else { 1 };
        self.risen = Some(now);
        let mut next = self.local_id().clone();
        next.incarnation =
            Incarnation { number: next.incarnation.number.saturating_add(self.rise), ..next.incarnation };
        let _ = self.foca.change_identity(next, &mut self.effects);
        self.effects.changed = true;
        self.next_call = now;
    }

    /// Brings the view up to date.
    pub(super) fn look(&mut self, now: Duration) {
        let me = foca::Member::alive(self.local_id().clone());
        let mut members = BTreeMap::new();
        for m in self.foca.iter_membership_state().chain([&me]) {
            let heard = self.last_received.get(&m.id().address).copied();
            let (sure, why) = match m.state() {
                _ if m.id() == me.id() => (MemberState::Alive, "this member"),
                State::Alive => (MemberState::Alive, "it answers, or others say that it does"),
                State::Suspect => (MemberState::Suspect, "it did not answer, nor to others; it may object"),
                State::Down => {
                    (MemberState::Down, "it did not object in time, left, or has a later incarnation")
                }
            };
            let same = |s: &&KnownMember| s.state == sure && s.id == *m.id();
            let since = self.view.members.get(&m.id().address).filter(same).map_or(now, |s| s.since);
            members.insert(
                m.id().address,
                KnownMember { id: m.id().clone(), state: sure, since, last_received: heard, reason: why },
            );
        }
        let differ = members.len() != self.view.members.len()
            || members
                .values()
                .zip(self.view.members.values())
                .any(|(a, b)| (a.state, &a.id) != (b.state, &b.id));
        self.last_received.retain(|a, _| members.contains_key(a));
        self.view.members = members;
        self.view.version += u64::from(differ);
        // Only one that was heard itself of late is believed to live: an old one's record is not.
        let lately = |s: &&KnownMember| s.last_received.is_some_and(|t| now < t + self.set.suspicion_timeout);
        let younger = self
            .namesakes()
            .filter(lately)
            .map(|s| s.id.clone())
            .find(|w| w.incarnation > self.local_id().incarnation);
        self.replaced_by = younger.or(self.replaced_by.take());
    }
}
