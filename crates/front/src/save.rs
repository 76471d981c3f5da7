//! What is kept over a stop: the last list and the knowledge, in the embedded store of `keep.file`.
//!
//! Read at the start, and written when a list comes, when knowledge has changed for `keep.knowledge_ms`, and
//! at the stop; each write is on the disk before the next begins. All of it on a thread that may block. What
//! cannot be trusted is set aside, and the start goes on cold; what cannot be kept costs the next start its
//! copy, and nothing else.

use cloverhollow_knowledge::wire::Message;
use cloverhollow_knowledge::KnowledgeLevel;
use cloverhollow_session::{ListUpdate, SavedList, SnapshotCell};
use cloverhollow_settings::FrontSettings;
use cloverhollow_store::{PersistedState, Store};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Clock;

/// A list is kept at most so often; the last one of a burst counts.
const EVERY: Duration = Duration::from_millis(250);

/// What was kept, as far as it can be trusted, and the store to go on with.
#[derive(Default)]
pub(crate) struct Loaded {
    pub(crate) keep: Option<Store>,
    /// The store was there already: this front ran before.
    pub(crate) was_there: bool,
    pub(crate) list: Option<ListUpdate>,
    pub(crate) knowledge: Option<Box<Message>>,
}

/// Opens the store.
pub(crate) async fn load(settings: &FrontSettings) -> Loaded {
    let Some(path) = settings.persistence.file.clone() else { return Loaded::default() };
    let cold = settings.rules.warm_up_ms.get();
    let read = spawn_blocking(move || {
        let file = path.display().to_string();
        let was_there = path.exists();
        let opened = match Store::open(&path) {
            Ok(opened) => opened,
            Err(error) => {
                tracing::warn!(file, %error, "nothing can be kept");
                return Loaded { was_there, ..Loaded::default() };
            }
        };
        if let Some(aside) = opened.quarantined {
            tracing::warn!(file, aside = %aside.display(), "what was kept cannot be trusted; set aside");
        }
        let kept = opened.state.unwrap_or_default();
        let list = std::str::from_utf8(&kept.list).ok().filter(|t| !t.is_empty());
        let list = list.and_then(|text| match SavedList::read(text) {
            Ok(saved) => Some(saved.into_update(cold)),
            Err(error) => {
                tracing::warn!(file, error, "the last list is not used");
                None
            }
        });
        let knowledge = Message::decode(&kept.knowledge).ok().map(Box::new);
        Loaded { keep: Some(opened.store), was_there, list, knowledge }
    });
    read.await.unwrap_or_default()
}

/// A task that keeps the lists that it is handed, and the shelf's knowledge. Without a store it does nothing.
pub(crate) fn spawn(
    tasks: &TaskTracker,
    settings: &FrontSettings,
    keep: Option<Store>,
    shelf: Arc<SnapshotCell>,
    clock: Clock,
    stop: &CancellationToken,
) -> watch::Sender<Option<SavedList>> {
    let (tx, mut rx) = watch::channel(None);
    let Some(keep) = keep else { return tx };
    let (stop, every) = (stop.clone(), settings.persistence.knowledge_interval_ms.get());
    let keep = Arc::new(keep);
    tasks.spawn(async move {
        let mut seq = 0;
        loop {
            let going_on = tokio::select! {
                changed = rx.changed() => changed.is_ok(),
                () = tokio::time::sleep(every) => true,
                () = stop.cancelled() => false,
            };
            let new_list = rx.has_changed().unwrap_or(false);
            let list = rx.borrow_and_update().clone();
            let view = shelf.latest();
            if let Some(list) = list.filter(|_| new_list || view.seq() != seq) {
                seq = view.seq();
                let message = view.message(clock.now(), 0, None, KnowledgeLevel::Cold, Vec::new());
                let kept = PersistedState {
                    list: serde_json::to_vec(&list).unwrap_or_default(),
                    knowledge: message.encode().unwrap_or_default(),
                };
                let keep = keep.clone();
                if let Ok(Err(error)) = spawn_blocking(move || keep.save(&kept)).await {
                    tracing::warn!(%error, "list and knowledge not kept");
                }
            }
            if !going_on {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(EVERY) => {}
                () = stop.cancelled() => {}
            }
        }
    });
    tx
}
