//! State of a viewer's connection, shared by its task, the event loop and the set-ups queued for it: received
//! and not yet processed messages, whether the viewer is still connected, and how many bytes wait to be
//! written.
//!
//! Nothing here waits for another connection. A closed connection or a TEARDOWN is visible to a queued set-up
//! however many messages of other connections the event loop has yet to process.

mod handle;
mod memory;
mod received;

pub(crate) use handle::{SetupWaiter, ViewerCommand, ViewerHandle};
pub(crate) use memory::ViewerMemory;
pub(crate) use received::{Received, ReceivedBatch};

use cloverhollow_platform::session_registry::ConnId;
use received::ReceivedQueue;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};

/// Maximum memory of received messages of one connection that wait for the event loop; reading pauses above it.
/// The limit holds hundreds of set-ups, so that a burst of set-ups and their TEARDOWNs is read in full and
/// none is started for a viewer that has already cancelled.
const MAX_RECEIVED_BYTES: usize = 512 * 1024;
/// Memory of received messages that each connection may have although all connections together have reached
/// their limit.
const MIN_RECEIVED_BYTES: usize = 4 * 1024;
/// Maximum number of bytes, responses and releases together, that wait to be written to one connection.
pub(crate) const MAX_QUEUED_BYTES: usize = 1024 * 1024;
/// Number of bytes waiting to be written above which no further requests of a connection are handled: its viewer
/// reads more slowly than it sends.
const MAX_UNREAD_BYTES: usize = 64 * 1024;

#[derive(Debug, Default)]
struct State {
    received: ReceivedQueue,
    /// Nothing more will be received: the viewer has closed its side, or the connection broke.
    read_closed: bool,
    /// The event loop has been notified and has not taken the received items yet.
    is_notified: bool,
    /// The received items wait until the viewer has read what is queued for it.
    is_deferred: bool,
}

/// Notifies the event loop of connections that have received something.
#[derive(Debug)]
pub(crate) struct ReadyNotifier {
    /// Queue of ready connections; each connection is in it at most once.
    ready_tx: mpsc::Sender<ConnId>,
    memory: ViewerMemory,
}

impl ReadyNotifier {
    pub(crate) fn new(ready_tx: mpsc::Sender<ConnId>, memory: ViewerMemory) -> Arc<Self> {
        Arc::new(ReadyNotifier { ready_tx, memory })
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
    /// Number of writes that these bytes were queued by.
    queued_writes: AtomicUsize,
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
            queued_writes: AtomicUsize::new(0),
            notifier,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether another item may be received now.
    pub(crate) fn has_room(&self) -> bool {
        let bytes = self.state().received.bytes();
        bytes < MIN_RECEIVED_BYTES
            || (bytes < MAX_RECEIVED_BYTES && !self.notifier.memory.is_receive_limit_reached())
    }

    /// Queues a received item for the event loop. Returns false if the event loop has ended.
    pub(crate) fn push_received(&self, item: Received) -> bool {
        let mut state = self.state();
        self.notifier.memory.add_received(state.received.push(item));
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

    /// Takes the oldest received items, at most `max_items`. The event loop is notified again if more are left.
    ///
    /// Takes nothing while the viewer reads more slowly than it sends; the event loop is notified once it has read.
    pub(crate) fn take_batch(&self, max_items: usize) -> ReceivedBatch {
        let mut state = self.state();
        state.is_notified = false;
        state.is_deferred = !state.read_closed && self.has_unread_output();
        if state.is_deferred {
            return ReceivedBatch::default();
        }
        let batch = self.take(&mut state, max_items);
        if !state.received.is_empty() {
            self.notify(&mut state);
        }
        batch
    }

    /// Takes all received items.
    pub(crate) fn take_received(&self) -> ReceivedBatch {
        let mut state = self.state();
        (state.is_notified, state.is_deferred) = (false, false);
        self.take(&mut state, usize::MAX)
    }

    fn take(&self, state: &mut State, max_items: usize) -> ReceivedBatch {
        let (items, bytes) = state.received.take(max_items);
        self.notifier.memory.remove_received(bytes);
        self.items_taken.notify_one();
        ReceivedBatch { items, read_closed: state.read_closed && state.received.is_empty() }
    }

    /// Returns whether the viewer has abandoned the set-up by what has been received: a TEARDOWN that the event loop
    /// has not taken yet, or a close.
    pub(crate) fn has_received_end(&self, sid: &str) -> bool {
        let state = self.state();
        state.read_closed || state.received.has_teardown(sid)
    }

    /// Returns whether received items wait for the event loop.
    pub(crate) fn has_received(&self) -> bool {
        !self.state().received.is_empty()
    }

    /// Returns whether the viewer has so much to read that none of its requests are handled until it has.
    fn has_unread_output(&self) -> bool {
        let bytes = self.queued_bytes.load(Relaxed);
        bytes > MAX_UNREAD_BYTES || (bytes > 0 && self.notifier.memory.is_write_limit_reached())
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
        self.has_received_end(sid) || self.has_closed()
    }

    /// Adds to the bytes that wait to be written. Returns false if there are too many because the viewer does
    /// not read.
    fn add_queued(&self, bytes: usize) -> bool {
        self.queued_writes.fetch_add(1, Relaxed);
        self.notifier.memory.add_queued(bytes);
        self.queued_bytes.fetch_add(bytes, Relaxed) + bytes <= MAX_QUEUED_BYTES
    }

    /// Returns whether the system has accepted all bytes that were queued.
    pub(crate) fn is_all_written(&self) -> bool {
        self.queued_bytes.load(Relaxed) == 0
    }

    /// Subtracts `writes` of `bytes` altogether, which the system has accepted, from those that wait. Requests that
    /// waited for this are handled now.
    pub(crate) fn remove_queued(&self, writes: usize, bytes: usize) {
        self.queued_writes.fetch_sub(writes, Relaxed);
        self.queued_bytes.fetch_sub(bytes, Relaxed);
        self.notifier.memory.remove_queued(writes, bytes);
        let mut state = self.state();
        if state.is_deferred && !self.has_unread_output() {
            state.is_deferred = false;
            self.notify(&mut state);
        }
    }
}

impl Drop for ViewerConn {
    fn drop(&mut self) {
        let memory = &self.notifier.memory;
        memory.remove_received(self.state().received.bytes());
        memory.remove_queued(self.queued_writes.load(Relaxed), self.queued_bytes.load(Relaxed));
    }
}

#[cfg(test)]
mod tests;
