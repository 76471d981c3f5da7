//! Deeds as bytes: a file begins with eight bytes of magic and format; each frame is its length, a CRC-32 of its
//! body, and the body (stamp and deed, `postcard`).
//!
//! A file is only ever appended to. A write that a kill or a full disk cut short leaves a torn tail; whoever
//! waited for that write never acted, so a tail is dropped without loss. Anything else that does not check
//! means that the file is not what this program wrote.

use crate::log_record::{LogRecord, Timestamp};

/// The first bytes of a file: the name and version of the format.
pub const MAGIC: [u8; 8] = *b"clvdeed1";
/// Longest body of a frame, bytes: a whole ledger of ten million sessions.
pub const MAX_BODY_BYTES: usize = 256 << 20;
const HEAD: usize = 8;

/// DistrustReason bytes are no file of deeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The first bytes are others.
    #[error("it does not begin as a file of deeds")]
    InvalidMagic,
    /// A frame's checksum does not fit, and it is not the last one.
    #[error("the frame at byte {offset} does not check")]
    Corrupt {
        /// Where it begins.
        offset: usize,
    },
    /// A body over [`MOST_BODY`].
    #[error("a frame of {bytes} bytes is too long")]
    TooLong {
        /// How long.
        bytes: usize,
    },
}

/// Appends a frame.
///
/// # Errors
/// [`FrameError::TooLong`]; nothing is appended.
pub fn encode(stamp: Timestamp, deed: &LogRecord, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let start = out.len();
    out.extend_from_slice(&[0; HEAD]);
    // Only a sequence of unknown length can fail, and there is none.
    if let Ok(body) = postcard::to_allocvec(&(stamp, deed)) {
        out.extend_from_slice(&body);
    }
    let bytes = out.len() - start - HEAD;
    let Some(length) = u32::try_from(bytes).ok().filter(|_| bytes <= MAX_BODY_BYTES) else {
        out.truncate(start);
        return Err(FrameError::TooLong { bytes });
    };
    let crc = crc32fast::hash(&out[start + HEAD..]);
    out[start..start + 4].copy_from_slice(&length.to_le_bytes());
    out[start + 4..start + HEAD].copy_from_slice(&crc.to_le_bytes());
    Ok(())
}

/// The deeds of a file, in order.
#[derive(Debug, PartialEq)]
pub struct DecodedLog {
    /// Each with its stamp.
    pub records: Vec<(Timestamp, LogRecord)>,
    /// Bytes up to the end of the last whole frame.
    pub valid_len: usize,
    /// Whether a torn tail was dropped.
    pub torn_tail: bool,
}

/// Reads a file.
///
/// # Errors
/// It is not what this program wrote.
pub fn decode(bytes: &[u8]) -> Result<DecodedLog, FrameError> {
    let mut out = DecodedLog { records: Vec::new(), valid_len: 0, torn_tail: false };
    if bytes.len() < MAGIC.len() {
        // A file that was cut inside its first write.
        out.torn_tail = !bytes.is_empty();
        return if MAGIC.starts_with(bytes) { Ok(out) } else { Err(FrameError::InvalidMagic) };
    }
    if !bytes.starts_with(&MAGIC) {
        return Err(FrameError::InvalidMagic);
    }
    let mut at = MAGIC.len();
    out.valid_len = at;
    while at < bytes.len() {
        let Some((length, crc)) = head(&bytes[at..]) else {
            out.torn_tail = true;
            break;
        };
        if length > MAX_BODY_BYTES {
            return Err(FrameError::Corrupt { offset: at });
        }
        let Some(body) = bytes.get(at + HEAD..at + HEAD + length) else {
            out.torn_tail = true;
            break;
        };
        let deed = (crc32fast::hash(body) == crc).then(|| postcard::from_bytes(body).ok()).flatten();
        match deed {
            Some(deed) => out.records.push(deed),
            // A tail of the right length whose pages never came: the last frame alone may be so.
            None if at + HEAD + length == bytes.len() => {
                out.torn_tail = true;
                break;
            }
            None => return Err(FrameError::Corrupt { offset: at }),
        }
        at += HEAD + length;
        out.valid_len = at;
    }
    Ok(out)
}

fn head(bytes: &[u8]) -> Option<(usize, u32)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (crc, _) = rest.split_first_chunk::<4>()?;
    Some((u32::from_le_bytes(*length) as usize, u32::from_le_bytes(*crc)))
}
