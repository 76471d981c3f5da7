//! Messages between the event loop and the tasks that own sockets.

use crate::viewer_conn::{SetupWaiter, ViewerHandle};
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

/// Capacity of the event loop's queue; an event holds at most 16 KiB. When the queue is full, senders wait
/// and stop reading their sockets.
pub(crate) const MAX_QUEUED_EVENTS: usize = 512;

/// Slots of a link's command queue reserved for its last bytes and its close.
const RESERVED_SLOTS: usize = 2;

/// Command to the task of a connection to a video server.
#[derive(Debug)]
pub(crate) enum LinkCommand {
    /// Write these bytes.
    Write(Bytes),
    /// Write a set-up, unless it is cancelled or obsolete by then.
    Setup(PendingSetup),
    /// Write everything queued before, then shut down the write side and keep reading until the server closes
    /// too, at most for this time.
    Close(Duration),
}

/// A set-up that is queued on a link and not yet written.
#[derive(Debug)]
pub(crate) struct PendingSetup {
    pub(crate) attempt: AttemptId,
    /// Encoded START line.
    pub(crate) line: Bytes,
    /// Shared with the event loop, which may cancel the set-up until its first byte is written.
    pub(crate) send_decision: Arc<SendDecision>,
    /// Time on `clock` after which the set-up must not be sent any more.
    pub(crate) send_deadline: Duration,
    pub(crate) clock: Clock,
    /// Viewer waiting for the set-up, which is not sent if the viewer has left. `None` if the viewer is
    /// unknown.
    pub(crate) waiter: Option<SetupWaiter>,
}

/// Result of claiming the right to send a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendClaim {
    /// The first byte may be written now.
    Granted,
    /// The event loop has cancelled the set-up.
    Cancelled,
    /// The send deadline has passed or the viewer has left; the event loop must be notified.
    Obsolete,
}

impl PendingSetup {
    /// Decides, once and for all, whether the set-up may be written.
    pub(crate) fn claim_send(&self) -> SendClaim {
        if self.clock.now() > self.send_deadline
            || self.waiter.as_ref().is_some_and(SetupWaiter::has_abandoned)
        {
            SendClaim::Obsolete
        } else if self.send_decision.try_send() {
            SendClaim::Granted
        } else {
            SendClaim::Cancelled
        }
    }
}

/// Result of collecting queued commands, besides the bytes to write.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct CommandBatch {
    /// Time to keep reading after the close that follows the bytes; `None` if the link stays open.
    pub(crate) close_linger: Option<Duration>,
    /// Set-ups in the batch that were obsolete and therefore not written.
    pub(crate) obsolete: Vec<AttemptId>,
}

/// Replaces the contents of `out` with the bytes of `first` and of all commands queued behind it.
pub(crate) fn collect_commands(
    first: Option<LinkCommand>,
    command_rx: &mut mpsc::Receiver<LinkCommand>,
    out: &mut Vec<u8>,
) -> CommandBatch {
    out.clear();
    let (mut next, mut batch) = (first, CommandBatch::default());
    loop {
        match next {
            Some(LinkCommand::Write(bytes)) => out.extend_from_slice(&bytes),
            Some(LinkCommand::Setup(setup)) => match setup.claim_send() {
                SendClaim::Granted => out.extend_from_slice(&setup.line),
                SendClaim::Cancelled => {}
                SendClaim::Obsolete => batch.obsolete.push(setup.attempt),
            },
            Some(LinkCommand::Close(linger)) => return CommandBatch { close_linger: Some(linger), ..batch },
            None => return CommandBatch { close_linger: Some(Duration::ZERO), ..batch },
        }
        match command_rx.try_recv() {
            Ok(command) => next = Some(command),
            Err(_) => return batch,
        }
    }
}

/// The event loop's handle to the task of a connection to a video server. Dropping it closes the connection
/// at once.
#[derive(Debug)]
pub(crate) struct LinkHandle {
    pub(crate) command_tx: mpsc::Sender<LinkCommand>,
    pub(crate) task: AbortHandle,
}

impl LinkHandle {
    /// Queues bytes. Returns false if the queue is full because the server reads too slowly, or if the
    /// connection has ended.
    pub(crate) fn write(&self, bytes: Bytes) -> bool {
        self.command_tx.capacity() > RESERVED_SLOTS && self.write_last(bytes)
    }

    /// Queues the last bytes before a close, in a reserved slot. Returns false if the connection has ended.
    pub(crate) fn write_last(&self, bytes: Bytes) -> bool {
        self.command_tx.try_send(LinkCommand::Write(bytes)).is_ok()
    }

    /// Queues a set-up; returns it as the error if the queue is full or the connection has ended.
    pub(crate) fn send_setup(&self, setup: PendingSetup) -> Result<(), PendingSetup> {
        match self.command_tx.try_reserve() {
            Ok(slot) if self.command_tx.capacity() >= RESERVED_SLOTS => {
                slot.send(LinkCommand::Setup(setup));
                Ok(())
            }
            _ => Err(setup),
        }
    }

    /// Returns whether the task has received every queued command.
    pub(crate) fn is_queue_empty(&self) -> bool {
        self.command_tx.is_closed() || self.command_tx.capacity() == self.command_tx.max_capacity()
    }

    /// Closes the connection after the queued bytes and keeps reading for `linger`. Returns false if the
    /// command could not be queued; dropping the handle then closes the connection.
    pub(crate) fn close(&self, linger: Duration) -> bool {
        self.command_tx.try_send(LinkCommand::Close(linger)).is_ok()
    }
}

impl Drop for LinkHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Item of the event loop's queue.
#[derive(Debug)]
pub(crate) enum LoopEvent {
    /// A viewer connected.
    ViewerConnected(ConnId, ViewerHandle),
    /// A connection to a video server was established; its first set-up, if any, is written next.
    LinkUp(LinkId),
    /// The set-up was not sent on this link and never will be: its deadline passed, or its viewer has left.
    SetupNotSent(LinkId, AttemptId),
    /// A line from a video server.
    LineReceived(LinkId, Line),
    /// A connection to a video server ended or could not be established. The lines are releases that the
    /// server may not have read.
    LinkDown(LinkId, LinkEndReason, Vec<Line>),
    /// An update from the command channel, with the number of the stream that delivered it.
    ChannelUpdate(u64, ChannelUpdate),
    /// A datagram from another session manager.
    GossipReceived(Bytes),
    /// The configuration file was reloaded.
    ConfigReloaded(Box<Config>),
    /// The process was asked to terminate.
    Terminate,
}
