//! Releases of which it is not proven that their server has read them.

use crate::messages::Order;
use bytes::{Bytes, BytesMut};
use cloverhollow_platform::lines::{self, Line, Verb};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// What was written so long before a connection broke was read: a round trip, and a packet that is sent again.
const READ: Duration = Duration::from_secs(1);
/// Most bytes kept of what was written; past them the oldest go.
const MOST: usize = 64 * 1024;

/// What was written lately, and what was to be written. A release that crosses the close of its connection is told
/// again on another: one that comes twice does no harm, one that is lost leaves a session that nobody holds.
#[derive(Debug, Default)]
pub(super) struct Lately {
    /// With when the last of it was taken by the system; `None`: it was not.
    written: VecDeque<(Option<Instant>, Bytes)>,
    bytes: usize,
    unwritten: Vec<Bytes>,
}

impl Lately {
    /// It is being written from now on; all before it has been.
    pub(super) fn writes(&mut self, now: Instant, bytes: &[u8]) {
        self.forget(now);
        while self.bytes > MOST {
            self.first_goes();
        }
        self.bytes += bytes.len();
        self.written.push_back((None, Bytes::copy_from_slice(bytes)));
    }

    /// The last of it was taken by the system.
    pub(super) fn wrote(&mut self, now: Instant) {
        if let Some((at, _)) = self.written.back_mut() {
            *at = Some(now);
        }
    }

    fn first_goes(&mut self) {
        self.bytes -= self.written.pop_front().map_or(self.bytes, |(_, old)| old.len());
    }

    /// What was written so long ago has been read.
    fn forget(&mut self, now: Instant) {
        while self.written.front().is_some_and(|(at, _)| at.is_some_and(|at| at + READ < now)) {
            self.first_goes();
        }
    }

    /// An order that was not carried out. A set-up proves by its gate that it never ran.
    pub(super) fn unwritten(&mut self, order: Order) {
        if let Order::Write(bytes) = order {
            self.unwritten.push(bytes);
        }
    }

    /// All that was written has been read.
    pub(super) fn read(&mut self) {
        (self.written, self.bytes) = (VecDeque::new(), 0);
    }

    /// The releases among what is kept, where it broke now.
    pub(super) fn releases(mut self, now: Instant) -> Vec<Line> {
        self.forget(now);
        let mut all = BytesMut::new();
        let written = self.written.into_iter().map(|(_, bytes)| bytes);
        written.chain(self.unwritten).for_each(|bytes| all.extend_from_slice(&bytes));
        let lines = std::iter::from_fn(|| lines::decode(&mut all).ok().flatten());
        lines.filter(|line| line.verb == Verb::Finish).collect()
    }
}
