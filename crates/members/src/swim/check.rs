//! What holds of the view between any two steps.

use super::{Swim, MOST_MEMBERS};
use crate::broken::{hold, Broken};
use crate::seal::MOST_DATAGRAM;
use crate::view::Sure;
use crate::who::Life;
use std::time::Duration;

/// Members that one datagram names at the most: it is looked at before it is read whether there is room.
const AT_ONCE: usize = MOST_DATAGRAM / 16;
/// Timers of the library: some for each member, those of its earlier states among them.
const MOST_TIMERS: usize = 16 * MOST_MEMBERS;

/// How it stood before the last step: what never falls is compared with it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Marks {
    now: Duration,
    view: u64,
    life: Life,
}

impl Swim {
    /// Before a step.
    pub(super) fn mark(&mut self, now: Duration) {
        let now = now.max(self.marks.map_or(now, |m| m.now));
        self.marks = Some(Marks { now, view: self.view.number, life: self.me().life });
    }

    /// Whether all that holds between two steps holds: neither the view's number nor the own life fell, members and timers
    /// are bounded, this member is there in its own view, and nothing that the library asked for is left undone.
    ///
    /// # Errors
    /// The first invariant that is broken.
    pub fn check(&self) -> Result<(), Broken> {
        let me = self.me();
        let effects = &self.effects;
        let settled = effects.timers.is_empty() && !effects.changed && !effects.refused;
        hold(settled, || Broken::Unsettled)?;
        let (known, most) = (self.view.members.len(), 2 * MOST_MEMBERS + AT_ONCE);
        hold(known <= most, || Broken::Known { known, most })?;
        // Who was heard and not understood is forgotten at the next look.
        let heard = self.heard.len();
        hold(heard <= most, || Broken::Heard { heard, most })?;
        let (armed, most) = (self.timers.len(), MOST_TIMERS);
        hold(armed <= most, || Broken::Timers { armed, most })?;
        hold(self.rise > 0, || Broken::NoRise)?;
        let own = self.view.members.get(&me.address);
        let there = own.is_some_and(|s| s.sure == Sure::There && s.who == *me);
        hold(there, || Broken::NotThere { address: me.address })?;
        if let Some(other) = &self.stepped_back {
            let namesake = other.name == me.name && other.address != me.address;
            hold(namesake, || Broken::StepsBack { address: other.address })?;
        }
        let Some(Marks { now, view, life }) = self.marks else { return Ok(()) };
        let number = self.view.number;
        hold(number >= view, || Broken::ViewFell { before: view, now: number })?;
        hold(me.life >= life, || Broken::LifeFell { before: life, now: me.life })?;
        let (at, heal) = (self.next_call, self.set.heal);
        hold(at <= now + heal, || Broken::Call { at, heal, now })?;
        for (address, seen) in &self.view.members {
            let (address, who, since) = (*address, seen.who.address, seen.since);
            hold(who == address, || Broken::Address { address, who })?;
            hold(since <= now, || Broken::Since { address, since, now })?;
        }
        Ok(())
    }
}
