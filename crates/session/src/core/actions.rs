//! What the decision module wants done.

use super::Core;
use crate::held::{Phase, Session};
use crate::policy::Policy;
use crate::stats::count;
use crate::timers::Due;
use crate::types::*;
use cloverhollow::{Action, AttemptOutcome, Event, LoadReport, RequestId, ServerId};
use cloverhollow_recovery::Deed;
use std::time::Duration;

/// A set-up whose first byte has not gone out so long after the decision never goes out. Guards a front that
/// stood still in between: it would act on what has changed since (rules 3 and 4).
const STALE: Duration = Duration::from_secs(1);
/// The same for a further attempt, which is counted when it is decided: one that goes out later would fall into
/// another span of the ration (rule 6).
const STALE_FURTHER: Duration = Duration::from_millis(100);

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Send(request, server, within) => self.send(request, server, within),
            Action::SetRung(request, rung) => self.set_rung(request, rung),
            Action::Refuse(request, after) => {
                let not_kept = self.sessions.get(&request).is_some_and(|s| s.not_kept);
                let reason = match self.list.serving() {
                    0 => Reason::NoServers,
                    _ if not_kept => Reason::NotKept,
                    _ => Reason::NoRoom,
                };
                self.finish(request, || Answer::Refused { after, reason });
            }
            Action::Fail(request) => {
                let ran = self.sessions.get(&request).and_then(|s| s.ran);
                let (late, reason) = match ran {
                    Some(AttemptEnd::Error { .. } | AttemptEnd::Reset) => (false, Reason::ServerFailed),
                    _ => (true, Reason::Unanswered),
                };
                self.finish(request, || Answer::Failed { late, reason });
            }
            Action::SetTimer(after, token) => self.timers.arm(self.now + after, Due::Policy(token)),
            // The shell keeps its subscription by itself: the settings say that the list is pushed.
            Action::Subscribe => {}
            Action::Log(words) => tracing::info!("{words}"),
        }
    }

    pub(super) fn send(&mut self, request: RequestId, server: ServerId, within: Duration) {
        // Guards against whoever decides about a session that is out or plays already: two attempts would be out.
        let deciding = |s: &&mut Session<A>| matches!(s.phase, Phase::Deciding);
        let Some(s) = self.sessions.get_mut(&request).filter(deciding) else { return };
        let number = s.sent;
        s.sent += 1;
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
        s.phase = Phase::Out { attempt, server, address, since: self.now, recalled: None };
        let kbps = self.terms.rates[s.class].get(s.rung).copied().unwrap_or(0);
        let (sid, rung, ask) = (s.sid.clone(), s.rung, s.ask.clone());
        // Only what a rule counts over a death is taken down: other set-ups wait for nothing.
        let rationed = self.terms.memory.as_ref().is_some_and(|m| m.rationed);
        let (paid, further) = (s.paid, number > 0 && rationed);
        let kept = self.terms.memory.is_some() && (paid || further);
        let deed = kept.then(|| Deed::Out { sid: sid.to_string(), server, paid, further });
        let usual = if further { STALE_FURTHER } else { STALE };
        let until = self.now + self.policy.send_within(server).map_or(usual, |soon| soon.min(usual));
        if number > 0 {
            tracing::info!(session = %sid, %attempt, server, "tries again");
        }
        count(&self.stats.attempts);
        self.out_at.insert((server, attempt));
        self.timers.arm(self.now + within, Due::Attempt(attempt));
        self.commands.push(Command::Send(Setup {
            attempt,
            server,
            address,
            sid,
            rung,
            kbps,
            paid,
            deed,
            within,
            until,
            ask,
        }));
    }

    pub(super) fn set_rung(&mut self, request: RequestId, rung: usize) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        s.rung = rung;
        if let Phase::Playing { route, .. } = &s.phase {
            count(&self.stats.rung_changes);
            tracing::info!(session = %s.sid, server = route.server, from = route.rung(), to = rung, "rung changes");
            route.set_rung(rung);
            let (server, sid) = (route.server, s.sid.clone());
            self.commands.push(Command::Rung { server, sid, rung });
        }
    }

    /// The one final answer to all that wait for a session that does not come to play.
    pub(super) fn finish(&mut self, request: RequestId, answer: impl Fn() -> Answer<B>) {
        // While an attempt is out nobody can say what became of it, and its server would keep what it set up.
        let deciding = |s: &&mut Session<A>| matches!(s.phase, Phase::Deciding);
        let Some(s) = self.sessions.get_mut(&request).filter(deciding) else { return };
        for w in std::mem::take(&mut s.waiting) {
            self.answer(w.viewer, answer());
        }
        self.forget(request);
    }
}
