//! Viewers: their requests, their answers, and their disconnects. Rules are numbered as in the crate's documentation.

use super::Core;
use crate::policy::Policy;
use crate::session_state::{Phase, Session, WaitingViewer};
use crate::stats::increment;
use crate::timers::Timer;
use crate::types::*;
use cloverhollow::{Event, RequestId, ServerId};
use cloverhollow_hints::Contradiction;

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    pub(super) fn arrived(&mut self, arrival: Arrival<A>) {
        self.pending_answers += 1;
        self.stats.record_hints(&arrival.hint_faults, arrival.hint_contradictions);
        self.submit(arrival);
    }

    /// Joins the request to its session if that exists, else rejects it or passes it to the policy as a new session.
    fn submit(&mut self, arrival: Arrival<A>) {
        if let Some(request) = self.by_sid.get(&arrival.sid).copied() {
            return self.join(request, arrival);
        }
        let class = self.config.classes[arrival.class];
        // Rule 2: a paid session may have been executed here, in any incarnation, or, where the hints say that it
        // plays, at another front, which may have ended.
        let plays_elsewhere = (class.paid && arrival.already_playing).then_some(RejectReason::AlreadySetUp);
        if let Some(reason) = self.history.rejects(self.now, &arrival.sid, class.paid).or(plays_elsewhere) {
            return self.answer(arrival.viewer, Answer::Failed { timed_out: false, reason });
        }
        if self.sessions.len() >= self.config.max_sessions {
            let retry_after = self.config.retry_after;
            return self
                .answer(arrival.viewer, Answer::Refused { retry_after, reason: RejectReason::FrontFull });
        }
        increment(&self.stats.requests);
        let request = self.next_request;
        self.next_request += 1;
        let deadline = self.now + arrival.max_wait.saturating_sub(self.config.answer_margin);
        self.events.push(Event::Request(arrival.to_session_request(request, deadline)));
        self.log_dropped_hints(&arrival);
        self.by_sid.insert(arrival.sid.clone(), request);
        let waiting = vec![WaitingViewer { viewer: arrival.viewer, is_owner: true, resubmission: None }];
        let session = Session { waiting, ..Session::new(arrival, class.paid, deadline) };
        self.sessions.insert(request, session);
    }

    /// Takes over a session that an earlier incarnation of this front set up and that plays at a listed server.
    ///
    /// No viewer waits for an answer. A session that is already held stays as it is.
    pub(super) fn adopt(&mut self, arrival: Arrival<A>, server: ServerId) {
        let has_room =
            self.sessions.len() < self.config.max_sessions && !self.by_sid.contains_key(&arrival.sid);
        let Some(address) = self.list.address(server).filter(|_| has_room) else { return };
        let request = self.next_request;
        self.next_request += 1;
        self.events.push(Event::Adopted(arrival.to_session_request(request, self.now), server));
        self.by_sid.insert(arrival.sid.clone(), request);
        let paid = self.config.classes[arrival.class].paid;
        let mut session = Session { attempts: 1, ..Session::new(arrival, paid, self.now) };
        self.begin_playing(request, &mut session, AttemptId { request, number: 0 }, server, address);
        if session.paid {
            self.history.record_executed(&session.sid);
        }
        self.sessions.insert(request, session);
    }

    /// Logs hints that could not be used, in one line for each session.
    pub(super) fn log_dropped_hints(&self, arrival: &Arrival<A>) {
        if arrival.hint_faults.total() > 0 || !arrival.hint_contradictions.is_empty() {
            let tokens: Vec<_> = arrival.hint_contradictions.iter().map(Contradiction::label).collect();
            tracing::info!(
                session = %arrival.sid,
                dropped = %arrival.hint_faults,
                contradicted = tokens.join(","),
                "hints dropped"
            );
        }
    }

    /// Handles a further request for a session that is held: the viewer waits for its set-up, or follows its route.
    pub(super) fn join(&mut self, request: RequestId, arrival: Arrival<A>) {
        let Some(session) = self.sessions.get_mut(&request) else { return };
        let mut found = arrival.hint_contradictions;
        if session.title != arrival.title || session.class != arrival.class {
            found.add(Contradiction::ContentChanged);
        }
        let new = session.contradictions.insert_all(found);
        for contradiction in new.iter() {
            tracing::info!(session = %session.sid, contradicted = contradiction.label(), "hints dropped");
            increment(&self.stats.contradictions[contradiction as usize]);
        }
        let answer = match &session.phase {
            Phase::Playing { route, .. } => Answer::Follow(route.clone()),
            _ if session.waiting.len() >= self.config.max_waiting => {
                let retry_after = self.config.retry_after;
                Answer::Refused { retry_after, reason: RejectReason::TooManyWaiting }
            }
            _ => {
                let deadline = self.now + arrival.max_wait.saturating_sub(self.config.answer_margin);
                let viewer = arrival.viewer;
                // The policy watches the first viewer's deadline; a viewer that joins may have an earlier one.
                if deadline < session.deadline || session.abandoned {
                    self.timers.arm(deadline, Timer::Viewer(session.sid.clone(), viewer));
                }
                let resubmission = session.abandoned.then(|| (self.now, Box::new(arrival)));
                session.waiting.push(WaitingViewer { viewer, is_owner: false, resubmission });
                return;
            }
        };
        self.answer(arrival.viewer, answer);
    }

    /// Submits the requests of viewers that joined an abandoned session, now that its last attempt has ended.
    ///
    /// Such a viewer may have closed its connection and requested the session again at once. Without this its request
    /// would be dropped with the abandoned session and get no answer (rule 1).
    pub(super) fn resubmit(&mut self, waiting: Vec<WaitingViewer<A>>, paid_executed: bool) {
        for waiting_viewer in waiting {
            match waiting_viewer.resubmission {
                Some((since, arrival)) if !paid_executed => {
                    let max_wait = arrival.max_wait.saturating_sub(self.now.saturating_sub(since));
                    self.submit(Arrival { max_wait, ..*arrival });
                }
                _ => self.answer(
                    waiting_viewer.viewer,
                    Answer::Failed { timed_out: false, reason: RejectReason::AlreadySetUp },
                ),
            }
        }
    }

    /// Removes a viewer from those that wait for a session, and returns whether it was among them.
    pub(super) fn remove_waiting(&mut self, viewer: ViewerId, sid: &SessionId) -> bool {
        let Some(request) = self.by_sid.get(sid) else { return false };
        let Some(session) = self.sessions.get_mut(request) else { return false };
        let count_before = session.waiting.len();
        session.waiting.retain(|w| w.viewer != viewer);
        session.waiting.len() < count_before
    }

    pub(super) fn disconnected(&mut self, viewer: ViewerId, sid: &SessionId) {
        if !self.remove_waiting(viewer, sid) {
            return; // The viewer has been answered, or another session has this name by now.
        }
        self.pending_answers = self.pending_answers.saturating_sub(1);
        increment(&self.stats.disconnected);
        self.abandon_if_unwanted(sid);
    }

    /// Gives up a session that is being set up if no viewer waits for it any more.
    pub(super) fn abandon_if_unwanted(&mut self, sid: &SessionId) {
        let Some(request) = self.by_sid.get(sid).copied() else { return };
        let Some(session) = self.sessions.get_mut(&request).filter(|s| s.waiting.is_empty()) else { return };
        match session.phase {
            Phase::Deciding => {
                self.events.push(Event::ViewerLeft(request));
                self.remove_session(request);
            }
            Phase::Attempting { attempt, .. } => {
                if std::mem::replace(&mut session.abandoned, true) {
                    return; // A viewer that joined the abandoned session has disconnected too.
                }
                self.events.push(Event::ViewerLeft(request));
                self.cancel(attempt, CancelReason::Disconnected);
            }
            Phase::Playing { .. } => {}
        }
    }

    pub(super) fn answer(&mut self, viewer: ViewerId, answer: Answer<B>) {
        match &answer {
            Answer::Refused { reason, .. } => increment(&self.stats.refused[*reason as usize]),
            Answer::Failed { reason, .. } => increment(&self.stats.failed[*reason as usize]),
            _ => {}
        }
        self.pending_answers = self.pending_answers.saturating_sub(1);
        self.commands.push(Command::Answer { viewer, answer });
    }
}
