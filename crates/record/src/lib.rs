//! Recording of each step of the session policy: its time, events and actions. [`replay`] runs the steps through a new
//! policy with the same settings and seed, and compares the actions.
//!
//! A file is a header and any number of steps, each in one frame: length and CRC-32 as little-endian `u32`, then a
//! body encoded by `postcard`. A file that was truncated, as by a kill, is read up to its last complete frame.

mod serde_defs;
mod write;

pub use write::{Recorder, MAX_FILE_BYTES, MAX_QUEUED_STEPS};

use cloverhollow::{Action, Event, SessionPolicy};
use cloverhollow_settings::{FrontSettings, SettingsError};
use serde::{Deserialize, Serialize};
use serde_defs::{Actions, Events};
use std::io::Read;
use std::path::Path;
use std::time::Duration;

/// Version of the file format that is written and read.
pub const FORMAT: u32 = 1;
const MAGIC: [u8; 4] = *b"CLVR";
/// Maximum length of a frame's body; a longer one means that the file is corrupt.
const MAX_FRAME_BYTES: u32 = 64 * 1024 * 1024;

/// Header of a file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    magic: [u8; 4],
    format: u32,
    /// Text of the YAML settings file.
    pub settings: String,
    /// Seed of the policy's random numbers.
    pub seed: u64,
}

impl Header {
    /// Creates the header for a policy with these settings and seed.
    pub fn new(settings: String, seed: u64) -> Self {
        Header { magic: MAGIC, format: FORMAT, settings, seed }
    }
}

/// One step of the policy.
#[derive(Debug, Serialize, Deserialize)]
struct Step {
    now: Duration,
    #[serde(with = "Events")]
    events: Vec<Event>,
    #[serde(with = "Actions")]
    actions: Vec<Action>,
}

/// Reason why a recording cannot be replayed.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum RecordError {
    #[error("{file}: {source}")]
    Io { file: String, source: std::io::Error },
    #[error("{0}: not a recording of this program")]
    NotARecord(String),
    #[error("{file}: format {format} is not supported, expected {FORMAT}")]
    UnsupportedFormat { file: String, format: u32 },
    #[error("{file}: frame {frame} is corrupt")]
    CorruptFrame { file: String, frame: u64 },
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Result of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replay {
    /// Number of steps.
    pub steps: u64,
    /// Number of events in all steps.
    pub events: u64,
    /// Number of recorded actions in all steps.
    pub actions: u64,
    /// True if the file ends inside a frame.
    pub truncated: bool,
    /// First step whose replayed actions differ from the recorded ones.
    pub difference: Option<Difference>,
}

/// Step whose replayed actions differ from the recorded ones.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Number of the step, counted from 1.
    pub step: u64,
    /// Recorded actions.
    pub recorded: Vec<Action>,
    /// Actions of the replay.
    pub replayed: Vec<Action>,
}

/// Reader of frames.
struct FrameReader<R> {
    file: String,
    input: R,
    frames_read: u64,
}

enum Frame {
    /// Body of a complete frame.
    Complete(Vec<u8>),
    /// The input ends inside a frame.
    Truncated,
    End,
}

impl<R: Read> FrameReader<R> {
    fn next(&mut self) -> Result<Frame, RecordError> {
        let mut header = [0; 8];
        match self.fill(&mut header)? {
            0 => return Ok(Frame::End),
            8 => {}
            _ => return Ok(Frame::Truncated),
        }
        let [a, b, c, d, e, f, g, h] = header;
        let (length, crc) = (u32::from_le_bytes([a, b, c, d]), u32::from_le_bytes([e, f, g, h]));
        if length > MAX_FRAME_BYTES {
            return Err(self.corrupt_frame());
        }
        let mut body = vec![0; length as usize];
        if self.fill(&mut body)? < body.len() {
            return Ok(Frame::Truncated);
        }
        if crc32fast::hash(&body) != crc {
            return Err(self.corrupt_frame());
        }
        self.frames_read += 1;
        Ok(Frame::Complete(body))
    }

    fn corrupt_frame(&self) -> RecordError {
        RecordError::CorruptFrame { file: self.file.clone(), frame: self.frames_read + 1 }
    }

    /// Reads until `buf` is full or the input ends, and returns the number of bytes.
    fn fill(&mut self, buf: &mut [u8]) -> Result<usize, RecordError> {
        let mut filled = 0;
        while filled < buf.len() {
            match self.input.read(&mut buf[filled..]) {
                Ok(0) => break,
                Ok(n) => filled += n,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(source) => return Err(RecordError::Io { file: self.file.clone(), source }),
            }
        }
        Ok(filled)
    }
}

/// Replays a recording through a new policy.
///
/// # Errors
/// The file cannot be read, is not a recording or is corrupt, or its settings are not valid for this version.
pub fn replay(path: &Path) -> Result<Replay, RecordError> {
    let file = path.display().to_string();
    let input = std::fs::File::open(path).map_err(|source| RecordError::Io { file: file.clone(), source })?;
    let mut frames =
        FrameReader { file: file.clone(), input: std::io::BufReader::new(input), frames_read: 0 };
    let Frame::Complete(header) = frames.next()? else { return Err(RecordError::NotARecord(file)) };
    let header: Header = postcard::from_bytes(&header).map_err(|_| RecordError::NotARecord(file.clone()))?;
    if header.magic != MAGIC {
        return Err(RecordError::NotARecord(file));
    }
    if header.format != FORMAT {
        return Err(RecordError::UnsupportedFormat { file, format: header.format });
    }
    let settings = FrontSettings::parse(&file, &header.settings)?;
    let mut policy = SessionPolicy::new(settings.decisions(), header.seed);
    let mut report = Replay::default();
    loop {
        let body = match frames.next()? {
            Frame::Complete(body) => body,
            Frame::Truncated => {
                report.truncated = true;
                return Ok(report);
            }
            Frame::End => return Ok(report),
        };
        let step: Step = postcard::from_bytes(&body).map_err(|_| frames.corrupt_frame())?;
        let replayed = policy.step(step.now, &step.events);
        report.steps += 1;
        report.events += step.events.len() as u64;
        report.actions += step.actions.len() as u64;
        if replayed != step.actions && report.difference.is_none() {
            report.difference = Some(Difference { step: report.steps, recorded: step.actions, replayed });
        }
    }
}
