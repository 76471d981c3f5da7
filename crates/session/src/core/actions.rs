//! Execution of the policy's actions. Rules are numbered as in the crate's documentation.

use super::Core;
use crate::policy::Policy;
use crate::session_state::{Phase, Session};
use crate::stats::increment;
use crate::timers::Timer;
use crate::types::*;
use cloverhollow::{Action, AttemptOutcome, Event, LoadReport, RequestId, ServerId};
use cloverhollow_recovery::LogRecord;
use std::time::Duration;

/// Longest time from a decision to the first byte of its set-up. A process that was paused in between would send on
/// outdated information (rules 3 and 4).
const MAX_SEND_DELAY: Duration = Duration::from_secs(1);
/// Longest time from a decision to the first byte of a retry. A retry counts against the retry budget when it is
/// decided; one sent later would fall into another window of the budget (rule 6).
const MAX_RETRY_SEND_DELAY: Duration = Duration::from_millis(100);

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    pub(super) fn execute_action(&mut self, action: Action) {
        match action {
            Action::Send(request, server, timeout) => self.send(request, server, timeout),
            Action::SetRung(request, rung) => self.set_rung(request, rung),
            Action::Refuse(request, retry_after) => {
                let not_persisted = self.sessions.get(&request).is_some_and(|s| s.not_persisted);
                let reason = match self.list.serving_count() {
                    0 => RejectReason::NoServers,
                    _ if not_persisted => RejectReason::NotPersisted,
                    _ => RejectReason::NoRoom,
                };
                self.reject(request, || Answer::Refused { retry_after, reason });
            }
            Action::Fail(request) => {
                let end = self.sessions.get(&request).and_then(|s| s.possibly_executed_end);
                let (timed_out, reason) = match end {
                    Some(AttemptEnd::Error { .. } | AttemptEnd::Reset) => (false, RejectReason::ServerFailed),
                    _ => (true, RejectReason::Unanswered),
                };
                self.reject(request, || Answer::Failed { timed_out, reason });
            }
            Action::SetTimer(after, token) => self.timers.arm(self.now + after, Timer::Policy(token)),
            // The caller keeps its subscription by itself: the settings say that the list is pushed.
            Action::Subscribe => {}
            Action::Log(text) => tracing::info!("{text}"),
        }
    }

    /// Begins an attempt. Ignored unless the session is waiting for a decision: a second attempt must not become
    /// pending, and a playing session needs none.
    pub(super) fn send(&mut self, request: RequestId, server: ServerId, timeout: Duration) {
        let is_deciding = |s: &&mut Session<A>| matches!(s.phase, Phase::Deciding);
        let Some(session) = self.sessions.get_mut(&request).filter(is_deciding) else { return };
        let number = session.attempts;
        session.attempts += 1;
        let attempt = AttemptId { request, number };
        let Some(address) = self.list.address(server) else {
            let report = LoadReport::default();
            self.events.push(Event::AttemptEnded(
                request,
                number,
                server,
                AttemptOutcome::NotSent,
                false,
                report,
            ));
            return;
        };
        session.phase = Phase::Attempting { attempt, server, address, started_at: self.now, cancelled: None };
        let kbps = self.config.rates_kbps[session.class].get(session.rung).copied().unwrap_or(0);
        let (sid, rung, payload) = (session.sid.clone(), session.rung, session.payload.clone());
        // Only what must be known after a restart is logged, so other set-ups wait for no disk.
        let has_retry_budget = self.config.persistence.as_ref().is_some_and(|p| p.retry_budget);
        let (paid, is_budgeted_retry) = (session.paid, number > 0 && has_retry_budget);
        let is_logged = self.config.persistence.is_some() && (paid || is_budgeted_retry);
        let log_record = is_logged.then(|| LogRecord::AttemptStarted {
            sid: sid.to_string(),
            server,
            paid,
            is_retry: is_budgeted_retry,
        });
        let default_delay = if is_budgeted_retry { MAX_RETRY_SEND_DELAY } else { MAX_SEND_DELAY };
        let send_deadline =
            self.now + self.policy.max_send_delay(server).map_or(default_delay, |d| d.min(default_delay));
        if number > 0 {
            tracing::info!(session = %sid, %attempt, server, "set-up retried");
        }
        increment(&self.stats.attempts);
        self.pending_attempts.insert((server, attempt));
        self.timers.arm(self.now + timeout, Timer::Attempt(attempt));
        self.commands.push(Command::Send(Setup {
            attempt,
            server,
            address,
            sid,
            rung,
            kbps,
            paid,
            log_record,
            timeout,
            send_deadline,
            payload,
        }));
    }

    pub(super) fn set_rung(&mut self, request: RequestId, rung: usize) {
        let Some(session) = self.sessions.get_mut(&request) else { return };
        session.rung = rung;
        if let Phase::Playing { route, .. } = &session.phase {
            increment(&self.stats.rung_changes);
            tracing::info!(
                session = %session.sid, server = route.server, from = route.rung(), to = rung, "rung changed"
            );
            route.set_rung(rung);
            let (server, sid) = (route.server, session.sid.clone());
            self.commands.push(Command::RungChanged { server, sid, rung });
        }
    }

    /// Gives the final answer to all viewers that wait for a session that cannot be set up, and removes the session.
    ///
    /// Ignored while an attempt is pending: its outcome is unknown, and its server would hold a session that no viewer uses.
    pub(super) fn reject(&mut self, request: RequestId, answer: impl Fn() -> Answer<B>) {
        let is_deciding = |s: &&mut Session<A>| matches!(s.phase, Phase::Deciding);
        let Some(session) = self.sessions.get_mut(&request).filter(is_deciding) else { return };
        for waiting in std::mem::take(&mut session.waiting) {
            self.answer(waiting.viewer, answer());
        }
        self.remove_session(request);
    }
}
