//! An append-only file of one process: what is on it outlives the process, and with [`LogStorage::sync`] the machine.
//!
//! A write that has returned lies in the system's cache: it is there after the process was killed, at whatever
//! instant. Only a crash of the machine takes what was not synced.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Longest file that is read, bytes.
pub const MAX_LOG_BYTES: u64 = 1 << 30;

/// Where deeds are taken down. [`LogFile`] in the product; tests put one that is full or slow in its place.
pub trait LogStorage: Send {
    /// Writes at the end. What an error leaves of it is taken away again before the next write.
    ///
    /// # Errors
    /// It is not written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Waits until all that was written is on the disk.
    ///
    /// # Errors
    /// It may not be.
    fn sync(&mut self) -> io::Result<()>;

    /// Puts a new text in the place of the old: after a kill there is one or the other.
    ///
    /// # Errors
    /// The old one is still there.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A paper as it was found.
pub struct OpenedLog {
    /// To go on with.
    pub log: LogFile,
    /// What was on it; `None`: there was none.
    pub bytes: Option<Vec<u8>>,
    /// When it last changed (`ctime`), milliseconds since 1970.
    pub changed_unix_ms: u64,
}

/// Why a paper cannot be had.
#[derive(Debug, thiserror::Error)]
pub enum LogFileError {
    /// Another process holds it: two lives of one front at once.
    #[error("{file}: another process of this front holds it")]
    Locked {
        /// The file of the lock.
        file: String,
    },
    /// The system's own error.
    #[error("{file}: {source}")]
    Io {
        /// Which file.
        file: String,
        /// Why.
        source: io::Error,
    },
}

/// A paper that is a file. Its lock, a file of its own sibling_path it, is held as long as this lives.
#[derive(Debug)]
pub struct LogFile {
    path: PathBuf,
    file: File,
    good: u64,
    spoilt: bool,
    _lock: File,
}

/// The file of that name and ending, in the same folder.
pub fn sibling_path(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(ending);
    path.with_file_name(name)
}

impl LogFile {
    /// Opens a paper and reads it; makes one where there is none.
    ///
    /// # Errors
    /// Another process holds it, or the system says no.
    pub fn open(path: &Path) -> Result<OpenedLog, LogFileError> {
        let io = |file: &Path| {
            let file = file.display().to_string();
            move |source| LogFileError::Io { file, source }
        };
        let lock_path = sibling_path(path, ".lock");
        let lock = OpenOptions::new().create(true).write(true).truncate(false).open(&lock_path);
        let lock = lock.map_err(io(&lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(LogFileError::Locked { file: lock_path.display().to_string() })
            }
            Err(TryLockError::Error(e)) => return Err(io(&lock_path)(e)),
        }
        let there = path.exists();
        let mut file =
            OpenOptions::new().create(true).read(true).append(true).open(path).map_err(io(path))?;
        let facts = file.metadata().map_err(io(path))?;
        let changed_ms =
            (facts.ctime().max(0) as u64) * 1_000 + (facts.ctime_nsec().max(0) as u64) / 1_000_000;
        let mut bytes = Vec::new();
        if there {
            (&mut file).take(MAX_LOG_BYTES).read_to_end(&mut bytes).map_err(io(path))?;
        }
        let good = facts.len();
        let paper = LogFile { path: path.into(), file, good, spoilt: false, _lock: lock };
        Ok(OpenedLog { log: paper, bytes: there.then_some(bytes), changed_unix_ms: changed_ms })
    }

    /// Keeps a copy of what is on it under `.bad`, for whoever looks for the cause.
    ///
    /// # Errors
    /// The system's.
    pub fn copy_to_quarantine(&self) -> io::Result<PathBuf> {
        let aside = sibling_path(&self.path, ".bad");
        std::fs::copy(&self.path, &aside)?;
        Ok(aside)
    }
}

impl LogStorage for LogFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.spoilt {
            self.file.set_len(self.good)?;
            self.spoilt = false;
        }
        let written = self.file.write_all(bytes);
        match written {
            Ok(()) => self.good += bytes.len() as u64,
            // A part of it may be there: a frame after it would be taken for garbage.
            Err(_) => self.spoilt = self.file.set_len(self.good).is_err(),
        }
        written
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
        self.good = file.seek(SeekFrom::End(0))?;
        (self.file, self.spoilt) = (file, false);
        Ok(())
    }
}
