//! Encoding of the write-ahead log.
//!
//! A log starts with eight bytes of magic and format version, followed by frames. Each frame is the length of its
//! body, a CRC-32 of the body, and the body: timestamp and record, encoded by `postcard`.
//!
//! A log is only ever appended to. A write that is cut short by a kill or a full disk leaves a torn tail. No action
//! depended on that write, since actions wait for it, so a torn tail is dropped without loss. Any other mismatch means
//! that the log is not what this program wrote.

use crate::log_record::{LogRecord, Timestamp};

/// First bytes of a log: name and version of the format.
pub const MAGIC: [u8; 8] = *b"clvdeed1";
/// Maximum length of a frame's body in bytes: fits a snapshot of ten million sessions.
pub const MAX_BODY_BYTES: usize = 256 << 20;
/// Length of a frame's header: body length and CRC-32.
const HEADER_BYTES: usize = 8;

/// Reason why bytes are not a valid log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The log does not start with [`MAGIC`].
    #[error("it does not begin as a file of deeds")]
    InvalidMagic,
    /// A frame is longer than [`MAX_BODY_BYTES`], or one that is not the last has an invalid checksum or body.
    #[error("the frame at byte {offset} does not check")]
    Corrupt {
        /// Byte offset of the frame.
        offset: usize,
    },
    /// A body is longer than [`MAX_BODY_BYTES`].
    #[error("a frame of {bytes} bytes is too long")]
    TooLong {
        /// Length of the body.
        bytes: usize,
    },
}

/// Appends a frame to `out`.
///
/// # Errors
/// [`FrameError::TooLong`]; nothing is appended.
pub fn encode(timestamp: Timestamp, record: &LogRecord, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let start = out.len();
    out.extend_from_slice(&[0; HEADER_BYTES]);
    // Fails only for sequences of unknown length, and a record has none.
    if let Ok(body) = postcard::to_allocvec(&(timestamp, record)) {
        out.extend_from_slice(&body);
    }
    let bytes = out.len() - start - HEADER_BYTES;
    let Some(length) = u32::try_from(bytes).ok().filter(|_| bytes <= MAX_BODY_BYTES) else {
        out.truncate(start);
        return Err(FrameError::TooLong { bytes });
    };
    let crc = crc32fast::hash(&out[start + HEADER_BYTES..]);
    out[start..start + 4].copy_from_slice(&length.to_le_bytes());
    out[start + 4..start + HEADER_BYTES].copy_from_slice(&crc.to_le_bytes());
    Ok(())
}

/// Contents of a log.
#[derive(Debug, PartialEq)]
pub struct DecodedLog {
    /// Records in order, each with its timestamp.
    pub records: Vec<(Timestamp, LogRecord)>,
    /// Length in bytes up to the end of the last complete frame.
    pub valid_len: usize,
    /// True if a torn tail was dropped.
    pub torn_tail: bool,
}

/// Decodes a log.
///
/// # Errors
/// The bytes are not what this program wrote.
pub fn decode(bytes: &[u8]) -> Result<DecodedLog, FrameError> {
    let mut log = DecodedLog { records: Vec::new(), valid_len: 0, torn_tail: false };
    if bytes.len() < MAGIC.len() {
        // The log's first write was cut short.
        log.torn_tail = !bytes.is_empty();
        return if MAGIC.starts_with(bytes) { Ok(log) } else { Err(FrameError::InvalidMagic) };
    }
    if !bytes.starts_with(&MAGIC) {
        return Err(FrameError::InvalidMagic);
    }
    let mut offset = MAGIC.len();
    log.valid_len = offset;
    while offset < bytes.len() {
        let Some((length, crc)) = read_header(&bytes[offset..]) else {
            log.torn_tail = true;
            break;
        };
        if length > MAX_BODY_BYTES {
            return Err(FrameError::Corrupt { offset });
        }
        let Some(body) = bytes.get(offset + HEADER_BYTES..offset + HEADER_BYTES + length) else {
            log.torn_tail = true;
            break;
        };
        let record = (crc32fast::hash(body) == crc).then(|| postcard::from_bytes(body).ok()).flatten();
        match record {
            Some(record) => log.records.push(record),
            // A file may have grown without its last pages being written; only the last frame may be affected.
            None if offset + HEADER_BYTES + length == bytes.len() => {
                log.torn_tail = true;
                break;
            }
            None => return Err(FrameError::Corrupt { offset }),
        }
        offset += HEADER_BYTES + length;
        log.valid_len = offset;
    }
    Ok(log)
}

/// Reads the length and the CRC-32 of a frame.
fn read_header(bytes: &[u8]) -> Option<(usize, u32)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (crc, _) = rest.split_first_chunk::<4>()?;
    Some((u32::from_le_bytes(*length) as usize, u32::from_le_bytes(*crc)))
}
