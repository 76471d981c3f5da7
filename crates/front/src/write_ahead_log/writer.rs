//! Writer thread of the write-ahead log.

use super::{LogOptions, LogStatus, QueuedRecord, WriterCommand};
use crate::clock::current_stamp;
use cloverhollow_recovery::frame::{encode, MAGIC};
use cloverhollow_recovery::{Ledger, LogRecord, Timestamp};
use cloverhollow_store::LogStorage;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of records in one write.
const MAX_GROUP_RECORDS: usize = 4_096;
/// Number of appended bytes after which the log is rewritten as one snapshot.
const REWRITE_AFTER_BYTES: usize = 4 << 20;
/// Interval between attempts to rewrite the log while writes fail, so that free disk space is noticed.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Owner of the log storage, and of the ledger that a rewrite stores.
pub(super) struct LogWriter {
    pub(super) storage: Box<dyn LogStorage>,
    pub(super) ledger: Ledger,
    pub(super) options: LogOptions,
    /// Bytes appended since the last rewrite.
    pub(super) appended_bytes: usize,
    pub(super) status: Arc<LogStatus>,
    pub(super) buffer: Vec<u8>,
}

impl LogWriter {
    pub(super) fn run(mut self, mut command_rx: mpsc::Receiver<WriterCommand>) {
        let mut failing = !self.rewrite();
        loop {
            let first_command = if failing {
                // The only place that probes the disk without a record to write.
                std::thread::sleep(RETRY_INTERVAL);
                failing = !self.rewrite();
                match command_rx.try_recv() {
                    Ok(command) => command,
                    Err(mpsc::error::TryRecvError::Empty) => continue,
                    Err(mpsc::error::TryRecvError::Disconnected) => return,
                }
            } else {
                match command_rx.blocking_recv() {
                    Some(command) => command,
                    None => return,
                }
            };
            let mut commands = vec![first_command];
            while commands.len() < MAX_GROUP_RECORDS {
                match command_rx.try_recv() {
                    Ok(command) => commands.push(command),
                    Err(_) => break,
                }
            }
            let mut close_tx = None;
            let mut records = Vec::with_capacity(commands.len());
            for command in commands {
                match command {
                    WriterCommand::Append(queued) => records.push(queued),
                    WriterCommand::Close(confirm_tx) => {
                        records.push(QueuedRecord { record: LogRecord::CleanShutdown, confirm_tx: None });
                        close_tx = Some(confirm_tx);
                        break;
                    }
                }
            }
            failing = !self.append_group(records, failing);
            if let Some(confirm_tx) = close_tx {
                // Closed before the confirmation: the waiting side may open the file again.
                drop(self.storage);
                let _ = confirm_tx.send(());
                return;
            }
        }
    }

    /// Writes a group of records, all or none. Returns true on success.
    fn append_group(&mut self, records: Vec<QueuedRecord>, failing: bool) -> bool {
        let at = current_stamp();
        self.buffer.clear();
        let encoded = records.iter().all(|queued| encode(at, &queued.record, &mut self.buffer).is_ok());
        let persisted = encoded && !failing && {
            let written = self.storage.append(&self.buffer).and_then(|()| self.sync_if_required());
            self.status.record_result(written)
        };
        self.appended_bytes += self.buffer.len();
        self.status.writes.fetch_add(1, Relaxed);
        let count = if persisted { &self.status.persisted } else { &self.status.rejected };
        count.fetch_add(records.len() as u64, Relaxed);
        for queued in records {
            // An effect without a waiter has already taken place: it goes into the ledger, and so into the
            // next rewrite, even if this write failed.
            if persisted || queued.confirm_tx.is_none() {
                self.ledger.apply(at, &queued.record, &self.options.ledger_limits);
            }
            if let Some(confirm_tx) = queued.confirm_tx {
                let _ = confirm_tx.send(persisted);
            }
        }
        if persisted && self.appended_bytes > REWRITE_AFTER_BYTES {
            return self.rewrite();
        }
        persisted
    }

    fn sync_if_required(&mut self) -> std::io::Result<()> {
        if self.options.sync {
            self.storage.sync()
        } else {
            Ok(())
        }
    }

    /// Replaces the log with one snapshot of the ledger. Returns true on success.
    fn rewrite(&mut self) -> bool {
        let at: Timestamp = current_stamp();
        self.ledger.forget_retries(at, self.options.retry_window);
        let mut buffer = MAGIC.to_vec();
        if encode(at, &LogRecord::Snapshot(Box::new(self.ledger.clone())), &mut buffer).is_err() {
            return self.status.record_result(Err(std::io::Error::other("the ledger is too long")));
        }
        let written = self.storage.replace(&buffer);
        if written.is_ok() {
            self.appended_bytes = 0;
        }
        self.status.record_result(written)
    }
}
