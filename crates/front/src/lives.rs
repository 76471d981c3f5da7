//! What earlier lives of this front left behind: read before anything else is done.

use crate::clock::{boot, stamp};
use crate::journal::{Journal, Rules};
use cloverhollow_recovery::backoff::StartDelay;
use cloverhollow_recovery::{
    recover, FoundLog, LedgerLimits, LogRecord, RecoveredState, RestartBackoff, Trust,
};
use cloverhollow_settings::{Durability, FrontSettings};
use cloverhollow_store::{sibling_path, LogFile, LogFileError, LogStorage};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::task::spawn_blocking;

/// How long a start waits for an earlier process of this front to let go of its paper.
const LETS_GO: Duration = Duration::from_secs(2);
/// How often it looks.
const LOOK: Duration = Duration::from_millis(20);

/// What a start knows, and the journal to go on with.
pub(crate) struct Lives {
    pub(crate) journal: Journal,
    pub(crate) recovered: RecoveredState,
    pub(crate) wait: StartDelay,
}

/// The file of deeds, beside the store.
pub fn log_file_path(keep: &Path) -> PathBuf {
    sibling_path(keep, ".deeds")
}

/// Opens the paper; waits a little for a process that is just ending. The disk is waited for on a thread that
/// may block.
///
/// # Errors
/// Another process of this front runs on: two lives at once would each spend the whole of every budget.
/// Other errors are none: the front goes on without a paper, and takes nothing down.
pub(crate) async fn open(
    settings: &FrontSettings,
) -> Result<Option<cloverhollow_store::OpenedLog>, LogFileError> {
    let Some(path) = settings.persistence.file.as_deref().map(log_file_path) else { return Ok(None) };
    let opened = spawn_blocking(move || {
        let begun = Instant::now();
        loop {
            match LogFile::open(&path) {
                Err(LogFileError::Locked { .. }) if begun.elapsed() < LETS_GO => std::thread::sleep(LOOK),
                other => return other,
            }
        }
    });
    match opened.await {
        Ok(Ok(found)) => Ok(Some(found)),
        Ok(Err(held @ LogFileError::Locked { .. })) => Err(held),
        Ok(Err(error)) => {
            tracing::error!(%error, "deeds cannot be kept: no paid set-up goes out");
            Ok(None)
        }
        Err(_) => Ok(None),
    }
}

/// Reads what was found. `ran_before`: something else than the paper says that there was a life before.
pub(crate) fn read(
    settings: &FrontSettings,
    found: Option<cloverhollow_store::OpenedLog>,
    ran_before: bool,
) -> Lives {
    let Some(found) = found else { return without(settings) };
    let (paper, bytes, changed_ms) = (found.log, found.bytes, found.changed_unix_ms);
    let (boot, now) = (boot(), stamp());
    let bounds = LedgerLimits {
        paid_sessions: settings.sessions.max_spent_sessions.as_usize(),
        ..LedgerLimits::default()
    };
    let there = FoundLog { bytes: bytes.as_deref(), changed_unix_ms: changed_ms, ran_before };
    let (ledger, recovered) = recover(there, boot, now, &bounds);
    if let Trust::Unproven(why) = recovered.trust {
        let aside = paper.copy_to_quarantine().map(|p| p.display().to_string()).unwrap_or_default();
        tracing::warn!(%why, aside, "earlier lives are not proven: what they may have spent counts as spent");
    }
    let r = &settings.persistence.restarts;
    let backoff = RestartBackoff {
        window: r.window_ms.get(),
        free_crashes: r.free_restarts.as_usize(),
        initial_delay: r.min_delay_ms.get(),
        max_delay: r.max_delay_ms.get(),
    };
    let wait = backoff.start_delay(&ledger, boot, now);
    let rules = Rules {
        sync: settings.persistence.durability == Durability::Machine,
        span: settings.rules.retry_budget.as_ref().map_or(Duration::ZERO, |r| r.window_ms.get()),
        bounds,
    };
    let paper: Box<dyn LogStorage> = Box::new(paper);
    let journal = Journal::start(paper, ledger, LogRecord::IncarnationStarted { boot }, rules);
    Lives { journal, recovered, wait }
}

/// A front that keeps nothing, by its settings or because it cannot.
fn without(settings: &FrontSettings) -> Lives {
    let journal = match settings.persistence.file {
        None => Journal::none(),
        Some(_) => Journal::broken(),
    };
    Lives { journal, recovered: RecoveredState::not_persisted(), wait: StartDelay::default() }
}
