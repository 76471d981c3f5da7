//! Who asks for a session, waits for its answer, and hangs up.

use super::Core;
use crate::held::{Phase, Session, Waiter};
use crate::policy::Policy;
use crate::stats::count;
use crate::timers::Due;
use crate::types::*;
use cloverhollow::{Event, RequestId, ServerId};
use cloverhollow_hints::Contradiction;

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    pub(super) fn arrived(&mut self, a: Arrival<A>) {
        self.owed += 1;
        self.stats.hints(&a.faults, a.contradictions);
        self.asks(a);
    }

    fn asks(&mut self, a: Arrival<A>) {
        if let Some(request) = self.by_sid.get(&a.sid).copied() {
            return self.joined(request, a);
        }
        let class = self.terms.classes[a.class];
        // Rule 2: it may have run here, in this life or another, or, when the hints say that it plays, at a
        // front that is gone.
        let plays = (class.paid && a.underway).then_some(Reason::SetUpBefore);
        if let Some(reason) = self.lives.bars(self.now, &a.sid, class.paid).or(plays) {
            return self.answer(a.viewer, Answer::Failed { late: false, reason });
        }
        if self.sessions.len() >= self.terms.most {
            let after = self.terms.hold_off;
            return self.answer(a.viewer, Answer::Refused { after, reason: Reason::FrontFull });
        }
        count(&self.stats.calls);
        let request = self.next_request;
        self.next_request += 1;
        let deadline = self.now + a.patience.saturating_sub(self.terms.margin);
        self.events.push(Event::Request(a.call(request, deadline)));
        self.note_hints(&a);
        self.by_sid.insert(a.sid.clone(), request);
        let waiting = vec![Waiter { viewer: a.viewer, owner: true, anew: None }];
        let session = Session { waiting, ..Session::new(a, class.paid, deadline) };
        self.sessions.insert(request, session);
    }

    /// A session that plays already at a server of the list, as an earlier life of this front set it up. No
    /// answer is owed. One that is held already stays as it is.
    pub(super) fn adopted(&mut self, a: Arrival<A>, server: ServerId) {
        let takes = self.sessions.len() < self.terms.most && !self.by_sid.contains_key(&a.sid);
        let Some(address) = self.list.address(server).filter(|_| takes) else { return };
        let request = self.next_request;
        self.next_request += 1;
        self.events.push(Event::Adopted(a.call(request, self.now), server));
        self.by_sid.insert(a.sid.clone(), request);
        let paid = self.terms.classes[a.class].paid;
        let mut s = Session { sent: 1, ..Session::new(a, paid, self.now) };
        self.plays(request, &mut s, AttemptId { request, number: 0 }, server, address);
        if s.paid {
            self.lives.ran(&s.sid);
        }
        self.sessions.insert(request, s);
    }

    /// One line a session for hints that could not be used.
    pub(super) fn note_hints(&self, a: &Arrival<A>) {
        if a.faults.total() > 0 || !a.contradictions.is_empty() {
            let words: Vec<_> = a.contradictions.iter().map(Contradiction::word).collect();
            tracing::info!(session = %a.sid, dropped = %a.faults, contradicted = words.join(","), "hints dropped");
        }
    }

    /// A further request of a session that is known: it waits along, or follows.
    pub(super) fn joined(&mut self, request: RequestId, a: Arrival<A>) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        let mut found = a.contradictions;
        if s.title != a.title || s.class != a.class {
            found.add(Contradiction::ContentChanged);
        }
        let new = s.told.learn(found);
        for c in new.iter() {
            tracing::info!(session = %s.sid, contradicted = c.word(), "hints dropped");
            count(&self.stats.contradictions[c as usize]);
        }
        let answer = match &s.phase {
            Phase::Playing { route, .. } => Answer::Follow(route.clone()),
            _ if s.waiting.len() >= self.terms.waiting => {
                let after = self.terms.hold_off;
                Answer::Refused { after, reason: Reason::TooManyWaiting }
            }
            _ => {
                let own = self.now + a.patience.saturating_sub(self.terms.margin);
                let viewer = a.viewer;
                // The first one's time is the module's to keep; a further one may have less.
                if own < s.deadline || s.gone {
                    self.timers.arm(own, Due::Viewer(s.sid.clone(), viewer));
                }
                let anew = s.gone.then(|| (self.now, Box::new(a)));
                s.waiting.push(Waiter { viewer, owner: false, anew });
                return;
            }
        };
        self.answer(a.viewer, answer);
    }

    /// Those who came after all others had hung up ask anew, now that the attempt has ended. Guards a viewer who closes
    /// its connection and asks again at once: its request was dropped with the one before, without an answer (rule 1).
    pub(super) fn ask_anew(&mut self, waiting: Vec<Waiter<A>>, paid_ran: bool) {
        for w in waiting {
            match w.anew {
                Some((since, a)) if !paid_ran => {
                    let patience = a.patience.saturating_sub(self.now.saturating_sub(since));
                    self.asks(Arrival { patience, ..*a });
                }
                _ => self.answer(w.viewer, Answer::Failed { late: false, reason: Reason::SetUpBefore }),
            }
        }
    }

    /// Takes a viewer off the waiting; whether it was there.
    pub(super) fn stop_waiting(&mut self, viewer: ViewerId, sid: &Sid) -> bool {
        let Some(request) = self.by_sid.get(sid) else { return false };
        let Some(s) = self.sessions.get_mut(request) else { return false };
        let before = s.waiting.len();
        s.waiting.retain(|w| w.viewer != viewer);
        s.waiting.len() < before
    }

    pub(super) fn hung_up(&mut self, viewer: ViewerId, sid: &Sid) {
        if !self.stop_waiting(viewer, sid) {
            return; // it has been answered, or another session has its name by now
        }
        self.owed = self.owed.saturating_sub(1);
        count(&self.stats.hung_up);
        self.nobody_waits(sid);
    }

    /// Lets go of a session that is being set up, where nobody waits for it any more.
    pub(super) fn nobody_waits(&mut self, sid: &Sid) {
        let Some(request) = self.by_sid.get(sid).copied() else { return };
        let Some(s) = self.sessions.get_mut(&request).filter(|s| s.waiting.is_empty()) else { return };
        match s.phase {
            Phase::Deciding => {
                self.events.push(Event::ViewerLeft(request));
                self.forget(request);
            }
            Phase::Out { attempt, .. } => {
                if std::mem::replace(&mut s.gone, true) {
                    return; // one who came after the last one left has left too
                }
                self.events.push(Event::ViewerLeft(request));
                self.recall(attempt, RecallWhy::HungUp);
            }
            Phase::Playing { .. } => {}
        }
    }

    pub(super) fn answer(&mut self, viewer: ViewerId, answer: Answer<B>) {
        match &answer {
            Answer::Refused { reason, .. } => count(&self.stats.refused[*reason as usize]),
            Answer::Failed { reason, .. } => count(&self.stats.failed[*reason as usize]),
            _ => {}
        }
        self.owed = self.owed.saturating_sub(1);
        self.commands.push(Command::Answer { viewer, answer });
    }
}
