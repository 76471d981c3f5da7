//! Append-only log file of one process. Its contents survive the process, and with [`LogStorage::sync`] the machine.
//!
//! A completed write is in the page cache, so it survives a kill of the process at any time. Only a crash of the
//! machine loses what was not synced.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Maximum number of bytes that are read from a log.
pub const MAX_LOG_BYTES: u64 = 1 << 30;

/// Storage of a write-ahead log. [`LogFile`] in production; tests use one that is full or slow.
pub trait LogStorage: Send {
    /// Appends `bytes`. What a failed write leaves behind is removed before the next write.
    ///
    /// # Errors
    /// The bytes are not written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Waits until all appended bytes are on the disk.
    ///
    /// # Errors
    /// They may not be on the disk.
    fn sync(&mut self) -> io::Result<()>;

    /// Replaces the whole contents atomically: after a kill, either the old or the new contents are there.
    ///
    /// # Errors
    /// The old contents are still there.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// Result of opening a log file.
pub struct OpenedLog {
    /// Log file to append to.
    pub log: LogFile,
    /// Contents of the file. `None` if it did not exist.
    pub bytes: Option<Vec<u8>>,
    /// Time of the file's last change (`ctime`), in milliseconds since the Unix epoch.
    pub changed_unix_ms: u64,
}

/// Reason why a log file cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum LogFileError {
    /// The file is locked by another process: two processes of one front run at once.
    #[error("{file}: another process of this front holds it")]
    Locked {
        /// Path of the lock file.
        file: String,
    },
    /// Error of the operating system.
    #[error("{file}: {source}")]
    Io {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Write-ahead log in a file. A separate lock file beside it is locked for the lifetime of this value.
#[derive(Debug)]
pub struct LogFile {
    path: PathBuf,
    file: File,
    /// Length of the contents up to the last completed write, in bytes.
    valid_len: u64,
    /// True if a partial write could not be truncated yet.
    has_partial_write: bool,
    _lock: File,
}

/// Returns the path with `suffix` appended to the file name.
pub fn sibling_path(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(suffix);
    path.with_file_name(name)
}

impl LogFile {
    /// Opens and reads a log file, or creates it.
    ///
    /// # Errors
    /// Another process has locked it, or an operation of the file system failed.
    pub fn open(path: &Path) -> Result<OpenedLog, LogFileError> {
        let io_error = |file: &Path| {
            let file = file.display().to_string();
            move |source| LogFileError::Io { file, source }
        };
        let lock_path = sibling_path(path, ".lock");
        let lock = OpenOptions::new().create(true).write(true).truncate(false).open(&lock_path);
        let lock = lock.map_err(io_error(&lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(LogFileError::Locked { file: lock_path.display().to_string() })
            }
            Err(TryLockError::Error(e)) => return Err(io_error(&lock_path)(e)),
        }
        let existed = path.exists();
        let mut file =
            OpenOptions::new().create(true).read(true).append(true).open(path).map_err(io_error(path))?;
        let metadata = file.metadata().map_err(io_error(path))?;
        let changed_unix_ms =
            (metadata.ctime().max(0) as u64) * 1_000 + (metadata.ctime_nsec().max(0) as u64) / 1_000_000;
        let mut bytes = Vec::new();
        if existed {
            (&mut file).take(MAX_LOG_BYTES).read_to_end(&mut bytes).map_err(io_error(path))?;
        }
        let valid_len = metadata.len();
        let log = LogFile { path: path.into(), file, valid_len, has_partial_write: false, _lock: lock };
        Ok(OpenedLog { log, bytes: existed.then_some(bytes), changed_unix_ms })
    }

    /// Copies the file to one with suffix `.bad`, for diagnosis.
    ///
    /// # Errors
    /// The copy failed.
    pub fn copy_to_quarantine(&self) -> io::Result<PathBuf> {
        let quarantine = sibling_path(&self.path, ".bad");
        std::fs::copy(&self.path, &quarantine)?;
        Ok(quarantine)
    }
}

impl LogStorage for LogFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.has_partial_write {
            self.file.set_len(self.valid_len)?;
            self.has_partial_write = false;
        }
        let result = self.file.write_all(bytes);
        match result {
            Ok(()) => self.valid_len += bytes.len() as u64,
            // Part of the bytes may be written; frames appended after it would make the log corrupt.
            Err(_) => self.has_partial_write = self.file.set_len(self.valid_len).is_err(),
        }
        result
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let new_path = sibling_path(&self.path, ".new");
        let mut new =
            OpenOptions::new().create(true).truncate(true).read(true).write(true).open(&new_path)?;
        new.write_all(bytes)?;
        new.sync_data()?;
        std::fs::rename(&new_path, &self.path)?;
        let mut file = OpenOptions::new().read(true).append(true).open(&self.path)?;
        self.valid_len = file.seek(SeekFrom::End(0))?;
        (self.file, self.has_partial_write) = (file, false);
        Ok(())
    }
}
