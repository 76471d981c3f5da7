//! Writing a record beside a running front.

use crate::forms::{ActionsRef, EventsRef};
use crate::Header;
use cloverhollow::{Action, Event};
use serde::Serialize;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::{Duration, SystemTime};

/// Most steps that wait to be written. Past them the record ends, as one with a gap could not be replayed:
/// the desk is never held up.
pub const MAX_QUEUED_STEPS: usize = 8_192;
/// Most bytes of one file; past them the record ends.
pub const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024 * 1024;

#[derive(Serialize)]
struct StepRef<'a> {
    now: Duration,
    events: EventsRef<'a>,
    actions: ActionsRef<'a>,
}

/// A record being written, by a thread of its own.
pub struct Recorder {
    queue: Option<SyncSender<Vec<u8>>>,
    writer: Option<std::thread::JoinHandle<()>>,
    /// The file.
    pub path: PathBuf,
}

impl Recorder {
    /// Begins a file in `dir`, which is made where it is missing.
    ///
    /// # Errors
    /// The folder or file cannot be made.
    pub fn create(dir: &Path, name: &str, settings: String, seed: u64) -> std::io::Result<Recorder> {
        std::fs::create_dir_all(dir)?;
        let at = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default().as_millis();
        let path = dir.join(format!("{name}-{at}.rec"));
        let file = std::fs::File::create_new(&path)?;
        let head = postcard::to_stdvec(&Header::new(settings, seed)).map_err(std::io::Error::other)?;
        let (tx, rx) = sync_channel(MAX_QUEUED_STEPS);
        let writer = Some(std::thread::spawn(move || write(file, head, &rx)));
        Ok(Recorder { queue: Some(tx), writer, path })
    }

    /// Ends the record once all steps are written.
    pub fn finish(mut self) {
        self.queue = None;
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }

    /// Keeps a step. Returns whether the record still goes on; it ends for good when its writer is behind.
    pub fn record_step(&mut self, now: Duration, events: &[Event], actions: &[Action]) -> bool {
        let Some(queue) = &self.queue else { return false };
        let step = StepRef { now, events: EventsRef(events), actions: ActionsRef(actions) };
        let kept = postcard::to_stdvec(&step).is_ok_and(|body| queue.try_send(body).is_ok());
        if !kept {
            self.queue = None;
        }
        kept
    }
}

fn write(file: std::fs::File, head: Vec<u8>, queue: &Receiver<Vec<u8>>) {
    let mut out = BufWriter::new(file);
    let mut written = 0;
    let mut put = |body: &[u8], last: bool| -> std::io::Result<()> {
        out.write_all(&(body.len() as u32).to_le_bytes())?;
        out.write_all(&crc32fast::hash(body).to_le_bytes())?;
        out.write_all(body)?;
        written += body.len() as u64;
        // A killed front keeps all but the steps of its last moment.
        if last {
            out.flush()?;
        }
        Ok(())
    };
    let mut next = Some(head);
    let mut total = 0;
    while let Some(body) = next.or_else(|| queue.recv().ok()) {
        let following = queue.try_recv().ok();
        total += body.len() as u64 + 8;
        if total > MAX_FILE_BYTES || put(&body, following.is_none()).is_err() {
            return; // the queue's other end sees it and stops
        }
        next = following;
    }
}
