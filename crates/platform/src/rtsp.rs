//! RTSP messages (RFC 2326, as far as the platform uses it) as bytes in and out. Strict and bounded.

use bytes::{Buf, Bytes, BytesMut};
use std::fmt::Write;

/// Longest message, head and description together.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Most header lines of a message.
const MOST_HEADERS: usize = 64;

/// What a message asks for or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// A request.
    Request {
        /// Its method.
        method: Method,
        /// Its address.
        uri: String,
    },
    /// An answer.
    Response {
        /// Its status.
        status: u16,
    },
}

/// The methods that the platform uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// A set-up.
    Setup,
    /// It is given up, or a session released.
    Teardown,
    /// A test.
    Options,
    /// A note.
    Announce,
    /// A move.
    Redirect,
    /// A new rung.
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

    /// Its name on the wire.
    pub fn name(self) -> &'static str {
        Self::NAMES.iter().find(|(_, m)| *m == self).map_or("", |(name, _)| name)
    }
}

/// A whole message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its first line.
    pub start_line: StartLine,
    /// Its header lines, in order.
    pub headers: Vec<(String, String)>,
    /// Its description.
    pub body: Bytes,
}

impl Message {
    /// The value of a header. One that comes twice is none: nobody can tell which is meant.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        let (_, value) = found.next()?;
        found.next().is_none().then_some(value)
    }
}

/// What can be told of a message that cannot be read, so that the refusal reaches whoever sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyTarget {
    /// Its `CSeq`.
    pub cseq: Option<String>,
    /// Its `Session`.
    pub session: Option<String>,
}

/// Why bytes are no message. The stream can't be trusted after it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum Error {
    #[error("longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong(ReplyTarget),
    #[error("{problem}")]
    Syntax { problem: &'static str, reply_to: ReplyTarget },
}

impl Error {
    /// Whom to answer.
    pub fn reply_target(&self) -> &ReplyTarget {
        match self {
            Error::TooLong(to) | Error::Syntax { reply_to: to, .. } => to,
        }
    }
}

/// Takes the first whole message off `buf`; `None`: more bytes are needed. `buf` never has to hold more than
/// [`MAX_MESSAGE_BYTES`] bytes.
///
/// # Errors
/// It is malformed: the stream can't be trusted any more.
pub fn decode(buf: &mut BytesMut) -> Result<Option<Message>, Error> {
    // Blank lines ahead of a message are passed over (RFC 2326, section 4.1).
    while let [b'\r' | b'\n', ..] = buf[..] {
        buf.advance(1);
    }
    let Some(head) = head_end(buf) else {
        let cut = buf.len() > MAX_MESSAGE_BYTES;
        // What can't begin a message is refused at once: more bytes can't mend it.
        if cut || !may_begin(buf) {
            let what = "no RTSP message";
            let to = ReplyTarget::default();
            return Err(if cut { Error::TooLong(to) } else { Error::Syntax { problem: what, reply_to: to } });
        }
        return Ok(None);
    };
    let text = std::str::from_utf8(&buf[..head]);
    let text = text.map_err(|_| fault("a head that is no UTF-8", &[]))?;
    let mut lines = text.split('\n').map(|l| l.strip_suffix('\r').unwrap_or(l));
    let first = lines.next().unwrap_or_default();
    let mut headers = Vec::new();
    for line in lines.filter(|l| !l.is_empty()) {
        let Some((name, value)) = line.split_once(':').filter(|(n, _)| is_token(n)) else {
            return Err(fault("a header line without a name", &headers));
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
        if headers.len() > MOST_HEADERS {
            return Err(fault("too many header lines", &headers));
        }
    }
    let Some(start) = start(first) else { return Err(fault("a first line that can't be read", &headers)) };
    let length = length(&headers)?;
    if head + length > MAX_MESSAGE_BYTES {
        return Err(Error::TooLong(addressee(&headers)));
    }
    if buf.len() < head + length {
        return Ok(None);
    }
    let body = buf.split_to(head + length).freeze().slice(head..);
    Ok(Some(Message { start_line: start, headers, body }))
}

fn addressee(headers: &[(String, String)]) -> ReplyTarget {
    let get = |name: &str| {
        let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.clone()).filter(|v| v.len() <= 64 && v.bytes().all(|b| b.is_ascii_graphic()))
    };
    ReplyTarget { cseq: get("CSeq"), session: get("Session") }
}

fn fault(what: &'static str, headers: &[(String, String)]) -> Error {
    Error::Syntax { problem: what, reply_to: addressee(headers) }
}

fn head_end(buf: &[u8]) -> Option<usize> {
    let within = &buf[..buf.len().min(MAX_MESSAGE_BYTES)];
    let mut at = 0;
    while let Some(n) = within[at..].iter().position(|b| *b == b'\n') {
        at += n + 1;
        match within[at..] {
            [b'\n', ..] => return Some(at + 1),
            [b'\r', b'\n', ..] => return Some(at + 2),
            _ => {}
        }
    }
    None
}

/// Whether a message may begin like this.
fn may_begin(buf: &[u8]) -> bool {
    let begins = |name: &[u8]| {
        let n = name.len().min(buf.len());
        buf[..n] == name[..n]
    };
    begins(b"RTSP/1.0 ") || Method::NAMES.iter().any(|(name, _)| begins(format!("{name} ").as_bytes()))
}

fn start(line: &str) -> Option<StartLine> {
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

fn length(headers: &[(String, String)]) -> Result<usize, Error> {
    let mut found = headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("Content-Length"));
    let Some((_, value)) = found.next() else { return Err(fault("no Content-Length", headers)) };
    if found.next().is_some() {
        return Err(fault("Content-Length twice", headers));
    }
    if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
        return Err(fault("a Content-Length that is no number", headers));
    }
    // More digits than a number holds are a huge one.
    Ok(value.parse().unwrap_or(usize::MAX / 2))
}

fn is_token(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
}

/// Puts an answer together.
pub fn response(
    status: u16,
    cseq: &str,
    session: Option<&str>,
    headers: &[(&str, String)],
    body: &[u8],
) -> Bytes {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        413 => "Request Entity Too Large",
        453 => "Not Enough Bandwidth",
        454 => "Session Not Found",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    };
    message(&format!("RTSP/1.0 {status} {reason}"), cseq, session, headers, body)
}

/// Puts a request together.
pub fn request(method: Method, uri: &str, cseq: &str, session: &str, headers: &[(&str, String)]) -> Bytes {
    request_with_body(method, uri, cseq, session, headers, b"")
}

/// Puts a request with a description together.
pub fn request_with_body(
    method: Method,
    uri: &str,
    cseq: &str,
    session: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Bytes {
    message(&format!("{} {uri} RTSP/1.0", method.name()), cseq, Some(session), headers, body)
}

fn message(first: &str, cseq: &str, session: Option<&str>, headers: &[(&str, String)], body: &[u8]) -> Bytes {
    let mut head = format!("{first}\r\nCSeq: {cseq}\r\n");
    if let Some(session) = session {
        let _ = write!(head, "Session: {session}\r\n");
    }
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    out.into()
}
