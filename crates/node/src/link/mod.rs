//! One connection to a video server, owned by a task of its own.

mod recent_writes;

use crate::messages::{
    collect_commands, CommandBatch, LinkCommand, LinkHandle, LoopEvent, PendingSetup, SendClaim,
};
use bytes::{Buf, BytesMut};
use cloverhollow_platform::lines;
use cloverhollow_platform::link_monitor::{LinkEndReason, LinkId};
use recent_writes::RecentWrites;
use socket2::SockRef;
use std::io::{Cursor, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, Instant};

/// Capacity of a link's command queue.
const MAX_QUEUED_COMMANDS: usize = 1_024;
/// Time after which a connection counts as broken if the server accepts none of the bytes written to it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes read from a connection after it broke.
const MAX_READ_AFTER_BREAK_BYTES: usize = 256 * 1024;

/// Parameters of a new connection.
pub(crate) struct LinkTarget {
    pub(crate) id: LinkId,
    pub(crate) address: SocketAddr,
    pub(crate) connect_timeout: Duration,
}

/// Connects in a new task, which sends [`LoopEvent::LinkDown`] when the connection ends. Aborting the task
/// closes the connection.
pub(crate) fn spawn(
    target: LinkTarget,
    first: Option<PendingSetup>,
    event_tx: mpsc::Sender<LoopEvent>,
) -> LinkHandle {
    let (command_tx, mut command_rx) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let task = tokio::spawn(async move {
        let (id, mut recent_writes) = (target.id, RecentWrites::default());
        let end = run(target, first, &mut command_rx, &mut recent_writes, &event_tx).await;
        // No more commands can be queued from here on, and those in the queue were never written.
        command_rx.close();
        while let Ok(command) = command_rx.try_recv() {
            recent_writes.add_unwritten(command);
        }
        let _ =
            event_tx.send(LoopEvent::LinkDown(id, end, recent_writes.unread_releases(Instant::now()))).await;
    });
    LinkHandle { command_tx, task: task.abort_handle() }
}

/// Cause of the end of an established connection.
enum TransferEnd {
    /// The connection was closed by either side, was reset, or timed out.
    Broken,
    /// A received line cannot be parsed.
    Malformed,
    /// The event loop has ended, so nobody needs to be notified.
    LoopEnded,
}

async fn run(
    target: LinkTarget,
    first: Option<PendingSetup>,
    command_rx: &mut mpsc::Receiver<LinkCommand>,
    recent_writes: &mut RecentWrites,
    event_tx: &mpsc::Sender<LoopEvent>,
) -> LinkEndReason {
    let id = target.id;
    let mut stream = match timeout(target.connect_timeout, TcpStream::connect(target.address)).await {
        Err(_) => return LinkEndReason::ConnectTimeout,
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return classify_connect_error(&e),
    };
    let _ = stream.set_nodelay(true);
    if event_tx.send(LoopEvent::LinkUp(id)).await.is_err() {
        return LinkEndReason::LocalError;
    }
    let mut out = Cursor::new(Vec::new());
    if let Some(first) = first {
        match first.claim_send() {
            SendClaim::Obsolete => {
                let _ = event_tx.send(LoopEvent::SetupNotSent(id, first.attempt)).await;
            }
            SendClaim::Cancelled => {}
            SendClaim::Granted => out.get_mut().extend_from_slice(&first.line),
        }
    }
    let mut buf = BytesMut::with_capacity(1_024);
    let end = transfer(&mut stream, id, command_rx, &mut out, &mut buf, recent_writes, event_tx).await;
    match end {
        TransferEnd::Broken if read_remaining(&stream, id, &mut buf, event_tx).await && buf.is_empty() => {
            LinkEndReason::Disconnected
        }
        TransferEnd::Broken | TransferEnd::Malformed => LinkEndReason::Corrupt,
        TransferEnd::LoopEnded => LinkEndReason::LocalError,
    }
}

/// Reads and writes until the connection ends. Neither side blocks the other, as a server that accepts no
/// bytes may still send lines. Every branch is cancel-safe: a partial write stays in `out`, a partial line in
/// `buf`.
async fn transfer(
    stream: &mut TcpStream,
    id: LinkId,
    command_rx: &mut mpsc::Receiver<LinkCommand>,
    out: &mut Cursor<Vec<u8>>,
    buf: &mut BytesMut,
    recent_writes: &mut RecentWrites,
    event_tx: &mpsc::Sender<LoopEvent>,
) -> TransferEnd {
    let (mut reader, mut writer) = stream.split();
    // Time by which the server must accept some bytes of `out`.
    let mut write_deadline = Instant::now() + WRITE_TIMEOUT;
    // Set once the connection is being closed here: the time until which it is read if the server does not
    // close it.
    let mut linger_until: Option<Instant> = None;
    loop {
        let writing = out.has_remaining();
        tokio::select! {
            biased;
            result = writer.write_buf(out), if writing => {
                if !matches!(result, Ok(n) if n > 0) {
                    return TransferEnd::Broken;
                }
                let now = Instant::now();
                write_deadline = now + WRITE_TIMEOUT;
                if !out.has_remaining() {
                    recent_writes.finish_batch(now);
                }
                if linger_until.is_some() && !out.has_remaining() && writer.shutdown().await.is_err() {
                    return TransferEnd::Broken;
                }
            }
            command = command_rx.recv(), if linger_until.is_none() && !writing => {
                // A close or reset received by now proves that a set-up waiting here was never sent.
                if is_closed_by_peer(reader.as_ref()) {
                    command.into_iter().for_each(|c| recent_writes.add_unwritten(c));
                    return TransferEnd::Broken;
                }
                out.set_position(0);
                let CommandBatch { close_linger, obsolete } = collect_commands(command, command_rx, out.get_mut());
                for attempt in obsolete {
                    if event_tx.send(LoopEvent::SetupNotSent(id, attempt)).await.is_err() {
                        return TransferEnd::LoopEnded;
                    }
                }
                let now = Instant::now();
                recent_writes.begin_batch(now, out.get_ref());
                write_deadline = now + WRITE_TIMEOUT;
                if let Some(linger) = close_linger {
                    linger_until = Some(Instant::now() + linger);
                    if !out.has_remaining() && writer.shutdown().await.is_err() {
                        return TransferEnd::Broken;
                    }
                }
            }
            read = reader.read_buf(buf) => match read {
                Ok(n) if n > 0 => if let Err(end) = forward_lines(id, buf, event_tx).await {
                    return end;
                },
                Ok(_) => {
                    if linger_until.is_some() && !out.has_remaining() {
                        recent_writes.mark_all_read(); // the server read to the end and closed in turn
                    }
                    return TransferEnd::Broken;
                }
                Err(_) => return TransferEnd::Broken,
            },
            () = sleep_until(write_deadline), if writing => return TransferEnd::Broken,
            () = sleep_until(linger_until.unwrap_or(write_deadline)), if linger_until.is_some() && !writing => {
                recent_writes.mark_all_read(); // the kernel delivers accepted bytes while the server is reachable
                return TransferEnd::Broken;
            }
        }
    }
}

/// Sends the complete lines in `buf` to the event loop.
async fn forward_lines(
    id: LinkId,
    buf: &mut BytesMut,
    event_tx: &mpsc::Sender<LoopEvent>,
) -> Result<(), TransferEnd> {
    loop {
        match lines::decode(buf) {
            Ok(Some(line)) => {
                event_tx.send(LoopEvent::LineReceived(id, line)).await.map_err(|_| TransferEnd::LoopEnded)?
            }
            Ok(None) => return Ok(()),
            Err(error) => {
                tracing::info!(link = id.0, %error, "cannot parse a line from a video server");
                return Err(TransferEnd::Malformed);
            }
        }
    }
}

/// Reads and forwards the lines that arrived before the connection broke, as an answer may be among them.
/// Returns whether all of them could be parsed.
async fn read_remaining(
    stream: &TcpStream,
    id: LinkId,
    buf: &mut BytesMut,
    event_tx: &mpsc::Sender<LoopEvent>,
) -> bool {
    let (socket, mut chunk, mut budget) = (SockRef::from(stream), [0; 4_096], MAX_READ_AFTER_BREAK_BYTES);
    while let Ok(n) = (&*socket).read(&mut chunk) {
        buf.extend_from_slice(&chunk[..n]);
        budget = budget.saturating_sub(n);
        if forward_lines(id, buf, event_tx).await.is_err() {
            return false;
        }
        if n == 0 || budget == 0 {
            break;
        }
    }
    true
}

/// Returns whether the server has closed or reset the connection. Queries the socket directly, because Tokio
/// learns of a close only at its next poll, and a set-up written until then would count as possibly executed.
fn is_closed_by_peer(stream: &TcpStream) -> bool {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(n) => n == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

/// Maps a connect error to its meaning for the server's state.
fn classify_connect_error(error: &std::io::Error) -> LinkEndReason {
    match error.kind() {
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => LinkEndReason::Refused,
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
            LinkEndReason::ConnectTimeout
        }
        // Local descriptors or ports ran out, which says nothing about the server.
        _ => LinkEndReason::LocalError,
    }
}

#[cfg(test)]
mod tests;
