//! Recorder, which writes in a thread of its own while the front runs.

use crate::serde_defs::{ActionsRef, EventsRef};
use crate::Header;
use cloverhollow::{Action, Event};
use serde::Serialize;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::{Duration, SystemTime};

/// Maximum number of steps that wait to be written. Beyond it the recording ends, since one with a gap could not be
/// replayed; the event loop never waits for the writer.
pub const MAX_QUEUED_STEPS: usize = 8_192;
/// Maximum length of a file in bytes. Beyond it the recording ends.
pub const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024 * 1024;

#[derive(Serialize)]
struct StepRef<'a> {
    now: Duration,
    events: EventsRef<'a>,
    actions: ActionsRef<'a>,
}

/// Recording in progress, written to one file by a thread of its own.
pub struct Recorder {
    /// Encoded steps for the writer thread. `None` once the recording has ended.
    queue: Option<SyncSender<Vec<u8>>>,
    writer: Option<std::thread::JoinHandle<()>>,
    /// Path of the file.
    pub path: PathBuf,
}

impl Recorder {
    /// Creates a file in `dir`. Creates the directory if it does not exist.
    ///
    /// # Errors
    /// The directory or file cannot be created.
    pub fn create(dir: &Path, name: &str, settings: String, seed: u64) -> std::io::Result<Recorder> {
        std::fs::create_dir_all(dir)?;
        let unix_ms = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default().as_millis();
        let path = dir.join(format!("{name}-{unix_ms}.rec"));
        let file = std::fs::File::create_new(&path)?;
        let header = postcard::to_stdvec(&Header::new(settings, seed)).map_err(std::io::Error::other)?;
        let (tx, rx) = sync_channel(MAX_QUEUED_STEPS);
        let writer = Some(std::thread::spawn(move || write(file, header, &rx)));
        Ok(Recorder { queue: Some(tx), writer, path })
    }

    /// Ends the recording, and waits until all queued steps are written.
    pub fn finish(mut self) {
        self.queue = None;
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }

    /// Queues a step. Returns false if the recording has ended, as it does for good when the queue is full or the
    /// writer has stopped.
    pub fn record_step(&mut self, now: Duration, events: &[Event], actions: &[Action]) -> bool {
        let Some(queue) = &self.queue else { return false };
        let step = StepRef { now, events: EventsRef(events), actions: ActionsRef(actions) };
        let queued = postcard::to_stdvec(&step).is_ok_and(|body| queue.try_send(body).is_ok());
        if !queued {
            self.queue = None;
        }
        queued
    }
}

/// Writes the header and the queued steps, until the queue is closed, the file is full or a write fails.
fn write(file: std::fs::File, header: Vec<u8>, queue: &Receiver<Vec<u8>>) {
    let mut out = BufWriter::new(file);
    let mut written = 0;
    let mut write_frame = |body: &[u8], flush: bool| -> std::io::Result<()> {
        out.write_all(&(body.len() as u32).to_le_bytes())?;
        out.write_all(&crc32fast::hash(body).to_le_bytes())?;
        out.write_all(body)?;
        written += body.len() as u64;
        // Flushed whenever the queue is empty, so a kill loses only the latest steps.
        if flush {
            out.flush()?;
        }
        Ok(())
    };
    let mut next = Some(header);
    let mut total = 0;
    while let Some(body) = next.or_else(|| queue.recv().ok()) {
        let following = queue.try_recv().ok();
        total += body.len() as u64 + 8;
        if total > MAX_FILE_BYTES || write_frame(&body, following.is_none()).is_err() {
            return; // the sender notices the closed queue and stops
        }
        next = following;
    }
}
