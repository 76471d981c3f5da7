//! Operations of the membership task on permits, where they are enabled.

use super::FleetMember;
use crate::out_of_service::OutOfService;
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

/// Interval between requests for a full member list until the first one has arrived; without it the front
/// gets no permit.
const FIRST_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Delay until the next wake-up when nothing is due.
const IDLE_DELAY: Duration = Duration::from_secs(3_600);

impl FleetMember {
    pub(crate) fn permits(&self) -> Option<MutexGuard<'_, OutOfService>> {
        self.permits.as_ref().map(|permits| permits.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Passes received messages to the permit state, runs what is due, and queues the messages to send.
    pub(super) fn step_permits(&self) {
        let mut member = self.member();
        // Where permits are disabled the messages are dropped.
        let messages = member.take_application_messages();
        let Some(mut permits) = self.permits() else { return };
        let now = self.clock.now();
        permits.update_view(now, member.view());
        messages.iter().for_each(|bytes| permits.handle_datagram(now, bytes));
        permits.tick(now);
        for (to, message) in permits.take_outgoing(now) {
            let queued =
                postcard::to_stdvec(&message).is_ok_and(|bytes| member.send_application_message(to, bytes));
            if !queued {
                tracing::error!(%to, "permit message not sent: it does not fit into a datagram");
            }
        }
        debug_assert_eq!(permits.check(), Ok(()));
        if permits.needs_persisting() {
            self.signals.persist.notify_one();
        }
    }

    /// Returns the time when [`FleetMember::step_permits`] is next due.
    pub(super) fn next_permit_due(&self) -> Duration {
        let now = self.clock.now();
        self.permits().and_then(|permits| permits.next_due(now)).unwrap_or(now + IDLE_DELAY)
    }

    /// Returns the interval between requests for a member's full list.
    pub(super) fn sync_interval(&self, interval: Duration) -> Duration {
        match self.permits().is_some_and(|permits| !permits.is_list_received()) {
            true => interval.min(FIRST_LIST_INTERVAL),
            false => interval,
        }
    }

    pub(super) fn set_list_received(&self) {
        if let Some(mut permits) = self.permits() {
            permits.set_list_received();
        }
    }

    /// Sets whether this front is to leave service.
    pub(crate) fn set_leaving(&self, leaving: bool) {
        if let Some(mut permits) = self.permits() {
            permits.set_leaving(leaving);
        }
        self.signals.permit_work.notify_one();
    }

    /// Marks this front as in service: permits of previous incarnations are returned.
    pub(crate) fn set_in_service(&self) {
        if let Some(mut permits) = self.permits() {
            permits.set_in_service();
        }
        self.signals.permit_work.notify_one();
    }

    /// Returns the term of the permit under which this front may leave right now.
    pub(crate) fn usable_permit_term(&self) -> Option<u64> {
        let now = self.clock.now();
        self.permits()?.usable_permit(now).map(|term| term.0)
    }

    /// Returns the reason why the last proposal failed.
    pub(crate) fn denial_reason(&self) -> String {
        self.permits().map(|permits| permits.denial_reason()).unwrap_or_default()
    }
}
