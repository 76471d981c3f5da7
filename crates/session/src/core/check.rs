//! What holds between any two steps, whatever comes in; looked at in tests, and in a build with feature `invariants`.

use super::Core;
use crate::broken::{hold, Broken, MOST_ATTEMPTS};
use crate::held::{Phase, Session};
use crate::policy::Policy;
use crate::timers::Due;
use crate::types::*;
use cloverhollow::RequestId;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// A session whose time is over is answered in the step that sees it; whoever decides may come so much later.
const OVERDUE: Duration = Duration::from_secs(1);

/// What a walk over all sessions adds up to.
#[derive(Default)]
struct Sum {
    playing: usize,
    out: usize,
    waiting: usize,
    viewers: BTreeSet<ViewerId>,
}

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    /// Whether all that holds between two steps holds: names, routes, attempts out, timers, who waits and what is owed,
    /// bounds. The time it takes grows as the number of sessions and timers.
    ///
    /// # Errors
    /// The first invariant that is broken.
    pub fn check(&self) -> Result<(), Broken> {
        let (held, most) = (self.sessions.len(), self.terms.most);
        hold(held <= most, || Broken::Sessions { held, most })?;
        hold(self.by_sid.len() == held, || Broken::Names { named: self.by_sid.len(), held })?;
        let (mut timed, mut idle) = (BTreeSet::new(), BTreeSet::new());
        for due in self.timers.armed() {
            match due {
                Due::Attempt(attempt) => _ = timed.insert(*attempt),
                Due::Idle(request) => _ = idle.insert(*request),
                Due::Policy(_) | Due::Viewer(..) => {}
            }
        }
        let mut sum = Sum::default();
        for (request, s) in &self.sessions {
            self.check_session(*request, s)?;
            self.check_waiting(s, &mut sum)?;
            match &s.phase {
                Phase::Deciding => {}
                Phase::Out { .. } => {
                    sum.out += 1;
                    self.check_out(s, &timed)?;
                }
                Phase::Playing { .. } => {
                    sum.playing += 1;
                    let watched = self.terms.idle.is_none() || idle.contains(request);
                    hold(watched, || Broken::NoIdle { sid: s.sid.clone() })?;
                    self.check_playing(s)?;
                }
            }
        }
        let (routes, playing) = (self.routes.len(), sum.playing);
        hold(routes == playing, || Broken::Routes { routes, playing })?;
        let (noted, out) = (self.out_at.len(), sum.out);
        hold(noted == out, || Broken::Outs { noted, out })?;
        let (owed, waiting) = (self.owed, sum.waiting);
        hold(owed == waiting, || Broken::Owed { owed, waiting })?;
        self.check_kept()
    }

    fn check_session(&self, request: RequestId, s: &Session<A>) -> Result<(), Broken> {
        let sid = || s.sid.clone();
        let next = self.next_request;
        hold(request < next, || Broken::Number { request, next })?;
        hold(self.by_sid.get(&s.sid) == Some(&request), || Broken::Name { sid: sid() })?;
        hold(s.sent <= MOST_ATTEMPTS, || Broken::Attempts { sid: sid(), sent: s.sent })?;
        if let Some(server) = s.at() {
            hold(self.list.address(server).is_some(), || Broken::Unlisted { sid: sid(), server })?;
        }
        let ran = s.ran.is_some() || matches!(s.phase, Phase::Playing { .. });
        let kept = !(s.paid && ran) || self.lives.remembers_paid(&s.sid);
        hold(kept, || Broken::PaidForgotten { sid: sid() })?;
        // What the module was told in this instant it may still act on.
        let late = self.now.saturating_sub(s.deadline);
        let decided = !matches!(s.phase, Phase::Deciding) || late <= OVERDUE || !self.events.is_empty();
        hold(decided, || Broken::Overdue { sid: sid(), late, waiting: s.waiting.len() })
    }

    fn check_waiting(&self, s: &Session<A>, sum: &mut Sum) -> Result<(), Broken> {
        let sid = || s.sid.clone();
        // The first one needs no room.
        let (waiting, most) = (s.waiting.len(), self.terms.waiting.max(1));
        hold(waiting <= most, || Broken::Waiting { sid: sid(), waiting, most })?;
        let owners = s.waiting.iter().filter(|w| w.owner).count();
        hold(owners <= 1, || Broken::Owners { sid: sid(), owners })?;
        for w in &s.waiting {
            let viewer = w.viewer;
            let plays = matches!(s.phase, Phase::Playing { .. });
            hold(!plays, || Broken::WaitsAtPlaying { sid: sid(), viewer })?;
            hold(sum.viewers.insert(viewer), || Broken::WaitsTwice { sid: sid(), viewer })?;
        }
        sum.waiting += waiting;
        let left = matches!(s.phase, Phase::Out { recalled: Some(r), .. } if r != RecallWhy::Drained);
        let wanted = waiting > 0 || matches!(s.phase, Phase::Playing { .. }) || left;
        hold(wanted, || Broken::ForNobody { sid: sid() })
    }

    fn check_out(&self, s: &Session<A>, timed: &BTreeSet<AttemptId>) -> Result<(), Broken> {
        let Phase::Out { attempt, server, since, recalled, .. } = s.phase else { return Ok(()) };
        let sid = || s.sid.clone();
        hold(self.out_at.contains(&(server, attempt)), || Broken::Out { attempt, server })?;
        let last = attempt.number + 1 == s.sent;
        hold(last, || Broken::Attempt { sid: sid(), attempt, sent: s.sent })?;
        hold(!(s.paid && s.ran.is_some()), || Broken::PaidTwice { sid: sid(), attempt })?;
        let now = self.now;
        hold(since <= now, || Broken::Time { attempt, since, now })?;
        let drained = recalled.is_none() && !self.list.serves(server);
        hold(!drained, || Broken::Drain { attempt, server })?;
        // One that was recalled is owed the shell's word.
        let ends = timed.contains(&attempt) || recalled.is_some_and(|r| r != RecallWhy::Drained);
        hold(ends, || Broken::NoTimer { attempt })
    }

    fn check_playing(&self, s: &Session<A>) -> Result<(), Broken> {
        let Phase::Playing { attempt, route } = &s.phase else { return Ok(()) };
        let sid = || s.sid.clone();
        let routed = self.routes.get(&s.sid).is_some_and(|r| Arc::ptr_eq(&r, route));
        hold(routed, || Broken::Route { sid: sid() })?;
        hold(route.rung() == s.rung, || Broken::Rung { sid: sid(), rung: s.rung })?;
        let (attempt, sent) = (*attempt, s.sent);
        hold(attempt.number + 1 == sent, || Broken::Attempt { sid: sid(), attempt, sent })
    }

    /// What is kept beside the sessions.
    fn check_kept(&self) -> Result<(), Broken> {
        let now = self.now;
        let at = self.timers.first().unwrap_or(now);
        hold(at >= now, || Broken::Overslept { at, now })?;
        self.list.check(self.sessions.len())?;
        for server in self.gauges.keys().copied() {
            hold(self.list.address(server).is_some(), || Broken::Gauge { server })?;
        }
        self.lives.check()?;
        self.learning.check()?;
        hold(self.commands.is_empty(), || Broken::Commands { left: self.commands.len() })
    }
}
