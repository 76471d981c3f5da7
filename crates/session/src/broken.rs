//! Invariants of the core, by name; and what a shell does about a broken one.

use crate::types::{AttemptId, Sid, ViewerId};
use cloverhollow::{RequestId, ServerId};
use std::time::Duration;

/// A process in which an invariant is broken ends with this exit code (`EX_SOFTWARE` of sysexits.h).
pub const BROKEN_EXIT: i32 = 70;
/// The settings allow so many attempts for one session at most.
pub(crate) const MOST_ATTEMPTS: u32 = 16;

/// An invariant that is broken, and by whom.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum Broken {
    #[error("names: {named} names lead to {held} sessions")]
    Names { named: usize, held: usize },
    #[error("names: session {sid} is not found by its name")]
    Name { sid: Sid },
    #[error("numbers: request {request} is not below the next one, {next}")]
    Number { request: RequestId, next: RequestId },
    #[error("sessions: {held} are held, {most} may be")]
    Sessions { held: usize, most: usize },
    #[error("routes: session {sid} plays and its route is not there, or another one")]
    Route { sid: Sid },
    #[error("routes: {routes} for {playing} sessions that play")]
    Routes { routes: usize, playing: usize },
    #[error("rungs: session {sid} has rung {rung}, its route another one")]
    Rung { sid: Sid, rung: usize },
    #[error("out: attempt {attempt} at server {server} is not among those that are out")]
    Out { attempt: AttemptId, server: ServerId },
    #[error("out: {noted} attempts noted for {out} sessions with one out")]
    Outs { noted: usize, out: usize },
    #[error("attempts: {attempt} is not the last of the {sent} sent for session {sid}")]
    Attempt { sid: Sid, attempt: AttemptId, sent: u32 },
    #[error("attempts: {sent} for session {sid}, {MOST_ATTEMPTS} are allowed at most")]
    Attempts { sid: Sid, sent: u32 },
    #[error("rule 2: paid session {sid} may have run and attempt {attempt} is out")]
    PaidTwice { sid: Sid, attempt: AttemptId },
    #[error("rule 2: paid session {sid} may have run and is not remembered")]
    PaidForgotten { sid: Sid },
    #[error(
        "rule 3: attempt {attempt} is out at server {server}, which takes no new work, and not recalled"
    )]
    Drain { attempt: AttemptId, server: ServerId },
    #[error("time: attempt {attempt} went out at {since:?}, later than now, {now:?}")]
    Time { attempt: AttemptId, since: Duration, now: Duration },
    #[error("timers: one was due at {at:?} and it is {now:?}")]
    Overslept { at: Duration, now: Duration },
    #[error("timers: none for attempt {attempt}, which is out")]
    NoTimer { attempt: AttemptId },
    #[error("timers: none looks whether session {sid} is idle")]
    NoIdle { sid: Sid },
    #[error("waiting: {waiting} wait for session {sid}, {most} may")]
    Waiting { sid: Sid, waiting: usize, most: usize },
    #[error("waiting: viewer {} waits for session {sid}, which plays", .viewer.0)]
    WaitsAtPlaying { sid: Sid, viewer: ViewerId },
    #[error("waiting: viewer {} waits twice, once for session {sid}", .viewer.0)]
    WaitsTwice { sid: Sid, viewer: ViewerId },
    #[error("waiting: {owners} brought the request of session {sid}")]
    Owners { sid: Sid, owners: usize },
    #[error("rule 1: {owed} requests are owed an answer and {waiting} wait for one")]
    Owed { owed: usize, waiting: usize },
    #[error("rule 1: session {sid} is undecided {late:?} after its time, {waiting} wait")]
    Overdue { sid: Sid, late: Duration, waiting: usize },
    #[error("sessions: {sid} is held for nobody")]
    ForNobody { sid: Sid },
    #[error("list: server {server} is not on it and session {sid} is there")]
    Unlisted { sid: Sid, server: ServerId },
    #[error("list: {held} servers are held, {most} may be")]
    List { held: usize, most: usize },
    #[error("gauges: one is kept of server {server}, which is not on the list")]
    Gauge { server: ServerId },
    #[error("lives: {held} {what}, {most} may be")]
    Lives { what: &'static str, held: usize, most: usize },
    #[error("knowledge: the shelf shows change {shown}, the book is at {last}")]
    Shelf { shown: u64, last: u64 },
    #[error("commands: {left} were left behind")]
    Commands { left: usize },
}

/// Looks at a state machine where the feature `invariants` is built in, else at nothing; whether all holds. A broken
/// one is told in one line that names it; the shell ends the process then, with [`BROKEN_EXIT`].
pub fn enforce<E: std::error::Error>(machine: &str, check: impl FnOnce() -> Result<(), E>) -> bool {
    if !cfg!(feature = "invariants") {
        return true;
    }
    let Err(broken) = check() else { return true };
    tracing::error!(machine, %broken, "an invariant is broken: this process ends");
    false
}

/// Nothing, or what is broken.
pub(crate) fn hold(holds: bool, broken: impl FnOnce() -> Broken) -> Result<(), Broken> {
    if holds {
        Ok(())
    } else {
        Err(broken())
    }
}
