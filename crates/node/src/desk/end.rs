//! The end of the process, from the word to stop on.

use super::viewers::ViewerEnd;
use super::*;
use tokio::time::{sleep_until, Instant};

/// So long the end waits for lines to video servers to be taken by their connections' tasks.
const LAST: Duration = Duration::from_millis(300);
/// How often it is looked whether all are.
const LOOKED: Duration = Duration::from_millis(5);
/// Viewers go on asking for so long after the word to stop. What they ask later must not be found unanswered by a kill.
const ASKED: Duration = Duration::from_millis(700);
/// The longest deadline counts as this for a kill, where it is longer.
const LONGEST: Duration = Duration::from_secs(3);
/// So long before the earliest kill idle connections are closed: a set-up that crosses that is sent again.
const BEFORE_KILL: Duration = Duration::from_millis(100);

/// What follows the word to stop, counted from it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    /// Set-ups are refused at once from then on.
    pub(crate) refuse: Duration,
    /// Connections without an open set-up are closed then.
    pub(crate) close: Duration,
    /// The process ends, once it owes no answer.
    pub(crate) end: Duration,
}

impl Stop {
    /// `longest`: the longest time that any viewer waits.
    pub(crate) fn new(longest: Duration) -> Self {
        let kill = longest.min(LONGEST) + ASKED;
        Stop { refuse: ASKED, close: kill - BEFORE_KILL, end: longest.max(LONGEST) + ASKED }
    }
}

impl Desk {
    /// Whether the process is to stop, and that point of it has come.
    pub(super) fn stopping(&self, point: impl Fn(Stop) -> Duration) -> bool {
        self.terminating.is_some_and(|told| self.clock.now() >= told + point(self.bounds.stop))
    }

    /// Closes connections without an open set-up shortly before the process may be killed.
    pub(super) fn close_before_kill(&mut self) {
        if self.closed_before_kill || !self.stopping(|stop| stop.close) {
            return;
        }
        self.closed_before_kill = true;
        self.hear();
        let idle: Vec<_> =
            self.conns.keys().copied().filter(|c| self.standing.pending_setups_on(*c) == 0).collect();
        idle.into_iter().for_each(|conn| self.close_now(conn, ViewerEnd::Stopping));
    }

    /// Waits for the last lines to video servers, [`LAST`] at most. What is queued for viewers their connections' tasks
    /// write by themselves. A set-up that crosses the close of its connection is sent again by its viewer.
    pub(super) async fn end(mut self) {
        self.conns.clear();
        let until = Instant::now() + LAST;
        while Instant::now() < until && !self.links.is_written() {
            sleep_until(until.min(Instant::now() + LOOKED)).await;
        }
        // The tasks that took the last bytes write them when they next run.
        tokio::task::yield_now().await;
    }
}
