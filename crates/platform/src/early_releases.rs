//! Releases that video servers send before the session is established here.
//!
//! A server process may write a release on any of its connections. The release can overtake the response to the set-up,
//! which arrives on a connection of its own, and after a restart of the session manager it can arrive before the session
//! is handed over.

use cloverhollow_session::{AttemptId, SessionId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of stored releases; beyond it the oldest is dropped.
pub const MAX_EARLY_RELEASES: usize = 4_096;
/// Time for which a release is stored: as long as sessions are handed over after a start, and longer than any set-up
/// takes.
pub const RETENTION: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct EarlyRelease {
    process: SocketAddr,
    /// The attempt that was open at the process; `None` if the session was unknown.
    attempt: Option<AttemptId>,
    cause: i64,
    received_at: Duration,
}

/// Stored early releases, at most one for each session.
#[derive(Debug, Default)]
pub struct EarlyReleases {
    by_session: HashMap<SessionId, EarlyRelease>,
}

impl EarlyReleases {
    /// Stores a release that the process listening at `process` sent. `attempt` is the attempt that was open there, if
    /// the session was known.
    pub fn insert(
        &mut self,
        now: Duration,
        sid: SessionId,
        process: SocketAddr,
        attempt: Option<AttemptId>,
        cause: i64,
    ) {
        if self.by_session.len() >= MAX_EARLY_RELEASES {
            self.evict(now);
        }
        self.by_session.insert(sid, EarlyRelease { process, attempt, cause, received_at: now });
    }

    fn evict(&mut self, now: Duration) {
        self.by_session.retain(|_, release| release.received_at + RETENTION > now);
        if self.by_session.len() < MAX_EARLY_RELEASES {
            return;
        }
        let oldest = self.by_session.iter().min_by_key(|(_, release)| release.received_at);
        if let Some(sid) = oldest.map(|(sid, _)| sid.clone()) {
            self.by_session.remove(&sid);
        }
    }

    /// Removes the release of a session that is now established at `process`, and returns its cause if that process sent
    /// it within [`RETENTION`].
    pub fn take(&mut self, now: Duration, sid: &str, process: SocketAddr) -> Option<i64> {
        let release = self.by_session.remove(sid)?;
        (release.process == process && release.received_at + RETENTION > now).then_some(release.cause)
    }

    /// Drops the releases received during an attempt that ended without a session; they do not apply to the session of a
    /// later attempt.
    pub fn attempt_ended(&mut self, attempt: AttemptId) {
        self.by_session.retain(|_, release| release.attempt != Some(attempt));
    }
}
