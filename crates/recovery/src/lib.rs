//! What a front's death must not forget.
//!
//! Rules count over spans and over sessions; a process that dies loses what it counted. Here is what a front
//! takes down before it acts ([`LogRecord`]), how that becomes bytes and back ([`frame`]), the state that the deeds
//! add up to ([`Ledger`]), what of a file that is found at a start can be believed ([`recover`]), and how long
//! a front that dies again and again waits before it takes viewers ([`backoff`]).
//!
//! No I/O and no clock: bytes and stamps come in as arguments. `docs/recovery.md` goes through the rules one by
//! one.

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
