//! Playing sessions, from the first response to the end.

use super::Core;
use crate::policy::Policy;
use crate::routes::Route;
use crate::session_state::{Phase, Session};
use crate::timers::Timer;
use crate::types::*;
use cloverhollow::{AttemptOutcome, Event, RequestId, ServerId, SessionReport};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64};
use std::sync::Arc;

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    /// Marks a session as playing and publishes its route.
    pub(super) fn begin_playing(
        &mut self,
        request: RequestId,
        session: &mut Session<A>,
        attempt: AttemptId,
        server: ServerId,
        address: SocketAddr,
    ) -> Arc<Route> {
        let route = Arc::new(Route {
            request,
            sid: session.sid.clone(),
            class: session.class,
            server,
            address,
            report_throttle: self.report_throttles.entry(server).or_default().clone(),
            rates_kbps: self.config.rates_kbps[session.class].clone(),
            rung: AtomicU32::new(session.rung as u32),
            last_activity_ms: AtomicU64::new(self.now.as_millis() as u64),
            active_fetches: AtomicU32::new(0),
        });
        self.routes.insert(route.clone());
        session.phase = Phase::Playing { attempt, route: route.clone() };
        if let Some(idle_timeout) = self.config.idle_timeout {
            self.timers.arm(self.now + idle_timeout, Timer::Idle(request));
        }
        route
    }

    /// Passes a server's report on a session to the policy if the session plays.
    pub(super) fn session_reported(&mut self, sid: &SessionId, report: SessionReport) {
        let Some(request) = self.by_sid.get(sid).copied() else { return };
        let Some(Session { phase: Phase::Playing { route, .. }, .. }) = self.sessions.get(&request) else {
            return;
        };
        self.events.push(Event::SessionReport(request, route.server, report));
    }

    pub(super) fn load_reported(&mut self, request: RequestId, server: ServerId, load: Load) {
        let plays_there = self
            .sessions
            .get(&request)
            .is_some_and(|s| matches!(&s.phase, Phase::Playing { route, .. } if route.server == server));
        if !plays_there {
            return;
        }
        self.knowledge.record_load(self.now, server, load);
        let reports = [
            load.share.map(SessionReport::DeliveredShare),
            load.rack.map(SessionReport::UplinkLoad),
            load.link.map(SessionReport::LinkLoad),
        ];
        self.events.extend(reports.into_iter().flatten().map(|r| Event::SessionReport(request, server, r)));
    }

    /// Ends a session if it plays. A session that is being set up is left alone: its waiting viewers get their answer
    /// first.
    pub(super) fn end_session(&mut self, request: RequestId, reason: EndReason, load: Load) {
        let Some(session) = self.sessions.get(&request) else { return };
        let Phase::Playing { attempt, route } = &session.phase else { return };
        let outcome = if reason == EndReason::Lost { AttemptOutcome::Reset } else { AttemptOutcome::Ok };
        self.stats.record_end(reason);
        tracing::debug!(session = %session.sid, server = route.server, why = ?reason, "session ended");
        let (address, server) = (route.address, route.server);
        if reason == EndReason::Lost {
            self.knowledge.record_outcome(self.now, server, false, true);
            self.commands.extend(self.history.record_outcome(server, false).map(Command::Persist));
        }
        let sid = session.sid.clone();
        self.commands.push(Command::Release { address, server, sid: sid.clone() });
        self.commands.push(Command::SessionEnded { sid, server, reason });
        self.events.push(Event::AttemptEnded(
            request,
            attempt.number,
            server,
            outcome,
            true,
            load.to_load_report(),
        ));
        self.remove_session(request);
    }

    pub(super) fn remove_session(&mut self, request: RequestId) {
        let Some(session) = self.sessions.remove(&request) else { return };
        if let Phase::Attempting { attempt, server, .. } = session.phase {
            self.pending_attempts.remove(&(server, attempt));
        }
        if self.by_sid.get(&session.sid) == Some(&request) {
            self.by_sid.remove(&session.sid);
            self.routes.remove(&session.sid);
        }
    }
}
