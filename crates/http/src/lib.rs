//! HTTP/1.1 (RFC 9112) as bytes in and frames out, without any I/O.
//!
//! [`RequestDecoder`] and [`ResponseDecoder`] turn received bytes into [`RequestFrame`]s and
//! [`ResponseFrame`]s; [`RequestEncoder`] and [`ResponseEncoder`] do the reverse. Both decoders are strict
//! where leniency would let two parties read one message differently (request smuggling; RFC 9112, section
//! 11.2): bare line feeds, folded headers, two content-lengths, and a content-length with a transfer-encoding
//! are errors. [`Limits`] bounds the memory: a longer head is an error, and a body is passed on in parts as
//! it arrives.

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

/// Bounds on the memory that a decoder uses for one connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of a head in bytes, line ends included.
    pub max_head_bytes: usize,
    /// Maximum number of header lines of one head; values above 128 act as 128.
    pub max_headers: usize,
    /// Maximum length of one data frame in bytes; longer bodies are split.
    pub max_frame_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_head_bytes: 8 * 1024, max_headers: 64, max_frame_bytes: 16 * 1024 }
    }
}

/// Part of a request, in this order: one head, any number of data frames, one end.
#[derive(Clone, Debug)]
pub enum RequestFrame {
    /// Request line and headers.
    Head(RequestHead),
    /// Bytes of the body.
    Data(Bytes),
    /// End of the request.
    End,
}

/// Part of a response, in this order: one head, any number of data frames, one end.
#[derive(Clone, Debug)]
pub enum ResponseFrame {
    /// Status line and headers.
    Head(ResponseHead),
    /// Bytes of the body.
    Data(Bytes),
    /// End of the response.
    End,
}

/// Error in received bytes. The connection must then be closed: the start of the next message is unknown.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[allow(missing_docs)] // The error texts describe the variants.
pub enum ParseError {
    #[error("invalid HTTP head: {0}")]
    Syntax(&'static str),
    #[error("line feed without a carriage return")]
    BareLineFeed,
    #[error("folded header line")]
    FoldedHeader,
    #[error("head longer than {0} bytes")]
    HeadTooLong(usize),
    #[error("more than {0} header lines")]
    TooManyHeaders(usize),
    #[error("more than one content-length")]
    DuplicateContentLength,
    #[error("content-length together with transfer-encoding")]
    ContentLengthWithTransferEncoding,
    #[error("content-length is not a number")]
    InvalidContentLength,
    #[error("transfer-encoding other than chunked")]
    UnsupportedTransferEncoding,
    #[error("version other than HTTP/1.0 and HTTP/1.1")]
    UnsupportedVersion,
    #[error("missing or repeated host header")]
    InvalidHost,
    #[error("invalid chunk: {0}")]
    InvalidChunk(&'static str),
    #[error("connection closed inside a message")]
    UnexpectedEof,
}

impl ParseError {
    /// Status of the response that a server sends before it closes the connection (RFC 9110, section 15;
    /// RFC 6585, section 5).
    pub fn status(&self) -> u16 {
        match self {
            ParseError::HeadTooLong(_) | ParseError::TooManyHeaders(_) => 431,
            ParseError::UnsupportedTransferEncoding => 501,
            ParseError::UnsupportedVersion => 505,
            _ => 400,
        }
    }
}
