//! What is taken down, and when.

use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher24};
use std::hash::Hasher;
use std::time::Duration;

/// The machine's boot: times of two boots are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootId(pub u128);

/// When something was taken down, on two clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp {
    /// Milliseconds since the machine's boot, its suspends included (`CLOCK_BOOTTIME`).
    pub boot_ms: u64,
    /// Milliseconds since 1970 by the machine's wall clock, which may be set: only ever compared with the
    /// file's own time of change.
    pub wall_ms: u64,
}

impl Timestamp {
    /// How long ago it was, within one boot.
    pub fn age(self, now: Timestamp) -> Duration {
        Duration::from_millis(now.boot_ms.saturating_sub(self.boot_ms))
    }
}

/// 128 bits that stand for a session's id (SipHash-2-4-128 without a secret key).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionDigest(pub u128);

/// The digest of a session's id.
pub fn session_digest(sid: &str) -> SessionDigest {
    let mut hasher = SipHasher24::new();
    hasher.write(sid.as_bytes());
    SessionDigest(hasher.finish128().as_u128())
}

/// One thing that a later life must know of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// A life begins.
    #[serde(rename = "Began")]
    IncarnationStarted {
        /// In which boot.
        boot: BootId,
    },
    /// An attempt is about to go out: on the paper before its first byte may be sent.
    #[serde(rename = "Out")]
    AttemptStarted {
        /// The playback session.
        sid: String,
        /// The server, as the list names it.
        server: u64,
        /// It may take effect once only (rule 2).
        paid: bool,
        /// It is not its session's first (rule 6).
        #[serde(rename = "further")]
        is_retry: bool,
    },
    /// It is proven that no attempt of that paid session ran after all.
    #[serde(rename = "Unrun")]
    AttemptNotExecuted {
        /// Which session.
        sid: SessionDigest,
    },
    /// The list's word on a server that this front was told takes no new work, or takes it again (rule 3).
    #[serde(rename = "Listed")]
    ServerListed {
        /// Which server.
        server: u64,
        /// Whether it takes new work.
        #[serde(rename = "serves")]
        accepts_sessions: bool,
    },
    /// An attempt at a server ended as one does whose process is gone, or one worked again after that (rule 4: it
    /// is cold when it is back).
    #[serde(rename = "Failed")]
    ServerFailure {
        /// Which server.
        server: u64,
        /// Whether the last word is that it failed.
        failed: bool,
    },
    /// A life ends in order.
    #[serde(rename = "Ended")]
    CleanShutdown,
    /// All that the deeds before came to: the first of a file that was written anew.
    #[serde(rename = "Whole")]
    Snapshot(Box<crate::ledger::Ledger>),
}
