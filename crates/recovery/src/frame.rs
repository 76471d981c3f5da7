//! Deeds as bytes: a file begins with eight bytes of magic and format; each frame is its length, a CRC-32 of its
//! body, and the body (stamp and deed, `postcard`).
//!
//! A file is only ever appended to. A write that a kill or a full disk cut short leaves a torn tail; whoever
//! waited for that write never acted, so a tail is dropped without loss. Anything else that does not check
//! means that the file is not what this program wrote.

use crate::deed::{Deed, Stamp};

/// The first bytes of a file: the name and version of the format.
pub const MAGIC: [u8; 8] = *b"clvdeed1";
/// Longest body of a frame, bytes: a whole ledger of ten million sessions.
pub const MOST_BODY: usize = 256 << 20;
const HEAD: usize = 8;

/// Why bytes are no file of deeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The first bytes are others.
    #[error("it does not begin as a file of deeds")]
    Magic,
    /// A frame's checksum does not fit, and it is not the last one.
    #[error("the frame at byte {at} does not check")]
    Garbled {
        /// Where it begins.
        at: usize,
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
pub fn encode(stamp: Stamp, deed: &Deed, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let start = out.len();
    out.extend_from_slice(&[0; HEAD]);
    // Only a sequence of unknown length can fail, and there is none.
    if let Ok(body) = postcard::to_allocvec(&(stamp, deed)) {
        out.extend_from_slice(&body);
    }
    let bytes = out.len() - start - HEAD;
    let Some(length) = u32::try_from(bytes).ok().filter(|_| bytes <= MOST_BODY) else {
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
pub struct Read {
    /// Each with its stamp.
    pub deeds: Vec<(Stamp, Deed)>,
    /// Bytes up to the end of the last whole frame.
    pub whole: usize,
    /// Whether a torn tail was dropped.
    pub torn: bool,
}

/// Reads a file.
///
/// # Errors
/// It is not what this program wrote.
pub fn read(bytes: &[u8]) -> Result<Read, FrameError> {
    let mut out = Read { deeds: Vec::new(), whole: 0, torn: false };
    if bytes.len() < MAGIC.len() {
        // A file that was cut inside its first write.
        out.torn = !bytes.is_empty();
        return if MAGIC.starts_with(bytes) { Ok(out) } else { Err(FrameError::Magic) };
    }
    if !bytes.starts_with(&MAGIC) {
        return Err(FrameError::Magic);
    }
    let mut at = MAGIC.len();
    out.whole = at;
    while at < bytes.len() {
        let Some((length, crc)) = head(&bytes[at..]) else {
            out.torn = true;
            break;
        };
        if length > MOST_BODY {
            return Err(FrameError::Garbled { at });
        }
        let Some(body) = bytes.get(at + HEAD..at + HEAD + length) else {
            out.torn = true;
            break;
        };
        let deed = (crc32fast::hash(body) == crc).then(|| postcard::from_bytes(body).ok()).flatten();
        match deed {
            Some(deed) => out.deeds.push(deed),
            // A tail of the right length whose pages never came: the last frame alone may be so.
            None if at + HEAD + length == bytes.len() => {
                out.torn = true;
                break;
            }
            None => return Err(FrameError::Garbled { at }),
        }
        at += HEAD + length;
        out.whole = at;
    }
    Ok(out)
}

fn head(bytes: &[u8]) -> Option<(usize, u32)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (crc, _) = rest.split_first_chunk::<4>()?;
    Some((u32::from_le_bytes(*length) as usize, u32::from_le_bytes(*crc)))
}
