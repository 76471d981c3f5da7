//! Server-sent events (HTML standard, section 9.2), as far as a list of servers needs them: the data of each
//! event, and that the stream lives.

use bytes::BytesMut;

/// Longest line of a stream, bytes. A list of many servers is one line.
pub const MAX_EVENT_LINE_BYTES: usize = 16 * 1024 * 1024;

/// Takes a stream apart into the data of its events. No I/O.
#[derive(Debug)]
pub struct EventStreamDecoder {
    most: usize,
    buf: BytesMut,
    data: String,
    seen: usize,
}

impl Default for EventStreamDecoder {
    fn default() -> Self {
        EventStreamDecoder::new(MAX_EVENT_LINE_BYTES)
    }
}

impl EventStreamDecoder {
    /// For lines and events of at most that many bytes.
    pub fn new(most: usize) -> Self {
        EventStreamDecoder { most, buf: BytesMut::new(), data: String::new(), seen: 0 }
    }

    /// Adds bytes and gives the data of the events that are whole now.
    ///
    /// # Errors
    /// A line or an event over the bound, or a line that is no UTF-8.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, &'static str> {
        self.buf.extend_from_slice(bytes);
        let mut out = Vec::new();
        while let Some(end) = self.buf[self.seen..].iter().position(|b| *b == b'\n') {
            let line = self.buf.split_to(self.seen + end + 1);
            self.seen = 0;
            let line = std::str::from_utf8(&line).map_err(|_| "a line that is no UTF-8")?;
            let line = line.trim_end_matches(['\r', '\n']);
            if line.is_empty() {
                if !self.data.is_empty() {
                    out.push(std::mem::take(&mut self.data));
                }
            } else if let Some(data) = line.strip_prefix("data:") {
                if !self.data.is_empty() {
                    self.data.push('\n');
                }
                self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
                if self.data.len() > self.most {
                    return Err("an event over its bound");
                }
            }
            // Comments keep the stream alive; other fields are not used.
        }
        self.seen = self.buf.len();
        if self.seen > self.most {
            return Err("a line over its bound");
        }
        Ok(out)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_come_whole_whatever_the_pieces() {
        let text = ": hello\n\ndata: a\ndata: b\r\n\r\nid: 5\ndata:c\n\n\n\ndata: cut";
        for size in 1..text.len() {
            let mut lines = EventStreamDecoder::default();
            let mut all = Vec::new();
            for piece in text.as_bytes().chunks(size) {
                all.extend(lines.push(piece).unwrap());
            }
            assert_eq!(all, ["a\nb", "c"], "pieces of {size}");
        }
        assert!(EventStreamDecoder::default().push(b"data: \xff\n").is_err());
        assert!(EventStreamDecoder::new(16).push(b"data: without an end").is_err());
    }
}
