//! What of a file that is found at a start can be believed.

use crate::frame;
use crate::ledger::{Ledger, LedgerLimits, UnreleasedSession};
use crate::log_record::{BootId, Timestamp};
use crate::paid::PaidSessions;
use std::collections::BTreeSet;
use std::time::Duration;

/// A file whose time of change is further from its last stamp than this is another one than was written last.
const STRAYED: u64 = 2_000;

/// What is found at a start.
#[derive(Clone, Copy, Debug)]
pub struct FoundLog<'a> {
    /// The file's bytes; `None`: there is no file.
    pub bytes: Option<&'a [u8]>,
    /// When the file last changed (its `ctime`, which no copy or restoring can carry over), by the wall clock.
    pub changed_unix_ms: u64,
    /// Something else says that this front ran before.
    pub ran_before: bool,
}

/// DistrustReason a file is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DistrustReason {
    /// There is none, and there should be.
    #[error("the file of deeds is gone")]
    Missing,
    /// It is not what was written.
    #[error("{0}")]
    InvalidFrames(#[from] frame::FrameError),
    /// It holds no life.
    #[error("it tells of no life")]
    Empty,
    /// It changed after the last deed: an older copy was put in its place.
    #[error("it changed {difference_ms} ms off its last deed: it is not the file that was written last")]
    ChangeTimeMismatch {
        /// How far off.
        difference_ms: u64,
    },
    /// The boot's clock is behind it.
    #[error("its last deed lies ahead of the machine's clock")]
    ClockBehind,
}

/// How far the earlier lives are proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// There was none.
    FirstStart,
    /// All their deeds are known.
    Complete,
    /// The machine was started anew since: what was not yet on the disk is lost with it.
    Rebooted,
    /// Nothing is: what should tell of them does not.
    Unproven(DistrustReason),
    /// Nothing is ever kept: each life may be the first or not.
    NotPersisted,
}

impl Trust {
    /// Whether deeds of the last life may be missing though they should be known.
    pub fn may_miss_records(&self) -> bool {
        matches!(self, Trust::Rebooted | Trust::Unproven(_))
    }

    /// In describe, for operators.
    pub fn describe(&self) -> String {
        match self {
            Trust::FirstStart => "first life".into(),
            Trust::Complete => "earlier lives are proven".into(),
            Trust::Rebooted => "the machine was started anew".into(),
            Trust::Unproven(why) => why.to_string(),
            Trust::NotPersisted => "nothing is kept (keep.file)".into(),
        }
    }
}

/// What a start knows of the lives before it.
#[derive(Debug)]
pub struct RecoveredState {
    /// How far that is proven.
    pub trust: Trust,
    /// PaidSessions sessions that may have run, the oldest first.
    pub paid_sessions: PaidSessions,
    /// Ages of further attempts.
    pub retry_ages: Vec<Duration>,
    /// For so long back those are all.
    pub retries_complete_for: Duration,
    /// Servers that take no new work.
    pub stopped: BTreeSet<u64>,
    /// Servers that failed, and did not work since.
    pub failed: BTreeSet<u64>,
    /// PaidSessions sessions that servers may hold for the last life.
    pub unreleased: Vec<UnreleasedSession>,
}

impl RecoveredState {
    /// Of a front that keeps nothing.
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

/// Reads what is found. Gives the ledger to go on with, before this life's own [`LogRecord::IncarnationStarted`].
pub fn recover(
    found: FoundLog<'_>,
    boot: BootId,
    now: Timestamp,
    bounds: &LedgerLimits,
) -> (Ledger, RecoveredState) {
    let (ledger, trust) = match believe(found, boot, now, bounds) {
        Ok(believed) => believed,
        Err(why) => (Ledger::unknown_before(now), Trust::Unproven(why)),
    };
    let age = |at: Timestamp| at.age(now);
    let same_boot = trust == Trust::Complete;
    let recovered = RecoveredState {
        trust,
        paid_sessions: ledger.paid_sessions().clone(),
        retry_ages: ledger.retries().filter(|_| same_boot).map(age).collect(),
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

fn believe(
    found: FoundLog<'_>,
    boot: BootId,
    now: Timestamp,
    bounds: &LedgerLimits,
) -> Result<(Ledger, Trust), DistrustReason> {
    let Some(bytes) = found.bytes else {
        return if found.ran_before {
            Err(DistrustReason::Missing)
        } else {
            Ok((Ledger::default(), Trust::FirstStart))
        };
    };
    let read = frame::decode(bytes)?;
    let mut ledger = Ledger::default();
    for (at, deed) in &read.records {
        ledger.apply(*at, deed, bounds);
    }
    let in_boot = ledger.incarnations().next_back().map(|s| s.boot);
    let (Some(in_boot), Some(last)) = (in_boot, ledger.last_record_at()) else {
        return Err(DistrustReason::Empty);
    };
    let by_ms = found.changed_unix_ms.abs_diff(last.wall_ms);
    if by_ms > STRAYED {
        return Err(DistrustReason::ChangeTimeMismatch { difference_ms: by_ms });
    }
    if in_boot != boot {
        return Ok((ledger, Trust::Rebooted));
    }
    if last.boot_ms > now.boot_ms {
        return Err(DistrustReason::ClockBehind);
    }
    Ok((ledger, Trust::Complete))
}
