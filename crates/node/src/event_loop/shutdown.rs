//! Shutdown, from the request to terminate to the end of the process.

use super::viewers::ViewerCloseReason;
use super::*;
use tokio::time::{sleep_until, Instant};

/// Maximum time to wait at the end for the connections' tasks to receive the queued lines to video servers.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the queues are checked within [`FLUSH_TIMEOUT`].
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after the request to terminate during which viewers' set-ups are still accepted. Later ones are
/// refused, so that a kill leaves none unanswered.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// Deadline that the shutdown times assume for viewers. The estimated time of the kill uses this or the
/// viewers' longest deadline, whichever is shorter; the time at which the process ends by itself uses the
/// longer one.
const REFERENCE_DEADLINE: Duration = Duration::from_secs(3);
/// Time before the earliest kill at which idle connections are closed; a viewer whose set-up crosses the
/// close sends it again.
const CLOSE_BEFORE_KILL: Duration = Duration::from_millis(100);

/// Times of the shutdown steps, relative to the request to terminate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShutdownSchedule {
    /// Set-ups are refused at once after this time.
    pub(crate) refuse_after: Duration,
    /// Connections without an open set-up are closed after this time.
    pub(crate) close_idle_after: Duration,
    /// The process ends after this time, as soon as no answer is pending.
    pub(crate) exit_after: Duration,
}

impl ShutdownSchedule {
    /// Computes the schedule. `max_deadline` is the longest time that any viewer waits for an answer.
    pub(crate) fn new(max_deadline: Duration) -> Self {
        let earliest_kill = max_deadline.min(REFERENCE_DEADLINE) + ACCEPT_PERIOD;
        ShutdownSchedule {
            refuse_after: ACCEPT_PERIOD,
            close_idle_after: earliest_kill - CLOSE_BEFORE_KILL,
            exit_after: max_deadline.max(REFERENCE_DEADLINE) + ACCEPT_PERIOD,
        }
    }
}

impl EventLoop {
    /// Returns whether the process is terminating and the given time of the schedule has passed.
    pub(super) fn is_shutdown_due(&self, delay: impl Fn(ShutdownSchedule) -> Duration) -> bool {
        self.terminating_since.is_some_and(|since| self.clock.now() >= since + delay(self.limits.shutdown))
    }

    /// Closes connections without an open set-up shortly before the process may be killed.
    pub(super) fn close_idle_before_kill(&mut self) {
        if self.closed_before_kill || !self.is_shutdown_due(|schedule| schedule.close_idle_after) {
            return;
        }
        self.closed_before_kill = true;
        self.receive_all_from_viewers();
        let idle: Vec<_> =
            self.viewer_conns.keys().copied().filter(|c| self.registry.pending_setups_on(*c) == 0).collect();
        idle.into_iter().for_each(|conn| self.close_viewer(conn, ViewerCloseReason::Stopping));
    }

    /// Waits up to [`FLUSH_TIMEOUT`] for the last lines to video servers. The connections' tasks write what
    /// is queued for viewers by themselves; a viewer whose set-up crosses the close of its connection sends
    /// it again.
    pub(super) async fn finish(mut self) {
        self.viewer_conns.clear();
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while Instant::now() < deadline && !self.links.are_queues_empty() {
            sleep_until(deadline.min(Instant::now() + FLUSH_POLL_INTERVAL)).await;
        }
        // Lets the tasks that received the last bytes write them.
        tokio::task::yield_now().await;
    }
}
