//! Whether the first byte of something has gone out: settled by one step.

use std::sync::atomic::{AtomicU8, Ordering::AcqRel, Ordering::Acquire};

const UNSENT: u8 = 0;
const SENDING: u8 = 1;
const RECALLED: u8 = 2;

/// Whoever passes first has it: the sender, or the recall. There is no instant at which both believe to have
/// been first.
#[derive(Debug, Default)]
pub struct Gate(AtomicU8);

impl Gate {
    fn pass(&self, to: u8) -> bool {
        self.0.compare_exchange(UNSENT, to, AcqRel, Acquire).is_ok()
    }

    /// Before the first byte: whether it may go out.
    pub fn send(&self) -> bool {
        self.pass(SENDING)
    }

    /// Whether the first byte had not gone out, and now never will.
    pub fn recall(&self) -> bool {
        self.pass(RECALLED)
    }
}
