//! Memory that the data of all viewers' connections takes up in this process, and its limits.

use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// Part of the process's memory that received messages may take up, and as much again for bytes to be written.
const MEMORY_DIVISOR: u64 = 16;
/// Lowest limit, for some hundred messages of any length.
const MIN_BYTES: u64 = 1024 * 1024;
/// Highest limit; more than this is not processed within a viewer's waiting time.
const MAX_BYTES: u64 = 4 * 1024 * 1024;
/// Bytes in one unit of the configured limit.
const BYTES_PER_MB: u64 = 1024 * 1024;
/// Memory accounted for a queued write in addition to its bytes.
const WRITE_OVERHEAD_BYTES: usize = 128;

/// Memory taken up by the data of all viewers' connections.
#[derive(Debug)]
pub(crate) struct ViewerMemory {
    /// Limit on received messages, and on bytes to be written.
    max_bytes: usize,
    received_bytes: AtomicUsize,
    queued_bytes: AtomicUsize,
}

impl ViewerMemory {
    /// `process_mb` is the memory limit of the process, in MB; `None` if there is none.
    pub(crate) fn new(process_mb: Option<u64>) -> Self {
        let share = process_mb.map_or(MAX_BYTES, |mb| mb.saturating_mul(BYTES_PER_MB) / MEMORY_DIVISOR);
        ViewerMemory {
            max_bytes: share.clamp(MIN_BYTES, MAX_BYTES) as usize,
            received_bytes: AtomicUsize::new(0),
            queued_bytes: AtomicUsize::new(0),
        }
    }

    pub(super) fn add_received(&self, bytes: usize) {
        self.received_bytes.fetch_add(bytes, Relaxed);
    }

    pub(super) fn remove_received(&self, bytes: usize) {
        self.received_bytes.fetch_sub(bytes, Relaxed);
    }

    /// Returns whether received messages take up as much as they may.
    pub(super) fn is_receive_limit_reached(&self) -> bool {
        self.received_bytes.load(Relaxed) >= self.max_bytes
    }

    pub(super) fn add_queued(&self, bytes: usize) {
        self.queued_bytes.fetch_add(bytes + WRITE_OVERHEAD_BYTES, Relaxed);
    }

    /// Removes `writes` queued writes of `bytes` altogether.
    pub(super) fn remove_queued(&self, writes: usize, bytes: usize) {
        self.queued_bytes.fetch_sub(bytes + writes * WRITE_OVERHEAD_BYTES, Relaxed);
    }

    /// Returns whether the bytes to be written take up as much as they may.
    pub(super) fn is_write_limit_reached(&self) -> bool {
        self.queued_bytes.load(Relaxed) >= self.max_bytes
    }
}
