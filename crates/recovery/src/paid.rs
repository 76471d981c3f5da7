//! Bounded set of paid sessions that drops the oldest first.

use crate::log_record::SessionDigest;
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};

/// Paid sessions that may have been executed, in the order of insertion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "VecDeque<SessionDigest>", into = "VecDeque<SessionDigest>")]
pub struct PaidSessions {
    order: VecDeque<SessionDigest>,
    members: HashSet<SessionDigest>,
}

impl From<VecDeque<SessionDigest>> for PaidSessions {
    fn from(order: VecDeque<SessionDigest>) -> Self {
        PaidSessions { members: order.iter().copied().collect(), order }
    }
}

impl From<PaidSessions> for VecDeque<SessionDigest> {
    fn from(sessions: PaidSessions) -> Self {
        sessions.order
    }
}

impl PaidSessions {
    /// Inserts a session, and drops the oldest if there are more than `max`.
    pub fn insert(&mut self, sid: SessionDigest, max: usize) {
        if !self.members.insert(sid) {
            return;
        }
        self.order.push_back(sid);
        if self.order.len() > max {
            if let Some(oldest) = self.order.pop_front() {
                self.members.remove(&oldest);
            }
        }
    }

    /// Removes a session.
    pub fn remove(&mut self, sid: SessionDigest) {
        if self.members.remove(&sid) {
            // Searched from the newest: a session is proven not executed while its viewer still waits.
            if let Some(i) = self.order.iter().rposition(|d| *d == sid) {
                self.order.remove(i);
            }
        }
    }

    /// Returns whether a session is in the set.
    pub fn contains(&self, sid: SessionDigest) -> bool {
        self.members.contains(&sid)
    }

    /// Iterates over the sessions, oldest first.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = SessionDigest> + '_ {
        self.order.iter().copied()
    }
}
