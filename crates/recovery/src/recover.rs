//! Recovery of state from the log found at a start, as far as it can be trusted.

use crate::frame;
use crate::ledger::{Ledger, LedgerLimits, UnreleasedSession};
use crate::log_record::{BootId, Timestamp};
use crate::paid::PaidSessions;
use std::collections::BTreeSet;
use std::time::Duration;

/// Largest difference between a file's change time and its last record, beyond which the file is not the one that was
/// written last.
const MAX_CHANGE_TIME_DIFFERENCE_MS: u64 = 2_000;

/// Log found at a start.
#[derive(Clone, Copy, Debug)]
pub struct FoundLog<'a> {
    /// Contents of the file. `None` if there is no file.
    pub bytes: Option<&'a [u8]>,
    /// Time of the file's last change, in milliseconds since the Unix epoch. This must be its `ctime`, which copying
    /// or restoring a file cannot preserve.
    pub changed_unix_ms: u64,
    /// True if anything else shows that this front ran before.
    pub ran_before: bool,
}

/// Reason why a log is not trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DistrustReason {
    /// There is no log, although the front ran before.
    #[error("the file of deeds is gone")]
    Missing,
    /// The log cannot be decoded.
    #[error("{0}")]
    InvalidFrames(#[from] frame::FrameError),
    /// The log records no incarnation.
    #[error("it tells of no life")]
    Empty,
    /// The file changed at another time than its last record was written, as when an older copy was restored.
    #[error("it changed {difference_ms} ms off its last deed: it is not the file that was written last")]
    ChangeTimeMismatch {
        /// Difference between the two times, in milliseconds.
        difference_ms: u64,
    },
    /// The last record is later than the machine's boot clock.
    #[error("its last deed lies ahead of the machine's clock")]
    ClockBehind,
}

/// Completeness of what is known of earlier incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// There are no earlier incarnations.
    FirstStart,
    /// All records of earlier incarnations are known.
    Complete,
    /// The machine has rebooted since the last record, so records that were not yet on the disk are lost.
    Rebooted,
    /// The log is not trusted.
    Unproven(DistrustReason),
    /// Nothing is persisted, so earlier incarnations are unknown.
    NotPersisted,
}

impl Trust {
    /// Returns whether records of the last incarnation may be missing although they should be known.
    pub fn may_miss_records(&self) -> bool {
        matches!(self, Trust::Rebooted | Trust::Unproven(_))
    }

    /// Describes the value for operators. The texts appear in the health page and in logs.
    pub fn describe(&self) -> String {
        match self {
            Trust::FirstStart => "first life".into(),
            Trust::Complete => "earlier lives are proven".into(),
            Trust::Rebooted => "the machine was started anew".into(),
            Trust::Unproven(reason) => reason.to_string(),
            Trust::NotPersisted => "nothing is kept (keep.file)".into(),
        }
    }
}

/// State of earlier incarnations, as known at a start.
#[derive(Debug)]
pub struct RecoveredState {
    /// Completeness of this state.
    pub trust: Trust,
    /// Paid sessions that may have been executed, oldest first.
    pub paid_sessions: PaidSessions,
    /// Ages of the retries in this boot, oldest first. Empty unless `trust` is [`Trust::Complete`].
    pub retry_ages: Vec<Duration>,
    /// Time span up to now for which `retry_ages` has all retries.
    pub retries_complete_for: Duration,
    /// Servers that accept no new sessions according to the server list.
    pub stopped: BTreeSet<u64>,
    /// Servers that failed and have not succeeded since.
    pub failed: BTreeSet<u64>,
    /// Paid sessions that servers may hold for the last incarnation.
    pub unreleased: Vec<UnreleasedSession>,
}

impl RecoveredState {
    /// State of a front that persists nothing.
    pub fn not_persisted() -> Self {
        RecoveredState {
            trust: Trust::NotPersisted,
            paid_sessions: PaidSessions::default(),
            retry_ages: Vec::new(),
            retries_complete_for: Duration::ZERO,
            stopped: BTreeSet::new(),
            failed: BTreeSet::new(),
            unreleased: Vec::new(),
        }
    }
}

/// Recovers the state from a log.
///
/// Also returns the ledger to continue with; the caller applies [`LogRecord::IncarnationStarted`] of its own to it.
///
/// [`LogRecord::IncarnationStarted`]: crate::LogRecord::IncarnationStarted
pub fn recover(
    found: FoundLog<'_>,
    boot: BootId,
    now: Timestamp,
    limits: &LedgerLimits,
) -> (Ledger, RecoveredState) {
    let (ledger, trust) = match read_trusted(found, boot, now, limits) {
        Ok(trusted) => trusted,
        Err(reason) => (Ledger::with_unknown_history(now), Trust::Unproven(reason)),
    };
    let age = |at: Timestamp| at.age(now);
    let is_complete = trust == Trust::Complete;
    let recovered = RecoveredState {
        trust,
        paid_sessions: ledger.paid_sessions().clone(),
        retry_ages: ledger.retries().filter(|_| is_complete).map(age).collect(),
        retries_complete_for: match trust {
            Trust::FirstStart => Duration::MAX,
            Trust::Complete => ledger.retries_complete_since().map_or(Duration::MAX, age),
            Trust::Rebooted | Trust::Unproven(_) | Trust::NotPersisted => Duration::ZERO,
        },
        stopped: ledger.stopped().clone(),
        failed: ledger.failed().clone(),
        unreleased: ledger.unreleased().cloned().collect(),
    };
    (ledger, recovered)
}

/// Decodes the log, and returns its ledger if the log passes all checks.
fn read_trusted(
    found: FoundLog<'_>,
    boot: BootId,
    now: Timestamp,
    limits: &LedgerLimits,
) -> Result<(Ledger, Trust), DistrustReason> {
    let Some(bytes) = found.bytes else {
        return if found.ran_before {
            Err(DistrustReason::Missing)
        } else {
            Ok((Ledger::default(), Trust::FirstStart))
        };
    };
    let log = frame::decode(bytes)?;
    let mut ledger = Ledger::default();
    for (at, record) in &log.records {
        ledger.apply(*at, record, limits);
    }
    let last_boot = ledger.incarnations().next_back().map(|i| i.boot);
    let (Some(last_boot), Some(last)) = (last_boot, ledger.last_record_at()) else {
        return Err(DistrustReason::Empty);
    };
    let difference_ms = found.changed_unix_ms.abs_diff(last.wall_ms);
    if difference_ms > MAX_CHANGE_TIME_DIFFERENCE_MS {
        return Err(DistrustReason::ChangeTimeMismatch { difference_ms });
    }
    if last_boot != boot {
        return Ok((ledger, Trust::Rebooted));
    }
    if last.boot_ms > now.boot_ms {
        return Err(DistrustReason::ClockBehind);
    }
    Ok((ledger, Trust::Complete))
}
