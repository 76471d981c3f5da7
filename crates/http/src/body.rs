//! Decoding of message bodies: by length, chunked (RFC 9112, section 7.1), or until the connection closes.

use crate::{Framing, ParseError};
use bytes::{Buf, Bytes, BytesMut};

/// Maximum length of a chunk-size line, extensions included, and of a trailer line, in bytes.
const MAX_LINE_BYTES: usize = 256;
/// Maximum number of trailer lines accepted after the last chunk. Trailers are discarded.
const MAX_TRAILERS: usize = 16;

#[derive(Clone, Copy, Debug)]
enum State {
    /// Bytes left of a body with a content-length.
    Length(u64),
    UntilClose,
    ChunkSize,
    /// Bytes left of the current chunk.
    ChunkData(u64),
    /// The line end after a chunk's data.
    ChunkEnd,
    /// Trailer lines read so far.
    Trailer(usize),
    Done,
}

/// Part of a decoded body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Body bytes, without the chunked coding.
    Data(Bytes),
    /// End of the body.
    End,
}

/// Incremental decoder of one message body.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    state: State,
    max_part_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing. Each [`BodyPart::Data`] holds at most
    /// `max_part_bytes`.
    pub fn new(framing: Framing, max_part_bytes: usize) -> Self {
        let state = match framing {
            Framing::Empty => State::Length(0),
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state, max_part_bytes }
    }

    /// Returns whether the body is complete if the peer closes the connection now.
    pub fn can_end_at_eof(&self) -> bool {
        matches!(self.state, State::UntilClose | State::Done | State::Length(0))
    }

    /// Takes the next part off the front of `buf`; `None` if more bytes are needed. Must not be called after
    /// [`BodyPart::End`].
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<BodyPart>, ParseError> {
        loop {
            match self.state {
                State::Length(0) | State::Done => {
                    self.state = State::Done;
                    return Ok(Some(BodyPart::End));
                }
                State::Length(remaining) | State::ChunkData(remaining) => {
                    let n = (buf.len() as u64).min(remaining).min(self.max_part_bytes as u64);
                    if n == 0 {
                        return Ok(None);
                    }
                    self.state = match self.state {
                        State::ChunkData(_) if remaining == n => State::ChunkEnd,
                        State::ChunkData(_) => State::ChunkData(remaining - n),
                        _ => State::Length(remaining - n),
                    };
                    return Ok(Some(BodyPart::Data(buf.split_to(n as usize).freeze())));
                }
                State::UntilClose => {
                    let n = buf.len().min(self.max_part_bytes);
                    return Ok((n > 0).then(|| BodyPart::Data(buf.split_to(n).freeze())));
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buf)? else { return Ok(None) };
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailer(0),
                        n => State::ChunkData(n),
                    };
                }
                State::ChunkEnd => {
                    if buf.len() < 2 {
                        return Ok(None);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(ParseError::InvalidChunk("data longer than the chunk size"));
                    }
                    buf.advance(2);
                    self.state = State::ChunkSize;
                }
                State::Trailer(count) => {
                    let Some(line) = take_line(buf)? else { return Ok(None) };
                    if line.is_empty() {
                        self.state = State::Done;
                    } else if count == MAX_TRAILERS {
                        return Err(ParseError::InvalidChunk("too many trailers"));
                    } else {
                        self.state = State::Trailer(count + 1);
                    }
                }
            }
        }
    }
}

/// Takes one line off the front of `buf`, without its CRLF.
fn take_line(buf: &mut BytesMut) -> Result<Option<BytesMut>, ParseError> {
    let Some(end) = buf.iter().take(MAX_LINE_BYTES + 2).position(|b| *b == b'\n') else {
        return if buf.len() > MAX_LINE_BYTES {
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
    let valid_end = matches!(line[digits..].first(), None | Some(b';' | b' ' | b'\t'));
    // Fifteen digits are more than any real chunk size and cannot overflow a `u64`.
    if !valid_end || digits == 0 || digits > 15 {
        return Err(ParseError::InvalidChunk("invalid size"));
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| ParseError::InvalidChunk("invalid size"))?;
    u64::from_str_radix(text, 16).map_err(|_| ParseError::InvalidChunk("invalid size"))
}
