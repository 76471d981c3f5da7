//! One connection to a server.

use crate::codec::{ClientCodec, WireError};
use bytes::Bytes;
use cloverhollow_http::{Limits, Malformed, RequestFrame, RequestHead, ResponseFrame, ResponseHead};
use futures_util::{SinkExt, StreamExt};
use std::io::ErrorKind;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// A connection that carries one exchange at a time.
#[derive(Debug)]
pub struct ClientConn {
    framed: Framed<TcpStream, ClientCodec>,
    keep_alive: bool,
}

/// Opens a connection. No time-out of its own: the caller sets one.
///
/// # Errors
/// The socket's.
pub async fn connect(address: SocketAddr) -> std::io::Result<ClientConn> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let framed = Framed::with_capacity(stream, ClientCodec::new(Limits::default()), 2048);
    Ok(ClientConn { framed, keep_alive: true })
}

impl ClientConn {
    /// Whether the peer has left it open and sent nothing unasked. A close that is under way is not seen.
    pub fn is_open_and_idle(&self) -> bool {
        let mut byte = [0];
        let quiet = |e: std::io::Error| e.kind() == ErrorKind::WouldBlock;
        self.keep_alive
            && self.framed.read_buffer().is_empty()
            && self.framed.get_ref().try_read(&mut byte).is_err_and(quiet)
    }

    /// Whether bytes have come that answer nothing. One is taken off: the connection is of no more use then.
    pub fn has_unsolicited_data(&self) -> bool {
        let mut byte = [0];
        !self.framed.read_buffer().is_empty()
            || matches!(self.framed.get_ref().try_read(&mut byte), Ok(n) if n > 0)
    }

    /// Puts the head and body of a request on the wire.
    ///
    /// # Errors
    /// The socket's. Some of the request may have gone out all the same.
    pub async fn send_request(&mut self, head: RequestHead, body: Bytes) -> Result<(), WireError> {
        self.keep_alive &= head.keep_alive;
        self.framed.feed(RequestFrame::Head(head)).await?;
        if !body.is_empty() {
            self.framed.feed(RequestFrame::Data(body)).await?;
        }
        self.framed.send(RequestFrame::End).await
    }

    /// The head of the response. No time-out of its own.
    ///
    /// # Errors
    /// The peer closed first, the socket failed, or what came is no response.
    pub async fn read_head(&mut self) -> Result<ResponseHead, WireError> {
        match self.framed.next().await {
            Some(Ok(ResponseFrame::Head(head))) => {
                self.keep_alive &= head.keep_alive;
                Ok(head)
            }
            Some(Ok(_)) => Err(Malformed::Syntax("a body without a head").into()),
            Some(Err(e)) => Err(e),
            None => Err(Malformed::Cut.into()),
        }
    }

    /// The next part of the body; `None` when it is whole. No time-out of its own.
    ///
    /// # Errors
    /// The body was cut, or the socket failed.
    pub async fn read_body_chunk(&mut self) -> Result<Option<Bytes>, WireError> {
        match self.framed.next().await {
            Some(Ok(ResponseFrame::Data(data))) => Ok(Some(data)),
            Some(Ok(ResponseFrame::End)) => Ok(None),
            Some(Ok(ResponseFrame::Head(_))) => Err(Malformed::Syntax("a head inside a body").into()),
            Some(Err(e)) => Err(e),
            None => Err(Malformed::Cut.into()),
        }
    }

    /// Sends a request and reads the whole response, its body up to `most` bytes.
    ///
    /// # Errors
    /// As [`ClientConn::send`] and [`ClientConn::head`], or a longer body.
    pub async fn exchange(
        &mut self,
        head: RequestHead,
        body: Bytes,
        most: usize,
    ) -> Result<(ResponseHead, Vec<u8>), WireError> {
        self.send_request(head, body).await?;
        let head = self.read_head().await?;
        let mut out = Vec::new();
        while let Some(data) = self.read_body_chunk().await? {
            if out.len() + data.len() > most {
                return Err(std::io::Error::new(ErrorKind::InvalidData, "body over its bound").into());
            }
            out.extend_from_slice(&data);
        }
        Ok((head, out))
    }

    /// Whether another exchange may follow on it, the last one being whole.
    pub fn is_reusable(&self) -> bool {
        self.keep_alive
    }
}
