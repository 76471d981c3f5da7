//! Handling of inputs and of timers that fire.

use super::Core;
use crate::policy::Policy;
use crate::session_state::{Phase, Session};
use crate::timers::Timer;
use crate::types::*;
use cloverhollow::{Event, RecoveredHistory};
use cloverhollow_recovery::{RecoveredState, Trust};
use std::time::Duration;

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    pub(super) fn process_input(&mut self, input: Input<A, B>) {
        match input {
            Input::Arrived(arrival) => self.arrived(arrival),
            Input::Disconnected { viewer, sid } => self.disconnected(viewer, &sid),
            Input::Playing { attempt, load, response } => self.attempt_succeeded(attempt, load, response),
            Input::AttemptEnded { attempt, end, load } => self.attempt_ended(attempt, end, load),
            Input::LoadReport { request, server, load } => self.load_reported(request, server, load),
            Input::SessionLost { request } => self.end_session(request, EndReason::Lost, Load::default()),
            Input::SessionEnded { sid, reason, load } => {
                if let Some(request) = self.by_sid.get(&sid).copied() {
                    self.end_session(request, reason, load);
                }
            }
            Input::Adopted { arrival, server } => self.adopt(arrival, server),
            Input::SessionReport { sid, report } => self.session_reported(&sid, report),
            Input::ListUpdate(update) => self.update_list(update),
            Input::PeerMessage { peer, requested_at, nonce, message } => {
                let merged = self.knowledge.merge(self.now, requested_at, nonce, &message);
                let outcome = merged.map(|(reports, status)| {
                    self.events.extend(reports.into_iter().map(Event::PeerReport));
                    status
                });
                if let Err(error) = outcome {
                    tracing::warn!(%peer, %error, "knowledge message of a peer rejected");
                }
                self.commands.push(Command::KnowledgeMerged { peer, outcome });
            }
            Input::ClockOffset(offset) => self.events.push(Event::ClockOffset(offset)),
            Input::PeerReport(report) => self.events.push(Event::PeerReport(report)),
            Input::FleetSize { fronts } => self.events.push(Event::FleetSize { max_fronts: fronts }),
            Input::Recovered(recovered) => self.restore_history(*recovered),
            Input::PersistedKnowledge(message) => {
                let reports = self.knowledge.restore(self.now, &message);
                self.events.extend(reports.into_iter().map(Event::PeerReport));
            }
        }
    }

    pub(super) fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Policy(token) => self.events.push(Event::Timer(token)),
            Timer::Attempt(attempt) => self.cancel(attempt, CancelReason::TimedOut),
            Timer::Viewer(sid, viewer) => {
                let answer = Answer::Failed { timed_out: true, reason: RejectReason::DeadlineExceeded };
                if self.remove_waiting(viewer, &sid) {
                    self.answer(viewer, answer);
                    self.abandon_if_unwanted(&sid);
                }
            }
            Timer::Idle(request) => {
                let Some(Session { phase: Phase::Playing { route, .. }, .. }) = self.sessions.get(&request)
                else {
                    return;
                };
                let Some(idle_timeout) = self.config.idle_timeout else { return };
                let last_activity = if route.is_fetching() { self.now } else { route.last_activity() };
                let deadline = last_activity + idle_timeout;
                if deadline <= self.now {
                    self.end_session(request, EndReason::Idle, Load::default());
                } else {
                    self.timers.arm(deadline, Timer::Idle(request));
                }
            }
        }
    }

    /// Restores the proven history of earlier incarnations. Anything that cannot be ruled out counts as having
    /// happened.
    fn restore_history(&mut self, mut recovered: RecoveredState) {
        let (paid, stopped) = (recovered.paid_sessions.iter().len(), recovered.stopped.len());
        tracing::info!(proven = recovered.trust.describe(), paid, stopped, "earlier incarnation found");
        let paid_deadlines = self.config.classes.iter().filter(|c| c.paid).map(|c| c.deadline);
        self.history.restore(self.now, &mut recovered, paid_deadlines.max().unwrap_or_default());
        let last_setup_age = (recovered.trust != Trust::FirstStart).then_some(Duration::ZERO);
        // A front without persistence starts with an empty list, so no entry on it can be out of date.
        let list_may_be_stale = !matches!(recovered.trust, Trust::FirstStart | Trust::NotPersisted);
        let list_delay = self
            .config
            .persistence
            .as_ref()
            .filter(|_| list_may_be_stale)
            .map_or(Duration::ZERO, |p| p.max_list_delay);
        self.events.push(Event::RecoveredHistory(RecoveredHistory {
            retry_ages: recovered.retry_ages,
            complete_for: recovered.retries_complete_for,
            last_setup_age,
            list_delay,
        }));
    }
}
