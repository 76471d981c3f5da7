//! Attempts, rungs and final answers. `send`, `set_rung` and `answer` check the rules of every action.

use super::*;

impl SessionPolicy {
    /// Sends a set-up, unless a rule forbids it. `is_usable` and `place` have checked the rules for the
    /// server and the title; this function checks those for the request.
    pub(super) fn send(&mut self, id: RequestId, server_id: ServerId, rung: usize) {
        let retry_allowed = self.retry_budget_allows();
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let class = &self.settings.classes[session.request.class];
        let remaining = session.request.deadline.saturating_sub(self.now);
        let forbidden = (session.possibly_executed && class.at_most_once)
            || session.attempts >= self.settings.limits.max_attempts
            || remaining.is_zero()
            || (session.attempts > 0 && !retry_allowed);
        if forbidden {
            return self.answer(id);
        }
        if session.attempts > 0 {
            self.retry_times.push_back(self.now);
        }
        let may_retry = !class.at_most_once && session.attempts + 1 < self.settings.limits.max_attempts;
        let timeout = if may_retry {
            remaining.min(class.target_setup_time.mul_f64(ATTEMPT_TIME_FRACTION))
        } else {
            remaining
        };
        session.attempts += 1;
        self.set_rung(id, rung);
        let session = self.sessions.get_mut(&id).expect("looked up above");
        session.state = SessionState::SettingUp(server_id);
        self.actions.push(Action::Send(id, server_id, timeout));
        let server = self.servers.get_mut(&server_id).expect("selected from the known servers");
        server.sessions.insert(id);
        server.probe_in_flight = server.failures > 0;
        server.last_setup_at = Some(self.now);
        self.update_demand(server_id);
    }

    /// Returns whether the retry budget allows one more retry now.
    pub(super) fn retry_budget_allows(&mut self) -> bool {
        let Some(budget) = self.settings.rules.retry_budget else { return true };
        for times in [&mut self.request_times, &mut self.retry_times] {
            while times.front().is_some_and(|t| *t + budget.window <= self.now) {
                times.pop_front();
            }
        }
        self.now >= self.budget_unproven_until
            && (self.retry_times.len() + 1) as f64
                <= budget.base + budget.per_request * self.request_times.len() as f64
    }

    /// Sets the rung of a session, unless it is above what the viewer or the class allows or below the
    /// lowest rung of the class.
    pub(super) fn set_rung(&mut self, id: RequestId, rung: usize) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let class = &self.settings.classes[session.request.class];
        if rung < class.min_rung
            || rung > class.max_rung
            || rung > session.request.max_rung
            || rung >= self.settings.ladder.len()
        {
            return;
        }
        session.rung = rung;
        let server_id = session.server();
        server_id.into_iter().for_each(|server_id| self.update_demand(server_id));
        self.actions.push(Action::SetRung(id, rung));
    }

    /// Gives the final answer to a request: a failure if its class is executed at most once and an attempt
    /// may have been executed, otherwise a refusal, after which the viewer can safely repeat the request.
    pub(super) fn answer(&mut self, id: RequestId) {
        let Some(session) = self.sessions.remove(&id).filter(|session| !session.settled) else { return };
        if session.possibly_executed && self.settings.classes[session.request.class].at_most_once {
            self.actions.push(Action::Fail(id));
        } else {
            self.actions.push(Action::Refuse(id, self.settings.limits.max_retry_after));
        }
    }

    /// Adopts a session that was playing at the server when this front started.
    pub(super) fn adopt(&mut self, request: &SessionRequest, server_id: ServerId) {
        let (Some(class), false) =
            (self.settings.classes.get(request.class), self.settings.ladder.is_empty())
        else {
            return;
        };
        let rung = class.min_rung.min(self.settings.ladder.len() - 1);
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.sessions.insert(request.id);
        let (request, state) = (request.clone(), SessionState::Playing(server_id, self.now));
        let session = Session {
            state,
            rung,
            attempts: 1,
            settled: true,
            rung_undecided: true,
            request,
            ..Session::default()
        };
        self.sessions.insert(session.request.id, session);
        self.update_demand(server_id);
    }

    pub(super) fn session_playing(&mut self, id: RequestId, server_id: ServerId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.state != SessionState::SettingUp(server_id) {
            return;
        }
        session.state = SessionState::Playing(server_id, self.now);
        session.settled = true;
        self.update_demand(server_id);
        self.record_success(server_id);
    }

    pub(super) fn viewer_left(&mut self, id: RequestId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.settled = true;
        if session.state == SessionState::Waiting {
            self.sessions.remove(&id);
        }
    }

    /// Handles the end of an attempt. The request is placed again unless `closed` is true or it needs no
    /// answer.
    pub(super) fn attempt_ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        server_id: ServerId,
        outcome: AttemptOutcome,
        closed: bool,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if attempt + 1 != session.attempts || session.state == SessionState::Waiting {
            return;
        }
        session.state = SessionState::Waiting;
        session.possibly_executed |= !outcome.never_executed();
        session.settled |= closed;
        let settled = session.settled;
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.sessions.remove(&id);
        }
        self.update_demand(server_id);
        // One time-out may be congestion; a second one before any success may mean a restart.
        let failed_before = self.servers.get(&server_id).is_some_and(|server| server.failures > 0);
        match outcome {
            AttemptOutcome::Error => self.record_error(id, server_id),
            AttemptOutcome::ConnectFailed => self.record_failure(server_id, true, "no connection"),
            AttemptOutcome::Reset => self.record_failure(server_id, true, "connection lost"),
            AttemptOutcome::Timeout => self.record_failure(server_id, failed_before, "no answer"),
            _ => {
                if let Some(server) = self.servers.get_mut(&server_id) {
                    server.probe_in_flight = false;
                    if outcome == AttemptOutcome::Full {
                        server.link.mark_full(self.now);
                    }
                }
            }
        }
        if settled {
            self.sessions.remove(&id);
        } else {
            self.retry_queue.push(id);
        }
    }
}
