//! A record of each step of the decision module: its time, events and actions. [`replay`] runs them through
//! a new module with the same settings and seed and says whether the actions come out the same.
//!
//! A file is a head and any number of steps, each a frame: length and CRC-32 as little-endian `u32`, then a
//! `postcard` body. A file that was cut, as by a kill, is read up to its last whole frame.

mod forms;
mod write;

pub use write::{Recorder, MAX_FILE_BYTES, MAX_QUEUED_STEPS};

use cloverhollow::{Action, Event, SessionPolicy};
use cloverhollow_settings::{FrontSettings, SettingsError};
use forms::{Actions, Events};
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::path::Path;
use std::time::Duration;

/// The format that this program writes and reads.
pub const FORMAT: u32 = 1;
const MAGIC: [u8; 4] = *b"CLVR";
/// Longest frame; a longer one is a broken file.
const MOST_FRAME: u32 = 64 * 1024 * 1024;

/// The head of a file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    magic: [u8; 4],
    format: u32,
    /// The settings, as the file of YAML had them.
    pub settings: String,
    /// The seed of the module's random numbers.
    pub seed: u64,
}

impl Header {
    /// For a module with these settings and seed.
    pub fn new(settings: String, seed: u64) -> Self {
        Header { magic: MAGIC, format: FORMAT, settings, seed }
    }
}

/// One step.
#[derive(Debug, Serialize, Deserialize)]
struct Step {
    now: Duration,
    #[serde(with = "Events")]
    events: Vec<Event>,
    #[serde(with = "Actions")]
    actions: Vec<Action>,
}

/// Why a record cannot be read.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum RecordError {
    #[error("{file}: {source}")]
    Io { file: String, source: std::io::Error },
    #[error("{0}: not a record of this program")]
    NotARecord(String),
    #[error("{file}: format {format}, and this program reads {FORMAT}")]
    UnsupportedFormat { file: String, format: u32 },
    #[error("{file}: frame {frame} is broken")]
    CorruptFrame { file: String, frame: u64 },
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// What a replay found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replay {
    /// Steps run.
    pub steps: u64,
    /// Events in them.
    pub events: u64,
    /// Actions in them.
    pub actions: u64,
    /// The file ends inside a frame.
    pub truncated: bool,
    /// The first step whose actions came out otherwise: its number from 1, what was recorded, what came.
    pub difference: Option<Difference>,
}

/// A step whose actions came out otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Its number, from 1.
    pub step: u64,
    /// What was recorded.
    pub recorded: Vec<Action>,
    /// What came.
    pub replayed: Vec<Action>,
}

struct Frames<R> {
    file: String,
    input: R,
    read: u64,
}

enum Frame {
    Whole(Vec<u8>),
    Cut,
    End,
}

impl<R: Read> Frames<R> {
    fn next(&mut self) -> Result<Frame, RecordError> {
        let mut lead = [0; 8];
        match self.fill(&mut lead)? {
            0 => return Ok(Frame::End),
            8 => {}
            _ => return Ok(Frame::Cut),
        }
        let [a, b, c, d, e, f, g, h] = lead;
        let (length, crc) = (u32::from_le_bytes([a, b, c, d]), u32::from_le_bytes([e, f, g, h]));
        if length > MOST_FRAME {
            return Err(self.broken());
        }
        let mut body = vec![0; length as usize];
        if self.fill(&mut body)? < body.len() {
            return Ok(Frame::Cut);
        }
        if crc32fast::hash(&body) != crc {
            return Err(self.broken());
        }
        self.read += 1;
        Ok(Frame::Whole(body))
    }

    fn broken(&self) -> RecordError {
        RecordError::CorruptFrame { file: self.file.clone(), frame: self.read + 1 }
    }

    /// Reads until `out` is full or the input ends.
    fn fill(&mut self, out: &mut [u8]) -> Result<usize, RecordError> {
        let mut at = 0;
        while at < out.len() {
            match self.input.read(&mut out[at..]) {
                Ok(0) => break,
                Ok(n) => at += n,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(source) => return Err(RecordError::Io { file: self.file.clone(), source }),
            }
        }
        Ok(at)
    }
}

/// Runs a record's steps through a new module.
///
/// # Errors
/// The file cannot be read, is foreign or broken, or its settings no longer pass their check.
pub fn replay(path: &Path) -> Result<Replay, RecordError> {
    let file = path.display().to_string();
    let input = std::fs::File::open(path).map_err(|source| RecordError::Io { file: file.clone(), source })?;
    let mut frames = Frames { file: file.clone(), input: std::io::BufReader::new(input), read: 0 };
    let Frame::Whole(head) = frames.next()? else { return Err(RecordError::NotARecord(file)) };
    let head: Header = postcard::from_bytes(&head).map_err(|_| RecordError::NotARecord(file.clone()))?;
    if head.magic != MAGIC {
        return Err(RecordError::NotARecord(file));
    }
    if head.format != FORMAT {
        return Err(RecordError::UnsupportedFormat { file, format: head.format });
    }
    let settings = FrontSettings::parse(&file, &head.settings)?;
    let mut brain = SessionPolicy::new(settings.decisions(), head.seed);
    let mut out = Replay::default();
    loop {
        let body = match frames.next()? {
            Frame::Whole(body) => body,
            Frame::Cut => {
                out.truncated = true;
                return Ok(out);
            }
            Frame::End => return Ok(out),
        };
        let step: Step = postcard::from_bytes(&body).map_err(|_| frames.broken())?;
        let came = brain.step(step.now, &step.events);
        out.steps += 1;
        out.events += step.events.len() as u64;
        out.actions += step.actions.len() as u64;
        if came != step.actions && out.difference.is_none() {
            out.difference = Some(Difference { step: out.steps, recorded: step.actions, replayed: came });
        }
    }
}
