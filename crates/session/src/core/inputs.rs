//! What comes in, and what is due.

use super::Core;
use crate::held::{Phase, Session};
use crate::policy::Policy;
use crate::timers::Due;
use crate::types::*;
use cloverhollow::{Event, RecoveredHistory};
use cloverhollow_recovery::{Recovered, Trust};
use std::time::Duration;

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    pub(super) fn take(&mut self, input: Input<A, B>) {
        match input {
            Input::Arrived(arrival) => self.arrived(arrival),
            Input::HungUp { viewer, sid } => self.hung_up(viewer, &sid),
            Input::Playing { attempt, load, answer } => self.playing(attempt, load, answer),
            Input::AttemptEnded { attempt, end, load } => self.attempt_ended(attempt, end, load),
            Input::Reading { request, server, load } => self.reading(request, server, load),
            Input::Lost { request } => self.over(request, OverWhy::Lost, Load::default()),
            Input::Over { sid, why, load } => {
                if let Some(request) = self.by_sid.get(&sid).copied() {
                    self.over(request, why, load);
                }
            }
            Input::Adopted { arrival, server } => self.adopted(arrival, server),
            Input::Note { sid, note } => self.note(&sid, note),
            Input::List(news) => self.news(news),
            Input::Told { peer, asked_at, nonce, message } => {
                let merged = self.learning.merge(self.now, asked_at, nonce, &message);
                let outcome = merged.map(|(heard, said)| {
                    self.events.extend(heard.into_iter().map(Event::PeerReport));
                    said
                });
                if let Err(error) = outcome {
                    tracing::warn!(%peer, %error, "a peer's word is not taken");
                }
                self.commands.push(Command::Merged { peer, outcome });
            }
            Input::Clock(ahead) => self.events.push(Event::ClockOffset(ahead)),
            Input::Heard(heard) => self.events.push(Event::PeerReport(heard)),
            Input::Counted { fronts } => self.events.push(Event::FleetSize { max_fronts: fronts }),
            Input::Recovered(recovered) => self.recovered(*recovered),
            Input::Remembered(message) => {
                let heard = self.learning.remember(self.now, &message);
                self.events.extend(heard.into_iter().map(Event::PeerReport));
            }
        }
    }

    pub(super) fn fire(&mut self, due: Due) {
        match due {
            Due::Policy(token) => self.events.push(Event::Timer(token)),
            Due::Attempt(attempt) => self.recall(attempt, RecallWhy::TimedOut),
            Due::Viewer(sid, viewer) => {
                let answer = Answer::Failed { late: true, reason: Reason::TimeUp };
                if self.stop_waiting(viewer, &sid) {
                    self.answer(viewer, answer);
                    self.nobody_waits(&sid);
                }
            }
            Due::Idle(request) => {
                let Some(Session { phase: Phase::Playing { route, .. }, .. }) = self.sessions.get(&request)
                else {
                    return;
                };
                let Some(idle) = self.terms.idle else { return };
                let seen = if route.is_fetching() { self.now } else { route.seen() };
                let until = seen + idle;
                if until <= self.now {
                    self.over(request, OverWhy::Idle, Load::default());
                } else {
                    self.timers.arm(until, Due::Idle(request));
                }
            }
        }
    }

    /// What earlier lives did, as far as it is proven. What is not proven counts as done.
    fn recovered(&mut self, mut r: Recovered) {
        let (paid, stopped) = (r.paid.iter().len(), r.stopped.len());
        tracing::info!(proven = r.trust.words(), paid, stopped, "this front ran before");
        let waits = self.terms.classes.iter().filter(|c| c.paid).map(|c| c.deadline);
        self.lives.recovered(self.now, &mut r, waits.max().unwrap_or_default());
        let ran = (r.trust != Trust::First).then_some(Duration::ZERO);
        // A front that keeps nothing has no list but what discovery tells it from now on.
        let doubts = !matches!(r.trust, Trust::First | Trust::Unkept);
        let late = self.terms.memory.as_ref().filter(|_| doubts).map_or(Duration::ZERO, |m| m.list_late);
        self.events.push(Event::RecoveredHistory(RecoveredHistory {
            retry_ages: r.further,
            complete_for: r.known,
            last_setup_age: ran,
            list_delay: late,
        }));
    }
}
