//! State that passes between successive incarnations of one front: paid sessions that may have been executed,
//! servers logged as draining or failed, and sessions that servers may still hold for the previous incarnation.
//! Rules are numbered as in the crate's documentation.

use crate::config::CoreConfig;
use crate::invariants::{ensure, InvariantViolation};
use crate::list::{ListUpdate, WireState};
use crate::types::RejectReason;
use cloverhollow::{ListMode, PeerReport, ServerId};
use cloverhollow_recovery::ledger::{LedgerLimits, UnreleasedSession};
use cloverhollow_recovery::{session_digest, LogRecord, PaidSessions, RecoveredState};
use std::collections::BTreeSet;
use std::time::Duration;

/// History of one front over its incarnations.
///
/// Paid sessions are bounded by `max_paid_sessions`, and the oldest are dropped first. All other fields have the
/// bounds of the log ledger that they are recovered from.
#[derive(Debug)]
pub(crate) struct FrontHistory {
    /// Paid sessions that may have been executed, in this incarnation or an earlier one. None is set up again here.
    executed_paid: PaidSessions,
    /// Maximum number of paid sessions remembered.
    max_paid_sessions: usize,
    /// Whether servers that stop or fail are logged for the next incarnation.
    is_persisted: bool,
    /// Time until which no paid session can be proven to be new.
    unproven_until: Duration,
    /// Servers that the log records as accepting no new sessions.
    stopped: BTreeSet<ServerId>,
    /// Servers that the log records as failed.
    failed: BTreeSet<ServerId>,
    /// Recovered failed servers that have not been reported to the policy yet.
    unreported_failures: BTreeSet<ServerId>,
    /// Sessions of the previous incarnation that servers may still hold.
    unreleased: Vec<UnreleasedSession>,
}

/// Inserts a server into a set that has the bound of the log, and returns whether the server is new.
///
/// Over months, many servers may stop or fail for good, each under an id of its own, so another server is dropped when
/// the set is full. The dropped server may be logged once more, and its log record is not withdrawn; both err on the
/// safe side.
fn insert_bounded(set: &mut BTreeSet<ServerId>, server: ServerId) -> bool {
    let is_new = set.insert(server);
    if set.len() > LedgerLimits::default().servers {
        let dropped = set.iter().copied().find(|s| *s != server);
        dropped.map(|s| set.remove(&s));
    }
    is_new
}

impl FrontHistory {
    pub(crate) fn new(config: &CoreConfig) -> Self {
        FrontHistory {
            executed_paid: PaidSessions::default(),
            max_paid_sessions: config.max_paid_sessions,
            is_persisted: config.persistence.is_some(),
            unproven_until: Duration::ZERO,
            stopped: BTreeSet::new(),
            failed: BTreeSet::new(),
            unreported_failures: BTreeSet::new(),
            unreleased: Vec::new(),
        }
    }

    /// Restores what the log proves of earlier incarnations.
    ///
    /// If records of paid sessions may be missing, paid sessions count as unproven for `max_wait`, the longest
    /// time that a paid viewer waits: after it, every viewer of the previous incarnation has given up.
    pub(crate) fn restore(&mut self, now: Duration, recovered: &mut RecoveredState, max_wait: Duration) {
        if recovered.trust.may_miss_records() {
            self.unproven_until = now + max_wait;
        }
        // The recovery applies the same bounds.
        self.executed_paid = std::mem::take(&mut recovered.paid_sessions);
        self.stopped = std::mem::take(&mut recovered.stopped);
        self.unreported_failures.clone_from(&recovered.failed);
        self.failed = std::mem::take(&mut recovered.failed);
        self.unreleased = std::mem::take(&mut recovered.unreleased);
    }

    /// Remembers a paid session that a server may have executed.
    pub(crate) fn record_executed(&mut self, sid: &str) {
        self.executed_paid.insert(session_digest(sid), self.max_paid_sessions);
    }

    /// Returns whether a paid session is remembered as possibly executed, or may have been dropped at the bound.
    pub(crate) fn remembers_paid(&self, sid: &str) -> bool {
        self.executed_paid.contains(session_digest(sid))
            || self.executed_paid.iter().len() >= self.max_paid_sessions
    }

    /// Checks the bounds on all that is remembered.
    pub(crate) fn check(&self) -> Result<(), InvariantViolation> {
        let bound =
            |items, held, max| ensure(held <= max, || InvariantViolation::HistoryBound { items, held, max });
        bound("paid sessions", self.executed_paid.iter().len(), self.max_paid_sessions)?;
        let bounds = LedgerLimits::default();
        bound("stopped servers", self.stopped.len(), bounds.servers)?;
        bound("failed servers", self.failed.len(), bounds.servers)?;
        bound("unreported failures", self.unreported_failures.len(), bounds.servers)?;
        bound("unreleased sessions", self.unreleased.len(), bounds.unreleased)
    }

    /// Reason for which the history forbids setting a session up, if any (rule 2).
    ///
    /// A session that may have been executed is rejected. So is a paid one whose past is unknown, after a start
    /// that proves nothing about the previous incarnation.
    pub(crate) fn rejects(&self, now: Duration, sid: &str, paid: bool) -> Option<RejectReason> {
        if self.executed_paid.contains(session_digest(sid)) {
            return Some(RejectReason::AlreadySetUp);
        }
        (paid && now < self.unproven_until).then_some(RejectReason::HistoryUnknown)
    }

    /// Corrects a persisted list by drains that were logged after the list was saved.
    ///
    /// Without this, a front killed between learning of a drain and saving its list would use the draining server
    /// after its restart (rule 3).
    pub(crate) fn apply_drains(&self, update: &mut ListUpdate) {
        if update.mode != ListMode::Stale {
            return;
        }
        for e in update.entries.iter_mut().filter(|e| e.state == WireState::Serving) {
            if self.stopped.contains(&e.id) {
                e.state = WireState::Draining;
            }
        }
    }

    /// Records an update of the list, and returns the log records of it that later incarnations need (rule 3).
    pub(crate) fn record_list_update(
        &mut self,
        update: &ListUpdate,
        stopped: &BTreeSet<ServerId>,
    ) -> Vec<LogRecord> {
        let mut records = Vec::new();
        if !self.is_persisted {
            return records;
        }
        if update.mode != ListMode::Stale {
            let serving = update.entries.iter().filter(|e| e.state == WireState::Serving);
            for server in serving.map(|e| e.id) {
                if self.stopped.remove(&server) {
                    records.push(LogRecord::ServerListed { server, accepts_sessions: true });
                }
            }
        }
        for server in stopped.iter().copied() {
            if insert_bounded(&mut self.stopped, server) {
                records.push(LogRecord::ServerListed { server, accepts_sessions: false });
            }
        }
        records
    }

    /// Records how an attempt or a session at a server ended. Returns a log record if the server's state changed.
    pub(crate) fn record_outcome(&mut self, server: ServerId, worked: bool) -> Option<LogRecord> {
        if !self.is_persisted {
            return None;
        }
        let changed =
            if worked { self.failed.remove(&server) } else { insert_bounded(&mut self.failed, server) };
        changed.then_some(LogRecord::ServerFailure { server, failed: !worked })
    }

    /// Takes the recovered failures of servers that are listed by now, as reports for the policy.
    ///
    /// Without them, a restarted front would take a server for warm that its previous incarnation saw vanish, and
    /// that may have come back cold (rule 4).
    pub(crate) fn take_failures(&mut self, is_listed: impl Fn(ServerId) -> bool) -> Vec<PeerReport> {
        let reported: Vec<_> = self.unreported_failures.iter().copied().filter(|s| is_listed(*s)).collect();
        self.unreported_failures.retain(|s| !reported.contains(s));
        reported
            .into_iter()
            .map(|server| PeerReport {
                server,
                failed: true,
                may_have_restarted: true,
                ..PeerReport::default()
            })
            .collect()
    }

    /// Takes the sessions of the previous incarnation whose servers have a known address, to release them once.
    ///
    /// A session whose server is missing on a full list is dropped; the server's idle timeout ends it.
    pub(crate) fn take_releases<A>(
        &mut self,
        full_list: bool,
        address: impl Fn(ServerId) -> Option<A>,
    ) -> Vec<(A, UnreleasedSession)> {
        let mut releases = Vec::new();
        for session in std::mem::take(&mut self.unreleased) {
            match address(session.server) {
                Some(address) => releases.push((address, session)),
                None if !full_list => self.unreleased.push(session),
                None => {}
            }
        }
        releases
    }
}
