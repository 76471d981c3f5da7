//! Attempts, rungs and final answers: the three functions that guard the rules.

use super::*;

impl Brain {
    /// The one place that sends. What rules 1 to 5 ask is checked by `usable`, `place` and here.
    pub(super) fn send(&mut self, request: RequestId, server: ServerId, rung: usize) {
        let further = self.ration_allows();
        let Some(s) = self.sessions.get_mut(&request) else { return };
        let class = &self.set.classes[s.call.class];
        let left = s.call.deadline.saturating_sub(self.now);
        let barred = (s.ran && class.at_most_once)
            || s.attempts >= self.set.limits.attempts
            || left.is_zero()
            || (s.attempts > 0 && !further);
        if barred {
            return self.answer(request);
        }
        if s.attempts > 0 {
            self.extra.push_back(self.now);
        }
        let again = !class.at_most_once && s.attempts + 1 < self.set.limits.attempts;
        let within = if again { left.min(class.aim.mul_f64(TRY_PART)) } else { left };
        s.attempts += 1;
        self.set_rung(request, rung);
        let s = self.sessions.get_mut(&request).expect("looked up above");
        s.state = State::Out(server);
        self.out.push(Action::Send(request, server, within));
        let s = self.servers.get_mut(&server).expect("picked among them");
        s.sessions.insert(request);
        s.trial = s.fails > 0;
        s.sent = Some(self.now);
        self.reckon(server);
    }

    /// Rule 6: whether one more further attempt is within the ration.
    pub(super) fn ration_allows(&mut self) -> bool {
        let Some(r) = self.set.rules.ration else { return true };
        for list in [&mut self.taken, &mut self.extra] {
            while list.front().is_some_and(|t| *t + r.span <= self.now) {
                list.pop_front();
            }
        }
        self.now >= self.unproven
            && (self.extra.len() + 1) as f64 <= r.free + r.share * self.taken.len() as f64
    }

    /// The one place that sets rungs: never above what the viewer and the class allow nor below the floor.
    pub(super) fn set_rung(&mut self, request: RequestId, rung: usize) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        let class = &self.set.classes[s.call.class];
        if rung < class.floor || rung > class.top || rung > s.call.top || rung >= self.set.ladder.len() {
            return;
        }
        s.rung = rung;
        let at = s.at();
        at.into_iter().for_each(|server| self.reckon(server));
        self.out.push(Action::Rung(request, rung));
    }

    /// The one place that gives final answers: a refusal where no harm can have been done, else a failure.
    pub(super) fn answer(&mut self, request: RequestId) {
        let Some(s) = self.sessions.remove(&request).filter(|s| !s.over) else { return };
        if s.ran && self.set.classes[s.call.class].at_most_once {
            self.out.push(Action::Fail(request));
        } else {
            self.out.push(Action::Refuse(request, self.set.limits.hold_off));
        }
    }

    pub(super) fn adopt(&mut self, call: &Call, server: ServerId) {
        let (Some(class), false) = (self.set.classes.get(call.class), self.set.ladder.is_empty()) else {
            return;
        };
        let rung = class.floor.min(self.set.ladder.len() - 1);
        let Some(at) = self.servers.get_mut(&server) else { return };
        at.sessions.insert(call.request);
        let (call, state) = (call.clone(), State::Playing(server, self.now));
        let session =
            Session { state, rung, attempts: 1, over: true, adopted: true, call, ..Session::default() };
        self.sessions.insert(session.call.request, session);
        self.reckon(server);
    }

    pub(super) fn playing(&mut self, request: RequestId, server: ServerId) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        if s.state != State::Out(server) {
            return;
        }
        s.state = State::Playing(server, self.now);
        s.over = true;
        self.reckon(server);
        self.worked(server);
    }

    pub(super) fn gone(&mut self, request: RequestId) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        s.over = true;
        if s.state == State::Waiting {
            self.sessions.remove(&request);
        }
    }

    pub(super) fn ended(&mut self, request: RequestId, n: u32, server: ServerId, how: Outcome, closed: bool) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        if n + 1 != s.attempts || s.state == State::Waiting {
            return;
        }
        s.state = State::Waiting;
        s.ran |= !how.never_ran();
        s.over |= closed;
        let over = s.over;
        if let Some(s) = self.servers.get_mut(&server) {
            s.sessions.remove(&request);
        }
        self.reckon(server);
        // One late answer may be a jam; a second before anything worked is silence.
        let silent = self.servers.get(&server).is_some_and(|s| s.fails > 0);
        match how {
            Outcome::Error => self.erred(request, server),
            Outcome::ConnectFailed => self.failed(server, true, "no connection"),
            Outcome::Reset => self.failed(server, true, "connection lost"),
            Outcome::Timeout => self.failed(server, silent, "no answer"),
            _ => {
                if let Some(s) = self.servers.get_mut(&server) {
                    s.trial = false;
                    if how == Outcome::Full {
                        s.link.fill(self.now);
                    }
                }
            }
        }
        if over {
            self.sessions.remove(&request);
        } else {
            self.waiting.push(request);
        }
    }
}
