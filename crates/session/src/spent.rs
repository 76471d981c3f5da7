//! Paid sessions that may have run: none of them is ever set up again here.

use crate::types::Sid;
use std::collections::{HashSet, VecDeque};

/// Remembers the last so many of them; the oldest are forgotten first.
#[derive(Debug)]
pub(crate) struct Spent {
    known: HashSet<Sid>,
    order: VecDeque<Sid>,
    most: usize,
}

impl Spent {
    pub(crate) fn new(most: usize) -> Self {
        Spent { known: HashSet::new(), order: VecDeque::new(), most }
    }

    pub(crate) fn add(&mut self, sid: &Sid) {
        if !self.known.insert(sid.clone()) {
            return;
        }
        self.order.push_back(sid.clone());
        if self.order.len() > self.most {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    pub(crate) fn has(&self, sid: &str) -> bool {
        self.known.contains(sid)
    }
}
