//! What earlier lives of this front left behind: read before anything else is done.

use crate::clock::{boot, stamp};
use crate::journal::{Journal, Rules};
use cloverhollow_recovery::backoff::Wait;
use cloverhollow_recovery::{recover, Backoff, Bounds, Deed, Found, Recovered, Trust};
use cloverhollow_settings::{Durability, FrontSettings};
use cloverhollow_store::{beside, Paper, PaperError, PaperFile};
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
    pub(crate) recovered: Recovered,
    pub(crate) wait: Wait,
}

/// The file of deeds, beside the store.
pub fn log_file_path(keep: &Path) -> PathBuf {
    beside(keep, ".deeds")
}

/// Opens the paper; waits a little for a process that is just ending. The disk is waited for on a thread that
/// may block.
///
/// # Errors
/// Another process of this front runs on: two lives at once would each spend the whole of every budget.
/// Other errors are none: the front goes on without a paper, and takes nothing down.
pub(crate) async fn open(settings: &FrontSettings) -> Result<Option<cloverhollow_store::Found>, PaperError> {
    let Some(path) = settings.persistence.file.as_deref().map(log_file_path) else { return Ok(None) };
    let opened = spawn_blocking(move || {
        let begun = Instant::now();
        loop {
            match PaperFile::open(&path) {
                Err(PaperError::Held { .. }) if begun.elapsed() < LETS_GO => std::thread::sleep(LOOK),
                other => return other,
            }
        }
    });
    match opened.await {
        Ok(Ok(found)) => Ok(Some(found)),
        Ok(Err(held @ PaperError::Held { .. })) => Err(held),
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
    found: Option<cloverhollow_store::Found>,
    ran_before: bool,
) -> Lives {
    let Some(found) = found else { return without(settings) };
    let (paper, bytes, changed_ms) = (found.paper, found.bytes, found.changed_ms);
    let (boot, now) = (boot(), stamp());
    let bounds = Bounds { paid: settings.sessions.max_spent_sessions.as_usize(), ..Bounds::default() };
    let there = Found { bytes: bytes.as_deref(), changed_ms, ran_before };
    let (ledger, recovered) = recover(there, boot, now, &bounds);
    if let Trust::Unproven(why) = recovered.trust {
        let aside = paper.set_aside().map(|p| p.display().to_string()).unwrap_or_default();
        tracing::warn!(%why, aside, "earlier lives are not proven: what they may have spent counts as spent");
    }
    let r = &settings.persistence.restarts;
    let backoff = Backoff {
        window: r.window_ms.get(),
        free: r.free_restarts.as_usize(),
        first: r.min_delay_ms.get(),
        most: r.max_delay_ms.get(),
    };
    let wait = backoff.wait(&ledger, boot, now);
    let rules = Rules {
        sync: settings.persistence.durability == Durability::Machine,
        span: settings.rules.retry_budget.as_ref().map_or(Duration::ZERO, |r| r.window_ms.get()),
        bounds,
    };
    let paper: Box<dyn Paper> = Box::new(paper);
    let journal = Journal::start(paper, ledger, Deed::Began { boot }, rules);
    Lives { journal, recovered, wait }
}

/// A front that keeps nothing, by its settings or because it cannot.
fn without(settings: &FrontSettings) -> Lives {
    let journal = match settings.persistence.file {
        None => Journal::none(),
        Some(_) => Journal::broken(),
    };
    Lives { journal, recovered: Recovered::unkept(), wait: Wait::default() }
}
