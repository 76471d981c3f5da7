//! Records of the write-ahead log.

use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher24};
use std::hash::Hasher;
use std::time::Duration;

/// Id of a boot of the machine. Boot times of two boots cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootId(pub u128);

/// Time of a log record, on two clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp {
    /// Milliseconds since the machine's boot, suspends included (`CLOCK_BOOTTIME`).
    pub boot_ms: u64,
    /// Milliseconds since the Unix epoch. The wall clock may be set, so this is compared with the file's change time
    /// only.
    pub wall_ms: u64,
}

impl Timestamp {
    /// Age at `now`, which must be of the same boot.
    pub fn age(self, now: Timestamp) -> Duration {
        Duration::from_millis(now.boot_ms.saturating_sub(self.boot_ms))
    }
}

/// 128-bit digest of a session id (SipHash-2-4-128 without a secret key).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionDigest(pub u128);

/// Returns the digest of a session id.
pub fn session_digest(sid: &str) -> SessionDigest {
    let mut hasher = SipHasher24::new();
    hasher.write(sid.as_bytes());
    SessionDigest(hasher.finish128().as_u128())
}

/// Record that later incarnations of the front rely on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// An incarnation of the front starts.
    #[serde(rename = "Began")]
    IncarnationStarted {
        /// Boot of the machine.
        boot: BootId,
    },
    /// A set-up attempt is about to be sent. Written before the first byte of the attempt.
    #[serde(rename = "Out")]
    AttemptStarted {
        /// Session id.
        sid: String,
        /// Server id, as in the server list.
        server: u64,
        /// True for a paid session, which must be executed at most once.
        paid: bool,
        /// True if the attempt counts against the retry budget.
        #[serde(rename = "further")]
        is_retry: bool,
    },
    /// No attempt of a paid session was executed.
    #[serde(rename = "Unrun")]
    AttemptNotExecuted {
        /// Digest of the session id.
        sid: SessionDigest,
    },
    /// The server list has stopped new work at a server, or allows it again.
    #[serde(rename = "Listed")]
    ServerListed {
        /// Server id.
        server: u64,
        /// True if the server accepts new sessions.
        #[serde(rename = "serves")]
        accepts_sessions: bool,
    },
    /// An attempt failed as if the server's process had died, or succeeded for the first time since. The server is
    /// cold when it is back.
    #[serde(rename = "Failed")]
    ServerFailure {
        /// Server id.
        server: u64,
        /// True if the last result is a failure.
        failed: bool,
    },
    /// The incarnation shuts down cleanly.
    #[serde(rename = "Ended")]
    CleanShutdown,
    /// State that replaces all earlier records; the first record of a compacted log.
    #[serde(rename = "Whole")]
    Snapshot(Box<crate::ledger::Ledger>),
}
