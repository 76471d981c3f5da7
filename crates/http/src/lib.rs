//! HTTP/1.1 (RFC 9112) as bytes in and frames out, without any I/O.
//!
//! A [`RequestDecoder`] turns what a client sent into [`RequestFrame`]s, a [`ResponseDecoder`] what a server
//! sent into [`ResponseFrame`]s; [`RequestEncoder`] and [`ResponseEncoder`] do the reverse. Both decoders are
//! strict where leniency lets two parties read one message differently (RFC 9112, section 11.2): bare line
//! feeds, folded headers, two lengths, and a length beside chunked are errors. Memory is bounded by
//! [`Limits`]: a head that is longer is an error, and a body is handed on as it comes.

mod body;
mod decode;
mod encode;
mod head;
mod target;

pub use body::{BodyDecoder, BodyPart};
pub use decode::{RequestDecoder, ResponseDecoder};
pub use encode::{RequestEncoder, ResponseEncoder};
pub use head::{Framing, Headers, Method, RequestHead, ResponseHead};
pub use target::{percent_decode, percent_encode, Target};

use bytes::Bytes;

/// Bounds on what one connection may make a decoder keep.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest head, bytes, line ends included.
    pub max_head_bytes: usize,
    /// Most header lines.
    pub max_headers: usize,
    /// Most bytes of one body frame; what is longer comes in several.
    pub max_frame_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_head_bytes: 8 * 1024, max_headers: 64, max_frame_bytes: 16 * 1024 }
    }
}

/// A part of a request, in order: one head, any number of data frames, one end.
#[derive(Clone, Debug)]
pub enum RequestFrame {
    /// The head.
    Head(RequestHead),
    /// A part of the body.
    Data(Bytes),
    /// The request is whole.
    End,
}

/// A part of a response, in order: one head, any number of data frames, one end.
#[derive(Clone, Debug)]
pub enum ResponseFrame {
    /// The head.
    Head(ResponseHead),
    /// A part of the body.
    Data(Bytes),
    /// The response is whole.
    End,
}

/// Why bytes are no message. A connection on which one came up must be closed: where the next message
/// begins is unknown.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[allow(missing_docs)] // the messages say it
pub enum ParseError {
    #[error("not an HTTP head: {0}")]
    Syntax(&'static str),
    #[error("a line feed without a carriage return")]
    BareLineFeed,
    #[error("a folded header line")]
    FoldedHeader,
    #[error("head over {0} bytes")]
    HeadTooLong(usize),
    #[error("more than {0} header lines")]
    TooManyHeaders(usize),
    #[error("more than one content-length")]
    DuplicateContentLength,
    #[error("a content-length beside transfer-encoding")]
    ContentLengthWithTransferEncoding,
    #[error("content-length is no number")]
    InvalidContentLength,
    #[error("a transfer-encoding other than chunked")]
    UnsupportedTransferEncoding,
    #[error("not HTTP/1.0 or HTTP/1.1")]
    UnsupportedVersion,
    #[error("no single host header")]
    InvalidHost,
    #[error("not a chunk: {0}")]
    InvalidChunk(&'static str),
    #[error("the peer closed inside a message")]
    UnexpectedEof,
}

impl ParseError {
    /// The status that a server answers with before it closes (RFC 9110, section 15; RFC 6585, section 5).
    pub fn status(&self) -> u16 {
        match self {
            ParseError::HeadTooLong(_) | ParseError::TooManyHeaders(_) => 431,
            ParseError::UnsupportedTransferEncoding => 501,
            ParseError::UnsupportedVersion => 505,
            _ => 400,
        }
    }
}
