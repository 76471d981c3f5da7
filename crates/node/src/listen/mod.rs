//! Accepts viewers' connections; one task reads and writes each of them.

mod reader;
mod write_buffer;

use crate::messages::LoopEvent;
use crate::viewer_conn::{ReadyNotifier, ViewerCommand, ViewerConn, ViewerHandle};
use cloverhollow_net::{lingering_close, lingering_close_within};
use cloverhollow_platform::resend::WRITE_TIMEOUT;
use cloverhollow_platform::session_registry::ConnId;
use reader::{read_messages, ReadEnd};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{sleep_until, Instant};
use write_buffer::WriteBuffer;

/// Capacity of a connection's command queue; the queued bytes have a limit of their own.
const MAX_QUEUED_COMMANDS: usize = 16_384;
/// Time for which a connection is still read after an error response; closing it with unread data would reset
/// it, and the viewer could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of bytes read within [`LINGER_TIMEOUT`].
const LINGER_MAX_BYTES: usize = 80 * 1024 * 1024;
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

/// State of the write side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    Open,
    /// Closing after an error response to invalid data.
    ClosingAfterError,
    /// Closing because the event loop has dropped its handle.
    HandleDropped,
}

/// Reads and writes concurrently until the connection ends, so that messages are also received from a viewer
/// that does not read. Runs as a task that is never cancelled before the process ends.
async fn serve(stream: Arc<TcpStream>, conn: &ViewerConn, mut command_rx: mpsc::Receiver<ViewerCommand>) {
    let (write_state, linger) = {
        let mut reading = pin!(read_messages(&stream, conn));
        let mut read_end = None;
        let mut write_buf = WriteBuffer::default();
        // Time by which the viewer must accept some bytes; unused while there is nothing to write.
        let mut write_deadline = Instant::now();
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
                end = &mut reading, if read_end.is_none() => {
                    match end {
                        ReadEnd::Broken => return,
                        // Responses to earlier messages are still written: the event loop drops its handle after them.
                        ReadEnd::Closed => conn.close_read(),
                        ReadEnd::Invalid => {}
                    }
                    read_end = Some(end);
                }
            }
        }
        (write_state, wrote_before_close && read_end.is_none())
    };
    let Some(stream) = Arc::into_inner(stream) else { return };
    tokio::select! {
        () = async {
            match write_state {
                WriteState::ClosingAfterError => {
                    lingering_close_within(stream, LINGER_TIMEOUT, LINGER_MAX_BYTES).await
                }
                // Closing with unread data resets the connection, and the viewer could lose the bytes just
                // written.
                _ if linger => lingering_close(stream).await,
                _ => {}
            }
        } => {}
        // The event loop has dropped the handle to make room for another connection.
        () = async { while command_rx.recv().await.is_some() {} },
            if write_state == WriteState::ClosingAfterError => {}
    }
}

#[cfg(test)]
mod tests;
