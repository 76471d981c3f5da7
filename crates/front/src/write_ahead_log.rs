//! Write-ahead log: a dedicated thread writes each log record before the effect it describes takes place.
//!
//! A task that is about to do something a later incarnation must know of submits the record and gets a
//! [`WriteReceipt`]. It proceeds once the receipt confirms the write, and not at all if the write failed. The
//! event loop never waits for the disk. All queued records go into one write (and one sync, where the
//! settings require it): a slow disk delays set-ups but loses none.
//!
//! Dropping a receipt leaves its record in the queue, which is the safe side. The queue is bounded
//! ([`MAX_QUEUED_RECORDS`]); a record that does not fit counts as not persisted.

use crate::clock::current_stamp;
use cloverhollow_recovery::frame::{encode, MAGIC};
use cloverhollow_recovery::{Ledger, LedgerLimits, LogRecord, Timestamp};
use cloverhollow_store::LogStorage;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of records that wait to be written.
const MAX_QUEUED_RECORDS: usize = 65_536;
/// Maximum number of records in one write.
const MAX_GROUP_RECORDS: usize = 4_096;
/// Number of appended bytes after which the log is rewritten as one snapshot.
const REWRITE_AFTER_BYTES: usize = 4 << 20;
/// Interval between attempts to rewrite the log while writes fail, so that free disk space is noticed.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Record in the writer's queue.
struct QueuedRecord {
    record: LogRecord,
    confirm_tx: Option<oneshot::Sender<bool>>,
}

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
    /// Age beyond which retries no longer count against the retry budget.
    pub(crate) retry_span: Duration,
    /// Size limits of the ledger.
    pub(crate) bounds: LedgerLimits,
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
        writer.ledger.apply(current_stamp(), &start_record, &writer.options.bounds);
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

struct LogWriter {
    storage: Box<dyn LogStorage>,
    ledger: Ledger,
    options: LogOptions,
    /// Bytes appended since the last rewrite.
    appended_bytes: usize,
    status: Arc<LogStatus>,
    buffer: Vec<u8>,
}

impl LogWriter {
    fn run(mut self, mut command_rx: mpsc::Receiver<WriterCommand>) {
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
                self.ledger.apply(at, &queued.record, &self.options.bounds);
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
        self.ledger.forget_retries(at, self.options.retry_span);
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

#[cfg(test)]
mod tests {
    use super::*;
    use cloverhollow_recovery::{frame, BootId};
    use std::io;
    use std::sync::atomic::AtomicBool;

    /// In-memory log storage that can be made full or slow.
    #[derive(Clone, Default)]
    struct MemoryLog {
        buffer: Arc<Mutex<Vec<u8>>>,
        full: Arc<AtomicBool>,
        write_delay_ms: Arc<AtomicU64>,
        appends: Arc<AtomicU64>,
    }

    impl MemoryLog {
        fn write(&self, edit: impl FnOnce(&mut Vec<u8>)) -> io::Result<()> {
            std::thread::sleep(Duration::from_millis(self.write_delay_ms.load(Relaxed)));
            if self.full.load(Relaxed) {
                return Err(io::Error::from(io::ErrorKind::StorageFull));
            }
            edit(&mut self.buffer.lock().unwrap());
            Ok(())
        }

        fn records(&self) -> Vec<LogRecord> {
            let buffer = self.buffer.lock().unwrap();
            let records = frame::decode(&buffer).unwrap().records.into_iter().map(|(_, record)| record);
            records.filter(|record| !matches!(record, LogRecord::Snapshot(_))).collect()
        }
    }

    impl LogStorage for MemoryLog {
        fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
            self.appends.fetch_add(1, Relaxed);
            self.write(|buffer| buffer.extend_from_slice(bytes))
        }

        fn sync(&mut self) -> io::Result<()> {
            Ok(())
        }

        fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
            self.write(|buffer| *buffer = bytes.to_vec())
        }
    }

    fn start_log(storage: &MemoryLog) -> WriteAheadLog {
        let options =
            LogOptions { sync: true, retry_span: Duration::from_secs(10), bounds: LedgerLimits::default() };
        let start_record = LogRecord::IncarnationStarted { boot: BootId(1) };
        WriteAheadLog::start(Box::new(storage.clone()), Ledger::default(), start_record, options)
    }

    fn sent_record(sid: usize) -> LogRecord {
        LogRecord::AttemptStarted { sid: format!("s{sid}"), server: 1, paid: true, is_retry: false }
    }

    #[tokio::test]
    async fn receipt_is_confirmed_once_the_record_is_persisted() {
        let storage = MemoryLog::default();
        let log = start_log(&storage);
        assert!(log.append_confirmed(sent_record(1)).wait_confirmed().await);
        assert_eq!(storage.records(), [sent_record(1)]);
        log.append(LogRecord::ServerListed { server: 4, accepts_sessions: false });
        log.close().await;
        assert_eq!(storage.records().last(), Some(&LogRecord::CleanShutdown));
        assert!(!log.append_confirmed(sent_record(2)).wait_confirmed().await, "the writer has stopped");
    }

    #[tokio::test]
    async fn slow_disk_groups_queued_records_into_one_write() {
        let storage = MemoryLog::default();
        let log = start_log(&storage);
        assert!(log.append_confirmed(sent_record(0)).wait_confirmed().await);
        storage.write_delay_ms.store(200, Relaxed);
        let before = storage.appends.load(Relaxed);
        let receipts: Vec<_> = (1..=500).map(|n| log.append_confirmed(sent_record(n))).collect();
        for receipt in receipts {
            assert!(receipt.wait_confirmed().await);
        }
        assert_eq!(storage.records().len(), 501);
        let writes = storage.appends.load(Relaxed) - before;
        assert!(writes <= 3, "{writes} writes of 200 ms for 500 records");
    }

    #[tokio::test]
    async fn full_disk_confirms_nothing_until_space_is_free() {
        let storage = MemoryLog::default();
        let log = start_log(&storage);
        assert!(log.append_confirmed(sent_record(1)).wait_confirmed().await);
        storage.full.store(true, Relaxed);
        assert!(!log.append_confirmed(sent_record(2)).wait_confirmed().await);
        assert!(log.status.write_error().is_some());
        log.append(LogRecord::ServerListed { server: 4, accepts_sessions: false });
        storage.full.store(false, Relaxed);
        while log.status.write_error().is_some() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(log.append_confirmed(sent_record(3)).wait_confirmed().await);
        // The rejected record is absent; the effect that took place meanwhile is present.
        assert!(storage.records().contains(&sent_record(3)) && !storage.records().contains(&sent_record(2)));
        let mut ledger = Ledger::default();
        for (at, record) in frame::decode(&storage.buffer.lock().unwrap()).unwrap().records {
            ledger.apply(at, &record, &LedgerLimits::default());
        }
        assert_eq!(ledger.paid_sessions().iter().len(), 2, "the first and the third record are paid");
        assert!(ledger.stopped().contains(&4));
    }
}
