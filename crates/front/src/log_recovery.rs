//! Recovery of the write-ahead log that previous incarnations of this front left behind. Runs first at the
//! start.

use crate::clock::{current_boot, current_stamp};
use crate::write_ahead_log::{LogOptions, WriteAheadLog};
use cloverhollow_recovery::backoff::StartDelay;
use cloverhollow_recovery::{
    recover, FoundLog, LedgerLimits, LogRecord, RecoveredState, RestartBackoff, Trust,
};
use cloverhollow_settings::{Durability, FrontSettings};
use cloverhollow_store::{sibling_path, LogFile, LogFileError, LogStorage};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::task::spawn_blocking;

/// Time that a start waits for a previous process of this front to release the log.
const LOCK_WAIT: Duration = Duration::from_secs(2);
/// Interval between attempts to open a log that is locked.
const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Outcome of the recovery, with the log to continue.
pub(crate) struct LogRecovery {
    pub(crate) log: WriteAheadLog,
    pub(crate) recovered: RecoveredState,
    pub(crate) restart_delay: StartDelay,
}

/// Returns the path of the write-ahead log beside the file `store`.
pub fn log_file_path(store: &Path) -> PathBuf {
    sibling_path(store, ".deeds")
}

/// Opens the log file on a blocking thread, and waits briefly for a previous process that is just ending.
///
/// # Errors
/// Another process of this front holds the log: two processes would each spend the whole of every budget. On
/// any other failure the front runs without a log, and no paid set-up is sent.
pub(crate) async fn open(
    settings: &FrontSettings,
) -> Result<Option<cloverhollow_store::OpenedLog>, LogFileError> {
    let Some(path) = settings.persistence.file.as_deref().map(log_file_path) else { return Ok(None) };
    let opened = spawn_blocking(move || {
        let started_at = Instant::now();
        loop {
            match LogFile::open(&path) {
                Err(LogFileError::Locked { .. }) if started_at.elapsed() < LOCK_WAIT => {
                    std::thread::sleep(LOCK_POLL_INTERVAL)
                }
                other => return other,
            }
        }
    });
    match opened.await {
        Ok(Ok(found)) => Ok(Some(found)),
        Ok(Err(locked @ LogFileError::Locked { .. })) => Err(locked),
        Ok(Err(error)) => {
            tracing::error!(%error, "the log cannot be opened: no paid set-up is sent");
            Ok(None)
        }
        Err(_) => Ok(None),
    }
}

/// Replays the log that was found. `ran_before`: true if the store shows that there was a previous
/// incarnation.
pub(crate) fn replay(
    settings: &FrontSettings,
    found: Option<cloverhollow_store::OpenedLog>,
    ran_before: bool,
) -> LogRecovery {
    let Some(found) = found else { return without_log(settings) };
    let (log_file, bytes, changed_ms) = (found.log, found.bytes, found.changed_unix_ms);
    let (boot, now) = (current_boot(), current_stamp());
    let ledger_limits = LedgerLimits {
        paid_sessions: settings.sessions.max_spent_sessions.as_usize(),
        ..LedgerLimits::default()
    };
    let log_contents = FoundLog { bytes: bytes.as_deref(), changed_unix_ms: changed_ms, ran_before };
    let (ledger, recovered) = recover(log_contents, boot, now, &ledger_limits);
    if let Trust::Unproven(why) = recovered.trust {
        let aside = log_file.copy_to_quarantine().map(|p| p.display().to_string()).unwrap_or_default();
        tracing::warn!(%why, aside, "previous incarnations are not proven: whatever they may have spent counts as spent");
    }
    let restarts = &settings.persistence.restarts;
    let backoff = RestartBackoff {
        window: restarts.window_ms.get(),
        free_crashes: restarts.free_restarts.as_usize(),
        initial_delay: restarts.min_delay_ms.get(),
        max_delay: restarts.max_delay_ms.get(),
    };
    let restart_delay = backoff.start_delay(&ledger, boot, now);
    let options = LogOptions {
        sync: settings.persistence.durability == Durability::Machine,
        retry_window: settings.rules.retry_budget.as_ref().map_or(Duration::ZERO, |r| r.window_ms.get()),
        ledger_limits,
    };
    let storage: Box<dyn LogStorage> = Box::new(log_file);
    let log = WriteAheadLog::start(storage, ledger, LogRecord::IncarnationStarted { boot }, options);
    LogRecovery { log, recovered, restart_delay }
}

/// Result for a front without a log, either by its settings or because the log cannot be opened.
fn without_log(settings: &FrontSettings) -> LogRecovery {
    let log = match settings.persistence.file {
        None => WriteAheadLog::disabled(),
        Some(_) => WriteAheadLog::unavailable(),
    };
    LogRecovery { log, recovered: RecoveredState::not_persisted(), restart_delay: StartDelay::default() }
}
