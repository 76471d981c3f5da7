//! Encoders from frames to bytes.

use crate::head::{Framing, Headers, RequestHead, ResponseHead};
use crate::{RequestFrame, ResponseFrame};
use bytes::{BufMut, BytesMut};
use std::io::Write;

/// Returns whether the header belongs to this hop (RFC 9110, section 7.6.1): the encoder writes those itself.
fn is_hop_by_hop(name: &[u8]) -> bool {
    const NAMES: [&str; 7] =
        ["content-length", "transfer-encoding", "connection", "keep-alive", "te", "trailer", "upgrade"];
    NAMES.iter().any(|h| name.eq_ignore_ascii_case(h.as_bytes()))
}

fn write_headers(
    out: &mut BytesMut,
    headers: &Headers,
    framing: Framing,
    keep_alive: bool,
    write_zero_length: bool,
) {
    for (name, value) in headers.iter().filter(|(n, _)| !is_hop_by_hop(n)) {
        out.put_slice(name);
        out.put_slice(b": ");
        out.put_slice(value);
        out.put_slice(b"\r\n");
    }
    match framing {
        Framing::Length(n) => write_fmt(out, format_args!("content-length: {n}\r\n")),
        Framing::Empty if write_zero_length => out.put_slice(b"content-length: 0\r\n"),
        Framing::Empty => {}
        Framing::Chunked => out.put_slice(b"transfer-encoding: chunked\r\n"),
        Framing::UntilClose => {}
    }
    if !keep_alive {
        out.put_slice(b"connection: close\r\n");
    }
    out.put_slice(b"\r\n");
}

fn write_fmt(out: &mut BytesMut, text: std::fmt::Arguments<'_>) {
    // Writing to a growing buffer cannot fail.
    let _ = out.writer().write_fmt(text);
}

/// Encoder of a message body.
#[derive(Debug, Default)]
struct BodyEncoder {
    chunked: bool,
}

impl BodyEncoder {
    fn data(&self, data: &[u8], out: &mut BytesMut) {
        if data.is_empty() {
            return; // An empty chunk would end the body.
        }
        if self.chunked {
            write_fmt(out, format_args!("{:x}\r\n", data.len()));
        }
        out.put_slice(data);
        if self.chunked {
            out.put_slice(b"\r\n");
        }
    }

    fn end(&mut self, out: &mut BytesMut) {
        if std::mem::take(&mut self.chunked) {
            out.put_slice(b"0\r\n\r\n");
        }
    }
}

/// Encoder of requests.
#[derive(Debug, Default)]
pub struct RequestEncoder {
    body: BodyEncoder,
}

impl RequestEncoder {
    /// Appends a frame to `out`.
    pub fn encode(&mut self, frame: &RequestFrame, out: &mut BytesMut) {
        match frame {
            RequestFrame::Head(RequestHead { method, target, headers, framing, keep_alive }) => {
                self.body.chunked = *framing == Framing::Chunked;
                write_fmt(out, format_args!("{} {} HTTP/1.1\r\n", method.name(), target.as_str()));
                write_headers(out, headers, *framing, *keep_alive, false);
            }
            RequestFrame::Data(data) => self.body.data(data, out),
            RequestFrame::End => self.body.end(out),
        }
    }
}

/// Encoder of responses.
#[derive(Debug, Default)]
pub struct ResponseEncoder {
    body: BodyEncoder,
}

impl ResponseEncoder {
    /// Appends a frame to `out`. A body with [`Framing::UntilClose`] is sent chunked.
    pub fn encode(&mut self, frame: &ResponseFrame, out: &mut BytesMut) {
        match frame {
            ResponseFrame::Head(ResponseHead { status, headers, framing, keep_alive }) => {
                let framing = match framing {
                    Framing::UntilClose => Framing::Chunked,
                    other => *other,
                };
                self.body.chunked = framing == Framing::Chunked;
                write_fmt(out, format_args!("HTTP/1.1 {status} {}\r\n", reason_phrase(*status)));
                let may_have_length = *status != 204 && *status != 304;
                write_headers(out, headers, framing, *keep_alive, may_have_length);
            }
            ResponseFrame::Data(data) => self.body.data(data, out),
            ResponseFrame::End => self.body.end(out),
        }
    }
}

/// Reason phrase of each status that the front or a test server sends (RFC 9110, section 15).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        206 => "Partial Content",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "",
    }
}
