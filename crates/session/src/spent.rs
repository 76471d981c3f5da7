//! Paid sessions that may have run: none of them is ever set up again here.

use cloverhollow_recovery::{digest, Digest};
use std::collections::{HashSet, VecDeque};

/// Remembers the last so many of them; the oldest are forgotten first.
#[derive(Debug)]
pub(crate) struct Spent {
    known: HashSet<Digest>,
    order: VecDeque<Digest>,
    most: usize,
}

impl Spent {
    pub(crate) fn new(most: usize) -> Self {
        Spent { known: HashSet::new(), order: VecDeque::new(), most }
    }

    pub(crate) fn add(&mut self, sid: Digest) {
        if !self.known.insert(sid) {
            return;
        }
        self.order.push_back(sid);
        if self.order.len() > self.most {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    pub(crate) fn has(&self, sid: &str) -> bool {
        self.known.contains(&digest(sid))
    }
}
