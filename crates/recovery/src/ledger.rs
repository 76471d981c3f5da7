//! What the deeds of all lives add up to.

use crate::deed::{digest, Boot, Deed, Stamp};
use crate::paid::Paid;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// How much a ledger holds at most; past each the oldest goes first.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Paid sessions.
    pub paid: usize,
    /// Further attempts. Past them the ledger no longer knows as far back as it did, and says so.
    pub further: usize,
    /// Servers that take no new work, and servers that failed.
    pub stopped: usize,
    /// Sessions that a server may still hold.
    pub held: usize,
    /// Starts.
    pub starts: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { paid: 262_144, further: 4_096, stopped: 65_536, held: 4_096, starts: 64 }
    }
}

/// A life's beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// When.
    pub at: Stamp,
    /// In which boot.
    pub boot: Boot,
    /// Whether it ended in order.
    pub ended: bool,
}

/// A session that a server may hold for a front that is dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The session.
    pub sid: String,
    /// The server.
    pub server: u64,
}

/// The state that deeds add up to. [`Ledger::apply`] is all that changes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Paid sessions that may have run, the oldest first.
    paid: Paid,
    /// Further attempts of this boot, the oldest first.
    further: VecDeque<Stamp>,
    /// All further attempts after this are in `further`; `None`: all that there ever were.
    known_from: Option<Stamp>,
    stopped: BTreeSet<u64>,
    failed: BTreeSet<u64>,
    held: VecDeque<Held>,
    starts: VecDeque<Start>,
    last: Option<Stamp>,
}

impl Ledger {
    /// A ledger that does not know what was before.
    pub fn unknown_before(now: Stamp) -> Self {
        Ledger { known_from: Some(now), ..Ledger::default() }
    }

    /// Takes one deed in.
    pub fn apply(&mut self, at: Stamp, deed: &Deed, bounds: &Bounds) {
        self.last = self.last.max(Some(at));
        match deed {
            Deed::Began { boot } => {
                if self.starts.back().is_some_and(|s| s.boot != *boot) {
                    // Times of another boot say nothing in this one.
                    self.further.clear();
                    self.known_from = Some(at);
                    self.last = Some(at);
                }
                self.held.clear();
                push(&mut self.starts, Start { at, boot: *boot, ended: false }, bounds.starts);
            }
            Deed::Out { sid, server, paid, further } => {
                if *paid {
                    self.paid.add(digest(sid), bounds.paid);
                    push(&mut self.held, Held { sid: sid.clone(), server: *server }, bounds.held);
                }
                if *further {
                    if let Some(lost) = push(&mut self.further, at, bounds.further) {
                        self.known_from = self.known_from.max(Some(lost));
                    }
                }
            }
            Deed::Unrun { sid } => {
                self.paid.remove(*sid);
                self.held.retain(|h| digest(&h.sid) != *sid);
            }
            Deed::Listed { server, serves: true } => {
                self.stopped.remove(server);
            }
            Deed::Listed { server, serves: false } => {
                if self.stopped.len() < bounds.stopped {
                    self.stopped.insert(*server);
                }
            }
            Deed::Failed { server, failed: false } => {
                self.failed.remove(server);
            }
            Deed::Failed { server, failed: true } => {
                if self.failed.len() < bounds.stopped {
                    self.failed.insert(*server);
                }
            }
            Deed::Ended => {
                self.held.clear();
                if let Some(start) = self.starts.back_mut() {
                    start.ended = true;
                }
            }
            Deed::Whole(all) => *self = (**all).clone(),
        }
    }

    /// Forgets further attempts that are older than `span`: what is older than any ration's span counts no
    /// more. A later life with a longer span is told that they are not known.
    pub fn forget_further(&mut self, now: Stamp, span: std::time::Duration) {
        while let Some(at) = self.further.front().copied().filter(|at| at.age(now) > span) {
            self.further.pop_front();
            self.known_from = self.known_from.max(Some(at));
        }
    }

    /// Paid sessions that may have run, the oldest first.
    pub fn paid(&self) -> &Paid {
        &self.paid
    }

    /// Further attempts, the oldest first.
    pub fn further(&self) -> impl Iterator<Item = Stamp> + '_ {
        self.further.iter().copied()
    }

    /// Since when those are all; `None`: for ever.
    pub fn known_from(&self) -> Option<Stamp> {
        self.known_from
    }

    /// Servers that this front was told take no new work.
    pub fn stopped(&self) -> &BTreeSet<u64> {
        &self.stopped
    }

    /// Servers that failed, and did not work since.
    pub fn failed(&self) -> &BTreeSet<u64> {
        &self.failed
    }

    /// Paid sessions that servers may hold for this front's last life.
    pub fn held(&self) -> impl Iterator<Item = &Held> {
        self.held.iter()
    }

    /// The last lives' beginnings, the oldest first.
    pub fn starts(&self) -> impl DoubleEndedIterator<Item = &Start> {
        self.starts.iter()
    }

    /// When the last deed was taken down.
    pub fn last(&self) -> Option<Stamp> {
        self.last
    }
}

/// Puts one in, and gives the oldest where that is one too many.
fn push<T>(all: &mut VecDeque<T>, one: T, most: usize) -> Option<T> {
    all.push_back(one);
    if all.len() > most {
        all.pop_front()
    } else {
        None
    }
}
