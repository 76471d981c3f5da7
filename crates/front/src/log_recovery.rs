//! Recovery of the write-ahead log that previous incarnations of this front left behind. Runs first at the
//! start.

use crate::clock::{current_boot, current_stamp};
use crate::write_ahead_log::{LogOptions, WriteAheadLog};
use cloverhollow_recovery::backoff::Wait;
use cloverhollow_recovery::{recover, Backoff, Bounds, Deed, Found, Recovered, Trust};
use cloverhollow_settings::{FrontSettings, Outlives};
use cloverhollow_store::{beside, Paper, PaperError, PaperFile};
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
    pub(crate) recovered: Recovered,
    pub(crate) restart_delay: Wait,
}

/// Returns the path of the write-ahead log beside the store at `keep`.
pub fn log_file_path(keep: &Path) -> PathBuf {
    beside(keep, ".deeds")
}

/// Opens the log file on a blocking thread, and waits briefly for a previous process that is just ending.
///
/// # Errors
/// Another process of this front holds the log: two processes would each spend the whole of every budget. On
/// any other failure the front runs without a log, and no paid set-up is sent.
pub(crate) async fn open(settings: &FrontSettings) -> Result<Option<cloverhollow_store::Found>, PaperError> {
    let Some(path) = settings.keep.file.as_deref().map(log_file_path) else { return Ok(None) };
    let opened = spawn_blocking(move || {
        let started_at = Instant::now();
        loop {
            match PaperFile::open(&path) {
                Err(PaperError::Held { .. }) if started_at.elapsed() < LOCK_WAIT => {
                    std::thread::sleep(LOCK_POLL_INTERVAL)
                }
                other => return other,
            }
        }
    });
    match opened.await {
        Ok(Ok(found)) => Ok(Some(found)),
        Ok(Err(held @ PaperError::Held { .. })) => Err(held),
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
    found: Option<cloverhollow_store::Found>,
    ran_before: bool,
) -> LogRecovery {
    let Some(found) = found else { return without_log(settings) };
    let (log_file, bytes, changed_ms) = (found.paper, found.bytes, found.changed_ms);
    let (boot, now) = (current_boot(), current_stamp());
    let bounds = Bounds { paid: settings.sessions.spent.count(), ..Bounds::default() };
    let log_contents = Found { bytes: bytes.as_deref(), changed_ms, ran_before };
    let (ledger, recovered) = recover(log_contents, boot, now, &bounds);
    if let Trust::Unproven(why) = recovered.trust {
        let aside = log_file.set_aside().map(|p| p.display().to_string()).unwrap_or_default();
        tracing::warn!(%why, aside, "previous incarnations are not proven: whatever they may have spent counts as spent");
    }
    let restarts = &settings.keep.restarts;
    let backoff = Backoff {
        window: restarts.window_ms.get(),
        free: restarts.free.count(),
        first: restarts.first_ms.get(),
        most: restarts.most_ms.get(),
    };
    let restart_delay = backoff.wait(&ledger, boot, now);
    let options = LogOptions {
        sync: settings.keep.outlives == Outlives::Machine,
        retry_span: settings.rules.ration.as_ref().map_or(Duration::ZERO, |r| r.span_ms.get()),
        bounds,
    };
    let storage: Box<dyn Paper> = Box::new(log_file);
    let log = WriteAheadLog::start(storage, ledger, Deed::Began { boot }, options);
    LogRecovery { log, recovered, restart_delay }
}

/// Result for a front without a log, either by its settings or because the log cannot be opened.
fn without_log(settings: &FrontSettings) -> LogRecovery {
    let log = match settings.keep.file {
        None => WriteAheadLog::disabled(),
        Some(_) => WriteAheadLog::unavailable(),
    };
    LogRecovery { log, recovered: Recovered::unkept(), restart_delay: Wait::default() }
}
