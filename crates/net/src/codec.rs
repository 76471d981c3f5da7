//! `Framed` codecs over the codec without I/O.

use bytes::BytesMut;
use cloverhollow_http::{
    Limits, Malformed, RequestDecoder, RequestEncoder, RequestFrame, ResponseDecoder, ResponseEncoder,
    ResponseFrame,
};
use tokio_util::codec::{Decoder, Encoder};

/// Why a connection is of no more use.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The peer sent what is no message.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// The side that reads requests and writes responses.
#[derive(Debug, Default)]
pub struct ServerCodec {
    decoder: RequestDecoder,
    encoder: ResponseEncoder,
}

impl ServerCodec {
    /// With bounds on what a request may hold.
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
            None if self.decoder.is_inside(buf) => Err(Malformed::Cut.into()),
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

/// The side that writes requests and reads responses.
#[derive(Debug, Default)]
pub struct ClientCodec {
    decoder: ResponseDecoder,
    encoder: RequestEncoder,
}

impl ClientCodec {
    /// With bounds on what a response's head may hold.
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
            self.decoder.expect(&head.method);
        }
        self.encoder.encode(&frame, buf);
        Ok(())
    }
}
