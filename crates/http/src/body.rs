//! Bodies: by length, in chunks (RFC 9112, section 7.1), or until the connection closes.

use crate::{Framing, ParseError};
use bytes::{Buf, Bytes, BytesMut};

/// Longest line of a chunk's size with its extensions, and of a trailer.
const LINE_BYTES: usize = 256;
/// Most trailer lines; they are dropped.
const TRAILERS: usize = 16;

#[derive(Clone, Copy, Debug)]
enum State {
    Length(u64),
    UntilClose,
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer(usize),
    Done,
}

/// A part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Some bytes.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// Takes a body apart as it comes.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    state: State,
    most: usize,
}

impl BodyDecoder {
    /// For a body framed so; data comes in parts of at most `most` bytes.
    pub fn new(framing: Framing, most: usize) -> Self {
        let state = match framing {
            Framing::Empty => State::Length(0),
            Framing::Length(n) => State::Length(n),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state, most }
    }

    /// Whether the peer may close here without cutting the body.
    pub fn can_end_at_eof(&self) -> bool {
        matches!(self.state, State::UntilClose | State::Done | State::Length(0))
    }

    /// The next part, or `None` when more bytes are needed. After [`BodyPart::End`] it must not be called.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<BodyPart>, ParseError> {
        loop {
            match self.state {
                State::Length(0) | State::Done => {
                    self.state = State::Done;
                    return Ok(Some(BodyPart::End));
                }
                State::Length(left) | State::Chunk(left) => {
                    let n = (buf.len() as u64).min(left).min(self.most as u64);
                    if n == 0 {
                        return Ok(None);
                    }
                    self.state = match self.state {
                        State::Chunk(_) if left == n => State::ChunkEnd,
                        State::Chunk(_) => State::Chunk(left - n),
                        _ => State::Length(left - n),
                    };
                    return Ok(Some(BodyPart::Data(buf.split_to(n as usize).freeze())));
                }
                State::UntilClose => {
                    let n = buf.len().min(self.most);
                    return Ok((n > 0).then(|| BodyPart::Data(buf.split_to(n).freeze())));
                }
                State::Size => {
                    let Some(line) = line(buf)? else { return Ok(None) };
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailer(0),
                        n => State::Chunk(n),
                    };
                }
                State::ChunkEnd => {
                    if buf.len() < 2 {
                        return Ok(None);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(ParseError::InvalidChunk("longer than its size"));
                    }
                    buf.advance(2);
                    self.state = State::Size;
                }
                State::Trailer(n) => {
                    let Some(line) = line(buf)? else { return Ok(None) };
                    if line.is_empty() {
                        self.state = State::Done;
                    } else if n == TRAILERS {
                        return Err(ParseError::InvalidChunk("too many trailers"));
                    } else {
                        self.state = State::Trailer(n + 1);
                    }
                }
            }
        }
    }
}

/// Takes a line up to its CRLF off the front.
fn line(buf: &mut BytesMut) -> Result<Option<BytesMut>, ParseError> {
    let Some(end) = buf.iter().take(LINE_BYTES + 2).position(|b| *b == b'\n') else {
        return if buf.len() > LINE_BYTES {
            Err(ParseError::InvalidChunk("line too long"))
        } else {
            Ok(None)
        };
    };
    let mut line = buf.split_to(end + 1);
    if end == 0 || line[end - 1] != b'\r' {
        return Err(ParseError::BareLineFeed);
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, ParseError> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let fine = matches!(line[digits..].first(), None | Some(b';' | b' ' | b'\t'));
    // Sixteen digits would overflow; more than fifteen is no size that anyone sends.
    if !fine || digits == 0 || digits > 15 {
        return Err(ParseError::InvalidChunk("no size"));
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| ParseError::InvalidChunk("no size"))?;
    u64::from_str_radix(text, 16).map_err(|_| ParseError::InvalidChunk("no size"))
}
