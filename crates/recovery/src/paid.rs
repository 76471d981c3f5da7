//! PaidSessions sessions that may have run: the last so many, the oldest forgotten first.

use crate::log_record::SessionDigest;
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};

/// A set that knows the order in which its members came.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "VecDeque<SessionDigest>", into = "VecDeque<SessionDigest>")]
pub struct PaidSessions {
    order: VecDeque<SessionDigest>,
    known: HashSet<SessionDigest>,
}

impl From<VecDeque<SessionDigest>> for PaidSessions {
    fn from(order: VecDeque<SessionDigest>) -> Self {
        PaidSessions { known: order.iter().copied().collect(), order }
    }
}

impl From<PaidSessions> for VecDeque<SessionDigest> {
    fn from(paid: PaidSessions) -> Self {
        paid.order
    }
}

impl PaidSessions {
    /// Puts one in; past `most` the oldest goes.
    pub fn insert(&mut self, sid: SessionDigest, most: usize) {
        if !self.known.insert(sid) {
            return;
        }
        self.order.push_back(sid);
        if self.order.len() > most {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    /// Takes one out.
    pub fn remove(&mut self, sid: SessionDigest) {
        if self.known.remove(&sid) {
            // It is among the newest: whoever proves that it never ran does so within its viewer's time.
            if let Some(i) = self.order.iter().rposition(|d| *d == sid) {
                self.order.remove(i);
            }
        }
    }

    /// Whether it is in.
    pub fn contains(&self, sid: SessionDigest) -> bool {
        self.known.contains(&sid)
    }

    /// All of them, the oldest first.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = SessionDigest> + '_ {
        self.order.iter().copied()
    }
}
