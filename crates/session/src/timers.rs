//! Timers in order of time, then of arming: the same inputs fire them in the same order.

use crate::types::{AttemptId, Sid, ViewerId};
use cloverhollow::RequestId;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a timer is for. One that is no longer needed is disregarded when it fires.
#[derive(Clone, Debug)]
pub(crate) enum Due {
    /// The decision module's.
    Policy(u64),
    /// An attempt's time is up.
    Attempt(AttemptId),
    /// A further request's own time is up.
    Viewer(Sid, ViewerId),
    /// Time to see whether a session is idle.
    Idle(RequestId),
}

#[derive(Debug, Default)]
pub(crate) struct Timers {
    armed: BTreeMap<(Duration, u64), Due>,
    next: u64,
}

impl Timers {
    pub(crate) fn arm(&mut self, at: Duration, due: Due) {
        self.armed.insert((at, self.next), due);
        self.next += 1;
    }

    pub(crate) fn len(&self) -> usize {
        self.armed.len()
    }

    /// All that are armed, in order.
    pub(crate) fn armed(&self) -> impl Iterator<Item = &Due> {
        self.armed.values()
    }

    pub(crate) fn first(&self) -> Option<Duration> {
        self.armed.first_key_value().map(|((at, _), _)| *at)
    }

    pub(crate) fn pop(&mut self, now: Duration) -> Option<Due> {
        if self.first()? > now {
            return None;
        }
        self.armed.pop_first().map(|(_, due)| due)
    }
}
