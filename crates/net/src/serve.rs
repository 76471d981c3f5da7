//! Server side of an HTTP/1.1 connection.

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

/// Connection accepted from a client.
pub type ServerConn = Framed<TcpStream, ServerCodec>;

/// Writes a complete response.
///
/// # Errors
/// The write failed.
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

/// Reads the rest of a request and returns its body. `None` if the body exceeds `max_bytes`; the connection
/// must then be closed, as the rest of the body is not read.
///
/// # Errors
/// The request was truncated or malformed, or the read failed.
pub async fn read_body(conn: &mut ServerConn, max_bytes: usize) -> Result<Option<Vec<u8>>, WireError> {
    let mut body = Vec::new();
    loop {
        match conn.next().await {
            Some(Ok(RequestFrame::Data(data))) if body.len() + data.len() <= max_bytes => {
                body.extend_from_slice(&data)
            }
            Some(Ok(RequestFrame::End)) => return Ok(Some(body)),
            Some(Ok(_)) => return Ok(None),
            Some(Err(e)) => return Err(e),
            None => return Err(cloverhollow_http::ParseError::UnexpectedEof.into()),
        }
    }
}

/// Waits until the client has closed its side. Does not complete while a pipelined request is unread, as the
/// client is then still connected.
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

/// Maximum number of bytes read and discarded by [`lingering_close`].
const LINGER_MAX_BYTES: usize = 64 * 1024;
/// Maximum duration of [`lingering_close`].
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Closes a connection after its last response, as [`lingering_close_within`] with the default limits.
pub async fn lingering_close(stream: TcpStream) {
    lingering_close_within(stream, LINGER_TIMEOUT, LINGER_MAX_BYTES).await;
}

/// Closes a connection after its last response. Data that the client still sends is read and discarded, for
/// at most `max_duration` and `max_bytes`: closing with unread data would reset the connection, and the
/// client could lose the response (RFC 9112, section 9.6).
pub async fn lingering_close_within(mut stream: TcpStream, max_duration: Duration, max_bytes: usize) {
    let _ = timeout(max_duration, async {
        stream.shutdown().await.ok()?;
        let (mut buf, mut remaining) = ([0; 4096], max_bytes);
        while remaining > 0 {
            match stream.read(&mut buf).await {
                Ok(0) | Err(_) => return None,
                Ok(n) => remaining = remaining.saturating_sub(n),
            }
        }
        Some(())
    })
    .await;
}
