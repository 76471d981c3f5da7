//! Updates and queries of the permit state.

use super::{fleet_state, persistence, OutOfService, MAX_DELAYED_REPLIES, VIEW_INTERVAL};
use cloverhollow_members::MembershipView;
use cloverhollow_out::{Acceptor, FleetView, GrantContext, InvariantViolation, Limits, Term};
use std::time::Duration;

impl OutOfService {
    /// Evaluates the fleet, if the view has changed or the interval has passed.
    pub(crate) fn update_view(&mut self, now: Duration, view: &MembershipView) {
        if self
            .last_evaluation
            .is_some_and(|(version, at)| version == view.version && now < at + VIEW_INTERVAL)
        {
            return;
        }
        self.last_evaluation = Some((view.version, now));
        if self.list_received && fleet_state::sees_witness_majority(view, &self.witnesses) {
            self.last_certain_at = Some(now);
        }
        let uncertain_for = self.last_certain_at.map_or(Duration::MAX, |at| now.saturating_sub(at));
        self.update_readiness(view);
        self.fleet_state =
            fleet_state::from_view(now, view, &self.ready_incarnations, self.forget_after, uncertain_for);
    }

    /// Records that a member's full list has arrived: deaths before this front's start are known.
    pub(crate) fn set_list_received(&mut self) {
        self.list_received = true;
    }

    pub(crate) fn is_list_received(&self) -> bool {
        self.list_received
    }

    /// Records that this front accepts viewers.
    pub(crate) fn set_in_service(&mut self) {
        self.in_service = true;
    }

    /// Sets whether this front is to leave service.
    pub(crate) fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        if !leaving {
            // The permit is not used from here on. It is recorded as unreturned since the proposal, and is
            // returned.
            self.held_permit = None;
        }
    }

    /// Returns the term of a permit under which this front may leave now. Must be called again at each use.
    pub(crate) fn usable_permit(&self, now: Duration) -> Option<Term> {
        self.held_permit
            .filter(|h| h.granted.is_valid_at(now) && h.state_version <= self.attempted_version)
            .map(|h| h.term)
    }

    /// Checks the invariants.
    ///
    /// # Errors
    /// The first invariant that is violated.
    pub(crate) fn check(&self) -> Result<(), InvariantViolation> {
        let require = |holds, invariant| match holds {
            true => Ok(()),
            false => {
                Err(InvariantViolation { component: "front's permits", id: self.incarnation, invariant })
            }
        };
        require(
            self.persisted_version <= self.attempted_version && self.attempted_version <= self.state_version,
            "persisted version <= attempted version <= state version",
        )?;
        require(
            self.held_permit.is_none() || (self.leaving && self.unreturned.contains(&self.incarnation)),
            "a held permit is in use and recorded as unreturned",
        )?;
        require(
            self.unreturned.len() <= persistence::MAX_UNRETURNED
                && self.delayed_replies.len() <= MAX_DELAYED_REPLIES,
            "unreturned permits and delayed replies stay within their limits",
        )?;
        self.acceptor.as_ref().map_or(Ok(()), Acceptor::check_invariants)?;
        self.proposer.check_invariants()
    }

    /// Returns the reason why the last proposal failed.
    pub(crate) fn denial_reason(&self) -> String {
        self.denial_reason.clone()
    }

    pub(super) fn grant_context<'a>(fleet: &'a FleetView, limits: &'a Limits) -> GrantContext<'a> {
        GrantContext { fleet, limits }
    }
}
