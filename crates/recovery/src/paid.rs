//! Bounded set of paid sessions that drops the oldest first.

use crate::log_record::SessionDigest;
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};

/// Paid sessions that may have been executed, in the order of insertion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "VecDeque<SessionDigest>", into = "VecDeque<SessionDigest>")]
pub struct PaidSessions {
    order: VecDeque<SessionDigest>,
    digests: HashSet<SessionDigest>,
}

impl From<VecDeque<SessionDigest>> for PaidSessions {
    fn from(order: VecDeque<SessionDigest>) -> Self {
        PaidSessions { digests: order.iter().copied().collect(), order }
    }
}

impl From<PaidSessions> for VecDeque<SessionDigest> {
    fn from(sessions: PaidSessions) -> Self {
        sessions.order
    }
}

impl PaidSessions {
    /// Inserts a session, and drops the oldest if there are more than `max`.
    pub fn insert(&mut self, digest: SessionDigest, max: usize) {
        if !self.digests.insert(digest) {
            return;
        }
        self.order.push_back(digest);
        if self.order.len() > max {
            if let Some(oldest) = self.order.pop_front() {
                self.digests.remove(&oldest);
            }
        }
    }

    /// Removes a session.
    pub fn remove(&mut self, digest: SessionDigest) {
        if self.digests.remove(&digest) {
            // Searched from the newest, since a session is proven not executed while its viewer still waits.
            if let Some(i) = self.order.iter().rposition(|d| *d == digest) {
                self.order.remove(i);
            }
        }
    }

    /// Returns whether a session is in the set.
    pub fn contains(&self, digest: SessionDigest) -> bool {
        self.digests.contains(&digest)
    }

    /// Iterates over the sessions, oldest first.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = SessionDigest> + '_ {
        self.order.iter().copied()
    }
}
