//! Decoders from bytes to frames.

use crate::body::{BodyDecoder, BodyPart};
use crate::head::{Framing, Headers, Method, RequestHead, ResponseHead};
use crate::target::Target;
use crate::{Limits, ParseError, RequestFrame, ResponseFrame};
use bytes::{Bytes, BytesMut};

/// Upper bound of [`Limits::max_headers`]: slots for header lines on the stack.
const MAX_HEADER_SLOTS: usize = 128;

/// Length of the head at the front of `buf`, its empty line included; `None` until it is complete.
///
/// `scanned` counts the bytes searched by earlier calls. Rejects bare line feeds: httparse accepts them as
/// line ends, so a peer that does not would read other headers from the same bytes.
fn head_length(buf: &[u8], scanned: &mut usize, limits: &Limits) -> Result<Option<usize>, ParseError> {
    let start = scanned.saturating_sub(3);
    for index in start..buf.len().min(limits.max_head_bytes) {
        if buf[index] != b'\n' {
            continue;
        }
        if index == 0 || buf[index - 1] != b'\r' {
            return Err(ParseError::BareLineFeed);
        }
        if index >= 3 && buf[index - 2] == b'\n' {
            *scanned = 0;
            return Ok(Some(index + 1));
        }
        // The message begins with an empty line.
        if index == 1 {
            return Err(ParseError::Syntax("empty first line"));
        }
    }
    *scanned = buf.len();
    if buf.len() >= limits.max_head_bytes {
        return Err(ParseError::HeadTooLong(limits.max_head_bytes));
    }
    Ok(None)
}

fn parse_error(error: httparse::Error, limits: &Limits) -> ParseError {
    match error {
        httparse::Error::TooManyHeaders => ParseError::TooManyHeaders(limits.max_headers),
        httparse::Error::Version => ParseError::UnsupportedVersion,
        httparse::Error::HeaderName => ParseError::Syntax("header name"),
        httparse::Error::HeaderValue => ParseError::Syntax("header value"),
        httparse::Error::NewLine => ParseError::Syntax("line end"),
        httparse::Error::Status => ParseError::Syntax("status"),
        httparse::Error::Token => ParseError::Syntax("token"),
    }
}

/// Rejects header lines that begin with a space or tab (RFC 9112, section 5.2).
fn reject_folded_headers(head: &[u8]) -> Result<(), ParseError> {
    let folded = head.windows(3).any(|w| w[..2] == *b"\r\n" && matches!(w[2], b' ' | b'\t'));
    if folded {
        Err(ParseError::FoldedHeader)
    } else {
        Ok(())
    }
}

fn copy_headers(head: &Bytes, headers: &[httparse::Header<'_>]) -> Headers {
    let mut out = Headers::default();
    for header in headers {
        out.push(head.slice_ref(header.name.as_bytes()), head.slice_ref(header.value));
    }
    out
}

/// Body framing given by the headers; `None` if they give none. `minor_version` is 0 for HTTP/1.0.
fn body_framing(headers: &Headers, minor_version: u8) -> Result<Option<Framing>, ParseError> {
    let mut lengths = headers.get_all("content-length");
    let length = lengths.next();
    // Also if both agree: an intermediary added one of them.
    if lengths.next().is_some() {
        return Err(ParseError::DuplicateContentLength);
    }
    let mut codings = headers.get_all("transfer-encoding");
    if let Some(coding) = codings.next() {
        if length.is_some() {
            return Err(ParseError::ContentLengthWithTransferEncoding);
        }
        let chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
        if !chunked || codings.next().is_some() || minor_version == 0 {
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

fn keeps_alive(headers: &Headers, minor_version: u8) -> bool {
    if minor_version == 0 {
        headers.has_token("connection", "keep-alive")
    } else {
        !headers.has_token("connection", "close")
    }
}

/// Part of the message that a decoder expects next.
#[derive(Debug, Default)]
enum Position {
    #[default]
    Head,
    Body(BodyDecoder),
}

/// Incremental decoder of requests. Buffers no more than [`Limits`] allows.
#[derive(Debug, Default)]
pub struct RequestDecoder {
    limits: Limits,
    position: Position,
    scanned: usize,
}

impl RequestDecoder {
    /// Creates a decoder with these limits.
    pub fn new(limits: Limits) -> Self {
        RequestDecoder { limits, ..Self::default() }
    }

    /// Returns whether a request has begun but is incomplete; `buf` holds the bytes not yet decoded.
    pub fn has_partial_request(&self, buf: &[u8]) -> bool {
        !buf.is_empty() || matches!(self.position, Position::Body(_))
    }

    /// Takes the next frame off the front of `buf`; `None` if more bytes are needed.
    ///
    /// # Errors
    /// The bytes are not a valid request: respond with [`ParseError::status`] and close the connection.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<RequestFrame>, ParseError> {
        if let Position::Body(body) = &mut self.position {
            return Ok(match body.decode(buf)? {
                None => None,
                Some(BodyPart::Data(data)) => Some(RequestFrame::Data(data)),
                Some(BodyPart::End) => {
                    self.position = Position::Head;
                    Some(RequestFrame::End)
                }
            });
        }
        let Some(length) = head_length(buf, &mut self.scanned, &self.limits)? else { return Ok(None) };
        let raw = buf.split_to(length).freeze();
        let head = self.parse_head(&raw)?;
        self.position = Position::Body(BodyDecoder::new(head.framing, self.limits.max_frame_bytes));
        Ok(Some(RequestFrame::Head(head)))
    }

    fn parse_head(&self, raw: &Bytes) -> Result<RequestHead, ParseError> {
        reject_folded_headers(raw)?;
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADER_SLOTS];
        let max_headers = self.limits.max_headers.min(MAX_HEADER_SLOTS);
        let mut request = httparse::Request::new(&mut slots[..max_headers]);
        let status = request.parse(raw).map_err(|e| parse_error(e, &self.limits))?;
        let (true, Some(method), Some(target), Some(minor)) =
            (status.is_complete(), request.method, request.path, request.version)
        else {
            return Err(ParseError::Syntax("incomplete head"));
        };
        let headers = copy_headers(raw, request.headers);
        let target =
            Target::parse(raw.slice_ref(target.as_bytes())).ok_or(ParseError::Syntax("request target"))?;
        let hosts = headers.get_all("host").count();
        if hosts > 1 || (hosts == 0 && minor > 0) {
            return Err(ParseError::InvalidHost); // RFC 9112, section 3.2
        }
        let framing = body_framing(&headers, minor)?.unwrap_or(Framing::Empty);
        let keep_alive = keeps_alive(&headers, minor);
        Ok(RequestHead { method: Method::from_name(method), target, headers, framing, keep_alive })
    }
}

/// Incremental decoder of responses. [`Self::set_request_method`] must be called before each response.
#[derive(Debug, Default)]
pub struct ResponseDecoder {
    limits: Limits,
    position: Position,
    scanned: usize,
    is_head_request: bool,
}

impl ResponseDecoder {
    /// Creates a decoder with these limits.
    pub fn new(limits: Limits) -> Self {
        ResponseDecoder { limits, ..Self::default() }
    }

    /// Sets the method of the request that the next response answers; a response to HEAD has no body.
    pub fn set_request_method(&mut self, method: &Method) {
        self.is_head_request = *method == Method::Head;
    }

    /// Takes the next frame off the front of `buf`; `None` if more bytes are needed. Skips interim responses.
    ///
    /// # Errors
    /// The bytes are not a valid response: the connection must be closed.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<ResponseFrame>, ParseError> {
        loop {
            if let Position::Body(body) = &mut self.position {
                return Ok(match body.decode(buf)? {
                    None => None,
                    Some(BodyPart::Data(data)) => Some(ResponseFrame::Data(data)),
                    Some(BodyPart::End) => {
                        self.position = Position::Head;
                        Some(ResponseFrame::End)
                    }
                });
            }
            let Some(length) = head_length(buf, &mut self.scanned, &self.limits)? else { return Ok(None) };
            let raw = buf.split_to(length).freeze();
            let head = self.parse_head(&raw)?;
            if head.status < 200 {
                if head.status == 101 {
                    return Err(ParseError::Syntax("upgrade that was not requested"));
                }
                continue; // RFC 9110, section 15.2
            }
            self.position = Position::Body(BodyDecoder::new(head.framing, self.limits.max_frame_bytes));
            return Ok(Some(ResponseFrame::Head(head)));
        }
    }

    /// Takes the next frame after the peer has closed the connection; `None` between messages.
    ///
    /// # Errors
    /// [`ParseError::UnexpectedEof`] if the connection closed inside a message, else as [`Self::decode`].
    pub fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<ResponseFrame>, ParseError> {
        if let Some(frame) = self.decode(buf)? {
            return Ok(Some(frame));
        }
        match &self.position {
            Position::Body(body) if body.can_end_at_eof() => {
                self.position = Position::Head;
                Ok(Some(ResponseFrame::End))
            }
            Position::Head if buf.is_empty() => Ok(None),
            _ => Err(ParseError::UnexpectedEof),
        }
    }

    fn parse_head(&self, raw: &Bytes) -> Result<ResponseHead, ParseError> {
        reject_folded_headers(raw)?;
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADER_SLOTS];
        let max_headers = self.limits.max_headers.min(MAX_HEADER_SLOTS);
        let mut response = httparse::Response::new(&mut slots[..max_headers]);
        let status = response.parse(raw).map_err(|e| parse_error(e, &self.limits))?;
        let (true, Some(code), Some(minor)) = (status.is_complete(), response.code, response.version) else {
            return Err(ParseError::Syntax("incomplete head"));
        };
        let headers = copy_headers(raw, response.headers);
        let declared = body_framing(&headers, minor)?;
        let bodyless = self.is_head_request || code < 200 || code == 204 || code == 304;
        let framing = if bodyless { Framing::Empty } else { declared.unwrap_or(Framing::UntilClose) };
        let keep_alive = keeps_alive(&headers, minor) && framing != Framing::UntilClose;
        Ok(ResponseHead { status: code, headers, framing, keep_alive })
    }
}
