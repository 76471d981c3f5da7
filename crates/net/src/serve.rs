//! One connection from a client, on the server's side.

use crate::codec::{ServerCodec, WireError};
use bytes::Bytes;
use cloverhollow_http::{RequestFrame, ResponseFrame, ResponseHead};
use futures_util::{SinkExt, StreamExt};
use std::future::pending;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// A connection from a client.
pub type ServerConn = Framed<TcpStream, ServerCodec>;

/// Writes a whole response.
///
/// # Errors
/// The socket's.
pub async fn write_response(
    conn: &mut ServerConn,
    head: ResponseHead,
    body: impl Into<Bytes>,
) -> Result<(), WireError> {
    let body = body.into();
    conn.feed(ResponseFrame::Head(head)).await?;
    if !body.is_empty() {
        conn.feed(ResponseFrame::Data(body)).await?;
    }
    conn.send(ResponseFrame::End).await
}

/// Reads the rest of a request; `None` where its body is over `most` bytes (what follows is lost then, the
/// connection must be closed).
///
/// # Errors
/// The request was cut or malformed, or the socket failed.
pub async fn read_body(conn: &mut ServerConn, most: usize) -> Result<Option<Vec<u8>>, WireError> {
    let mut out = Vec::new();
    loop {
        match conn.next().await {
            Some(Ok(RequestFrame::Data(data))) if out.len() + data.len() <= most => {
                out.extend_from_slice(&data)
            }
            Some(Ok(RequestFrame::End)) => return Ok(Some(out)),
            Some(Ok(_)) => return Ok(None),
            Some(Err(e)) => return Err(e),
            None => return Err(cloverhollow_http::Malformed::Cut.into()),
        }
    }
}

/// Waits until the client has closed its side. Never ends while a further request waits to be read: then
/// the client is there.
pub async fn wait_closed(conn: &ServerConn) {
    if !conn.read_buffer().is_empty() {
        return pending().await;
    }
    let mut byte = [0];
    match conn.get_ref().peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => pending().await,
    }
}

/// Most bytes that a closing connection is read for.
const LINGER_BYTES: usize = 64 * 1024;
/// Longest time that it is.
const LINGER: Duration = Duration::from_millis(300);

/// Closes after a last answer, as [`lingering_close_within`] a moment.
pub async fn lingering_close(stream: TcpStream) {
    lingering_close_within(stream, LINGER, LINGER_BYTES).await;
}

/// Closes after a last answer. What the client still sends is read for so long, and so many bytes of it: closing
/// over unread bytes would reset the connection and could take the answer with it (RFC 9112, section 9.6).
pub async fn lingering_close_within(mut stream: TcpStream, within: Duration, most: usize) {
    let _ = timeout(within, async {
        stream.shutdown().await.ok()?;
        let (mut buf, mut left) = ([0; 4096], most);
        while left > 0 {
            match stream.read(&mut buf).await {
                Ok(0) | Err(_) => return None,
                Ok(n) => left = left.saturating_sub(n),
            }
        }
        Some(())
    })
    .await;
}
