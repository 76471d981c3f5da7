//! Items received on a viewer's connection that wait for the event loop.

use cloverhollow_platform::rtsp::{Message, Method, ReplyTarget, StartLine};
use std::collections::VecDeque;
use std::mem::size_of;

/// Item received on a viewer's connection.
#[derive(Debug)]
pub(crate) enum Received {
    /// A complete message.
    Message(Message),
    /// Data that cannot be parsed, or an incomplete message; it is answered with an error of this status,
    /// then the connection is closed.
    Invalid(u16, ReplyTarget),
}

impl Received {
    /// Memory that the item takes up in a queue.
    fn memory_bytes(&self) -> usize {
        let heap_bytes = match self {
            Received::Message(message) => message.heap_bytes(),
            Received::Invalid(..) => 0,
        };
        size_of::<Received>() + heap_bytes
    }

    /// Returns whether the item is a TEARDOWN of that session.
    fn is_teardown_of(&self, sid: &str) -> bool {
        let Received::Message(message) = self else { return false };
        matches!(message.start_line, StartLine::Request { method: Method::Teardown, .. })
            && message.header("Session") == Some(sid)
    }
}

/// Items taken by the event loop.
#[derive(Debug, Default)]
pub(crate) struct ReceivedBatch {
    pub(crate) items: VecDeque<Received>,
    /// Nothing follows these items: the viewer has closed its side, or the connection broke.
    pub(crate) read_closed: bool,
}

/// Queue of received items with the memory that they take up.
#[derive(Debug, Default)]
pub(super) struct ReceivedQueue {
    items: VecDeque<Received>,
    bytes: usize,
}

impl ReceivedQueue {
    /// Adds an item and returns the memory that it takes up.
    pub(super) fn push(&mut self, item: Received) -> usize {
        let bytes = item.memory_bytes();
        self.bytes += bytes;
        self.items.push_back(item);
        bytes
    }

    /// Takes the oldest items, at most `max`. Returns them with the memory that they took up.
    pub(super) fn take(&mut self, max: usize) -> (VecDeque<Received>, usize) {
        if self.items.len() <= max {
            return (std::mem::take(&mut self.items), std::mem::take(&mut self.bytes));
        }
        let taken: VecDeque<Received> = self.items.drain(..max).collect();
        let bytes = taken.iter().map(Received::memory_bytes).sum();
        self.bytes -= bytes;
        (taken, bytes)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Memory that the items take up.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether a TEARDOWN of the session is among the items.
    pub(super) fn has_teardown(&self, sid: &str) -> bool {
        self.items.iter().any(|item| item.is_teardown_of(sid))
    }
}
