//! Invariants of the core, and the handling of a violation. Rules are numbered as in the crate's documentation.

use crate::types::{AttemptId, SessionId, ViewerId};
use cloverhollow::{RequestId, ServerId};
use std::time::Duration;

/// Exit code of a process that ends because an invariant is violated (`EX_SOFTWARE` of sysexits.h).
pub const INVARIANT_EXIT_CODE: i32 = 70;
/// Maximum number of attempts for one session that the settings allow.
pub(crate) const MAX_ATTEMPTS: u32 = 16;

/// A violated invariant, with the values that violate it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // The error messages describe the variants and their fields.
pub enum InvariantViolation {
    #[error("names: {named} names lead to {held} sessions")]
    NameCount { named: usize, held: usize },
    #[error("names: session {sid} is not found by its name")]
    NameLookup { sid: SessionId },
    #[error("numbers: request {request} is not below the next number, {next}")]
    RequestNumber { request: RequestId, next: RequestId },
    #[error("sessions: {held} are held, the maximum is {max}")]
    SessionBound { held: usize, max: usize },
    #[error("routes: session {sid} plays, but its route is missing or another one")]
    RouteLookup { sid: SessionId },
    #[error("routes: {routes} routes for {playing} playing sessions")]
    RouteCount { routes: usize, playing: usize },
    #[error("rungs: session {sid} has rung {rung}, its route has another one")]
    RungMismatch { sid: SessionId, rung: usize },
    #[error("attempts: attempt {attempt} at server {server} is pending but not recorded as such")]
    UnrecordedAttempt { attempt: AttemptId, server: ServerId },
    #[error("attempts: {recorded} recorded as pending, {pending} sessions have one pending")]
    PendingCount { recorded: usize, pending: usize },
    #[error("attempts: {attempt} is not the last of the {begun} begun for session {sid}")]
    NotLastAttempt { sid: SessionId, attempt: AttemptId, begun: u32 },
    #[error("attempts: {begun} begun for session {sid}, the maximum is {MAX_ATTEMPTS}")]
    AttemptBound { sid: SessionId, begun: u32 },
    #[error(
        "rule 2: attempt {attempt} is pending for paid session {sid}, which may already have been executed"
    )]
    PaidTwice { sid: SessionId, attempt: AttemptId },
    #[error("rule 2: paid session {sid} may have been executed and is not remembered")]
    PaidForgotten { sid: SessionId },
    #[error(
        "rule 3: attempt {attempt} is pending and not cancelled at server {server}, which accepts no new sessions"
    )]
    PendingAtStopped { attempt: AttemptId, server: ServerId },
    #[error("time: attempt {attempt} began at {started_at:?}, which is after the current time {now:?}")]
    StartInFuture { attempt: AttemptId, started_at: Duration, now: Duration },
    #[error("timers: a timer was due at {deadline:?}, current time is {now:?}")]
    MissedTimer { deadline: Duration, now: Duration },
    #[error("timers: no timer for pending attempt {attempt}")]
    NoAttemptTimer { attempt: AttemptId },
    #[error("timers: no idle timer for session {sid}")]
    NoIdleTimer { sid: SessionId },
    #[error("waiting: {waiting} requests wait for session {sid}, the maximum is {max}")]
    WaitingBound { sid: SessionId, waiting: usize, max: usize },
    #[error("waiting: viewer {} waits for session {sid}, which already plays", .viewer.0)]
    WaitsForPlaying { sid: SessionId, viewer: ViewerId },
    #[error("waiting: viewer {} waits twice, once for session {sid}", .viewer.0)]
    WaitsTwice { sid: SessionId, viewer: ViewerId },
    #[error("waiting: {owners} viewers own the set-up request of session {sid}")]
    OwnerCount { sid: SessionId, owners: usize },
    #[error("rule 1: {pending} answers are pending, {waiting} requests wait for one")]
    PendingAnswers { pending: usize, waiting: usize },
    #[error("rule 1: session {sid} is undecided {late:?} after its deadline, {waiting} requests wait")]
    Overdue { sid: SessionId, late: Duration, waiting: usize },
    #[error("sessions: {sid} is held although nobody waits for it")]
    Orphaned { sid: SessionId },
    #[error("list: session {sid} is at server {server}, which is not on the list")]
    UnlistedServer { sid: SessionId, server: ServerId },
    #[error("list: {held} servers are held, the maximum is {max}")]
    ListBound { held: usize, max: usize },
    #[error("report throttles: one is held for server {server}, which is not on the list")]
    UnlistedThrottle { server: ServerId },
    #[error("history: {held} {items} are held, the maximum is {max}")]
    HistoryBound { items: &'static str, held: usize, max: usize },
    #[error("knowledge: the snapshot shows change {shown}, the last change is {last}")]
    StaleSnapshot { shown: u64, last: u64 },
    #[error("commands: {left} were not returned to the caller")]
    UnreturnedCommands { left: usize },
}

/// Checks a state machine's invariants in a build with feature `invariants`, and returns whether they hold. Without
/// the feature nothing is checked.
///
/// A violation is logged in one line; the caller then ends the process with [`INVARIANT_EXIT_CODE`].
pub fn invariants_hold<E: std::error::Error>(machine: &str, check: impl FnOnce() -> Result<(), E>) -> bool {
    if !cfg!(feature = "invariants") {
        return true;
    }
    let Err(violation) = check() else { return true };
    tracing::error!(machine, broken = %violation, "invariant violated; the process ends");
    false
}

/// Returns the violation as an error unless the condition holds.
pub(crate) fn ensure(
    condition: bool,
    violation: impl FnOnce() -> InvariantViolation,
) -> Result<(), InvariantViolation> {
    if condition {
        Ok(())
    } else {
        Err(violation())
    }
}
