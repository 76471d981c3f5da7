//! Sessions that play, until they are over.

use super::Core;
use crate::held::{Phase, Session};
use crate::policy::Policy;
use crate::routes::Route;
use crate::timers::Due;
use crate::types::*;
use cloverhollow::{AttemptOutcome, Event, RequestId, ServerId, SessionReport};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64};
use std::sync::Arc;

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    /// A session plays from now on: its route, for whoever follows it.
    pub(super) fn plays(
        &mut self,
        request: RequestId,
        s: &mut Session<A>,
        attempt: AttemptId,
        server: ServerId,
        address: SocketAddr,
    ) -> Arc<Route> {
        let route = Arc::new(Route {
            request,
            sid: s.sid.clone(),
            class: s.class,
            server,
            address,
            gauge: self.gauges.entry(server).or_default().clone(),
            rates: self.terms.rates[s.class].clone(),
            rung: AtomicU32::new(s.rung as u32),
            seen_ms: AtomicU64::new(self.now.as_millis() as u64),
            fetching: AtomicU32::new(0),
        });
        self.routes.insert(route.clone());
        s.phase = Phase::Playing { attempt, route: route.clone() };
        if let Some(idle) = self.terms.idle {
            self.timers.arm(self.now + idle, Due::Idle(request));
        }
        route
    }

    /// News on a session that plays, as its server told it.
    pub(super) fn note(&mut self, sid: &Sid, note: SessionReport) {
        let Some(request) = self.by_sid.get(sid).copied() else { return };
        let Some(Session { phase: Phase::Playing { route, .. }, .. }) = self.sessions.get(&request) else {
            return;
        };
        self.events.push(Event::SessionReport(request, route.server, note));
    }

    pub(super) fn reading(&mut self, request: RequestId, server: ServerId, load: Load) {
        let playing = self
            .sessions
            .get(&request)
            .is_some_and(|s| matches!(&s.phase, Phase::Playing { route, .. } if route.server == server));
        if !playing {
            return;
        }
        self.learning.read(self.now, server, load);
        let notes = [
            load.share.map(SessionReport::DeliveredShare),
            load.rack.map(SessionReport::UplinkLoad),
            load.link.map(SessionReport::LinkLoad),
        ];
        self.events.extend(notes.into_iter().flatten().map(|n| Event::SessionReport(request, server, n)));
    }

    pub(super) fn over(&mut self, request: RequestId, why: OverWhy, load: Load) {
        let Some(s) = self.sessions.get(&request) else { return };
        // While it is being set up, its request gets its own answer first.
        let Phase::Playing { attempt, route } = &s.phase else { return };
        let outcome = if why == OverWhy::Lost { AttemptOutcome::Reset } else { AttemptOutcome::Ok };
        self.stats.over(why);
        tracing::debug!(session = %s.sid, server = route.server, ?why, "over");
        let (address, server) = (route.address, route.server);
        if why == OverWhy::Lost {
            self.learning.behaved(self.now, server, false, true);
            self.commands.extend(self.lives.behaved(server, false).map(Command::Keep));
        }
        let sid = s.sid.clone();
        self.commands.push(Command::Release { address, server, sid: sid.clone() });
        self.commands.push(Command::Over { sid, server, why });
        self.events.push(Event::AttemptEnded(request, attempt.number, server, outcome, true, load.report()));
        self.forget(request);
    }

    pub(super) fn forget(&mut self, request: RequestId) {
        let Some(s) = self.sessions.remove(&request) else { return };
        if let Phase::Out { attempt, server, .. } = s.phase {
            self.out_at.remove(&(server, attempt));
        }
        if self.by_sid.get(&s.sid) == Some(&request) {
            self.by_sid.remove(&s.sid);
            self.routes.remove(&s.sid);
        }
    }
}
