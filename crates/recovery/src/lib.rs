//! Recovery of a front's state after a crash, from a write-ahead log.
//!
//! Some limits hold over time spans or per session, so the counts behind them must survive a restart. A front appends
//! a [`LogRecord`] before it acts. [`frame`] encodes and decodes the log, the [`Ledger`] is the state that its records
//! add up to, [`recover`] decides how far a log found at the start is trusted, and [`backoff`] delays the start of a
//! front that crashes repeatedly.
//!
//! There is no I/O and no clock: bytes and timestamps are passed in.

pub mod backoff;
pub mod frame;
pub mod ledger;
pub mod log_record;
mod paid;
mod recover;

pub use backoff::RestartBackoff;
pub use ledger::{Ledger, LedgerLimits};
pub use log_record::{session_digest, BootId, LogRecord, SessionDigest, Timestamp};
pub use paid::PaidSessions;
pub use recover::{recover, DistrustReason, FoundLog, RecoveredState, Trust};
