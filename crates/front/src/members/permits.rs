//! What the members' task does for permits, where they are on.

use super::Fleet;
use crate::out::Out;
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

/// A front that has no member's whole list yet asks for one so often: without it, it gets no permit.
const FIRST_LIST: Duration = Duration::from_millis(500);
/// Nothing is due.
const LATER: Duration = Duration::from_secs(3_600);

impl Fleet {
    pub(crate) fn out(&self) -> Option<MutexGuard<'_, Out>> {
        self.out.as_ref().map(|o| o.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Hands in what came, does what is due, and hands out what is to be said.
    pub(super) fn turn(&self) {
        let mut m = self.member();
        // Where permits are off they are dropped.
        let words = m.take_application_messages();
        let Some(mut out) = self.out() else { return };
        let now = self.clock.now();
        out.look(now, m.view());
        words.iter().for_each(|w| out.datagram(now, w));
        out.tick(now);
        for (to, word) in out.take_words(now) {
            let said = postcard::to_stdvec(&word).is_ok_and(|bytes| m.send_application_message(to, bytes));
            if !said {
                tracing::error!(%to, "a word on permits does not fit into a datagram");
            }
        }
        debug_assert_eq!(out.check(), Ok(()));
        if out.has_to_keep() {
            self.gate.write.notify_one();
        }
    }

    /// When [`Fleet::turn`] is next due.
    pub(super) fn out_due(&self) -> Duration {
        let now = self.clock.now();
        self.out().and_then(|o| o.next_due(now)).unwrap_or(now + LATER)
    }

    /// How often a member is asked for all that it holds.
    pub(super) fn sync_every(&self, every: Duration) -> Duration {
        match self.out().is_some_and(|o| !o.is_listed()) {
            true => every.min(FIRST_LIST),
            false => every,
        }
    }

    pub(super) fn heard_list(&self) {
        if let Some(mut out) = self.out() {
            out.set_listed();
        }
    }

    /// It is to go out, from now on or no more.
    pub(crate) fn want(&self, wanted: bool) {
        if let Some(mut out) = self.out() {
            out.want(wanted);
        }
        self.gate.turn.notify_one();
    }

    /// It takes viewers: what its last life holds is given back.
    pub(crate) fn set_back(&self) {
        if let Some(mut out) = self.out() {
            out.set_back();
        }
        self.gate.turn.notify_one();
    }

    /// The term of the permit under which it may go at this very time.
    pub(crate) fn may_leave(&self) -> Option<u64> {
        let now = self.clock.now();
        self.out()?.may_leave(now).map(|t| t.0)
    }

    /// Why the last ask came to nothing.
    pub(crate) fn why_not(&self) -> String {
        self.out().map(|o| o.why_not()).unwrap_or_default()
    }
}
