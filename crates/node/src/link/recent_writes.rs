//! Releases that the video server is not known to have read.

use crate::messages::LinkCommand;
use bytes::{Bytes, BytesMut};
use cloverhollow_platform::lines::{self, Line, Verb};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Age at which written bytes count as read: it covers a round trip and the retransmission of a packet.
const ASSUMED_READ_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of written bytes that are retained; above it the oldest are dropped.
const MAX_RETAINED_BYTES: usize = 64 * 1024;

/// Recently written and still unwritten bytes of a link. A release that crosses the close of its connection
/// is sent again on another one: a duplicate is harmless, whereas a lost release leaves a session that nobody
/// uses.
#[derive(Debug, Default)]
pub(super) struct RecentWrites {
    /// Batches of bytes with the time at which the socket accepted the last byte; `None` while it has not.
    written_batches: VecDeque<(Option<Instant>, Bytes)>,
    retained_bytes: usize,
    unwritten_lines: Vec<Bytes>,
}

impl RecentWrites {
    /// Records that a batch is being written; all earlier batches are completely written.
    pub(super) fn begin_batch(&mut self, now: Instant, bytes: &[u8]) {
        self.drop_read(now);
        if bytes.is_empty() {
            return; // All commands of the batch were obsolete, so nothing is written.
        }
        while self.retained_bytes > MAX_RETAINED_BYTES {
            self.drop_oldest();
        }
        self.retained_bytes += bytes.len();
        self.written_batches.push_back((None, Bytes::copy_from_slice(bytes)));
    }

    /// Records that the socket accepted the last byte of the current batch.
    pub(super) fn finish_batch(&mut self, now: Instant) {
        if let Some((written_at, _)) = self.written_batches.back_mut() {
            *written_at = Some(now);
        }
    }

    fn drop_oldest(&mut self) {
        self.retained_bytes -=
            self.written_batches.pop_front().map_or(self.retained_bytes, |(_, old)| old.len());
    }

    /// Drops the batches that are old enough to count as read.
    fn drop_read(&mut self, now: Instant) {
        while self
            .written_batches
            .front()
            .is_some_and(|(at, _)| at.is_some_and(|at| at + ASSUMED_READ_AFTER < now))
        {
            self.drop_oldest();
        }
    }

    /// Records a command that was not executed. A set-up needs no record: its `SendDecision` proves that it
    /// never ran.
    pub(super) fn add_unwritten(&mut self, command: LinkCommand) {
        if let LinkCommand::Write(bytes) = command {
            self.unwritten_lines.push(bytes);
        }
    }

    /// Records that the server has read everything written so far.
    pub(super) fn mark_all_read(&mut self) {
        (self.written_batches, self.retained_bytes) = (VecDeque::new(), 0);
    }

    /// Returns the releases that may not have been read if the connection ended at `now`.
    pub(super) fn unread_releases(mut self, now: Instant) -> Vec<Line> {
        self.drop_read(now);
        let mut all = BytesMut::new();
        let written = self.written_batches.into_iter().map(|(_, bytes)| bytes);
        written.chain(self.unwritten_lines).for_each(|bytes| all.extend_from_slice(&bytes));
        let lines = std::iter::from_fn(|| lines::decode(&mut all).ok().flatten());
        lines.filter(|line| line.verb == Verb::Finish).collect()
    }
}
