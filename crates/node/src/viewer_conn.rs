//! State of a viewer's connection, shared by its task, the event loop and the set-ups queued for it: received
//! and not yet processed messages, whether the viewer is still connected, and how many bytes wait to be
//! written.
//!
//! Nothing here waits for another connection. A closed connection or a TEARDOWN is visible to a queued set-up
//! however many messages of other connections the event loop has yet to process.

use bytes::Bytes;
use cloverhollow_platform::rtsp::{Message, Method, ReplyTarget, StartLine};
use cloverhollow_platform::session_registry::ConnId;
use cloverhollow_session::SessionId;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};

/// Maximum number of received bytes of one connection that wait for the event loop; reading pauses above it.
/// The limit holds hundreds of set-ups, so that a burst of set-ups and their TEARDOWNs is read in full and
/// none is started for a viewer that has already cancelled.
const MAX_PENDING_BYTES: usize = 256 * 1024;
/// Maximum number of received bytes of all connections that wait for the event loop; above it, each
/// connection may have one message waiting.
const MAX_TOTAL_PENDING_BYTES: usize = 4 * 1024 * 1024;
/// Memory accounted for a received message in addition to its own bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 128;
/// Maximum number of bytes, responses and releases together, that wait to be written to one connection.
pub(crate) const MAX_QUEUED_BYTES: usize = 1024 * 1024;

/// Item received on a viewer's connection.
#[derive(Debug)]
pub(crate) enum Received {
    /// A complete message.
    Message(Message),
    /// Data that cannot be parsed, or an incomplete message; it is answered with an error of this status,
    /// then the connection is closed.
    Invalid(u16, ReplyTarget),
}

#[derive(Debug, Default)]
struct State {
    pending: VecDeque<Received>,
    pending_bytes: usize,
    /// Nothing more will be received: the viewer has closed its side, or the connection broke.
    read_closed: bool,
    /// The event loop has been notified and has not taken the received items yet.
    is_notified: bool,
}

/// Notifies the event loop of connections that have received something.
#[derive(Debug)]
pub(crate) struct ReadyNotifier {
    /// Queue of ready connections; each connection is in it at most once.
    ready_tx: mpsc::Sender<ConnId>,
    /// Received bytes of all connections that wait for the event loop.
    pending_bytes: AtomicUsize,
}

impl ReadyNotifier {
    pub(crate) fn new(ready_tx: mpsc::Sender<ConnId>) -> Arc<Self> {
        Arc::new(ReadyNotifier { ready_tx, pending_bytes: AtomicUsize::new(0) })
    }
}

/// A viewer's connection, without the socket itself.
#[derive(Debug)]
pub(crate) struct ViewerConn {
    id: ConnId,
    /// Owned by the connection's task, so that the connection ends with the task.
    stream: Weak<TcpStream>,
    state: Mutex<State>,
    /// Signalled when the event loop has taken the received items.
    items_taken: Notify,
    /// Bytes that wait to be written.
    queued_bytes: AtomicUsize,
    notifier: Arc<ReadyNotifier>,
}

impl ViewerConn {
    pub(crate) fn new(id: ConnId, stream: &Arc<TcpStream>, notifier: Arc<ReadyNotifier>) -> Self {
        ViewerConn {
            id,
            stream: Arc::downgrade(stream),
            state: Mutex::default(),
            items_taken: Notify::new(),
            queued_bytes: AtomicUsize::new(0),
            notifier,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether another item may be received now.
    pub(crate) fn has_room(&self) -> bool {
        let own_bytes = self.state().pending_bytes;
        own_bytes == 0
            || (own_bytes < MAX_PENDING_BYTES
                && self.notifier.pending_bytes.load(Relaxed) < MAX_TOTAL_PENDING_BYTES)
    }

    /// Queues a received item for the event loop. Returns false if the event loop has ended.
    pub(crate) fn push_received(&self, item: Received) -> bool {
        let mut bytes = MESSAGE_OVERHEAD_BYTES;
        if let Received::Message(m) = &item {
            bytes += m.body.len() + m.headers.iter().map(|(n, v)| n.len() + v.len()).sum::<usize>();
        }
        self.notifier.pending_bytes.fetch_add(bytes, Relaxed);
        let mut state = self.state();
        state.pending_bytes += bytes;
        state.pending.push_back(item);
        self.notify(&mut state)
    }

    /// Records that nothing more will be received.
    pub(crate) fn close_read(&self) {
        let mut state = self.state();
        if !std::mem::replace(&mut state.read_closed, true) {
            self.notify(&mut state);
        }
    }

    fn notify(&self, state: &mut State) -> bool {
        state.is_notified = state.is_notified || self.notifier.ready_tx.try_send(self.id).is_ok();
        state.is_notified
    }

    /// Takes all received items, and whether nothing more will be received. Called by the event loop.
    pub(crate) fn take_received(&self) -> (VecDeque<Received>, bool) {
        let mut state = self.state();
        self.notifier.pending_bytes.fetch_sub(std::mem::take(&mut state.pending_bytes), Relaxed);
        state.is_notified = false;
        self.items_taken.notify_one();
        (std::mem::take(&mut state.pending), state.read_closed)
    }

    /// Waits until the event loop has taken the received items. Cancel-safe.
    pub(crate) async fn wait_taken(&self) {
        self.items_taken.notified().await;
    }

    /// Returns whether the viewer has closed at least its own side of the connection. Queries the socket
    /// directly, so that a close behind unread bytes is detected too.
    pub(crate) fn has_closed(&self) -> bool {
        if self.state().read_closed {
            return true;
        }
        let Some(stream) = self.stream.upgrade() else { return true };
        let mut fds = [PollFd::new(&*stream, PollFlags::RDHUP)];
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        // If the query fails, the connection counts as open; its task will detect the end.
        poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok()
            && fds[0].revents().intersects(closed)
    }

    /// Returns whether the viewer has abandoned the set-up, by a pending TEARDOWN or by closing the
    /// connection.
    pub(crate) fn has_abandoned(&self, sid: &str) -> bool {
        let is_teardown = |item: &Received| match item {
            Received::Message(m) => {
                matches!(m.start_line, StartLine::Request { method: Method::Teardown, .. })
                    && m.header("Session") == Some(sid)
            }
            Received::Invalid(..) => false,
        };
        self.state().pending.iter().any(is_teardown) || self.has_closed()
    }

    /// Adds to the bytes that wait to be written. Returns false if there are too many because the viewer does
    /// not read.
    fn add_queued(&self, bytes: usize) -> bool {
        self.queued_bytes.fetch_add(bytes, Relaxed) + bytes <= MAX_QUEUED_BYTES
    }

    /// Returns whether the system has accepted all bytes that were queued.
    pub(crate) fn is_all_written(&self) -> bool {
        self.queued_bytes.load(Relaxed) == 0
    }

    /// Subtracts written bytes from those that wait to be written.
    pub(crate) fn remove_queued(&self, bytes: usize) {
        self.queued_bytes.fetch_sub(bytes, Relaxed);
    }
}

impl Drop for ViewerConn {
    fn drop(&mut self) {
        let bytes = self.state().pending_bytes;
        self.notifier.pending_bytes.fetch_sub(bytes, Relaxed);
    }
}

/// The viewer's side of a set-up that has not been sent yet.
#[derive(Clone, Debug)]
pub(crate) struct SetupWaiter {
    pub(crate) conn: Arc<ViewerConn>,
    pub(crate) sid: SessionId,
}

impl SetupWaiter {
    /// Returns whether the viewer no longer waits for the set-up.
    pub(crate) fn has_abandoned(&self) -> bool {
        self.conn.has_abandoned(&self.sid)
    }
}

/// Command to the task of a viewer's connection.
#[derive(Debug)]
pub(crate) enum ViewerCommand {
    /// Write these bytes.
    Write(Bytes),
    /// Write everything queued before, then close.
    Close,
}

/// The event loop's handle to a viewer's connection. Dropping it closes the connection after the queued bytes
/// are written.
#[derive(Debug)]
pub(crate) struct ViewerHandle {
    pub(crate) command_tx: mpsc::Sender<ViewerCommand>,
    pub(crate) conn: Arc<ViewerConn>,
}

impl ViewerHandle {
    /// Queues bytes. Returns false if the viewer reads too slowly or the connection has ended.
    pub(crate) fn write(&self, bytes: Bytes) -> bool {
        self.conn.add_queued(bytes.len()) && self.command_tx.try_send(ViewerCommand::Write(bytes)).is_ok()
    }

    /// Closes the connection after the queued bytes. Returns false if the command could not be queued;
    /// dropping the handle then closes the connection.
    pub(crate) fn close(&self) -> bool {
        self.command_tx.try_send(ViewerCommand::Close).is_ok()
    }
}

#[cfg(test)]
mod tests;
