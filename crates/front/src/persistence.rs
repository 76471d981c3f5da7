//! Persistence of the server list and the knowledge, in the embedded store at `keep.file`.
//!
//! The store is read at the start. It is written when a new list arrives, when the knowledge has changed
//! within `keep.knowledge_ms`, and at the stop; each write reaches the disk before the next begins. All of
//! this runs on blocking threads. Corrupt data is set aside and the front starts cold; a failed write only
//! costs the next start its copy.

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

/// Minimum interval between writes; only the last list of a burst is persisted.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Persisted state that is valid, with the open store.
#[derive(Default)]
pub(crate) struct Loaded {
    pub(crate) store: Option<Store>,
    /// True if the store existed, so that a previous incarnation has run.
    pub(crate) existed: bool,
    pub(crate) list: Option<ListUpdate>,
    pub(crate) knowledge: Option<Box<Message>>,
}

/// Opens the store and reads the persisted state.
pub(crate) async fn load(settings: &FrontSettings) -> Loaded {
    let Some(path) = settings.persistence.file.clone() else { return Loaded::default() };
    let cold_period = settings.rules.warm_up_ms.get();
    let loading = spawn_blocking(move || {
        let file = path.display().to_string();
        let existed = path.exists();
        let opened = match Store::open(&path) {
            Ok(opened) => opened,
            Err(error) => {
                tracing::warn!(file, %error, "the store cannot be opened: nothing is persisted");
                return Loaded { existed, ..Loaded::default() };
            }
        };
        if let Some(aside) = opened.quarantined {
            tracing::warn!(file, aside = %aside.display(), "persisted state is corrupt; set aside");
        }
        let persisted = opened.state.unwrap_or_default();
        let list = std::str::from_utf8(&persisted.list).ok().filter(|t| !t.is_empty());
        let list = list.and_then(|text| match SavedList::read(text) {
            Ok(saved) => Some(saved.into_update(cold_period)),
            Err(error) => {
                tracing::warn!(file, error, "persisted server list is not used");
                None
            }
        });
        let knowledge = Message::decode(&persisted.knowledge).ok().map(Box::new);
        Loaded { store: Some(opened.store), existed, list, knowledge }
    });
    loading.await.unwrap_or_default()
}

/// Starts the task that persists each list sent to it, together with the current knowledge. Without a store
/// it does nothing.
pub(crate) fn spawn_writer(
    tasks: &TaskTracker,
    settings: &FrontSettings,
    store: Option<Store>,
    knowledge: Arc<SnapshotCell>,
    clock: Clock,
    stop: &CancellationToken,
) -> watch::Sender<Option<SavedList>> {
    let (list_tx, mut list_rx) = watch::channel(None);
    let Some(store) = store else { return list_tx };
    let (stop, write_interval) = (stop.clone(), settings.persistence.knowledge_interval_ms.get());
    let store = Arc::new(store);
    tasks.spawn(async move {
        let mut last_seq = 0;
        loop {
            let running = tokio::select! {
                changed = list_rx.changed() => changed.is_ok(),
                () = tokio::time::sleep(write_interval) => true,
                () = stop.cancelled() => false,
            };
            let new_list = list_rx.has_changed().unwrap_or(false);
            let list = list_rx.borrow_and_update().clone();
            let view = knowledge.latest();
            if let Some(list) = list.filter(|_| new_list || view.seq() != last_seq) {
                last_seq = view.seq();
                let message = view.message(clock.now(), 0, None, KnowledgeLevel::Cold, Vec::new());
                let state = PersistedState {
                    list: serde_json::to_vec(&list).unwrap_or_default(),
                    knowledge: message.encode().unwrap_or_default(),
                };
                let store = store.clone();
                if let Ok(Err(error)) = spawn_blocking(move || store.save(&state)).await {
                    tracing::warn!(%error, "server list and knowledge not persisted");
                }
            }
            if !running {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(MIN_WRITE_INTERVAL) => {}
                () = stop.cancelled() => {}
            }
        }
    });
    list_tx
}
