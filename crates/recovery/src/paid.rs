//! Paid sessions that may have run: the last so many, the oldest forgotten first.

use crate::deed::Digest;
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};

/// A set that knows the order in which its members came.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "VecDeque<Digest>", into = "VecDeque<Digest>")]
pub struct Paid {
    order: VecDeque<Digest>,
    known: HashSet<Digest>,
}

impl From<VecDeque<Digest>> for Paid {
    fn from(order: VecDeque<Digest>) -> Self {
        Paid { known: order.iter().copied().collect(), order }
    }
}

impl From<Paid> for VecDeque<Digest> {
    fn from(paid: Paid) -> Self {
        paid.order
    }
}

impl Paid {
    /// Puts one in; past `most` the oldest goes.
    pub fn add(&mut self, sid: Digest, most: usize) {
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
    pub fn remove(&mut self, sid: Digest) {
        if self.known.remove(&sid) {
            // It is among the newest: whoever proves that it never ran does so within its viewer's time.
            if let Some(i) = self.order.iter().rposition(|d| *d == sid) {
                self.order.remove(i);
            }
        }
    }

    /// Whether it is in.
    pub fn has(&self, sid: Digest) -> bool {
        self.known.contains(&sid)
    }

    /// All of them, the oldest first.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = Digest> + '_ {
        self.order.iter().copied()
    }
}
