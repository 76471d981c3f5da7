//! Accepts viewers' connections; one task reads and writes each of them.

use crate::messages::LoopEvent;
use crate::viewer_conn::{ReadyNotifier, Received, ViewerCommand, ViewerConn, ViewerHandle};
use bytes::BytesMut;
use cloverhollow_net::{lingering_close, lingering_close_within};
use cloverhollow_platform::resend::WRITE_TIMEOUT;
use cloverhollow_platform::rtsp::{self, ReplyTarget};
use cloverhollow_platform::session_registry::ConnId;
use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{sleep_until, Instant};

/// Capacity of a connection's command queue; the queued bytes have a limit of their own.
const MAX_QUEUED_COMMANDS: usize = 16_384;
/// Time within which the first message must be received completely, and any later message once it has begun.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a connection is still read after an error response; closing it with unread data would reset
/// it, and the viewer could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of bytes read within [`LINGER_TIMEOUT`].
const LINGER_MAX_BYTES: usize = 80 * 1024 * 1024;
/// Buffer space reserved for each read.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Size at which queued bytes are written without collecting more of them.
const WRITE_BATCH_BYTES: usize = 64 * 1024;
/// Delay before the next accept after one failed, for instance because file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections until the event loop ends. `permits` limits the file descriptors of viewers'
/// connections, including those being closed; further connections wait in the listen backlog.
pub(crate) async fn accept(
    listener: TcpListener,
    permits: Arc<Semaphore>,
    event_tx: mpsc::Sender<LoopEvent>,
    notifier: Arc<ReadyNotifier>,
) {
    let mut last_id = 0;
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => Arc::new(stream),
            Err(error) => {
                tracing::warn!(%error, "cannot accept a viewer's connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        last_id += 1;
        let id = ConnId(last_id);
        let (command_tx, command_rx) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let conn = Arc::new(ViewerConn::new(id, &stream, notifier.clone()));
        let handle = ViewerHandle { command_tx, conn: conn.clone() };
        // Messages received before the event loop knows the connection are taken when it does.
        tokio::spawn(async move {
            serve(stream, &conn, command_rx).await;
            conn.close_read();
            drop(permit);
        });
        if event_tx.send(LoopEvent::ViewerConnected(id, handle)).await.is_err() {
            return;
        }
    }
}

/// State of the read side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    Open,
    /// Paused until the event loop has taken the received items.
    Paused,
    /// Nothing more is read.
    Closed,
}

/// State of the write side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    Open,
    /// Closing after an error response to invalid data.
    ClosingAfterError,
    /// Closing because the event loop has dropped its handle.
    HandleDropped,
}

/// Bytes being written.
#[derive(Default)]
struct WriteBuffer {
    bytes: Vec<u8>,
    /// Number of `bytes` that are written already.
    written_len: usize,
}

impl WriteBuffer {
    /// Appends the bytes of `first` and of the commands queued behind it; returns whether and why the
    /// connection is to be closed after them.
    fn collect(
        &mut self,
        first: Option<ViewerCommand>,
        command_rx: &mut mpsc::Receiver<ViewerCommand>,
    ) -> WriteState {
        let mut next = first;
        loop {
            match next {
                Some(ViewerCommand::Write(bytes)) => self.bytes.extend_from_slice(&bytes),
                Some(ViewerCommand::Close) => return WriteState::ClosingAfterError,
                None => return WriteState::HandleDropped,
            }
            if self.bytes.len() >= WRITE_BATCH_BYTES {
                return WriteState::Open;
            }
            next = match command_rx.try_recv() {
                Ok(command) => Some(command),
                Err(mpsc::error::TryRecvError::Empty) => return WriteState::Open,
                Err(mpsc::error::TryRecvError::Disconnected) => None,
            };
        }
    }

    fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Writes as much as the socket accepts now.
    fn write(&mut self, stream: &TcpStream, conn: &ViewerConn) -> Result<(), Error> {
        while self.written_len < self.bytes.len() {
            match stream.try_write(&self.bytes[self.written_len..]) {
                Ok(n) => self.written_len += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        conn.remove_queued(self.bytes.len());
        self.bytes.clear();
        self.written_len = 0;
        Ok(())
    }
}

/// Reads and writes concurrently until the connection ends, so that messages are also received from a viewer
/// that does not read. Runs as a task that is never cancelled before the process ends.
async fn serve(stream: Arc<TcpStream>, conn: &ViewerConn, mut command_rx: mpsc::Receiver<ViewerCommand>) {
    let mut buf = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let mut write_buf = WriteBuffer::default();
    // Time by which a message must be complete; `None` while none has begun.
    let mut message_deadline = Some(Instant::now() + MESSAGE_TIMEOUT);
    // Time by which the viewer must accept some bytes; unused while there is nothing to write.
    let mut write_deadline = Instant::now();
    let mut read_state = ReadState::Open;
    let mut write_state = WriteState::Open;
    let mut wrote_before_close = false;
    while write_state == WriteState::Open || !write_buf.is_empty() {
        tokio::select! {
            command = command_rx.recv(), if write_buf.is_empty() => {
                write_state = write_buf.collect(command, &mut command_rx);
                wrote_before_close = !write_buf.is_empty();
                write_deadline = Instant::now() + WRITE_TIMEOUT;
            }
            ready = stream.writable(), if !write_buf.is_empty() => {
                let before = write_buf.written_len;
                if ready.is_err() || write_buf.write(&stream, conn).is_err() {
                    return;
                }
                if write_buf.written_len > before {
                    write_deadline = Instant::now() + WRITE_TIMEOUT;
                }
            }
            () = sleep_until(write_deadline), if !write_buf.is_empty() => return,
            () = conn.wait_taken(), if read_state == ReadState::Paused => {
                read_state = decode(&mut buf, conn, &mut message_deadline);
            }
            ready = stream.readable(), if read_state == ReadState::Open => {
                buf.reserve(READ_BUFFER_BYTES);
                let read = ready.and_then(|()| stream.try_read_buf(&mut buf));
                match read {
                    Ok(n) if n > 0 => read_state = decode(&mut buf, conn, &mut message_deadline),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    // Responses to earlier messages are still written: the event loop drops its handle after
                    // them.
                    Ok(_) => {
                        (read_state, message_deadline) = (ReadState::Closed, None);
                        conn.close_read();
                    }
                    Err(_) => return,
                }
            }
            () = sleep_until(message_deadline.unwrap_or_else(Instant::now)), if message_deadline.is_some() => {
                (message_deadline, read_state) = (None, ReadState::Closed);
                if !conn.push_received(Received::Invalid(400, ReplyTarget::default())) {
                    return;
                }
            }
        }
    }
    let Some(stream) = Arc::into_inner(stream) else { return };
    tokio::select! {
        () = async {
            match write_state {
                WriteState::ClosingAfterError => {
                    lingering_close_within(stream, LINGER_TIMEOUT, LINGER_MAX_BYTES).await
                }
                // Closing with unread data resets the connection, and the viewer could lose the bytes just
                // written.
                _ if wrote_before_close && read_state != ReadState::Closed => lingering_close(stream).await,
                _ => {}
            }
        } => {}
        // The event loop has dropped the handle to make room for another connection.
        () = async { while command_rx.recv().await.is_some() {} },
            if write_state == WriteState::ClosingAfterError => {}
    }
}

/// Decodes the complete messages in `buf` and queues them for the event loop while there is room.
fn decode(buf: &mut BytesMut, conn: &ViewerConn, message_deadline: &mut Option<Instant>) -> ReadState {
    while conn.has_room() {
        match rtsp::decode(buf) {
            Ok(Some(message)) => {
                *message_deadline = None;
                if !conn.push_received(Received::Message(message)) {
                    return ReadState::Closed;
                }
            }
            Ok(None) => {
                if !buf.is_empty() {
                    message_deadline.get_or_insert_with(|| Instant::now() + MESSAGE_TIMEOUT);
                }
                return ReadState::Open;
            }
            Err(error) => {
                *message_deadline = None;
                let status = if matches!(error, rtsp::Error::TooLong(_)) { 413 } else { 400 };
                conn.push_received(Received::Invalid(status, error.reply_target().clone()));
                return ReadState::Closed;
            }
        }
    }
    ReadState::Paused
}

#[cfg(test)]
mod tests;
