//! Releases of video servers that came before their sessions stand here.
//!
//! A process may write a release on any of its connections. It may overtake the answer to the set-up, which comes on a
//! connection of its own, and after a restart of the session manager it may come before the session is handed over.

use cloverhollow_session::{AttemptId, SessionId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most of them; past that the oldest is dropped.
pub const MAX_EARLY_RELEASES: usize = 4_096;
/// So long one is kept: as long as sessions are handed over after a start, and longer than any set-up takes.
pub const RETENTION: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Early {
    process: SocketAddr,
    /// The attempt that was open there; `None`: the session was not known.
    attempt: Option<AttemptId>,
    cause: i64,
    at: Duration,
}

/// All that are kept.
#[derive(Debug, Default)]
pub struct EarlyReleases {
    by_session: HashMap<SessionId, Early>,
}

impl EarlyReleases {
    /// Keeps one of the process that listens at `process`.
    pub fn insert(
        &mut self,
        now: Duration,
        sid: SessionId,
        process: SocketAddr,
        attempt: Option<AttemptId>,
        cause: i64,
    ) {
        if self.by_session.len() >= MAX_EARLY_RELEASES {
            self.make_room(now);
        }
        self.by_session.insert(sid, Early { process, attempt, cause, at: now });
    }

    fn make_room(&mut self, now: Duration) {
        self.by_session.retain(|_, early| early.at + RETENTION > now);
        if self.by_session.len() < MAX_EARLY_RELEASES {
            return;
        }
        let oldest = self.by_session.iter().min_by_key(|(_, early)| early.at);
        if let Some(sid) = oldest.map(|(sid, _)| sid.clone()) {
            self.by_session.remove(&sid);
        }
    }

    /// That session stands at that process now: the cause of its release, if that has come.
    pub fn take(&mut self, now: Duration, sid: &str, process: SocketAddr) -> Option<i64> {
        let early = self.by_session.remove(sid)?;
        (early.process == process && early.at + RETENTION > now).then_some(early.cause)
    }

    /// That attempt ended without a session: what was said of its session meanwhile says nothing of another's.
    pub fn attempt_ended(&mut self, attempt: AttemptId) {
        self.by_session.retain(|_, early| early.attempt != Some(attempt));
    }
}
