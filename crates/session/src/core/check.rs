//! Check of the core's invariants, which hold between any two steps. Run by tests and in builds with feature
//! `invariants`.

use super::Core;
use crate::invariants::{ensure, InvariantViolation, MAX_ATTEMPTS};
use crate::policy::Policy;
use crate::session_state::{Phase, Session};
use crate::timers::Timer;
use crate::types::*;
use cloverhollow::RequestId;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a session may stay undecided after its deadline. The core answers in the step that sees the
/// deadline, but the policy may act later.
const MAX_OVERDUE: Duration = Duration::from_secs(1);

/// Totals over all sessions.
#[derive(Default)]
struct Totals {
    playing: usize,
    pending: usize,
    waiting: usize,
    viewers: BTreeSet<ViewerId>,
}

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    /// Checks the invariants that hold between two steps: names, routes, pending attempts, timers, waiting viewers
    /// and pending answers, and bounds. Takes time in proportion to the number of sessions and timers.
    ///
    /// # Errors
    /// The first invariant found to be violated.
    pub fn check(&self) -> Result<(), InvariantViolation> {
        let (held, max) = (self.sessions.len(), self.config.max_sessions);
        ensure(held <= max, || InvariantViolation::SessionBound { held, max })?;
        ensure(self.by_sid.len() == held, || InvariantViolation::NameCount {
            named: self.by_sid.len(),
            held,
        })?;
        let (mut attempt_timers, mut idle_timers) = (BTreeSet::new(), BTreeSet::new());
        for timer in self.timers.armed() {
            match timer {
                Timer::Attempt(attempt) => _ = attempt_timers.insert(*attempt),
                Timer::Idle(request) => _ = idle_timers.insert(*request),
                Timer::Policy(_) | Timer::Viewer(..) => {}
            }
        }
        let mut totals = Totals::default();
        for (request, session) in &self.sessions {
            self.check_session(*request, session)?;
            self.check_waiting(session, &mut totals)?;
            match &session.phase {
                Phase::Deciding => {}
                Phase::Attempting { .. } => {
                    totals.pending += 1;
                    self.check_attempting(session, &attempt_timers)?;
                }
                Phase::Playing { .. } => {
                    totals.playing += 1;
                    let has_idle_timer = self.config.idle_timeout.is_none() || idle_timers.contains(request);
                    ensure(has_idle_timer, || InvariantViolation::NoIdleTimer { sid: session.sid.clone() })?;
                    self.check_playing(session)?;
                }
            }
        }
        let (routes, playing) = (self.routes.len(), totals.playing);
        ensure(routes == playing, || InvariantViolation::RouteCount { routes, playing })?;
        let (recorded, pending) = (self.pending_attempts.len(), totals.pending);
        ensure(recorded == pending, || InvariantViolation::PendingCount { recorded, pending })?;
        let (pending, waiting) = (self.pending_answers, totals.waiting);
        ensure(pending == waiting, || InvariantViolation::PendingAnswers { pending, waiting })?;
        self.check_other_state()
    }

    fn check_session(&self, request: RequestId, session: &Session<A>) -> Result<(), InvariantViolation> {
        let sid = || session.sid.clone();
        let next = self.next_request;
        ensure(request < next, || InvariantViolation::RequestNumber { request, next })?;
        ensure(self.by_sid.get(&session.sid) == Some(&request), || InvariantViolation::NameLookup {
            sid: sid(),
        })?;
        ensure(session.attempts <= MAX_ATTEMPTS, || InvariantViolation::AttemptBound {
            sid: sid(),
            begun: session.attempts,
        })?;
        if let Some(server) = session.server() {
            ensure(self.list.address(server).is_some(), || InvariantViolation::UnlistedServer {
                sid: sid(),
                server,
            })?;
        }
        let may_have_been_executed =
            session.possibly_executed_end.is_some() || matches!(session.phase, Phase::Playing { .. });
        let is_remembered =
            !(session.paid && may_have_been_executed) || self.history.remembers_paid(&session.sid);
        ensure(is_remembered, || InvariantViolation::PaidForgotten { sid: sid() })?;
        // The policy may still act on the events of this instant.
        let late = self.now.saturating_sub(session.deadline);
        let in_time =
            !matches!(session.phase, Phase::Deciding) || late <= MAX_OVERDUE || !self.events.is_empty();
        ensure(in_time, || InvariantViolation::Overdue { sid: sid(), late, waiting: session.waiting.len() })
    }

    fn check_waiting(&self, session: &Session<A>, totals: &mut Totals) -> Result<(), InvariantViolation> {
        let sid = || session.sid.clone();
        // The first viewer waits even where the configured maximum is zero.
        let (waiting, max) = (session.waiting.len(), self.config.max_waiting.max(1));
        ensure(waiting <= max, || InvariantViolation::WaitingBound { sid: sid(), waiting, max })?;
        let owners = session.waiting.iter().filter(|w| w.is_owner).count();
        ensure(owners <= 1, || InvariantViolation::OwnerCount { sid: sid(), owners })?;
        for waiting_viewer in &session.waiting {
            let viewer = waiting_viewer.viewer;
            let plays = matches!(session.phase, Phase::Playing { .. });
            ensure(!plays, || InvariantViolation::WaitsForPlaying { sid: sid(), viewer })?;
            ensure(totals.viewers.insert(viewer), || InvariantViolation::WaitsTwice { sid: sid(), viewer })?;
        }
        totals.waiting += waiting;
        let is_cancelled = matches!(session.phase, Phase::Attempting { cancelled: Some(r), .. } if r != CancelReason::Drained);
        let is_needed = waiting > 0 || matches!(session.phase, Phase::Playing { .. }) || is_cancelled;
        ensure(is_needed, || InvariantViolation::Orphaned { sid: sid() })
    }

    fn check_attempting(
        &self,
        session: &Session<A>,
        attempt_timers: &BTreeSet<AttemptId>,
    ) -> Result<(), InvariantViolation> {
        let Phase::Attempting { attempt, server, started_at, cancelled, .. } = session.phase else {
            return Ok(());
        };
        let sid = || session.sid.clone();
        ensure(self.pending_attempts.contains(&(server, attempt)), || {
            InvariantViolation::UnrecordedAttempt { attempt, server }
        })?;
        let is_last = attempt.number + 1 == session.attempts;
        ensure(is_last, || InvariantViolation::NotLastAttempt {
            sid: sid(),
            attempt,
            begun: session.attempts,
        })?;
        ensure(!(session.paid && session.possibly_executed_end.is_some()), || {
            InvariantViolation::PaidTwice { sid: sid(), attempt }
        })?;
        let now = self.now;
        ensure(started_at <= now, || InvariantViolation::StartInFuture { attempt, started_at, now })?;
        let is_pending_at_stopped = cancelled.is_none() && !self.list.is_serving(server);
        ensure(!is_pending_at_stopped, || InvariantViolation::PendingAtStopped { attempt, server })?;
        // The caller reports the end of a cancelled attempt, so a cancelled one needs no timer.
        let will_end =
            attempt_timers.contains(&attempt) || cancelled.is_some_and(|r| r != CancelReason::Drained);
        ensure(will_end, || InvariantViolation::NoAttemptTimer { attempt })
    }

    fn check_playing(&self, session: &Session<A>) -> Result<(), InvariantViolation> {
        let Phase::Playing { attempt, route } = &session.phase else { return Ok(()) };
        let sid = || session.sid.clone();
        let is_routed = self.routes.get(&session.sid).is_some_and(|r| Arc::ptr_eq(&r, route));
        ensure(is_routed, || InvariantViolation::RouteLookup { sid: sid() })?;
        ensure(route.rung() == session.rung, || InvariantViolation::RungMismatch {
            sid: sid(),
            rung: session.rung,
        })?;
        let (attempt, begun) = (*attempt, session.attempts);
        ensure(attempt.number + 1 == begun, || InvariantViolation::NotLastAttempt {
            sid: sid(),
            attempt,
            begun,
        })
    }

    /// Checks the state that does not belong to a session.
    fn check_other_state(&self) -> Result<(), InvariantViolation> {
        let now = self.now;
        let deadline = self.timers.first_deadline().unwrap_or(now);
        ensure(deadline >= now, || InvariantViolation::MissedTimer { deadline, now })?;
        self.list.check(self.sessions.len())?;
        for server in self.report_throttles.keys().copied() {
            ensure(self.list.address(server).is_some(), || InvariantViolation::UnlistedThrottle { server })?;
        }
        self.history.check()?;
        self.knowledge.check()?;
        ensure(self.commands.is_empty(), || InvariantViolation::UnreturnedCommands {
            left: self.commands.len(),
        })
    }
}
