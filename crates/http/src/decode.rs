//! Bytes to frames.

use crate::body::{BodyDecoder, BodyPart};
use crate::head::{Framing, Headers, Method, RequestHead, ResponseHead};
use crate::target::Target;
use crate::{Limits, ParseError, RequestFrame, ResponseFrame};
use bytes::{Bytes, BytesMut};

/// Most header lines that any decoder looks at, whatever its limits say.
const MOST_HEADERS: usize = 128;

/// Length of the head at the front, its empty line included; `None` until it is whole.
///
/// Guards against bare line feeds, which httparse takes for line ends: a peer that does not would see other
/// headers than we do.
fn head_length(buf: &[u8], seen: &mut usize, limits: &Limits) -> Result<Option<usize>, ParseError> {
    let from = seen.saturating_sub(3);
    for at in from..buf.len().min(limits.max_head_bytes) {
        if buf[at] != b'\n' {
            continue;
        }
        if at == 0 || buf[at - 1] != b'\r' {
            return Err(ParseError::BareLineFeed);
        }
        if at >= 3 && buf[at - 2] == b'\n' {
            *seen = 0;
            return Ok(Some(at + 1));
        }
        // A head of one line has its CRLF twice at the very start only in a request that is none.
        if at == 1 {
            return Err(ParseError::Syntax("empty first line"));
        }
    }
    *seen = buf.len();
    if buf.len() >= limits.max_head_bytes {
        return Err(ParseError::HeadTooLong(limits.max_head_bytes));
    }
    Ok(None)
}

fn syntax(e: httparse::Error, limits: &Limits) -> ParseError {
    match e {
        httparse::Error::TooManyHeaders => ParseError::TooManyHeaders(limits.max_headers),
        httparse::Error::Version => ParseError::UnsupportedVersion,
        httparse::Error::HeaderName => ParseError::Syntax("header name"),
        httparse::Error::HeaderValue => ParseError::Syntax("header value"),
        httparse::Error::NewLine => ParseError::Syntax("line end"),
        httparse::Error::Status => ParseError::Syntax("status"),
        httparse::Error::Token => ParseError::Syntax("token"),
    }
}

/// A folded line begins with a blank (RFC 9112, section 5.2).
fn refuse_folded(head: &[u8]) -> Result<(), ParseError> {
    let folded = head.windows(3).any(|w| w[..2] == *b"\r\n" && matches!(w[2], b' ' | b'\t'));
    if folded {
        Err(ParseError::FoldedHeader)
    } else {
        Ok(())
    }
}

fn keep(head: &Bytes, headers: &[httparse::Header<'_>]) -> Headers {
    let mut out = Headers::default();
    for h in headers {
        out.push(head.slice_ref(h.name.as_bytes()), head.slice_ref(h.value));
    }
    out
}

/// What the headers say of the body's end; `None` where they say nothing.
fn framing(headers: &Headers, minor: u8) -> Result<Option<Framing>, ParseError> {
    let mut lengths = headers.get_all("content-length");
    let length = lengths.next();
    // Even two that agree: somebody on the path added one.
    if lengths.next().is_some() {
        return Err(ParseError::DuplicateContentLength);
    }
    let mut codings = headers.get_all("transfer-encoding");
    if let Some(coding) = codings.next() {
        if length.is_some() {
            return Err(ParseError::ContentLengthWithTransferEncoding);
        }
        let chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
        if !chunked || codings.next().is_some() || minor == 0 {
            return Err(ParseError::UnsupportedTransferEncoding);
        }
        return Ok(Some(Framing::Chunked));
    }
    let Some(length) = length else { return Ok(None) };
    let digits = length.trim_ascii();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_digit) {
        return Err(ParseError::InvalidContentLength);
    }
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::InvalidContentLength)?;
    text.parse().map(|n| Some(Framing::Length(n))).map_err(|_| ParseError::InvalidContentLength)
}

fn keeps_alive(headers: &Headers, minor: u8) -> bool {
    if minor == 0 {
        headers.has_token("connection", "keep-alive")
    } else {
        !headers.has_token("connection", "close")
    }
}

/// Where a decoder stands.
#[derive(Debug, Default)]
enum Place {
    #[default]
    Head,
    Body(BodyDecoder),
}

/// Takes requests apart. Nothing is kept but what [`Limits`] allows.
#[derive(Debug, Default)]
pub struct RequestDecoder {
    limits: Limits,
    place: Place,
    seen: usize,
}

impl RequestDecoder {
    /// With these bounds.
    pub fn new(limits: Limits) -> Self {
        RequestDecoder { limits, ..Self::default() }
    }

    /// Whether a request has begun that is not whole, given what is left in the buffer.
    pub fn has_partial_request(&self, buf: &[u8]) -> bool {
        !buf.is_empty() || matches!(self.place, Place::Body(_))
    }

    /// The next frame, or `None` when more bytes are needed.
    ///
    /// # Errors
    /// The bytes are no request; answer with [`ParseError::status`] and close.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<RequestFrame>, ParseError> {
        if let Place::Body(body) = &mut self.place {
            return Ok(match body.decode(buf)? {
                None => None,
                Some(BodyPart::Data(data)) => Some(RequestFrame::Data(data)),
                Some(BodyPart::End) => {
                    self.place = Place::Head;
                    Some(RequestFrame::End)
                }
            });
        }
        let Some(length) = head_length(buf, &mut self.seen, &self.limits)? else { return Ok(None) };
        let raw = buf.split_to(length).freeze();
        let head = self.head(&raw)?;
        self.place = Place::Body(BodyDecoder::new(head.framing, self.limits.max_frame_bytes));
        Ok(Some(RequestFrame::Head(head)))
    }

    fn head(&self, raw: &Bytes) -> Result<RequestHead, ParseError> {
        refuse_folded(raw)?;
        let mut slots = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let most = self.limits.max_headers.min(MOST_HEADERS);
        let mut request = httparse::Request::new(&mut slots[..most]);
        let status = request.parse(raw).map_err(|e| syntax(e, &self.limits))?;
        let (true, Some(method), Some(target), Some(minor)) =
            (status.is_complete(), request.method, request.path, request.version)
        else {
            return Err(ParseError::Syntax("cut"));
        };
        let headers = keep(raw, request.headers);
        let target =
            Target::parse(raw.slice_ref(target.as_bytes())).ok_or(ParseError::Syntax("request target"))?;
        let hosts = headers.get_all("host").count();
        if hosts > 1 || (hosts == 0 && minor > 0) {
            return Err(ParseError::InvalidHost); // RFC 9112, section 3.2
        }
        let framing = framing(&headers, minor)?.unwrap_or(Framing::Empty);
        let keep_alive = keeps_alive(&headers, minor);
        Ok(RequestHead { method: Method::find(method), target, headers, framing, keep_alive })
    }
}

/// Takes responses apart. [`ResponseDecoder::set_request_method`] must name the request of each.
#[derive(Debug, Default)]
pub struct ResponseDecoder {
    limits: Limits,
    place: Place,
    seen: usize,
    to_head: bool,
}

impl ResponseDecoder {
    /// With these bounds.
    pub fn new(limits: Limits) -> Self {
        ResponseDecoder { limits, ..Self::default() }
    }

    /// The next response answers a request of that method.
    pub fn set_request_method(&mut self, method: &Method) {
        self.to_head = *method == Method::Head;
    }

    /// The next frame, or `None` when more bytes are needed. Interim responses are passed over.
    ///
    /// # Errors
    /// The bytes are no response; the connection must be closed.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<ResponseFrame>, ParseError> {
        loop {
            if let Place::Body(body) = &mut self.place {
                return Ok(match body.decode(buf)? {
                    None => None,
                    Some(BodyPart::Data(data)) => Some(ResponseFrame::Data(data)),
                    Some(BodyPart::End) => {
                        self.place = Place::Head;
                        Some(ResponseFrame::End)
                    }
                });
            }
            let Some(length) = head_length(buf, &mut self.seen, &self.limits)? else { return Ok(None) };
            let raw = buf.split_to(length).freeze();
            let head = self.head(&raw)?;
            if head.status < 200 {
                if head.status == 101 {
                    return Err(ParseError::Syntax("upgrade not asked for"));
                }
                continue; // RFC 9110, section 15.2
            }
            self.place = Place::Body(BodyDecoder::new(head.framing, self.limits.max_frame_bytes));
            return Ok(Some(ResponseFrame::Head(head)));
        }
    }

    /// The peer closed: the end of a body that runs until then, `None` between messages.
    ///
    /// # Errors
    /// [`ParseError::UnexpectedEof`] inside a message.
    pub fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<ResponseFrame>, ParseError> {
        if let Some(frame) = self.decode(buf)? {
            return Ok(Some(frame));
        }
        match &self.place {
            Place::Body(body) if body.can_end_at_eof() => {
                self.place = Place::Head;
                Ok(Some(ResponseFrame::End))
            }
            Place::Head if buf.is_empty() => Ok(None),
            _ => Err(ParseError::UnexpectedEof),
        }
    }

    fn head(&self, raw: &Bytes) -> Result<ResponseHead, ParseError> {
        refuse_folded(raw)?;
        let mut slots = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let most = self.limits.max_headers.min(MOST_HEADERS);
        let mut response = httparse::Response::new(&mut slots[..most]);
        let status = response.parse(raw).map_err(|e| syntax(e, &self.limits))?;
        let (true, Some(code), Some(minor)) = (status.is_complete(), response.code, response.version) else {
            return Err(ParseError::Syntax("cut"));
        };
        let headers = keep(raw, response.headers);
        let told = framing(&headers, minor)?;
        let bodyless = self.to_head || code < 200 || code == 204 || code == 304;
        let framing = if bodyless { Framing::Empty } else { told.unwrap_or(Framing::UntilClose) };
        let keep_alive = keeps_alive(&headers, minor) && framing != Framing::UntilClose;
        Ok(ResponseHead { status: code, headers, framing, keep_alive })
    }
}
