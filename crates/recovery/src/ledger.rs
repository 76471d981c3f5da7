//! State that the records of all incarnations add up to.

use crate::log_record::{session_digest, BootId, LogRecord, Timestamp};
use crate::paid::PaidSessions;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Maximum sizes of a ledger's parts. Sequences drop their oldest entries; full sets of servers accept no new ones.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Maximum number of paid sessions.
    pub paid_sessions: usize,
    /// Maximum number of retries. Dropping one moves [`Ledger::retries_complete_since`] forward.
    pub retries: usize,
    /// Maximum number of servers that accept no new sessions; also that of servers that failed.
    pub servers: usize,
    /// Maximum number of paid sessions that servers may hold for the last incarnation.
    pub unreleased: usize,
    /// Maximum number of incarnations, the current one included.
    pub incarnations: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        LedgerLimits {
            paid_sessions: 262_144,
            retries: 4_096,
            servers: 65_536,
            unreleased: 4_096,
            incarnations: 64,
        }
    }
}

/// Start and end of one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    /// Time of the start.
    #[serde(rename = "at")]
    pub started_at: Timestamp,
    /// Boot of the machine in which the incarnation ran.
    pub boot: BootId,
    /// True if the incarnation shut down cleanly.
    #[serde(rename = "ended")]
    pub clean_shutdown: bool,
}

/// Paid session that a server may hold for an incarnation that has crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreleasedSession {
    /// Session id.
    pub sid: String,
    /// Server id.
    pub server: u64,
}

/// State that the log records add up to, changed only by applying records and by [`Ledger::forget_retries`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Paid sessions that may have been executed, oldest first.
    #[serde(rename = "paid")]
    paid_sessions: PaidSessions,
    /// Times of the retries in this boot, oldest first.
    #[serde(rename = "further")]
    retries: VecDeque<Timestamp>,
    /// Time after which all retries are in `retries`. `None` if no retry was ever dropped.
    #[serde(rename = "known_from")]
    retries_complete_since: Option<Timestamp>,
    stopped: BTreeSet<u64>,
    failed: BTreeSet<u64>,
    #[serde(rename = "held")]
    unreleased: VecDeque<UnreleasedSession>,
    #[serde(rename = "starts")]
    incarnations: VecDeque<IncarnationRecord>,
    #[serde(rename = "last")]
    last_record_at: Option<Timestamp>,
}

impl Ledger {
    /// Creates a ledger that knows nothing of the time before `now`.
    pub fn with_unknown_history(now: Timestamp) -> Self {
        Ledger { retries_complete_since: Some(now), ..Ledger::default() }
    }

    /// Applies one record.
    pub fn apply(&mut self, timestamp: Timestamp, record: &LogRecord, limits: &LedgerLimits) {
        self.last_record_at = self.last_record_at.max(Some(timestamp));
        match record {
            LogRecord::IncarnationStarted { boot } => {
                if self.incarnations.back().is_some_and(|i| i.boot != *boot) {
                    // Times of another boot cannot be compared with those of this one.
                    self.retries.clear();
                    self.retries_complete_since = Some(timestamp);
                    self.last_record_at = Some(timestamp);
                }
                self.unreleased.clear();
                push_bounded(
                    &mut self.incarnations,
                    IncarnationRecord { started_at: timestamp, boot: *boot, clean_shutdown: false },
                    limits.incarnations,
                );
            }
            LogRecord::AttemptStarted { sid, server, paid, is_retry } => {
                if *paid {
                    self.paid_sessions.insert(session_digest(sid), limits.paid_sessions);
                    push_bounded(
                        &mut self.unreleased,
                        UnreleasedSession { sid: sid.clone(), server: *server },
                        limits.unreleased,
                    );
                }
                if *is_retry {
                    if let Some(dropped) = push_bounded(&mut self.retries, timestamp, limits.retries) {
                        self.retries_complete_since = self.retries_complete_since.max(Some(dropped));
                    }
                }
            }
            LogRecord::AttemptNotExecuted { sid } => {
                self.paid_sessions.remove(*sid);
                self.unreleased.retain(|session| session_digest(&session.sid) != *sid);
            }
            LogRecord::ServerListed { server, accepts_sessions: true } => {
                self.stopped.remove(server);
            }
            LogRecord::ServerListed { server, accepts_sessions: false } => {
                if self.stopped.len() < limits.servers {
                    self.stopped.insert(*server);
                }
            }
            LogRecord::ServerFailure { server, failed: false } => {
                self.failed.remove(server);
            }
            LogRecord::ServerFailure { server, failed: true } => {
                if self.failed.len() < limits.servers {
                    self.failed.insert(*server);
                }
            }
            LogRecord::CleanShutdown => {
                self.unreleased.clear();
                if let Some(incarnation) = self.incarnations.back_mut() {
                    incarnation.clean_shutdown = true;
                }
            }
            LogRecord::Snapshot(ledger) => *self = (**ledger).clone(),
        }
    }

    /// Drops retries older than `span`, the span of the retry budget. An incarnation with a longer span sees from
    /// [`Ledger::retries_complete_since`] that they are missing.
    pub fn forget_retries(&mut self, now: Timestamp, span: std::time::Duration) {
        while let Some(at) = self.retries.front().copied().filter(|at| at.age(now) > span) {
            self.retries.pop_front();
            self.retries_complete_since = self.retries_complete_since.max(Some(at));
        }
    }

    /// Paid sessions that may have been executed, oldest first.
    pub fn paid_sessions(&self) -> &PaidSessions {
        &self.paid_sessions
    }

    /// Times of the retries in this boot, oldest first.
    pub fn retries(&self) -> impl Iterator<Item = Timestamp> + '_ {
        self.retries.iter().copied()
    }

    /// Time after which [`Ledger::retries`] is complete. `None` if no retry was ever dropped.
    pub fn retries_complete_since(&self) -> Option<Timestamp> {
        self.retries_complete_since
    }

    /// Servers that accept no new sessions according to the server list.
    pub fn stopped(&self) -> &BTreeSet<u64> {
        &self.stopped
    }

    /// Servers that failed and have not succeeded since.
    pub fn failed(&self) -> &BTreeSet<u64> {
        &self.failed
    }

    /// Paid sessions that servers may hold for the last incarnation.
    pub fn unreleased(&self) -> impl Iterator<Item = &UnreleasedSession> {
        self.unreleased.iter()
    }

    /// Last incarnations, oldest first.
    pub fn incarnations(&self) -> impl DoubleEndedIterator<Item = &IncarnationRecord> {
        self.incarnations.iter()
    }

    /// Time of the last record.
    pub fn last_record_at(&self) -> Option<Timestamp> {
        self.last_record_at
    }
}

/// Appends an entry. If there are more than `max`, removes and returns the oldest.
fn push_bounded<T>(entries: &mut VecDeque<T>, entry: T, max: usize) -> Option<T> {
    entries.push_back(entry);
    if entries.len() > max {
        entries.pop_front()
    } else {
        None
    }
}
