//! A viewer's connection, as its task, the desk and the gates of its set-ups share it: what has come on it and was not
//! taken yet, whether its viewer is still there, and how much waits to be written to it.
//!
//! Nothing here waits behind another connection: that a viewer has closed its connection, or has given a set-up up, is
//! known at the gate of the set-up however many messages of others wait for the desk.

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

/// Most bytes that have come on one connection and wait for the desk; reading stops at them. Room for hundreds of
/// set-ups that are taken back at once: nothing is begun for one whose end was read.
const MOST_CAME: usize = 256 * 1024;
/// The same on all connections together; past them each may have one message waiting.
const MOST_CAME_ON_ALL: usize = 4 * 1024 * 1024;
/// What a message takes besides its own bytes.
const OF_ITSELF: usize = 128;
/// Most bytes that wait to be written to one connection, answers and releases together.
pub(crate) const MOST_QUEUED: usize = 1024 * 1024;

/// What came on a viewer's connection.
#[derive(Debug)]
pub(crate) enum Came {
    /// A whole message.
    Message(Message),
    /// What can't be read any further: it is owed an error with this status, and a close.
    Unreadable(u16, ReplyTarget),
}

#[derive(Debug, Default)]
struct State {
    came: VecDeque<Came>,
    bytes: usize,
    /// Nothing more comes: the viewer has closed its side, or the connection broke.
    ended: bool,
    /// The desk is told that there is something, and has not taken it yet.
    rung: bool,
}

/// Where all connections tell the desk that there is something.
#[derive(Debug)]
pub(crate) struct Bell {
    /// Each connection has one place at the most.
    rung: mpsc::Sender<ConnId>,
    /// Bytes that wait for the desk.
    waiting: AtomicUsize,
}

impl Bell {
    pub(crate) fn new(rung: mpsc::Sender<ConnId>) -> Arc<Self> {
        Arc::new(Bell { rung, waiting: AtomicUsize::new(0) })
    }
}

#[derive(Debug)]
pub(crate) struct Viewer {
    id: ConnId,
    /// Its task's: the connection ends with the task.
    stream: Weak<TcpStream>,
    state: Mutex<State>,
    /// The desk has taken what was there.
    taken: Notify,
    queued: AtomicUsize,
    bell: Arc<Bell>,
}

impl Viewer {
    pub(crate) fn new(id: ConnId, stream: &Arc<TcpStream>, bell: Arc<Bell>) -> Self {
        Viewer {
            id,
            stream: Arc::downgrade(stream),
            state: Mutex::default(),
            taken: Notify::new(),
            queued: AtomicUsize::new(0),
            bell,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether more may be put.
    pub(crate) fn has_room(&self) -> bool {
        let own = self.state().bytes;
        own == 0 || (own < MOST_CAME && self.bell.waiting.load(Relaxed) < MOST_CAME_ON_ALL)
    }

    /// Puts what came; `false`: the desk is gone.
    pub(crate) fn put(&self, came: Came) -> bool {
        let mut bytes = OF_ITSELF;
        if let Came::Message(m) = &came {
            bytes += m.body.len() + m.headers.iter().map(|(n, v)| n.len() + v.len()).sum::<usize>();
        }
        self.bell.waiting.fetch_add(bytes, Relaxed);
        let mut state = self.state();
        state.bytes += bytes;
        state.came.push_back(came);
        self.ring(&mut state)
    }

    /// Nothing more comes.
    pub(crate) fn end(&self) {
        let mut state = self.state();
        if !std::mem::replace(&mut state.ended, true) {
            self.ring(&mut state);
        }
    }

    fn ring(&self, state: &mut State) -> bool {
        state.rung = state.rung || self.bell.rung.try_send(self.id).is_ok();
        state.rung
    }

    /// All that came so far, for the desk, and whether nothing more does.
    pub(crate) fn take(&self) -> (VecDeque<Came>, bool) {
        let mut state = self.state();
        self.bell.waiting.fetch_sub(std::mem::take(&mut state.bytes), Relaxed);
        state.rung = false;
        self.taken.notify_one();
        (std::mem::take(&mut state.came), state.ended)
    }

    /// Waits until the desk has taken what was there. Cancel-safe.
    pub(crate) async fn taken(&self) {
        self.taken.notified().await;
    }

    /// Whether the viewer has closed its connection, its own side at the least. Asks the system itself: a close that is
    /// hidden behind bytes that were not read yet counts.
    pub(crate) fn has_closed(&self) -> bool {
        if self.state().ended {
            return true;
        }
        let Some(stream) = self.stream.upgrade() else { return true };
        let mut of = [PollFd::new(&*stream, PollFlags::RDHUP)];
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        // One that the system can't be asked about is taken for open: its task hears of the end.
        poll(&mut of, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok() && of[0].revents().intersects(closed)
    }

    /// Whether nobody waits for that set-up any more: its viewer has closed, or given it up.
    pub(crate) fn has_left(&self, sid: &str) -> bool {
        let gives_up = |came: &Came| match came {
            Came::Message(m) => {
                matches!(m.start_line, StartLine::Request { method: Method::Teardown, .. })
                    && m.header("Session") == Some(sid)
            }
            Came::Unreadable(..) => false,
        };
        self.state().came.iter().any(gives_up) || self.has_closed()
    }

    /// Counts bytes that are to be written; `false`: too many wait, its viewer does not read.
    fn queue(&self, bytes: usize) -> bool {
        self.queued.fetch_add(bytes, Relaxed) + bytes <= MOST_QUEUED
    }

    /// They are written.
    pub(crate) fn written(&self, bytes: usize) {
        self.queued.fetch_sub(bytes, Relaxed);
    }
}

impl Drop for Viewer {
    fn drop(&mut self) {
        let bytes = self.state().bytes;
        self.bell.waiting.fetch_sub(bytes, Relaxed);
    }
}

/// Who waits for a set-up, as its gate asks.
#[derive(Clone, Debug)]
pub(crate) struct Waits {
    pub(crate) viewer: Arc<Viewer>,
    pub(crate) sid: SessionId,
}

impl Waits {
    /// Whether nobody does any more.
    pub(crate) fn has_left(&self) -> bool {
        self.viewer.has_left(&self.sid)
    }
}

/// What a viewer's connection is to do.
#[derive(Debug)]
pub(crate) enum Reply {
    /// Write this.
    Write(Bytes),
    /// Write what came before, then close.
    Close,
}

/// The desk's hold on a viewer's connection. Dropping it closes the connection once what is queued is written.
#[derive(Debug)]
pub(crate) struct ViewerHold {
    pub(crate) replies: mpsc::Sender<Reply>,
    pub(crate) viewer: Arc<Viewer>,
}

impl ViewerHold {
    /// Queues bytes; `false`: its viewer reads too slowly, or the connection is gone.
    pub(crate) fn write(&self, bytes: Bytes) -> bool {
        self.viewer.queue(bytes.len()) && self.replies.try_send(Reply::Write(bytes)).is_ok()
    }

    /// Has it closed after what is queued; `false`: it can't be told, dropping the hold closes it.
    pub(crate) fn close(&self) -> bool {
        self.replies.try_send(Reply::Close).is_ok()
    }
}

#[cfg(test)]
mod tests;
