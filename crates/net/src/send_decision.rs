//! Whether the first byte of something has gone out: settled by one step.

use std::sync::atomic::{AtomicU8, Ordering::AcqRel, Ordering::Acquire};

const UNSENT: u8 = 0;
const SENDING: u8 = 1;
const CANCELLED: u8 = 2;

/// Whoever passes first has it: the sender, or the recall. There is no instant at which both believe to have
/// been first.
#[derive(Debug, Default)]
pub struct SendDecision(AtomicU8);

impl SendDecision {
    fn pass(&self, to: u8) -> bool {
        self.0.compare_exchange(UNSENT, to, AcqRel, Acquire).is_ok()
    }

    /// Before the first byte: whether it may go out.
    pub fn try_send(&self) -> bool {
        self.pass(SENDING)
    }

    /// Whether the first byte had not gone out, and now never will.
    pub fn try_cancel(&self) -> bool {
        self.pass(CANCELLED)
    }
}
