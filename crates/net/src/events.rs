//! Decoder for server-sent events (HTML standard, section 9.2). Only the `data` field of each event is used;
//! comments serve as keep-alives.

use bytes::BytesMut;

/// Maximum length of a line of an event stream, in bytes. A server list of a large fleet is a single line.
pub const MAX_EVENT_LINE_BYTES: usize = 16 * 1024 * 1024;

/// Incremental decoder that splits an event stream into the data of its events. Performs no I/O.
#[derive(Debug)]
pub struct EventStreamDecoder {
    max_bytes: usize,
    buf: BytesMut,
    data: String,
    /// True after a field of an event that has not ended yet.
    in_event: bool,
    /// Length of the prefix of `buf` that has been searched for a line end.
    searched: usize,
}

impl Default for EventStreamDecoder {
    fn default() -> Self {
        EventStreamDecoder::new(MAX_EVENT_LINE_BYTES)
    }
}

impl EventStreamDecoder {
    /// Creates a decoder that accepts lines and events of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        EventStreamDecoder {
            max_bytes,
            buf: BytesMut::new(),
            data: String::new(),
            in_event: false,
            searched: 0,
        }
    }

    /// Appends bytes of the stream and returns the data of each event that they complete.
    ///
    /// # Errors
    /// A line or an event exceeds the size limit, or a line is not UTF-8.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, &'static str> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buf[self.searched..].iter().position(|b| *b == b'\n') {
            let line = self.buf.split_to(self.searched + end + 1);
            self.searched = 0;
            let line = std::str::from_utf8(&line).map_err(|_| "event stream line is not UTF-8")?;
            let line = line.trim_end_matches(['\r', '\n']);
            if line.is_empty() {
                self.in_event = false;
                if !self.data.is_empty() {
                    events.push(std::mem::take(&mut self.data));
                }
                continue;
            }
            self.in_event |= !line.starts_with(':');
            if let Some(data) = line.strip_prefix("data:") {
                if !self.data.is_empty() {
                    self.data.push('\n');
                }
                self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
                if self.data.len() > self.max_bytes {
                    return Err("event exceeds the size limit");
                }
            }
            // Comments and all other fields are ignored.
        }
        self.searched = self.buf.len();
        if self.searched > self.max_bytes {
            return Err("event stream line exceeds the size limit");
        }
        Ok(events)
    }

    /// Returns whether the bytes so far end with a whole event or comment.
    pub fn is_between_events(&self) -> bool {
        self.buf.is_empty() && !self.in_event
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_are_decoded_for_any_chunk_size() {
        let text = ": hello\n\ndata: a\ndata: b\r\n\r\nid: 5\ndata:c\n\n\n\ndata: cut";
        for size in 1..text.len() {
            let mut decoder = EventStreamDecoder::default();
            let mut events = Vec::new();
            for chunk in text.as_bytes().chunks(size) {
                events.extend(decoder.push(chunk).unwrap());
            }
            assert_eq!(events, ["a\nb", "c"], "chunk size {size}");
            assert!(!decoder.is_between_events(), "an event is cut");
        }
        let mut decoder = EventStreamDecoder::default();
        for (bytes, between) in
            [(": hello\n", true), ("id: 5\n", false), (": hello\n", false), ("\n", true), (":", false)]
        {
            decoder.push(bytes.as_bytes()).unwrap();
            assert_eq!(decoder.is_between_events(), between, "{bytes:?}");
        }
        assert!(EventStreamDecoder::default().push(b"data: \xff\n").is_err());
        assert!(EventStreamDecoder::new(16).push(b"data: without an end").is_err());
    }
}
