//! The server side of warm starts: how many are fed at a time, and messages kept for those that were cut off.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Most messages kept, and their bytes together.
const MOST_KEPT: usize = 16;
const MOST_KEPT_BYTES: usize = 64 * 1024 * 1024;
/// Time that a message is kept for whoever was cut off.
const KEPT_FOR: Duration = Duration::from_secs(10);

/// A message kept under its tag.
#[derive(Clone, Debug)]
pub struct RetainedMessage {
    /// The tag (HTTP's entity tag).
    pub etag: u64,
    /// The bytes.
    pub bytes: Arc<Vec<u8>>,
    until: Duration,
}

/// Too many are fed: come back after this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferRefused {
    /// The hold-off.
    pub retry_after: Duration,
}

/// Counts feeds and keeps messages. Times are arguments.
#[derive(Debug)]
pub struct KnowledgeTransfers {
    most: usize,
    hold_off: Duration,
    running: usize,
    next: u64,
    kept: VecDeque<RetainedMessage>,
}

impl KnowledgeTransfers {
    /// Feeds `most` at a time; others are told to come back after `hold_off`.
    pub fn new(most: usize, hold_off: Duration) -> Self {
        KnowledgeTransfers { most, hold_off, running: 0, next: 1, kept: VecDeque::new() }
    }

    /// A feed begins. Each one that does must end by [`Feeds::end`].
    ///
    /// # Errors
    /// As many run as may.
    pub fn begin(&mut self) -> Result<(), TransferRefused> {
        if self.running >= self.most {
            return Err(TransferRefused { retry_after: self.hold_off });
        }
        self.running += 1;
        Ok(())
    }

    /// A feed ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Keeps a message for a while; its tag.
    pub fn retain_message(&mut self, now: Duration, bytes: Vec<u8>) -> RetainedMessage {
        let kept = RetainedMessage { etag: self.next, bytes: Arc::new(bytes), until: now + KEPT_FOR };
        self.next += 1;
        self.kept.push_back(kept.clone());
        while self.kept.front().is_some_and(|k| k.until <= now)
            || self.kept.len() > MOST_KEPT
            || self.kept.iter().map(|k| k.bytes.len()).sum::<usize>() > MOST_KEPT_BYTES
        {
            self.kept.pop_front();
        }
        kept
    }

    /// A message that is still kept.
    pub fn retained_message(&self, now: Duration, etag: u64) -> Option<RetainedMessage> {
        self.kept.iter().find(|k| k.etag == etag && k.until > now).cloned()
    }
}
