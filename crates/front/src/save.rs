//! The last list on disk: replaced atomically, read at the next start as its stale copy.
//!
//! Written to a file beside it, synced, and renamed over it: a crash leaves the old or the new one. A file
//! that cannot be read or is of another format is set aside, and the start goes on without.

use cloverhollow_session::{ListNews, SavedList};
use cloverhollow_settings::FrontSettings;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The list is written at most so often; the last one of a burst counts.
const EVERY: Duration = Duration::from_millis(250);

fn beside(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(ending);
    path.with_file_name(name)
}

/// The last list, if one was kept and can be trusted.
pub(crate) async fn load(settings: &FrontSettings) -> Option<ListNews> {
    let path = settings.discovery.last_list.clone()?;
    let cold = settings.rules.cold_ms.get();
    let read = tokio::task::spawn_blocking(move || {
        let text = std::fs::read_to_string(&path).ok()?;
        match SavedList::read(&text) {
            Ok(saved) => Some(saved.news(cold)),
            Err(e) => {
                let aside = beside(&path, ".bad");
                let moved = std::fs::rename(&path, &aside).is_ok();
                tracing::warn!(file = %path.display(), error = e, moved, "last list set aside");
                None
            }
        }
    });
    read.await.ok().flatten()
}

fn write(path: &Path, saved: &SavedList) -> std::io::Result<()> {
    let new = beside(path, ".new");
    let mut file = std::fs::File::create(&new)?;
    file.write_all(serde_json::to_string(saved)?.as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&new, path)
}

/// A task that keeps what it is handed; the last one is written at the stop too. Without a file it does
/// nothing.
pub(crate) fn spawn(
    tasks: &TaskTracker,
    settings: &FrontSettings,
    stop: &CancellationToken,
) -> watch::Sender<Option<SavedList>> {
    let (tx, mut rx) = watch::channel(None);
    let Some(path) = settings.discovery.last_list.clone() else { return tx };
    let stop = stop.clone();
    tasks.spawn(async move {
        loop {
            let changed = tokio::select! {
                c = rx.changed() => c.is_ok(),
                () = stop.cancelled() => false,
            };
            if rx.has_changed().unwrap_or(false) || changed {
                let saved = rx.borrow_and_update().clone();
                let path = path.clone();
                let kept =
                    tokio::task::spawn_blocking(move || saved.map_or(Ok(()), |s| write(&path, &s))).await;
                // A full disk or a read-only folder costs the next start its copy, and nothing else.
                if let Ok(Err(e)) = kept {
                    tracing::warn!(error = %e, "last list not kept");
                }
            }
            if !changed {
                return;
            }
            tokio::time::sleep(EVERY).await;
        }
    });
    tx
}
