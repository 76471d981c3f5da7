//! Client side of an HTTP/1.1 connection.

use crate::codec::{ClientCodec, WireError};
use bytes::Bytes;
use cloverhollow_http::{Limits, ParseError, RequestFrame, RequestHead, ResponseFrame, ResponseHead};
use futures_util::{SinkExt, StreamExt};
use std::io::ErrorKind;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// A client connection that carries one request and its response at a time.
#[derive(Debug)]
pub struct ClientConn {
    framed: Framed<TcpStream, ClientCodec>,
    keep_alive: bool,
}

/// Opens a connection. There is no built-in time-out; the caller sets one.
///
/// # Errors
/// Connecting or setting `TCP_NODELAY` failed.
pub async fn connect(address: SocketAddr) -> std::io::Result<ClientConn> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let framed = Framed::with_capacity(stream, ClientCodec::new(Limits::default()), 2048);
    Ok(ClientConn { framed, keep_alive: true })
}

impl ClientConn {
    /// Returns whether the server still has the connection open and has sent no unsolicited data. A close
    /// that is still in transit is not detected.
    pub fn is_open_and_idle(&self) -> bool {
        let mut byte = [0];
        let would_block = |e: std::io::Error| e.kind() == ErrorKind::WouldBlock;
        self.keep_alive
            && self.framed.read_buffer().is_empty()
            && self.framed.get_ref().try_read(&mut byte).is_err_and(would_block)
    }

    /// Returns whether bytes arrived that belong to no request. The check consumes one byte, so the
    /// connection must not be used after it returned true.
    pub fn has_unsolicited_data(&self) -> bool {
        let mut byte = [0];
        !self.framed.read_buffer().is_empty()
            || matches!(self.framed.get_ref().try_read(&mut byte), Ok(n) if n > 0)
    }

    /// Writes the head and body of a request.
    ///
    /// # Errors
    /// The write failed. Part of the request may have been sent all the same.
    pub async fn send_request(&mut self, head: RequestHead, body: Bytes) -> Result<(), WireError> {
        self.keep_alive &= head.keep_alive;
        self.framed.feed(RequestFrame::Head(head)).await?;
        if !body.is_empty() {
            self.framed.feed(RequestFrame::Data(body)).await?;
        }
        self.framed.send(RequestFrame::End).await
    }

    /// Reads the head of the response. There is no built-in time-out.
    ///
    /// # Errors
    /// The server closed the connection first, the read failed, or the bytes are not a valid response.
    pub async fn read_head(&mut self) -> Result<ResponseHead, WireError> {
        match self.framed.next().await {
            Some(Ok(ResponseFrame::Head(head))) => {
                self.keep_alive &= head.keep_alive;
                Ok(head)
            }
            Some(Ok(_)) => Err(ParseError::Syntax("a body without a head").into()),
            Some(Err(e)) => Err(e),
            None => Err(ParseError::UnexpectedEof.into()),
        }
    }

    /// Reads the next chunk of the body; `None` at its end. There is no built-in time-out.
    ///
    /// # Errors
    /// The body was truncated, or the read failed.
    pub async fn read_body_chunk(&mut self) -> Result<Option<Bytes>, WireError> {
        match self.framed.next().await {
            Some(Ok(ResponseFrame::Data(data))) => Ok(Some(data)),
            Some(Ok(ResponseFrame::End)) => Ok(None),
            Some(Ok(ResponseFrame::Head(_))) => Err(ParseError::Syntax("a head inside a body").into()),
            Some(Err(e)) => Err(e),
            None => Err(ParseError::UnexpectedEof.into()),
        }
    }

    /// Sends a request and reads the whole response, with a body of at most `max_body_bytes`.
    ///
    /// # Errors
    /// As for [`ClientConn::send_request`] and [`ClientConn::read_head`], or the body is too long.
    pub async fn exchange(
        &mut self,
        head: RequestHead,
        body: Bytes,
        max_body_bytes: usize,
    ) -> Result<(ResponseHead, Vec<u8>), WireError> {
        self.send_request(head, body).await?;
        let head = self.read_head().await?;
        let mut response_body = Vec::new();
        while let Some(data) = self.read_body_chunk().await? {
            if response_body.len() + data.len() > max_body_bytes {
                return Err(std::io::Error::new(ErrorKind::InvalidData, "response body too long").into());
            }
            response_body.extend_from_slice(&data);
        }
        Ok((head, response_body))
    }

    /// Returns whether the connection may carry another request after the last response was read completely.
    pub fn is_reusable(&self) -> bool {
        self.keep_alive
    }
}
