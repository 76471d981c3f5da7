//! What the desk is told.

use crate::viewer::{ViewerHold, Waits};
use bytes::Bytes;
use cloverhollow_net::{Clock, SendDecision};
use cloverhollow_platform::channel::ChannelUpdate;
use cloverhollow_platform::config::Config;
use cloverhollow_platform::lines::Line;
use cloverhollow_platform::link_monitor::{LinkEndReason, LinkId};
use cloverhollow_platform::session_registry::ConnId;
use cloverhollow_session::AttemptId;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Most mails that wait for the desk, 16 KiB each at most; a sender past them waits, and with it its socket.
pub(crate) const MOST_MAILS: usize = 512;

/// Places of a connection's queue that are kept for its last bytes and its close.
const KEPT: usize = 2;

/// What the task of a connection to a video server is to do.
#[derive(Debug)]
pub(crate) enum Order {
    /// Write this.
    Write(Bytes),
    /// Write a set-up, unless it was recalled or has waited too long.
    Setup(First),
    /// Write what came before, then close, and read on for so long while the server does not close in turn.
    Close(Duration),
}

/// A set-up for a connection.
#[derive(Debug)]
pub(crate) struct First {
    pub(crate) attempt: AttemptId,
    pub(crate) line: Bytes,
    /// Settles whether its first byte goes out.
    pub(crate) gate: Arc<SendDecision>,
    /// If it has not gone out by then, it never does.
    pub(crate) until: Duration,
    pub(crate) clock: Clock,
    /// If nobody waits any more, it never does.
    pub(crate) waits: Option<Waits>,
}

/// Whether a set-up goes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Passed {
    /// Its first byte may be written, now.
    Goes,
    /// It was recalled, and the desk knows.
    Recalled,
    /// It was decided too long ago, or its viewer has left; the desk is to be told.
    Moot,
}

impl First {
    /// Passes the gate.
    pub(crate) fn pass(&self) -> Passed {
        if self.clock.now() > self.until || self.waits.as_ref().is_some_and(Waits::has_left) {
            Passed::Moot
        } else if self.gate.try_send() {
            Passed::Goes
        } else {
            Passed::Recalled
        }
    }
}

/// What was gathered besides bytes.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Gathered {
    /// A close comes behind them, and for how long it is read on.
    pub(crate) close: Option<Duration>,
    /// Set-ups among them that were moot: they were not written.
    pub(crate) moot: Vec<AttemptId>,
}

/// Gathers what is queued, beginning with `first`, into `out`, whose old bytes go.
pub(crate) fn gather(
    first: Option<Order>,
    orders: &mut mpsc::Receiver<Order>,
    out: &mut Vec<u8>,
) -> Gathered {
    out.clear();
    let (mut next, mut gathered) = (first, Gathered::default());
    loop {
        match next {
            Some(Order::Write(bytes)) => out.extend_from_slice(&bytes),
            Some(Order::Setup(setup)) => match setup.pass() {
                Passed::Goes => out.extend_from_slice(&setup.line),
                Passed::Recalled => {}
                Passed::Moot => gathered.moot.push(setup.attempt),
            },
            Some(Order::Close(linger)) => return Gathered { close: Some(linger), ..gathered },
            None => return Gathered { close: Some(Duration::ZERO), ..gathered },
        }
        match orders.try_recv() {
            Ok(order) => next = Some(order),
            Err(_) => return gathered,
        }
    }
}

/// The desk's hold on a connection to a video server. Dropping it closes the connection at once.
#[derive(Debug)]
pub(crate) struct Hold {
    pub(crate) orders: mpsc::Sender<Order>,
    pub(crate) task: AbortHandle,
}

impl Hold {
    /// Queues bytes; `false`: its peer reads too slowly, or the connection is gone.
    pub(crate) fn write(&self, bytes: Bytes) -> bool {
        self.orders.capacity() > KEPT && self.last(bytes)
    }

    /// Queues the last bytes before a close, for which a place is kept; `false`: the connection is gone.
    pub(crate) fn last(&self, bytes: Bytes) -> bool {
        self.orders.try_send(Order::Write(bytes)).is_ok()
    }

    /// Queues a set-up; gives it back if the queue is full or the connection is gone.
    pub(crate) fn setup(&self, setup: First) -> Result<(), First> {
        match self.orders.try_reserve() {
            Ok(place) if self.orders.capacity() >= KEPT => {
                place.send(Order::Setup(setup));
                Ok(())
            }
            _ => Err(setup),
        }
    }

    /// Whether its task has taken all that was queued.
    pub(crate) fn is_written(&self) -> bool {
        self.orders.is_closed() || self.orders.capacity() == self.orders.max_capacity()
    }

    /// Has it closed after what is queued, and read on for so long; `false`: it can't be told, dropping the hold closes it.
    pub(crate) fn close(&self, linger: Duration) -> bool {
        self.orders.try_send(Order::Close(linger)).is_ok()
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What happened.
#[derive(Debug)]
pub(crate) enum Mail {
    /// A viewer's connection came up.
    Opened(ConnId, ViewerHold),
    /// A connection to a video server came up, and its first line, if there is one, goes out.
    Up(LinkId),
    /// That set-up was not sent, and never will be on it: it was decided too long ago, or its viewer has left.
    Unsent(LinkId, AttemptId),
    /// A line of a video server.
    Line(LinkId, Line),
    /// A connection to a video server is gone or did not come up, and the releases of which it is not proven that they
    /// were read there.
    Down(LinkId, LinkEndReason, Vec<Line>),
    /// An event of the command channel, and on which of its streams it came.
    Told(u64, ChannelUpdate),
    /// A datagram of another session manager.
    Gossip(Bytes),
    /// The configuration was read again.
    Config(Box<Config>),
    /// The process is to end.
    Terminate,
}
