//! Reads a viewer's messages.

use crate::viewer_conn::{Received, ViewerConn};
use bytes::BytesMut;
use cloverhollow_platform::rtsp::{self, ReplyTarget};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant};

/// Time within which the first message must be received completely, and any later message once it has begun.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Buffer space reserved for each read.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// How the reading of a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadEnd {
    /// The viewer has closed its side. Responses may still be written.
    Closed,
    /// Invalid data was received, or a message was not completed in time; the event loop closes the connection.
    Invalid,
    /// The connection broke, or the event loop has ended.
    Broken,
}

/// Reads messages and queues them for the event loop until the connection's read side ends.
pub(super) async fn read_messages(stream: &TcpStream, conn: &ViewerConn) -> ReadEnd {
    let mut reader = Reader {
        stream,
        conn,
        buf: BytesMut::new(),
        message_deadline: Some(Instant::now() + MESSAGE_TIMEOUT),
    };
    loop {
        if let Err(end) = reader.wait_for_data().await {
            return end;
        }
        while let Err(stop) = reader.read_available() {
            match stop {
                Stop::NoRoom => conn.wait_taken().await,
                Stop::End(end) => return end,
            }
        }
    }
}

/// Reason for which no more is read for now, although there may be more.
enum Stop {
    /// There is no room for another message until the event loop has taken some.
    NoRoom,
    /// Nothing more is read on this connection.
    End(ReadEnd),
}

struct Reader<'a> {
    stream: &'a TcpStream,
    conn: &'a ViewerConn,
    buf: BytesMut,
    /// Time by which a message must be complete; `None` while none has begun.
    message_deadline: Option<Instant>,
}

impl Reader<'_> {
    /// Waits until there is something to read.
    async fn wait_for_data(&mut self) -> Result<(), ReadEnd> {
        let deadline = self.message_deadline;
        tokio::select! {
            ready = self.stream.readable() => ready.map_err(|_| ReadEnd::Broken),
            () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                self.conn.push_received(Received::Invalid(400, ReplyTarget::default()));
                Err(ReadEnd::Invalid)
            }
        }
    }

    /// Reads and decodes everything that has arrived.
    fn read_available(&mut self) -> Result<(), Stop> {
        loop {
            while !self.buf.is_empty() && self.conn.has_room() {
                if !self.decode().map_err(Stop::End)? {
                    break;
                }
            }
            if !self.conn.has_room() {
                return Err(Stop::NoRoom);
            }
            self.reserve();
            match self.stream.try_read_buf(&mut self.buf) {
                Ok(0) => return Err(Stop::End(ReadEnd::Closed)),
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if self.buf.is_empty() {
                        // Most connections are idle most of the time.
                        self.buf = BytesMut::new();
                    }
                    return Ok(());
                }
                Err(_) => return Err(Stop::End(ReadEnd::Broken)),
            }
        }
    }

    /// Makes space for a read. The buffer gets no larger than that, as there are hundreds of them.
    fn reserve(&mut self) {
        if self.buf.capacity() - self.buf.len() < READ_BUFFER_BYTES {
            let mut buf = BytesMut::with_capacity(self.buf.len() + READ_BUFFER_BYTES);
            buf.extend_from_slice(&self.buf);
            self.buf = buf;
        }
    }

    /// Decodes one message and queues it for the event loop. Returns false if it is not complete yet.
    fn decode(&mut self) -> Result<bool, ReadEnd> {
        match rtsp::decode(&mut self.buf) {
            Ok(Some(message)) => {
                self.message_deadline = None;
                let is_queued = self.conn.push_received(Received::Message(message));
                is_queued.then_some(true).ok_or(ReadEnd::Broken)
            }
            Ok(None) => {
                if !self.buf.is_empty() {
                    self.message_deadline.get_or_insert_with(|| Instant::now() + MESSAGE_TIMEOUT);
                }
                Ok(false)
            }
            Err(error) => {
                let status = if matches!(error, rtsp::Error::TooLong(_)) { 413 } else { 400 };
                self.conn.push_received(Received::Invalid(status, error.reply_target().clone()));
                Err(ReadEnd::Invalid)
            }
        }
    }
}
