//! `tokio_util` codecs around the I/O-free HTTP codec of [`cloverhollow_http`].

use bytes::BytesMut;
use cloverhollow_http::{
    Limits, ParseError, RequestDecoder, RequestEncoder, RequestFrame, ResponseDecoder, ResponseEncoder,
    ResponseFrame,
};
use tokio_util::codec::{Decoder, Encoder};

/// Error after which a connection cannot be used any more.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The peer sent bytes that are not a valid HTTP message.
    #[error(transparent)]
    Malformed(#[from] ParseError),
    /// A socket operation failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Codec of a server connection: decodes requests and encodes responses.
#[derive(Debug, Default)]
pub struct ServerCodec {
    decoder: RequestDecoder,
    encoder: ResponseEncoder,
}

impl ServerCodec {
    /// Creates a codec that rejects requests larger than `limits`.
    pub fn new(limits: Limits) -> Self {
        ServerCodec { decoder: RequestDecoder::new(limits), ..Self::default() }
    }
}

impl Decoder for ServerCodec {
    type Item = RequestFrame;
    type Error = WireError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<RequestFrame>, WireError> {
        Ok(self.decoder.decode(buf)?)
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<RequestFrame>, WireError> {
        match self.decoder.decode(buf)? {
            Some(frame) => Ok(Some(frame)),
            None if self.decoder.has_partial_request(buf) => Err(ParseError::UnexpectedEof.into()),
            None => Ok(None),
        }
    }
}

impl Encoder<ResponseFrame> for ServerCodec {
    type Error = WireError;

    fn encode(&mut self, frame: ResponseFrame, buf: &mut BytesMut) -> Result<(), WireError> {
        self.encoder.encode(&frame, buf);
        Ok(())
    }
}

/// Codec of a client connection: encodes requests and decodes responses.
#[derive(Debug, Default)]
pub struct ClientCodec {
    decoder: ResponseDecoder,
    encoder: RequestEncoder,
}

impl ClientCodec {
    /// Creates a codec that rejects response heads larger than `limits`.
    pub fn new(limits: Limits) -> Self {
        ClientCodec { decoder: ResponseDecoder::new(limits), ..Self::default() }
    }
}

impl Decoder for ClientCodec {
    type Item = ResponseFrame;
    type Error = WireError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<ResponseFrame>, WireError> {
        Ok(self.decoder.decode(buf)?)
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<ResponseFrame>, WireError> {
        Ok(self.decoder.decode_eof(buf)?)
    }
}

impl Encoder<RequestFrame> for ClientCodec {
    type Error = WireError;

    fn encode(&mut self, frame: RequestFrame, buf: &mut BytesMut) -> Result<(), WireError> {
        if let RequestFrame::Head(head) = &frame {
            self.decoder.set_request_method(&head.method);
        }
        self.encoder.encode(&frame, buf);
        Ok(())
    }
}
