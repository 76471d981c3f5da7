//! Attempts, rungs and final answers. `send`, `set_rung` and `answer` check the rules of every action.

use super::*;

impl SessionPolicy {
    /// Sends a set-up, unless a rule forbids it. `is_usable` and `place` have checked the rules for the
    /// server and the title; this function checks those for the request.
    pub(super) fn send(&mut self, id: RequestId, server: ServerId, rung: usize) {
        let retry_allowed = self.retry_budget_allows();
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let class = &self.settings.classes[s.request.class];
        let remaining = s.request.deadline.saturating_sub(self.now);
        let forbidden = (s.possibly_executed && class.at_most_once)
            || s.attempts >= self.settings.limits.max_attempts
            || remaining.is_zero()
            || (s.attempts > 0 && !retry_allowed);
        if forbidden {
            return self.answer(id);
        }
        if s.attempts > 0 {
            self.retry_times.push_back(self.now);
        }
        let may_retry = !class.at_most_once && s.attempts + 1 < self.settings.limits.max_attempts;
        let timeout = if may_retry {
            remaining.min(class.target_setup_time.mul_f64(ATTEMPT_TIME_FRACTION))
        } else {
            remaining
        };
        s.attempts += 1;
        self.set_rung(id, rung);
        let s = self.sessions.get_mut(&id).expect("looked up above");
        s.state = SessionState::SettingUp(server);
        self.actions.push(Action::Send(id, server, timeout));
        let s = self.servers.get_mut(&server).expect("selected from the known servers");
        s.sessions.insert(id);
        s.probe_in_flight = s.failures > 0;
        s.last_setup_at = Some(self.now);
        self.update_demand(server);
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
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let class = &self.settings.classes[s.request.class];
        if rung < class.min_rung
            || rung > class.max_rung
            || rung > s.request.max_rung
            || rung >= self.settings.ladder.len()
        {
            return;
        }
        s.rung = rung;
        let server = s.server();
        server.into_iter().for_each(|server| self.update_demand(server));
        self.actions.push(Action::SetRung(id, rung));
    }

    /// Gives the final answer to a request: a failure if its class is executed at most once and an attempt
    /// may have been executed, otherwise a refusal, after which the viewer can safely repeat the request.
    pub(super) fn answer(&mut self, id: RequestId) {
        let Some(s) = self.sessions.remove(&id).filter(|s| !s.settled) else { return };
        if s.possibly_executed && self.settings.classes[s.request.class].at_most_once {
            self.actions.push(Action::Fail(id));
        } else {
            self.actions.push(Action::Refuse(id, self.settings.limits.max_retry_after));
        }
    }

    /// Adopts a session that was playing at the server when this front started.
    pub(super) fn adopt(&mut self, request: &SessionRequest, server: ServerId) {
        let (Some(class), false) =
            (self.settings.classes.get(request.class), self.settings.ladder.is_empty())
        else {
            return;
        };
        let rung = class.min_rung.min(self.settings.ladder.len() - 1);
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.sessions.insert(request.id);
        let (request, state) = (request.clone(), SessionState::Playing(server, self.now));
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
        self.update_demand(server);
    }

    pub(super) fn session_playing(&mut self, id: RequestId, server: ServerId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        if s.state != SessionState::SettingUp(server) {
            return;
        }
        s.state = SessionState::Playing(server, self.now);
        s.settled = true;
        self.update_demand(server);
        self.record_success(server);
    }

    pub(super) fn viewer_left(&mut self, id: RequestId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.settled = true;
        if s.state == SessionState::Waiting {
            self.sessions.remove(&id);
        }
    }

    /// Handles the end of an attempt. The request is placed again unless `closed` or it needs no answer.
    pub(super) fn attempt_ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: AttemptOutcome,
        closed: bool,
    ) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        if attempt + 1 != s.attempts || s.state == SessionState::Waiting {
            return;
        }
        s.state = SessionState::Waiting;
        s.possibly_executed |= !outcome.never_executed();
        s.settled |= closed;
        let settled = s.settled;
        if let Some(s) = self.servers.get_mut(&server) {
            s.sessions.remove(&id);
        }
        self.update_demand(server);
        // One time-out may be congestion; a second one before any success may mean a restart.
        let failed_before = self.servers.get(&server).is_some_and(|s| s.failures > 0);
        match outcome {
            AttemptOutcome::Error => self.record_error(id, server),
            AttemptOutcome::ConnectFailed => self.record_failure(server, true, "connection failed"),
            AttemptOutcome::Reset => self.record_failure(server, true, "connection lost"),
            AttemptOutcome::Timeout => self.record_failure(server, failed_before, "no answer in time"),
            _ => {
                if let Some(s) = self.servers.get_mut(&server) {
                    s.probe_in_flight = false;
                    if outcome == AttemptOutcome::Full {
                        s.link.mark_full(self.now);
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
