//! Write-ahead log: a dedicated thread writes each log record before the effect it describes takes place.
//!
//! A task that is about to do something a later incarnation must know of submits the record and gets a
//! [`WriteReceipt`]. It proceeds once the receipt confirms the write, and not at all if the write failed. The
//! event loop never waits for the disk. All queued records go into one write (and one sync, where the
//! settings require it): a slow disk delays set-ups but loses none.
//!
//! Dropping a receipt leaves its record in the queue, which is the safe side. The queue is bounded
//! ([`MAX_QUEUED_RECORDS`]); a record that does not fit counts as not persisted.

mod writer;

#[cfg(test)]
mod tests;

use crate::clock::current_stamp;
use cloverhollow_recovery::{Ledger, LedgerLimits, LogRecord};
use cloverhollow_store::LogStorage;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use writer::LogWriter;

/// Maximum number of records that wait to be written.
const MAX_QUEUED_RECORDS: usize = 65_536;

/// Record in the writer's queue.
struct QueuedRecord {
    record: LogRecord,
    confirm_tx: Option<oneshot::Sender<bool>>,
}

/// Item of the writer's queue.
enum WriterCommand {
    Append(QueuedRecord),
    /// Final command: writes the end record, closes the storage, then confirms.
    Close(oneshot::Sender<()>),
}

/// State of the log, shown to operators.
#[derive(Debug, Default)]
pub(crate) struct LogStatus {
    /// Number of records persisted since the start.
    pub(crate) persisted: AtomicU64,
    /// Number of records that could not be persisted.
    pub(crate) rejected: AtomicU64,
    /// Number of writes, each of one or more records.
    pub(crate) writes: AtomicU64,
    write_error: Mutex<Option<String>>,
}

impl LogStatus {
    /// Returns the error that currently prevents writes, if any.
    pub(crate) fn write_error(&self) -> Option<String> {
        self.write_error.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Stores the result of a write and logs each change. Returns true if the write succeeded.
    fn record_result(&self, result: std::io::Result<()>) -> bool {
        let error = result.err().map(|e| e.to_string());
        let mut write_error = self.write_error.lock().unwrap_or_else(PoisonError::into_inner);
        match &error {
            _ if *write_error == error => {}
            Some(error) => tracing::error!(error, "log records cannot be persisted: no paid set-up is sent"),
            None => tracing::info!("log records are persisted again"),
        }
        *write_error = error;
        write_error.is_none()
    }
}

/// Pending or known outcome of persisting a record.
pub(crate) enum WriteReceipt {
    /// This front persists nothing, so there is nothing to wait for.
    NotRequired,
    /// The writer will send the outcome.
    Pending(oneshot::Receiver<bool>),
    /// The record was not queued.
    Rejected,
}

impl WriteReceipt {
    /// Returns true if the effect may take place. Waits as long as the disk takes; callers have their own
    /// time-outs.
    pub(crate) async fn wait_confirmed(self) -> bool {
        match self {
            WriteReceipt::NotRequired => true,
            WriteReceipt::Pending(confirm_rx) => confirm_rx.await.unwrap_or(false),
            WriteReceipt::Rejected => false,
        }
    }
}

/// Settings of the log writer.
pub(crate) struct LogOptions {
    /// True to sync each write to the disk, not only to the page cache.
    pub(crate) sync: bool,
    /// Window of the retry budget; older retries no longer count.
    pub(crate) retry_window: Duration,
    /// Size limits of the ledger.
    pub(crate) ledger_limits: LedgerLimits,
}

/// Handle to the log writer.
#[derive(Clone)]
pub(crate) struct WriteAheadLog {
    command_tx: Option<mpsc::Sender<WriterCommand>>,
    pub(crate) status: Arc<LogStatus>,
}

impl WriteAheadLog {
    /// Creates the handle of a front that persists nothing; every receipt is confirmed.
    pub(crate) fn disabled() -> Self {
        WriteAheadLog { command_tx: None, status: Arc::default() }
    }

    /// Creates the handle of a front whose log cannot be opened; no receipt is ever confirmed.
    pub(crate) fn unavailable() -> Self {
        let (command_tx, _) = mpsc::channel(1);
        let status = Arc::new(LogStatus::default());
        status.record_result(Err(std::io::Error::other("there is no file to write to")));
        WriteAheadLog { command_tx: Some(command_tx), status }
    }

    /// Starts the writer thread. It first rewrites the log with `ledger`, and applies `start_record` to it.
    pub(crate) fn start(
        storage: Box<dyn LogStorage>,
        ledger: Ledger,
        start_record: LogRecord,
        options: LogOptions,
    ) -> Self {
        let (command_tx, command_rx) = mpsc::channel(MAX_QUEUED_RECORDS);
        // Until the first write succeeds the status is failing. Guards against a front that reports ready
        // before it knows whether it can write.
        let write_error = Mutex::new(Some("nothing is written yet".to_string()));
        let status = Arc::new(LogStatus { write_error, ..LogStatus::default() });
        let mut writer = LogWriter {
            storage,
            ledger,
            options,
            appended_bytes: 0,
            status: status.clone(),
            buffer: Vec::new(),
        };
        // Applied to the ledger before any record can be submitted; the first rewrite persists it.
        writer.ledger.apply(current_stamp(), &start_record, &writer.options.ledger_limits);
        std::thread::spawn(move || writer.run(command_rx));
        WriteAheadLog { command_tx: Some(command_tx), status }
    }

    /// Submits a record whose effect must not take place before the record is persisted.
    pub(crate) fn append_confirmed(&self, record: LogRecord) -> WriteReceipt {
        let Some(command_tx) = &self.command_tx else { return WriteReceipt::NotRequired };
        let (confirm_tx, confirm_rx) = oneshot::channel();
        match command_tx
            .try_send(WriterCommand::Append(QueuedRecord { record, confirm_tx: Some(confirm_tx) }))
        {
            Ok(()) => WriteReceipt::Pending(confirm_rx),
            Err(_) => {
                self.status.rejected.fetch_add(1, Relaxed);
                WriteReceipt::Rejected
            }
        }
    }

    /// Submits a record that nobody waits for.
    pub(crate) fn append(&self, record: LogRecord) {
        let Some(command_tx) = &self.command_tx else { return };
        if command_tx.try_send(WriterCommand::Append(QueuedRecord { record, confirm_tx: None })).is_err() {
            self.status.rejected.fetch_add(1, Relaxed);
            tracing::warn!("log record dropped: the writer's queue is full");
        }
    }

    /// Writes the end record and closes the storage.
    pub(crate) async fn close(&self) {
        let Some(command_tx) = &self.command_tx else { return };
        let (confirm_tx, confirm_rx) = oneshot::channel();
        if command_tx.send(WriterCommand::Close(confirm_tx)).await.is_ok() {
            let _ = confirm_rx.await;
        }
    }
}
