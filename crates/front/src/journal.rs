//! Deeds are taken down by a thread of its own, before they are done.
//!
//! Whoever is about to do something that a later life must know of hands the deed in and gets a [`Ticket`]; it
//! acts once the ticket says that the deed is on the paper, and not at all where it says that it cannot be.
//! The desk never waits: it hands in and goes on. All deeds that wait go into one write (and, where the
//! settings ask for it, one sync): a slow disk makes set-ups late, not lost.
//!
//! Cancel-safety: dropping a ticket leaves the deed on its way to the paper, which is the careful side. The
//! queue is bounded ([`MOST_WAITING`]); what does not fit counts as not taken down.

use crate::clock::stamp;
use cloverhollow_recovery::frame::{encode, MAGIC};
use cloverhollow_recovery::{Ledger, LedgerLimits, LogRecord, Timestamp};
use cloverhollow_store::LogStorage;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Most deeds that wait for the paper.
const MOST_WAITING: usize = 65_536;
/// Most deeds of one write.
const GROUP: usize = 4_096;
/// The paper is written anew once so much was appended...
const ANEW_BYTES: usize = 4 << 20;
/// ...or, while it cannot be written to, so often: a disk that has room again is found.
const TRY_AGAIN: Duration = Duration::from_millis(500);

/// What a deed's taker-down is told.
struct Line {
    deed: LogRecord,
    done: Option<oneshot::Sender<bool>>,
}

enum Word {
    Line(Line),
    /// The last word: the paper is let go of, and that is said.
    Close(oneshot::Sender<()>),
}

/// How the paper does, for operators.
#[derive(Debug, Default)]
pub(crate) struct Status {
    /// Deeds on the paper since the start.
    pub(crate) kept: AtomicU64,
    /// Deeds that could not be taken down.
    pub(crate) refused: AtomicU64,
    /// Writes, of one deed or many.
    pub(crate) writes: AtomicU64,
    failing: Mutex<Option<String>>,
}

impl Status {
    /// Why nothing can be taken down at present, if so.
    pub(crate) fn failing(&self) -> Option<String> {
        self.failing.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether it went well; a line for each change.
    fn set(&self, result: std::io::Result<()>) -> bool {
        let error = result.err().map(|e| e.to_string());
        let mut failing = self.failing.lock().unwrap_or_else(PoisonError::into_inner);
        match &error {
            _ if *failing == error => {}
            Some(error) => tracing::error!(error, "deeds cannot be taken down: no paid set-up goes out"),
            None => tracing::info!("deeds are taken down"),
        }
        *failing = error;
        failing.is_none()
    }
}

/// Says whether a deed is on the paper.
pub(crate) enum Ticket {
    /// It need not be: nothing is kept by this front.
    Free,
    /// It will be told.
    Waits(oneshot::Receiver<bool>),
    /// It is not.
    Refused,
}

impl Ticket {
    /// Whether the deed may be done. Waits as long as the disk does: whoever waits has a time-out of its own.
    pub(crate) async fn granted(self) -> bool {
        match self {
            Ticket::Free => true,
            Ticket::Waits(done) => done.await.unwrap_or(false),
            Ticket::Refused => false,
        }
    }
}

/// How deeds are taken down.
pub(crate) struct Rules {
    /// Wait for the disk too, not only for the system's cache.
    pub(crate) sync: bool,
    /// Further attempts older than this count no more.
    pub(crate) span: Duration,
    /// Bounds of the ledger.
    pub(crate) bounds: LedgerLimits,
}

/// The way to the paper.
#[derive(Clone)]
pub(crate) struct Journal {
    to: Option<mpsc::Sender<Word>>,
    pub(crate) status: Arc<Status>,
}

impl Journal {
    /// Nothing is kept.
    pub(crate) fn none() -> Self {
        Journal { to: None, status: Arc::default() }
    }

    /// It should be kept and cannot be: no ticket is ever granted.
    pub(crate) fn broken() -> Self {
        let (to, _) = mpsc::channel(1);
        let status = Arc::new(Status::default());
        status.set(Err(std::io::Error::other("there is no file to write to")));
        Journal { to: Some(to), status }
    }

    /// Starts the thread. The paper is written anew first: with `ledger`, and `began` as its next deed.
    pub(crate) fn start(paper: Box<dyn LogStorage>, ledger: Ledger, began: LogRecord, rules: Rules) -> Self {
        let (to, from) = mpsc::channel(MOST_WAITING);
        // Guards against a front that says that it is ready before it knows whether it can write.
        let failing = Mutex::new(Some("nothing is written yet".to_string()));
        let status = Arc::new(Status { failing, ..Status::default() });
        let mut scribe =
            Scribe { paper, ledger, rules, appended: 0, status: status.clone(), text: Vec::new() };
        // In the ledger before anything can be handed in; on the paper with the first writing anew.
        scribe.ledger.apply(stamp(), &began, &scribe.rules.bounds);
        std::thread::spawn(move || scribe.run(from));
        Journal { to: Some(to), status }
    }

    /// Hands in a deed that is not done before it is on the paper.
    pub(crate) fn ask(&self, deed: LogRecord) -> Ticket {
        let Some(to) = &self.to else { return Ticket::Free };
        let (done, waits) = oneshot::channel();
        match to.try_send(Word::Line(Line { deed, done: Some(done) })) {
            Ok(()) => Ticket::Waits(waits),
            Err(_) => {
                self.status.refused.fetch_add(1, Relaxed);
                Ticket::Refused
            }
        }
    }

    /// Hands in a deed that nobody waits for.
    pub(crate) fn tell(&self, deed: LogRecord) {
        let Some(to) = &self.to else { return };
        if to.try_send(Word::Line(Line { deed, done: None })).is_err() {
            self.status.refused.fetch_add(1, Relaxed);
            tracing::warn!("a deed is not taken down: too many wait");
        }
    }

    /// Takes the end down and lets go of the paper.
    pub(crate) async fn close(&self) {
        let Some(to) = &self.to else { return };
        let (done, waits) = oneshot::channel();
        if to.send(Word::Close(done)).await.is_ok() {
            let _ = waits.await;
        }
    }
}

struct Scribe {
    paper: Box<dyn LogStorage>,
    ledger: Ledger,
    rules: Rules,
    /// Bytes since the paper was written anew.
    appended: usize,
    status: Arc<Status>,
    text: Vec<u8>,
}

impl Scribe {
    fn run(mut self, mut from: mpsc::Receiver<Word>) {
        let mut failing = !self.anew();
        loop {
            let first = if failing {
                // The one place that looks at the disk without a deed in hand.
                std::thread::sleep(TRY_AGAIN);
                failing = !self.anew();
                match from.try_recv() {
                    Ok(word) => word,
                    Err(mpsc::error::TryRecvError::Empty) => continue,
                    Err(mpsc::error::TryRecvError::Disconnected) => return,
                }
            } else {
                match from.blocking_recv() {
                    Some(word) => word,
                    None => return,
                }
            };
            let mut words = vec![first];
            while words.len() < GROUP {
                match from.try_recv() {
                    Ok(word) => words.push(word),
                    Err(_) => break,
                }
            }
            let mut closed = None;
            let mut lines = Vec::with_capacity(words.len());
            for word in words {
                match word {
                    Word::Line(line) => lines.push(line),
                    Word::Close(done) => {
                        lines.push(Line { deed: LogRecord::CleanShutdown, done: None });
                        closed = Some(done);
                        break;
                    }
                }
            }
            failing = !self.take_down(lines, failing);
            if let Some(done) = closed {
                // Dropped before it is said: whoever waits may open the paper.
                drop(self.paper);
                let _ = done.send(());
                return;
            }
        }
    }

    /// Takes a group of deeds down, or none of them; whether it could.
    fn take_down(&mut self, lines: Vec<Line>, failing: bool) -> bool {
        let at = stamp();
        self.text.clear();
        let coded = lines.iter().all(|line| encode(at, &line.deed, &mut self.text).is_ok());
        let wrote = coded && !failing && {
            let written = self.paper.append(&self.text).and_then(|()| self.sync());
            self.status.set(written)
        };
        self.appended += self.text.len();
        self.status.writes.fetch_add(1, Relaxed);
        let count = if wrote { &self.status.kept } else { &self.status.refused };
        count.fetch_add(lines.len() as u64, Relaxed);
        for line in lines {
            // What nobody waits for has been done: the ledger has it, and the next writing anew too.
            if wrote || line.done.is_none() {
                self.ledger.apply(at, &line.deed, &self.rules.bounds);
            }
            if let Some(done) = line.done {
                let _ = done.send(wrote);
            }
        }
        if wrote && self.appended > ANEW_BYTES {
            return self.anew();
        }
        wrote
    }

    fn sync(&mut self) -> std::io::Result<()> {
        if self.rules.sync {
            self.paper.sync()
        } else {
            Ok(())
        }
    }

    /// Writes the paper anew: all that still counts, and nothing else.
    fn anew(&mut self) -> bool {
        let at: Timestamp = stamp();
        self.ledger.forget_retries(at, self.rules.span);
        let mut text = MAGIC.to_vec();
        if encode(at, &LogRecord::Snapshot(Box::new(self.ledger.clone())), &mut text).is_err() {
            return self.status.set(Err(std::io::Error::other("the ledger is too long")));
        }
        let written = self.paper.replace(&text);
        if written.is_ok() {
            self.appended = 0;
        }
        self.status.set(written)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cloverhollow_recovery::{frame, BootId};
    use std::io;
    use std::sync::atomic::AtomicBool;

    /// A paper in memory that can be full or slow.
    #[derive(Clone, Default)]
    struct Sheet {
        text: Arc<Mutex<Vec<u8>>>,
        full: Arc<AtomicBool>,
        slow_ms: Arc<AtomicU64>,
        appends: Arc<AtomicU64>,
    }

    impl Sheet {
        fn write(&self, put: impl FnOnce(&mut Vec<u8>)) -> io::Result<()> {
            std::thread::sleep(Duration::from_millis(self.slow_ms.load(Relaxed)));
            if self.full.load(Relaxed) {
                return Err(io::Error::from(io::ErrorKind::StorageFull));
            }
            put(&mut self.text.lock().unwrap());
            Ok(())
        }

        fn deeds(&self) -> Vec<LogRecord> {
            let text = self.text.lock().unwrap();
            let all = frame::decode(&text).unwrap().records.into_iter().map(|(_, deed)| deed);
            all.filter(|d| !matches!(d, LogRecord::Snapshot(_))).collect()
        }
    }

    impl LogStorage for Sheet {
        fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
            self.appends.fetch_add(1, Relaxed);
            self.write(|text| text.extend_from_slice(bytes))
        }

        fn sync(&mut self) -> io::Result<()> {
            Ok(())
        }

        fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
            self.write(|text| *text = bytes.to_vec())
        }
    }

    fn journal(sheet: &Sheet) -> Journal {
        let rules = Rules { sync: true, span: Duration::from_secs(10), bounds: LedgerLimits::default() };
        let began = LogRecord::IncarnationStarted { boot: BootId(1) };
        Journal::start(Box::new(sheet.clone()), Ledger::default(), began, rules)
    }

    fn out(sid: usize) -> LogRecord {
        LogRecord::AttemptStarted { sid: format!("s{sid}"), server: 1, paid: true, is_retry: false }
    }

    #[tokio::test]
    async fn a_ticket_is_granted_once_the_deed_is_on_the_paper() {
        let sheet = Sheet::default();
        let journal = journal(&sheet);
        assert!(journal.ask(out(1)).granted().await);
        assert_eq!(sheet.deeds(), [out(1)]);
        journal.tell(LogRecord::ServerListed { server: 4, accepts_sessions: false });
        journal.close().await;
        assert_eq!(sheet.deeds().last(), Some(&LogRecord::CleanShutdown));
        assert!(!journal.ask(out(2)).granted().await, "nobody writes any more");
    }

    #[tokio::test]
    async fn a_slow_disk_takes_many_deeds_in_one_write() {
        let sheet = Sheet::default();
        let journal = journal(&sheet);
        assert!(journal.ask(out(0)).granted().await);
        sheet.slow_ms.store(200, Relaxed);
        let before = sheet.appends.load(Relaxed);
        let tickets: Vec<_> = (1..=500).map(|n| journal.ask(out(n))).collect();
        for ticket in tickets {
            assert!(ticket.granted().await);
        }
        assert_eq!(sheet.deeds().len(), 501);
        let writes = sheet.appends.load(Relaxed) - before;
        assert!(writes <= 3, "{writes} writes of 200 ms for 500 deeds");
    }

    #[tokio::test]
    async fn a_full_disk_grants_nothing_and_one_that_has_room_again_does() {
        let sheet = Sheet::default();
        let journal = journal(&sheet);
        assert!(journal.ask(out(1)).granted().await);
        sheet.full.store(true, Relaxed);
        assert!(!journal.ask(out(2)).granted().await);
        assert!(journal.status.failing().is_some());
        journal.tell(LogRecord::ServerListed { server: 4, accepts_sessions: false });
        sheet.full.store(false, Relaxed);
        while journal.status.failing().is_some() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(journal.ask(out(3)).granted().await);
        // What was refused is not on the paper; what was done meanwhile is.
        assert!(sheet.deeds().contains(&out(3)) && !sheet.deeds().contains(&out(2)));
        let mut ledger = Ledger::default();
        for (at, deed) in frame::decode(&sheet.text.lock().unwrap()).unwrap().records {
            ledger.apply(at, &deed, &LedgerLimits::default());
        }
        assert_eq!(ledger.paid_sessions().iter().len(), 2, "the first and the third");
        assert!(ledger.stopped().contains(&4));
    }
}
