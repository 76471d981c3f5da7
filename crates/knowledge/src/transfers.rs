//! Sender's side of warm starts: a limit on concurrent transfers, and messages retained so that an interrupted
//! transfer can be resumed.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of retained messages.
const MAX_RETAINED: usize = 16;
/// Maximum total length of the retained messages.
const MAX_RETAINED_BYTES: usize = 64 * 1024 * 1024;
/// Time for which a message is retained for resumption.
const RETENTION_PERIOD: Duration = Duration::from_secs(10);

/// Encoded message, retained under its entity tag.
#[derive(Clone, Debug)]
pub struct RetainedMessage {
    /// HTTP entity tag.
    pub etag: u64,
    /// Encoded message.
    pub bytes: Arc<Vec<u8>>,
    expires_at: Duration,
}

/// A transfer was refused because the maximum number is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferRefused {
    /// Time after which the peer may retry.
    pub retry_after: Duration,
}

/// Running transfers of knowledge to peers, and retained messages.
#[derive(Debug)]
pub struct KnowledgeTransfers {
    max_running: usize,
    retry_after: Duration,
    running: usize,
    next_etag: u64,
    retained: VecDeque<RetainedMessage>,
}

impl KnowledgeTransfers {
    /// Allows `max_running` concurrent transfers; further peers may retry after `retry_after`.
    pub fn new(max_running: usize, retry_after: Duration) -> Self {
        KnowledgeTransfers { max_running, retry_after, running: 0, next_etag: 1, retained: VecDeque::new() }
    }

    /// Begins a transfer, which must be ended by [`KnowledgeTransfers::end`].
    ///
    /// # Errors
    /// The maximum number of transfers is running.
    pub fn begin(&mut self) -> Result<(), TransferRefused> {
        if self.running >= self.max_running {
            return Err(TransferRefused { retry_after: self.retry_after });
        }
        self.running += 1;
        Ok(())
    }

    /// Ends a transfer.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Retains a message for resumption and assigns its entity tag. Evicts expired messages, and the oldest ones
    /// beyond the limits.
    pub fn retain_message(&mut self, now: Duration, bytes: Vec<u8>) -> RetainedMessage {
        let message = RetainedMessage {
            etag: self.next_etag,
            bytes: Arc::new(bytes),
            expires_at: now + RETENTION_PERIOD,
        };
        self.next_etag += 1;
        self.retained.push_back(message.clone());
        while self.retained.front().is_some_and(|m| m.expires_at <= now)
            || self.retained.len() > MAX_RETAINED
            || self.retained.iter().map(|m| m.bytes.len()).sum::<usize>() > MAX_RETAINED_BYTES
        {
            self.retained.pop_front();
        }
        message
    }

    /// Returns a retained message that has not expired.
    pub fn retained_message(&self, now: Duration, etag: u64) -> Option<RetainedMessage> {
        self.retained.iter().find(|m| m.etag == etag && m.expires_at > now).cloned()
    }
}
