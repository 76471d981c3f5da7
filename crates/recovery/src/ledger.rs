//! What the deeds of all lives add up to.

use crate::log_record::{session_digest, BootId, LogRecord, Timestamp};
use crate::paid::PaidSessions;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// How much a ledger holds at most; past each the oldest goes first.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// PaidSessions sessions.
    pub paid_sessions: usize,
    /// Further attempts. Past them the ledger no longer knows as far back as it did, and says so.
    pub retries: usize,
    /// Servers that take no new work, and servers that failed.
    pub servers: usize,
    /// Sessions that a server may still hold.
    pub unreleased: usize,
    /// Starts.
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

/// A life's beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    /// When.
    #[serde(rename = "at")]
    pub started_at: Timestamp,
    /// In which boot.
    pub boot: BootId,
    /// Whether it ended in order.
    #[serde(rename = "ended")]
    pub clean_shutdown: bool,
}

/// A session that a server may hold for a front that is dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreleasedSession {
    /// The session.
    pub sid: String,
    /// The server.
    pub server: u64,
}

/// The state that deeds add up to. [`Ledger::apply`] is all that changes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// PaidSessions sessions that may have run, the oldest first.
    #[serde(rename = "paid")]
    paid_sessions: PaidSessions,
    /// Further attempts of this boot, the oldest first.
    #[serde(rename = "further")]
    retries: VecDeque<Timestamp>,
    /// All further attempts after this are in `further`; `None`: all that there ever were.
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
    /// A ledger that does not know what was before.
    pub fn unknown_before(now: Timestamp) -> Self {
        Ledger { retries_complete_since: Some(now), ..Ledger::default() }
    }

    /// Takes one deed in.
    pub fn apply(&mut self, at: Timestamp, deed: &LogRecord, bounds: &LedgerLimits) {
        self.last_record_at = self.last_record_at.max(Some(at));
        match deed {
            LogRecord::IncarnationStarted { boot } => {
                if self.incarnations.back().is_some_and(|s| s.boot != *boot) {
                    // Times of another boot say nothing in this one.
                    self.retries.clear();
                    self.retries_complete_since = Some(at);
                    self.last_record_at = Some(at);
                }
                self.unreleased.clear();
                push(
                    &mut self.incarnations,
                    IncarnationRecord { started_at: at, boot: *boot, clean_shutdown: false },
                    bounds.incarnations,
                );
            }
            LogRecord::AttemptStarted { sid, server, paid, is_retry: further } => {
                if *paid {
                    self.paid_sessions.insert(session_digest(sid), bounds.paid_sessions);
                    push(
                        &mut self.unreleased,
                        UnreleasedSession { sid: sid.clone(), server: *server },
                        bounds.unreleased,
                    );
                }
                if *further {
                    if let Some(lost) = push(&mut self.retries, at, bounds.retries) {
                        self.retries_complete_since = self.retries_complete_since.max(Some(lost));
                    }
                }
            }
            LogRecord::AttemptNotExecuted { sid } => {
                self.paid_sessions.remove(*sid);
                self.unreleased.retain(|h| session_digest(&h.sid) != *sid);
            }
            LogRecord::ServerListed { server, accepts_sessions: true } => {
                self.stopped.remove(server);
            }
            LogRecord::ServerListed { server, accepts_sessions: false } => {
                if self.stopped.len() < bounds.servers {
                    self.stopped.insert(*server);
                }
            }
            LogRecord::ServerFailure { server, failed: false } => {
                self.failed.remove(server);
            }
            LogRecord::ServerFailure { server, failed: true } => {
                if self.failed.len() < bounds.servers {
                    self.failed.insert(*server);
                }
            }
            LogRecord::CleanShutdown => {
                self.unreleased.clear();
                if let Some(start) = self.incarnations.back_mut() {
                    start.clean_shutdown = true;
                }
            }
            LogRecord::Snapshot(all) => *self = (**all).clone(),
        }
    }

    /// Forgets further attempts that are older than `span`: what is older than any ration's span counts no
    /// more. A later life with a longer span is told that they are not known.
    pub fn forget_retries(&mut self, now: Timestamp, span: std::time::Duration) {
        while let Some(at) = self.retries.front().copied().filter(|at| at.age(now) > span) {
            self.retries.pop_front();
            self.retries_complete_since = self.retries_complete_since.max(Some(at));
        }
    }

    /// PaidSessions sessions that may have run, the oldest first.
    pub fn paid_sessions(&self) -> &PaidSessions {
        &self.paid_sessions
    }

    /// Further attempts, the oldest first.
    pub fn retries(&self) -> impl Iterator<Item = Timestamp> + '_ {
        self.retries.iter().copied()
    }

    /// Since when those are all; `None`: for ever.
    pub fn retries_complete_since(&self) -> Option<Timestamp> {
        self.retries_complete_since
    }

    /// Servers that this front was told take no new work.
    pub fn stopped(&self) -> &BTreeSet<u64> {
        &self.stopped
    }

    /// Servers that failed, and did not work since.
    pub fn failed(&self) -> &BTreeSet<u64> {
        &self.failed
    }

    /// PaidSessions sessions that servers may hold for this front's last life.
    pub fn unreleased(&self) -> impl Iterator<Item = &UnreleasedSession> {
        self.unreleased.iter()
    }

    /// The last lives' beginnings, the oldest first.
    pub fn incarnations(&self) -> impl DoubleEndedIterator<Item = &IncarnationRecord> {
        self.incarnations.iter()
    }

    /// When the last deed was taken down.
    pub fn last_record_at(&self) -> Option<Timestamp> {
        self.last_record_at
    }
}

/// Puts one in, and gives the oldest where that is one too many.
fn push<T>(all: &mut VecDeque<T>, one: T, most: usize) -> Option<T> {
    all.push_back(one);
    if all.len() > most {
        all.pop_front()
    } else {
        None
    }
}
