//! RTSP messages (the subset of RFC 2326 that the platform uses): encoding, and strict decoding with length limits.

mod encode;

pub use encode::{request, request_with_body, response};

use bytes::{Buf, Bytes, BytesMut};

/// Maximum length of a message in bytes, headers and body together.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Maximum number of header lines in a message.
const MAX_HEADERS: usize = 64;

/// Memory that an allocator needs for each allocation, on the average, in addition to its bytes.
const ALLOCATION_OVERHEAD_BYTES: usize = 16;

/// First line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// Request line.
    Request {
        /// Request method.
        method: Method,
        /// Request URI.
        uri: String,
    },
    /// Status line.
    Response {
        /// Status code.
        status: u16,
    },
}

/// Request methods that the platform uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Sets a session up.
    Setup,
    /// Abandons a set-up or releases a session.
    Teardown,
    /// Pings the other side.
    Options,
    /// Reports about a session; needs no response.
    Announce,
    /// Moves a session to another server.
    Redirect,
    /// Changes the rung of a session.
    SetParameter,
}

impl Method {
    const NAMES: [(&'static str, Method); 6] = [
        ("SETUP", Method::Setup),
        ("TEARDOWN", Method::Teardown),
        ("OPTIONS", Method::Options),
        ("ANNOUNCE", Method::Announce),
        ("REDIRECT", Method::Redirect),
        ("SET_PARAMETER", Method::SetParameter),
    ];

    /// Name of the method on the wire.
    pub fn name(self) -> &'static str {
        Self::NAMES.iter().find(|(_, m)| *m == self).map_or("", |(name, _)| name)
    }
}

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Request line or status line.
    pub start_line: StartLine,
    /// Names and values of the headers, in order.
    pub headers: Vec<(String, String)>,
    /// Message body; a session description where there is one.
    pub body: Bytes,
}

impl Message {
    /// Value of a header. `None` if it is absent, or ambiguous because it occurs more than once.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        let (_, value) = found.next()?;
        found.next().is_none().then_some(value)
    }

    /// Memory that the message takes up besides its own size.
    pub fn heap_bytes(&self) -> usize {
        let uri_bytes = match &self.start_line {
            StartLine::Request { uri, .. } => uri.len() + ALLOCATION_OVERHEAD_BYTES,
            StartLine::Response { .. } => 0,
        };
        let texts = self.headers.iter().map(|(name, value)| name.len() + value.len());
        let text_bytes: usize = texts.map(|bytes| bytes + 2 * ALLOCATION_OVERHEAD_BYTES).sum();
        let header_bytes = self.headers.capacity() * size_of::<(String, String)>();
        uri_bytes + header_bytes + text_bytes + self.body.len() + 2 * ALLOCATION_OVERHEAD_BYTES
    }
}

/// Headers of a rejected message that an error response repeats, as far as they could be read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyTarget {
    /// Value of `CSeq`.
    pub cseq: Option<String>,
    /// Value of `Session`.
    pub session: Option<String>,
}

/// Reason why bytes are not a valid message. The rest of the stream cannot be trusted then.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the error messages document the variants
pub enum Error {
    #[error("message longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong(ReplyTarget),
    #[error("{problem}")]
    Syntax { problem: &'static str, reply_to: ReplyTarget },
}

impl Error {
    /// Headers for the error response.
    pub fn reply_target(&self) -> &ReplyTarget {
        match self {
            Error::TooLong(reply_to) | Error::Syntax { reply_to, .. } => reply_to,
        }
    }
}

/// Removes the first complete message from `buf` and decodes it; `None` if more bytes are needed. `buf` never has to
/// hold more than [`MAX_MESSAGE_BYTES`] bytes.
///
/// # Errors
/// The message is too long or malformed. The rest of the stream cannot be trusted then.
pub fn decode(buf: &mut BytesMut) -> Result<Option<Message>, Error> {
    // Blank lines ahead of a message are skipped (RFC 2326, section 4.1).
    while let [b'\r' | b'\n', ..] = buf[..] {
        buf.advance(1);
    }
    let Some(head) = head_end(buf) else {
        let full = buf.len() > MAX_MESSAGE_BYTES;
        // Bytes that cannot begin a message are rejected before its head is complete.
        if full || !is_message_prefix(buf) {
            let problem = "not an RTSP message";
            let reply_to = ReplyTarget::default();
            return Err(if full { Error::TooLong(reply_to) } else { Error::Syntax { problem, reply_to } });
        }
        return Ok(None);
    };
    let text = std::str::from_utf8(&buf[..head]);
    let text = text.map_err(|_| malformed("message head is not valid UTF-8", &[]))?;
    let mut lines = text.split('\n').map(|l| l.strip_suffix('\r').unwrap_or(l));
    let first = lines.next().unwrap_or_default();
    let mut headers = Vec::new();
    for line in lines.filter(|l| !l.is_empty()) {
        let Some((name, value)) = line.split_once(':').filter(|(n, _)| is_token(n)) else {
            return Err(malformed("header line without a valid name", &headers));
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
        if headers.len() > MAX_HEADERS {
            return Err(malformed("too many header lines", &headers));
        }
    }
    let Some(start_line) = start_line(first) else { return Err(malformed("malformed start line", &headers)) };
    let length = content_length(&headers)?;
    if head + length > MAX_MESSAGE_BYTES {
        return Err(Error::TooLong(reply_target(&headers)));
    }
    if buf.len() < head + length {
        return Ok(None);
    }
    // A slice of the buffer would keep the whole buffer in memory for as long as the message waits.
    let body = Bytes::copy_from_slice(&buf[head..head + length]);
    buf.advance(head + length);
    Ok(Some(Message { start_line, headers, body }))
}

fn reply_target(headers: &[(String, String)]) -> ReplyTarget {
    let get = |name: &str| {
        let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.clone()).filter(|v| v.len() <= 64 && v.bytes().all(|b| b.is_ascii_graphic()))
    };
    ReplyTarget { cseq: get("CSeq"), session: get("Session") }
}

fn malformed(problem: &'static str, headers: &[(String, String)]) -> Error {
    Error::Syntax { problem, reply_to: reply_target(headers) }
}

/// Length of the start line and headers with the blank line after them; `None` if that has not arrived.
fn head_end(buf: &[u8]) -> Option<usize> {
    let searched = &buf[..buf.len().min(MAX_MESSAGE_BYTES)];
    let mut pos = 0;
    while let Some(n) = searched[pos..].iter().position(|b| *b == b'\n') {
        pos += n + 1;
        match searched[pos..] {
            [b'\n', ..] => return Some(pos + 1),
            [b'\r', b'\n', ..] => return Some(pos + 2),
            _ => {}
        }
    }
    None
}

fn is_message_prefix(buf: &[u8]) -> bool {
    let begins = |name: &[u8]| {
        let n = name.len().min(buf.len());
        buf[..n] == name[..n]
    };
    begins(b"RTSP/1.0 ") || Method::NAMES.iter().any(|(name, _)| begins(format!("{name} ").as_bytes()))
}

fn start_line(line: &str) -> Option<StartLine> {
    let mut words = line.splitn(3, ' ');
    let (first, second) = (words.next()?, words.next()?);
    let third = words.next();
    if first == "RTSP/1.0" {
        let status = second.parse().ok().filter(|s| (100..600).contains(s) && second.len() == 3)?;
        return Some(StartLine::Response { status });
    }
    let method = Method::NAMES.iter().find(|(name, _)| *name == first)?.1;
    (third == Some("RTSP/1.0") && !second.is_empty())
        .then(|| StartLine::Request { method, uri: second.to_owned() })
}

fn content_length(headers: &[(String, String)]) -> Result<usize, Error> {
    let mut found = headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("Content-Length"));
    let Some((_, value)) = found.next() else { return Err(malformed("no Content-Length", headers)) };
    if found.next().is_some() {
        return Err(malformed("more than one Content-Length", headers));
    }
    if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
        return Err(malformed("Content-Length is not a number", headers));
    }
    // A number that overflows `usize` counts as a length above the limit.
    Ok(value.parse().unwrap_or(usize::MAX / 2))
}

fn is_token(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
}
