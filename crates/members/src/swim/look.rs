//! What the library's word means for the view.

use super::Swim;
use crate::view::{Seen, Sure};
use crate::who::Life;
use foca::State;
use std::collections::BTreeMap;
use std::time::Duration;

/// A life that was refused within this time of the last one rises by twice as much.
const REFUSED_AGAIN: Duration = Duration::from_secs(10);

impl Swim {
    pub(super) fn namesakes(&self) -> impl Iterator<Item = &Seen> {
        let me = self.foca.identity();
        let same = |s: &&Seen| s.sure != Sure::Gone && s.who.name == me.name && s.who.address != me.address;
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

    /// The others hold this life for gone: it goes on as the next one. Where they know a higher one of this address
    /// (this process's clock is behind its last one's), each time by twice as much until it is believed.
    pub(super) fn rise(&mut self, now: Duration) {
        let again = self.risen.is_some_and(|t| now < t + REFUSED_AGAIN);
        self.rise = if again { self.rise.saturating_mul(2) } else { 1 };
        self.risen = Some(now);
        let mut next = self.me().clone();
        next.life = Life { number: next.life.number.saturating_add(self.rise), ..next.life };
        let _ = self.foca.change_identity(next, &mut self.effects);
        self.effects.changed = true;
        self.next_call = now;
    }

    /// Brings the view up to date.
    pub(super) fn look(&mut self, now: Duration) {
        let me = foca::Member::alive(self.me().clone());
        let mut members = BTreeMap::new();
        for m in self.foca.iter_membership_state().chain([&me]) {
            let heard = self.heard.get(&m.id().address).copied();
            let (sure, why) = match m.state() {
                _ if m.id() == me.id() => (Sure::There, "this member"),
                State::Alive => (Sure::There, "it answers, or others say that it does"),
                State::Suspect => (Sure::Doubted, "it did not answer, nor to others; it may object"),
                State::Down => (Sure::Gone, "it did not object in time, left, or has a later life"),
            };
            let same = |s: &&Seen| s.sure == sure && s.who == *m.id();
            let since = self.view.members.get(&m.id().address).filter(same).map_or(now, |s| s.since);
            members.insert(m.id().address, Seen { who: m.id().clone(), sure, since, heard, why });
        }
        let differ = members.len() != self.view.members.len()
            || members
                .values()
                .zip(self.view.members.values())
                .any(|(a, b)| (a.sure, &a.who) != (b.sure, &b.who));
        self.heard.retain(|a, _| members.contains_key(a));
        self.view.members = members;
        self.view.number += u64::from(differ);
        // Only one that was heard itself of late is believed to live: an old one's record is not.
        let lately = |s: &&Seen| s.heard.is_some_and(|t| now < t + self.set.suspicion);
        let younger =
            self.namesakes().filter(lately).map(|s| s.who.clone()).find(|w| w.life > self.me().life);
        self.stepped_back = younger.or(self.stepped_back.take());
    }
}
