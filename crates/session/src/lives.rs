//! What this front's lives know of each other: paid sessions that may have run, drains on the paper, what servers
//! still hold for the last one.

use crate::broken::{hold, Broken};
use crate::list::{ListNews, WireState};
use crate::terms::MemoryTerms;
use crate::types::Reason;
use cloverhollow::{ListMode, PeerReport, ServerId};
use cloverhollow_recovery::ledger::{Bounds, Held};
use cloverhollow_recovery::{digest, Deed, Paid, Recovered};
use std::collections::BTreeSet;
use std::time::Duration;

/// One front's lives. Paid sessions are bounded by `most`, the oldest forgotten first; the rest by the ledger
/// that it is read from.
#[derive(Debug)]
pub(crate) struct Lives {
    /// Paid sessions that may have run, in this life or another: none of them is ever set up again here.
    spent: Paid,
    /// Most paid sessions remembered; `None`: nothing of this life is told to another, and none went before.
    most: Option<usize>,
    /// Until then no paid session can be proven to be new.
    unproven: Duration,
    /// Servers of which it is on the paper that they take no new work.
    stopped: BTreeSet<ServerId>,
    /// Servers of which it is on the paper that they failed.
    failed: BTreeSet<ServerId>,
    /// Those of them that the module is still to be told of.
    untold: BTreeSet<ServerId>,
    /// Sessions of the last life that servers may still hold.
    left_over: Vec<Held>,
}

/// Puts a server into a set that the paper's bound bounds; whether it is new. Guards against months in which servers
/// come, each with an id of its own, and stop or fail for good. Whatever goes for it may be written down once more, and
/// is not taken back on the paper: both are the careful way.
fn insert(set: &mut BTreeSet<ServerId>, server: ServerId) -> bool {
    let new = set.insert(server);
    if set.len() > Bounds::default().stopped {
        let other = set.iter().copied().find(|s| *s != server);
        other.map(|s| set.remove(&s));
    }
    new
}

impl Lives {
    pub(crate) fn new(terms: Option<&MemoryTerms>) -> Self {
        Lives {
            spent: Paid::default(),
            most: terms.map(|t| t.spent),
            unproven: Duration::ZERO,
            stopped: BTreeSet::new(),
            failed: BTreeSet::new(),
            untold: BTreeSet::new(),
            left_over: Vec::new(),
        }
    }

    /// Takes in what is proven of earlier lives. Where paid sessions may be missing, those of the last life who
    /// wait for their answer have given up after `longest`, the longest time that one of theirs waits.
    pub(crate) fn recovered(&mut self, now: Duration, r: &mut Recovered, longest: Duration) {
        if r.trust.misses() {
            self.unproven = now + longest;
        }
        // Read with the same bound.
        self.spent = std::mem::take(&mut r.paid);
        self.stopped = std::mem::take(&mut r.stopped);
        self.untold.clone_from(&r.failed);
        self.failed = std::mem::take(&mut r.failed);
        self.left_over = std::mem::take(&mut r.held);
    }

    /// A paid session may have run.
    pub(crate) fn ran(&mut self, sid: &str) {
        if let Some(most) = self.most {
            self.spent.add(digest(sid), most);
        }
    }

    /// Whether it is known that a paid session may have run; those past the bound are forgotten.
    pub(crate) fn remembers_paid(&self, sid: &str) -> bool {
        self.most.is_none_or(|most| self.spent.has(digest(sid)) || self.spent.iter().len() >= most)
    }

    /// What is kept of all lives is bounded.
    pub(crate) fn check(&self) -> Result<(), Broken> {
        let bound = |what, held, most| hold(held <= most, || Broken::Lives { what, held, most });
        bound("paid sessions", self.spent.iter().len(), self.most.unwrap_or(0))?;
        let most = Bounds::default();
        bound("servers that take no new work", self.stopped.len(), most.stopped)?;
        bound("servers that failed", self.failed.len(), most.stopped)?;
        bound("servers to be told of", self.untold.len(), most.stopped)?;
        bound("sessions left over", self.left_over.len(), most.held)
    }

    /// Why a session cannot be set up, as far as other sessions and lives tell. Rule 2: one of which it is not
    /// certain that it never ran is not; nor one of which it cannot be told, after a start that proves nothing.
    pub(crate) fn bars(&self, now: Duration, sid: &str, paid: bool) -> Option<Reason> {
        if self.spent.has(digest(sid)) {
            return Some(Reason::SetUpBefore);
        }
        (paid && now < self.unproven).then_some(Reason::Unproven)
    }

    /// Reads a list that was kept by what was heard after that. Guards a front that was killed between hearing of
    /// a drain and keeping its list (rule 3).
    pub(crate) fn remind(&self, news: &mut ListNews) {
        if news.mode != ListMode::Stale {
            return;
        }
        for e in news.entries.iter_mut().filter(|e| e.state == WireState::Serving) {
            if self.stopped.contains(&e.id) {
                e.state = WireState::Draining;
            }
        }
    }

    /// What is to be taken down of news of the list: the words that later lives need (rule 3).
    pub(crate) fn listed(&mut self, news: &ListNews, stopped: &BTreeSet<ServerId>) -> Vec<Deed> {
        let mut deeds = Vec::new();
        if self.most.is_none() {
            return deeds;
        }
        if news.mode != ListMode::Stale {
            let serving = news.entries.iter().filter(|e| e.state == WireState::Serving);
            for server in serving.map(|e| e.id) {
                if self.stopped.remove(&server) {
                    deeds.push(Deed::Listed { server, serves: true });
                }
            }
        }
        for server in stopped.iter().copied() {
            if insert(&mut self.stopped, server) {
                deeds.push(Deed::Listed { server, serves: false });
            }
        }
        deeds
    }

    /// How an attempt at a server ended, or a session there: what is to be taken down of it.
    pub(crate) fn behaved(&mut self, server: ServerId, worked: bool) -> Option<Deed> {
        self.most?;
        let changed = if worked { self.failed.remove(&server) } else { insert(&mut self.failed, server) };
        changed.then_some(Deed::Failed { server, failed: !worked })
    }

    /// Failures of earlier lives, once their server is known. Guards a front that dies and comes back against
    /// taking a server for warm that its last life saw vanish: it may be back, cold (rule 4).
    pub(crate) fn remembers(&mut self, known: impl Fn(ServerId) -> bool) -> Vec<PeerReport> {
        let told: Vec<_> = self.untold.iter().copied().filter(|s| known(*s)).collect();
        self.untold.retain(|s| !told.contains(s));
        told.into_iter()
            .map(|server| PeerReport {
                server,
                failed: true,
                may_have_restarted: true,
                ..PeerReport::default()
            })
            .collect()
    }

    /// Sessions of the last life at servers that `known` has an address of: those let go of them, once. What no
    /// whole list names is left to its server's idle time.
    pub(crate) fn let_go<A>(&mut self, whole: bool, known: impl Fn(ServerId) -> Option<A>) -> Vec<(A, Held)> {
        let mut found = Vec::new();
        for held in std::mem::take(&mut self.left_over) {
            match known(held.server) {
                Some(address) => found.push((address, held)),
                None if !whole => self.left_over.push(held),
                None => {}
            }
        }
        found
    }
}
