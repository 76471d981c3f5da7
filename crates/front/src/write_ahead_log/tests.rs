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
    let options = LogOptions {
        sync: true,
        retry_window: Duration::from_secs(10),
        ledger_limits: LedgerLimits::default(),
    };
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
