//! Attempts to set a session up: cancellation, success and failure.

use super::Core;
use crate::policy::Policy;
use crate::session_state::Phase;
use crate::stats::increment;
use crate::types::*;
use cloverhollow::{AttemptOutcome, Event};
use cloverhollow_recovery::{session_digest, LogRecord};

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    /// Cancels an attempt if it is pending and not cancelled already. A cancellation for a drain may be replaced,
    /// because it does not reach an attempt that has been sent.
    pub(super) fn cancel(&mut self, attempt: AttemptId, reason: CancelReason) {
        let Some(session) = self.sessions.get_mut(&attempt.request) else { return };
        let Phase::Attempting { attempt: pending, server, cancelled, .. } = &mut session.phase else {
            return;
        };
        if *pending != attempt || cancelled.is_some_and(|r| r != CancelReason::Drained) {
            return;
        }
        *cancelled = Some(reason);
        if reason == CancelReason::TimedOut {
            increment(&self.stats.timed_out);
            tracing::info!(session = %session.sid, %attempt, server = *server, "attempt timed out");
        }
        self.commands.push(Command::Cancel { attempt, reason });
    }

    pub(super) fn is_pending(&self, attempt: AttemptId) -> bool {
        let session = self.sessions.get(&attempt.request);
        session.is_some_and(
            |s| matches!(s.phase, Phase::Attempting { attempt: pending, .. } if pending == attempt),
        )
    }

    /// Starts the session of an attempt that was answered, and answers all viewers that wait for it.
    pub(super) fn attempt_succeeded(&mut self, attempt: AttemptId, load: Load, response: B) {
        if !self.is_pending(attempt) {
            // The attempt's end was already processed. Dropping the response closes what the server began, and the
            // release that went with that end reaches the server too.
            increment(&self.stats.late_answers);
            return;
        }
        let Some(session) = self.sessions.get_mut(&attempt.request) else { return };
        // The attempt's own server and address: a response counts even if its server has left the list by now.
        let Phase::Attempting { server, address, started_at, .. } = session.phase else { return };
        let abandoned = session.abandoned;
        self.pending_attempts.remove(&(server, attempt));
        increment(&self.stats.playing);
        self.knowledge.record_outcome(self.now, server, true, false);
        self.commands.extend(self.history.record_outcome(server, true).map(Command::Persist));
        let request = attempt.request;
        self.events.push(Event::Playing(
            request,
            attempt.number,
            server,
            self.now.saturating_sub(started_at),
        ));
        let Some(mut session) = self.sessions.remove(&request) else { return };
        let route = self.begin_playing(request, &mut session, attempt, server, address);
        if session.paid {
            self.history.record_executed(&session.sid);
        }
        tracing::debug!(session = %session.sid, %attempt, server, rung = session.rung, "session plays");
        let waiting = std::mem::take(&mut session.waiting);
        let is_unwanted = waiting.is_empty();
        let mut response = Some(response);
        for waiting_viewer in waiting {
            let answer = match response.take_if(|_| waiting_viewer.is_owner) {
                Some(response) => Answer::Stream { route: route.clone(), response },
                None => Answer::Follow(route.clone()),
            };
            self.answer(waiting_viewer.viewer, answer);
        }
        self.sessions.insert(request, session);
        self.load_reported(request, server, load);
        if is_unwanted && abandoned {
            self.end_session(request, EndReason::Quit, Load::default());
        }
    }

    /// Processes an attempt's end, and reports its outcome to the policy.
    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, end: AttemptEnd, load: Load) {
        if !self.is_pending(attempt) {
            return; // The second of two reports after a cancellation.
        }
        let Some(session) = self.sessions.get_mut(&attempt.request) else { return };
        let Phase::Attempting { server, address, cancelled, .. } = session.phase else { return };
        self.pending_attempts.remove(&(server, attempt));
        // Not derived from the reason of the cancellation: the attempt may have timed out before its viewer left.
        let abandoned = session.abandoned;
        let outcome = match (end, cancelled) {
            (AttemptEnd::NotConnected, _) => AttemptOutcome::ConnectFailed,
            (AttemptEnd::Full, _) => AttemptOutcome::Full,
            (AttemptEnd::Error { .. }, _) => AttemptOutcome::Error,
            (AttemptEnd::Reset, _) => AttemptOutcome::Reset,
            // The attempt timed out before a connection was made: it was not executed, and the server is unreachable.
            (AttemptEnd::NeverSent, Some(CancelReason::TimedOut)) => AttemptOutcome::ConnectFailed,
            (AttemptEnd::NeverSent | AttemptEnd::NotPersisted, _) => AttemptOutcome::NotSent,
            (AttemptEnd::Unanswered, Some(CancelReason::Disconnected)) => AttemptOutcome::Cancelled,
            (AttemptEnd::Unanswered, _) => AttemptOutcome::Timeout,
        };
        match outcome {
            AttemptOutcome::Error => self.knowledge.record_outcome(self.now, server, false, false),
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset | AttemptOutcome::Timeout => {
                self.knowledge.record_outcome(self.now, server, false, outcome != AttemptOutcome::Timeout);
                self.commands.extend(self.history.record_outcome(server, false).map(Command::Persist));
            }
            _ => {}
        }
        if outcome == AttemptOutcome::NotSent {
            increment(&self.stats.cancelled_unsent);
        }
        tracing::info!(session = %session.sid, %attempt, server, ?end, "attempt ended");
        session.phase = Phase::Deciding;
        session.not_persisted |= end == AttemptEnd::NotPersisted;
        if !outcome.never_executed() {
            session.possibly_executed_end = Some(end);
            if session.paid {
                self.history.record_executed(&session.sid);
            }
            // The server may hold the session in spite of the attempt's end.
            self.commands.push(Command::Release { address, server, sid: session.sid.clone() });
        } else if session.paid && session.possibly_executed_end.is_none() && end != AttemptEnd::NotPersisted {
            self.commands
                .push(Command::Persist(LogRecord::AttemptNotExecuted { sid: session_digest(&session.sid) }));
        }
        let ended = Event::AttemptEnded(
            attempt.request,
            attempt.number,
            server,
            outcome,
            abandoned,
            load.to_load_report(),
        );
        self.events.push(ended);
        if abandoned {
            let (waiting, paid_executed) = (
                std::mem::take(&mut session.waiting),
                session.paid && session.possibly_executed_end.is_some(),
            );
            self.remove_session(attempt.request);
            self.resubmit(waiting, paid_executed);
        }
    }
}
