//! State that a front persists between runs: its last server list and its knowledge about servers, in one file of an
//! embedded database (`redb`).
//!
//! Both are written in one transaction and are on the disk before [`Store::save`] returns (`Durability::Immediate`): a
//! crash leaves the last pair that was written or the one before. Each value has a CRC-32. A file that cannot be opened
//! or has an invalid value is renamed with suffix `.bad`, and the front starts without persisted state.
//!
//! [`LogStorage`] is a separate append-only file for the write-ahead log.
//!
//! The meaning of the bytes is up to the callers.

mod log_file;

pub use log_file::{sibling_path, LogFile, LogFileError, LogStorage, OpenedLog, MAX_LOG_BYTES};

use redb::{Database, Durability, ReadableDatabase, TableDefinition};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

const STATE_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("last");
const LIST_KEY: &str = "list";
const KNOWLEDGE_KEY: &str = "knowledge";
/// Maximum length of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024 * 1024;

/// Reason why a store operation failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Error of the database, such as a full disk, a read-only directory or a file in use.
    #[error("{0}")]
    Database(String),
    /// A value is longer than [`MAX_VALUE_BYTES`].
    #[error("value longer than {MAX_VALUE_BYTES} bytes")]
    TooLong,
}

fn database_error(e: impl std::fmt::Display) -> StoreError {
    StoreError::Database(e.to_string())
}

/// Persisted values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Encoded server list.
    pub list: Vec<u8>,
    /// Encoded knowledge about servers.
    pub knowledge: Vec<u8>,
}

/// Open database file with the persisted state.
#[derive(Debug)]
pub struct Store {
    db: Database,
}

/// Result of opening a store.
#[derive(Debug)]
pub struct OpenedStore {
    /// Open store.
    pub store: Store,
    /// State that the store held. `None` if it is new.
    pub state: Option<PersistedState>,
    /// New path of a previous file that was corrupt.
    pub quarantined: Option<PathBuf>,
}

impl Store {
    /// Opens a store. Creates a new one if there is none or the file is corrupt.
    ///
    /// # Errors
    /// No store can be created at this path.
    pub fn open(path: &Path) -> Result<OpenedStore, StoreError> {
        if let Ok((store, state)) = Store::open_intact(path) {
            return Ok(OpenedStore { store, state, quarantined: None });
        }
        let quarantined = path.exists().then(|| sibling_path(path, ".bad"));
        if let Some(quarantined) = &quarantined {
            std::fs::rename(path, quarantined).map_err(database_error)?;
        }
        let (store, state) = Store::open_intact(path)?;
        Ok(OpenedStore { store, state, quarantined })
    }

    /// Opens and reads a store whose file is intact. A panic of the database on a corrupt file is returned as an error.
    fn open_intact(path: &Path) -> Result<(Store, Option<PersistedState>), StoreError> {
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let mut db = Database::create(path).map_err(database_error)?;
            // Pages without values may be corrupt too, which otherwise only the next write would detect.
            if !db.check_integrity().map_err(database_error)? {
                return Err(StoreError::Database("database file failed its integrity check".into()));
            }
            let store = Store { db };
            let state = store.load()?;
            if let Some(state) = &state {
                store.save(state)?;
            }
            Ok((store, state))
        }));
        opened.unwrap_or_else(|_| Err(StoreError::Database("database file cannot be read".into())))
    }

    fn load(&self) -> Result<Option<PersistedState>, StoreError> {
        let transaction = self.db.begin_read().map_err(database_error)?;
        let table = match transaction.open_table(STATE_TABLE) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(database_error(e)),
        };
        let value_of = |key: &str| -> Result<Option<Vec<u8>>, StoreError> {
            let Some(value) = table.get(key).map_err(database_error)? else { return Ok(None) };
            let body = value.value().split_first_chunk::<4>().and_then(|(crc, body)| {
                (u32::from_le_bytes(*crc) == crc32fast::hash(body)).then(|| body.to_vec())
            });
            body.map(Some).ok_or_else(|| StoreError::Database(format!("{key}: checksum mismatch")))
        };
        let (Some(list), Some(knowledge)) = (value_of(LIST_KEY)?, value_of(KNOWLEDGE_KEY)?) else {
            return Ok(None);
        };
        Ok(Some(PersistedState { list, knowledge }))
    }

    /// Saves both values in one transaction. Blocks until they are on the disk.
    ///
    /// # Errors
    /// Nothing is saved, and the previous values are still there.
    pub fn save(&self, state: &PersistedState) -> Result<(), StoreError> {
        if state.list.len().max(state.knowledge.len()) > MAX_VALUE_BYTES {
            return Err(StoreError::TooLong);
        }
        let saved = catch_unwind(AssertUnwindSafe(|| self.write(state)));
        saved.unwrap_or_else(|_| Err(StoreError::Database("database file cannot be written".into())))
    }

    fn write(&self, state: &PersistedState) -> Result<(), StoreError> {
        let mut transaction = self.db.begin_write().map_err(database_error)?;
        transaction.set_durability(Durability::Immediate).map_err(database_error)?;
        {
            let mut table = transaction.open_table(STATE_TABLE).map_err(database_error)?;
            for (key, body) in [(LIST_KEY, &state.list), (KNOWLEDGE_KEY, &state.knowledge)] {
                let mut value = crc32fast::hash(body).to_le_bytes().to_vec();
                value.extend_from_slice(body);
                table.insert(key, value.as_slice()).map_err(database_error)?;
            }
        }
        transaction.commit().map_err(database_error)
    }
}
