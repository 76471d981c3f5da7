//! One-time decision between sending a request and cancelling it.

use std::sync::atomic::{AtomicU8, Ordering::AcqRel, Ordering::Acquire};

const UNDECIDED: u8 = 0;
const SENT: u8 = 1;
const CANCELLED: u8 = 2;

/// Atomic flag shared by the sender of a request and the task that may cancel it. The first of
/// [`try_send`](Self::try_send) and [`try_cancel`](Self::try_cancel) wins, and the other one fails from then
/// on, so that a cancelled request is provably never sent.
#[derive(Debug, Default)]
pub struct SendDecision(AtomicU8);

impl SendDecision {
    fn try_decide(&self, to: u8) -> bool {
        self.0.compare_exchange(UNDECIDED, to, AcqRel, Acquire).is_ok()
    }

    /// Claims the right to send; called before the first byte is written. Returns false if the request was
    /// cancelled or already claimed.
    pub fn try_send(&self) -> bool {
        self.try_decide(SENT)
    }

    /// Cancels the request. Returns true if no byte of it has been written, and none will be.
    pub fn try_cancel(&self) -> bool {
        self.try_decide(CANCELLED)
    }
}
