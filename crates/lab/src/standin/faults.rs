//! How a stand-in server's process is, and what it does wrong.

use std::sync::atomic::{AtomicU32, AtomicU64};

/// How a server's process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It runs.
    Up,
    /// It stands still: connections are taken by its host, nothing is answered.
    Frozen,
    /// Its process is gone: connections are refused, those that were open are closed.
    Down,
}

/// What it does wrong, as the script says.
#[derive(Debug, Default)]
pub struct Faults {
    /// Set-ups in a thousand that run and fail.
    pub errors: AtomicU32,
    /// Set-ups in a thousand that run and whose connection is then reset.
    pub resets: AtomicU32,
    /// Set-ups take so much longer, ms.
    pub late_ms: AtomicU64,
    /// Load is told as it was so long ago, ms.
    pub report_late_ms: AtomicU64,
    /// Answers in a thousand that come spoilt.
    pub spoilt: AtomicU32,
    /// Time between two pieces of a line, ms; 0: lines are written whole.
    pub pieces_ms: AtomicU64,
    /// Answers and releases in a thousand behind which the connection is closed.
    pub close_early: AtomicU32,
    /// A new connection is read so much later, ms.
    pub read_late_ms: AtomicU64,
}
