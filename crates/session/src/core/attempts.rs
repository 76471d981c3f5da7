//! Attempts at setting a session up: out, recalled, answered, ended.

use super::Core;
use crate::held::Phase;
use crate::policy::Policy;
use crate::stats::count;
use crate::types::*;
use cloverhollow::{AttemptOutcome, Event};
use cloverhollow_recovery::{digest, Deed};

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    pub(super) fn recall(&mut self, attempt: AttemptId, why: RecallWhy) {
        let Some(s) = self.sessions.get_mut(&attempt.request) else { return };
        let Phase::Out { attempt: out, server, recalled, .. } = &mut s.phase else { return };
        if *out != attempt || recalled.is_some_and(|r| r != RecallWhy::Drained) {
            return;
        }
        *recalled = Some(why);
        if why == RecallWhy::TimedOut {
            count(&self.stats.timed_out);
            tracing::info!(session = %s.sid, %attempt, server = *server, "attempt timed out");
        }
        self.commands.push(Command::Recall { attempt, why });
    }

    /// Whether that attempt is the one that is out.
    pub(super) fn is_out(&self, attempt: AttemptId) -> bool {
        let s = self.sessions.get(&attempt.request);
        s.is_some_and(|s| matches!(s.phase, Phase::Out { attempt: out, .. } if out == attempt))
    }

    pub(super) fn playing(&mut self, attempt: AttemptId, load: Load, answer: B) {
        if !self.is_out(attempt) {
            // Its end is booked already: whatever the server began is closed by dropping the answer, and by
            // the release that went with that end.
            count(&self.stats.late_answers);
            return;
        }
        let Some(s) = self.sessions.get_mut(&attempt.request) else { return };
        // Where it went, whatever the list says by now: an answer counts even if its server has left the list.
        let Phase::Out { server, address, since, .. } = s.phase else { return };
        let gone = s.gone;
        self.out_at.remove(&(server, attempt));
        count(&self.stats.playing);
        self.learning.behaved(self.now, server, true, false);
        self.commands.extend(self.lives.behaved(server, true).map(Command::Keep));
        let request = attempt.request;
        self.events.push(Event::Playing(request, attempt.number, server, self.now.saturating_sub(since)));
        let Some(mut s) = self.sessions.remove(&request) else { return };
        let route = self.plays(request, &mut s, attempt, server, address);
        if s.paid {
            self.lives.ran(&s.sid);
        }
        tracing::debug!(session = %s.sid, %attempt, server, rung = s.rung, "plays");
        let waiting = std::mem::take(&mut s.waiting);
        let nobody = waiting.is_empty();
        let mut answer = Some(answer);
        for w in waiting {
            let reply = match answer.take_if(|_| w.owner) {
                Some(answer) => Answer::Stream { route: route.clone(), answer },
                None => Answer::Follow(route.clone()),
            };
            self.answer(w.viewer, reply);
        }
        self.sessions.insert(request, s);
        self.reading(request, server, load);
        if nobody && gone {
            self.over(request, OverWhy::Quit, Load::default());
        }
    }

    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, end: AttemptEnd, load: Load) {
        if !self.is_out(attempt) {
            return; // the other of two words after a recall
        }
        let Some(s) = self.sessions.get_mut(&attempt.request) else { return };
        let Phase::Out { server, address, recalled, .. } = s.phase else { return };
        self.out_at.remove(&(server, attempt));
        // Not by why it was recalled: its time may have been up before its viewer went.
        let left = s.gone;
        let outcome = match (end, recalled) {
            (AttemptEnd::NotConnected, _) => AttemptOutcome::ConnectFailed,
            (AttemptEnd::Full, _) => AttemptOutcome::Full,
            (AttemptEnd::Error { .. }, _) => AttemptOutcome::Error,
            (AttemptEnd::Reset, _) => AttemptOutcome::Reset,
            // Time ran out before a connection was made: it never ran, and the server is out of reach.
            (AttemptEnd::NeverSent, Some(RecallWhy::TimedOut)) => AttemptOutcome::ConnectFailed,
            (AttemptEnd::NeverSent | AttemptEnd::NotKept, _) => AttemptOutcome::NotSent,
            (AttemptEnd::Unanswered, Some(RecallWhy::HungUp)) => AttemptOutcome::Cancelled,
            (AttemptEnd::Unanswered, _) => AttemptOutcome::Timeout,
        };
        match outcome {
            AttemptOutcome::Error => self.learning.behaved(self.now, server, false, false),
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset | AttemptOutcome::Timeout => {
                self.learning.behaved(self.now, server, false, outcome != AttemptOutcome::Timeout);
                self.commands.extend(self.lives.behaved(server, false).map(Command::Keep));
            }
            _ => {}
        }
        if outcome == AttemptOutcome::NotSent {
            count(&self.stats.recalled_unsent);
        }
        tracing::info!(session = %s.sid, %attempt, server, ?end, "attempt ended");
        s.phase = Phase::Deciding;
        s.not_kept |= end == AttemptEnd::NotKept;
        if !outcome.never_executed() {
            s.ran = Some(end);
            if s.paid {
                self.lives.ran(&s.sid);
            }
            // It may hold the session all the same.
            self.commands.push(Command::Release { address, server, sid: s.sid.clone() });
        } else if s.paid && s.ran.is_none() && end != AttemptEnd::NotKept {
            self.commands.push(Command::Keep(Deed::Unrun { sid: digest(&s.sid) }));
        }
        let ended =
            Event::AttemptEnded(attempt.request, attempt.number, server, outcome, left, load.report());
        self.events.push(ended);
        if left {
            let (waiting, paid_ran) = (std::mem::take(&mut s.waiting), s.paid && s.ran.is_some());
            self.forget(attempt.request);
            self.ask_anew(waiting, paid_ran);
        }
    }
}
