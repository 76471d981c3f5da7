//! Timers, ordered by deadline and then by the order in which they were armed, so that the same inputs always fire
//! them in the same order.

use crate::types::{AttemptId, SessionId, ViewerId};
use cloverhollow::RequestId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Purpose of a timer. Timers are not cancelled: one that is no longer needed is ignored when it fires.
#[derive(Clone, Debug)]
pub(crate) enum Timer {
    /// Timer of the policy, with the policy's token.
    Policy(u64),
    /// Time-out of an attempt.
    Attempt(AttemptId),
    /// Deadline of a viewer that joined a session's set-up and waits for less time than the first one.
    Viewer(SessionId, ViewerId),
    /// Check of a playing session for idleness.
    Idle(RequestId),
}

#[derive(Debug, Default)]
pub(crate) struct Timers {
    /// Armed timers by deadline and sequence number.
    armed: BTreeMap<(Duration, u64), Timer>,
    next_sequence: u64,
}

impl Timers {
    pub(crate) fn arm(&mut self, deadline: Duration, timer: Timer) {
        self.armed.insert((deadline, self.next_sequence), timer);
        self.next_sequence += 1;
    }

    pub(crate) fn len(&self) -> usize {
        self.armed.len()
    }

    /// Armed timers in the order in which they will fire.
    pub(crate) fn armed(&self) -> impl Iterator<Item = &Timer> {
        self.armed.values()
    }

    pub(crate) fn first_deadline(&self) -> Option<Duration> {
        self.armed.first_key_value().map(|((deadline, _), _)| *deadline)
    }

    /// Removes the first timer and returns it if its deadline has been reached.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        if self.first_deadline()? > now {
            return None;
        }
        self.armed.pop_first().map(|(_, timer)| timer)
    }
}
