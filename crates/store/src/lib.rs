//! What a front keeps over a stop: its last list and its knowledge, in one file of an embedded store (`redb`).
//!
//! Both are written in one transaction, synced to the disk before [`Store::put`] returns
//! (`Durability::Immediate`): a crash leaves the last pair that was written, or the one before. Each value
//! carries a CRC-32 of its own. A file that cannot be opened or whose values do not check is set aside under
//! `.bad` and never trusted; the start goes on without.
//!
//! Beside it, [`LogStorage`]: an append-only file for what must be taken down before it is done.
//!
//! What the bytes mean is the callers': this crate knows neither list nor knowledge nor deeds.

mod log_file;

pub use log_file::{sibling_path, LogFile, LogFileError, LogStorage, OpenedLog, MAX_LOG_BYTES};

use redb::{Database, Durability, ReadableDatabase, TableDefinition};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

const LAST: TableDefinition<&str, &[u8]> = TableDefinition::new("last");
const LIST: &str = "list";
const KNOWLEDGE: &str = "knowledge";
/// Longest value, bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024 * 1024;

/// Why nothing could be kept.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store's own error: the disk is full, the folder read-only, the file in use.
    #[error("{0}")]
    Store(String),
    /// A value over [`MAX_VALUE_BYTES`].
    #[error("a value over {MAX_VALUE_BYTES} bytes")]
    TooLong,
}

fn store(e: impl std::fmt::Display) -> StoreError {
    StoreError::Store(e.to_string())
}

/// What was kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// The last list.
    pub list: Vec<u8>,
    /// The knowledge.
    pub knowledge: Vec<u8>,
}

/// An open store.
#[derive(Debug)]
pub struct Store {
    db: Database,
}

/// A store as it was found.
#[derive(Debug)]
pub struct OpenedStore {
    /// The store.
    pub store: Store,
    /// What it held.
    pub state: Option<PersistedState>,
    /// Where a file that could not be trusted was put.
    pub quarantined: Option<PathBuf>,
}

impl Store {
    /// Opens a store, or makes a new one where there is none or it cannot be trusted.
    ///
    /// # Errors
    /// No store can be made there.
    pub fn open(path: &Path) -> Result<OpenedStore, StoreError> {
        if let Ok((keep, kept)) = Store::trusted(path) {
            return Ok(OpenedStore { store: keep, state: kept, quarantined: None });
        }
        let aside = path.exists().then(|| sibling_path(path, ".bad"));
        if let Some(aside) = &aside {
            std::fs::rename(path, aside).map_err(store)?;
        }
        let (keep, kept) = Store::trusted(path)?;
        Ok(OpenedStore { store: keep, state: kept, quarantined: aside })
    }

    /// Opens and reads; a file that is broken in a way that the store does not expect is an error too, and
    /// not the end of the process.
    fn trusted(path: &Path) -> Result<(Store, Option<PersistedState>), StoreError> {
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let mut db = Database::create(path).map_err(store)?;
            // Pages that no value lies on may be broken too: the next write would find it out.
            if !db.check_integrity().map_err(store)? {
                return Err(StoreError::Store("it was not whole".into()));
            }
            let keep = Store { db };
            let kept = keep.get()?;
            if let Some(kept) = &kept {
                keep.save(kept)?;
            }
            Ok((keep, kept))
        }));
        opened.unwrap_or_else(|_| Err(StoreError::Store("broken beyond reading".into())))
    }

    fn get(&self) -> Result<Option<PersistedState>, StoreError> {
        let read = self.db.begin_read().map_err(store)?;
        let table = match read.open_table(LAST) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(store(e)),
        };
        let one = |key: &str| -> Result<Option<Vec<u8>>, StoreError> {
            let Some(value) = table.get(key).map_err(store)? else { return Ok(None) };
            let checked = value.value().split_first_chunk::<4>().and_then(|(crc, body)| {
                (u32::from_le_bytes(*crc) == crc32fast::hash(body)).then(|| body.to_vec())
            });
            checked.map(Some).ok_or_else(|| StoreError::Store(format!("{key}: its checksum does not fit")))
        };
        let (Some(list), Some(knowledge)) = (one(LIST)?, one(KNOWLEDGE)?) else { return Ok(None) };
        Ok(Some(PersistedState { list, knowledge }))
    }

    /// Keeps both, or neither. Blocks until they are on the disk.
    ///
    /// # Errors
    /// They are not kept; what was kept before still is.
    pub fn save(&self, kept: &PersistedState) -> Result<(), StoreError> {
        if kept.list.len().max(kept.knowledge.len()) > MAX_VALUE_BYTES {
            return Err(StoreError::TooLong);
        }
        let put = catch_unwind(AssertUnwindSafe(|| self.write(kept)));
        put.unwrap_or_else(|_| Err(StoreError::Store("broken beyond writing".into())))
    }

    fn write(&self, kept: &PersistedState) -> Result<(), StoreError> {
        let mut write = self.db.begin_write().map_err(store)?;
        write.set_durability(Durability::Immediate).map_err(store)?;
        {
            let mut table = write.open_table(LAST).map_err(store)?;
            for (key, body) in [(LIST, &kept.list), (KNOWLEDGE, &kept.knowledge)] {
                let mut value = crc32fast::hash(body).to_le_bytes().to_vec();
                value.extend_from_slice(body);
                table.insert(key, value.as_slice()).map_err(store)?;
            }
        }
        write.commit().map_err(store)
    }
}
