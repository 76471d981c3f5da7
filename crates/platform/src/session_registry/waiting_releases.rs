//! Releases that have not been written on a connection that carried sessions, nor been acknowledged.

use super::{ConnId, Release, MAX_PENDING_RELEASES};
use cloverhollow_session::SessionId;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of releases offered in one step, which keeps them within the send queue of one connection.
const MAX_OFFERED_PER_STEP: usize = 1_000;

/// What shows that a connection belongs to a viewer who reads releases, weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ViewerEvidence {
    /// Any message, on a connection that has stayed open longer than that of a test.
    Message,
    /// A set-up, or the end of a session or set-up of this session manager.
    Request,
    /// A session that was established or handed over there.
    Session,
}

/// The connection on which a waiting release was written last.
#[derive(Clone, Copy, Debug)]
struct Offer {
    conn: ConnId,
    evidence: ViewerEvidence,
}

#[derive(Debug)]
struct WaitingRelease {
    sid: SessionId,
    cause: i64,
    offer: Option<Offer>,
}

impl WaitingRelease {
    fn offer_on(&mut self, conn: ConnId, evidence: ViewerEvidence) -> Release {
        self.offer = Some(Offer { conn, evidence });
        Release { conn, sid: self.sid.clone(), cause: self.cause }
    }
}

/// Waiting releases, oldest first. A release may be offered on connections with weak evidence, once on each that has
/// stronger evidence than the one before or after that one has ended, and waits on meanwhile.
#[derive(Debug, Default)]
pub(super) struct WaitingReleases {
    by_number: BTreeMap<u64, WaitingRelease>,
    numbers: HashMap<SessionId, u64>,
    last_number: u64,
}

impl WaitingReleases {
    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// Adds a release that is offered nowhere, in place of an earlier one of its session. Beyond
    /// [`MAX_PENDING_RELEASES`] the oldest is dropped.
    pub(super) fn insert(&mut self, sid: &SessionId, cause: i64) {
        self.remove(sid);
        if self.by_number.len() >= MAX_PENDING_RELEASES {
            if let Some((_, oldest)) = self.by_number.pop_first() {
                self.numbers.remove(&oldest.sid);
            }
        }
        self.last_number += 1;
        self.numbers.insert(sid.clone(), self.last_number);
        self.by_number.insert(self.last_number, WaitingRelease { sid: sid.clone(), cause, offer: None });
    }

    /// Drops the release of a session.
    pub(super) fn remove(&mut self, sid: &str) {
        if let Some(number) = self.numbers.remove(sid) {
            self.by_number.remove(&number);
        }
    }

    /// Offers the releases that have had no offer with evidence as strong as this one, up to a limit. Returns them.
    pub(super) fn offer(&mut self, conn: ConnId, evidence: ViewerEvidence) -> Vec<Release> {
        self.by_number
            .values_mut()
            .filter(|waiting| waiting.offer.is_none_or(|offer| offer.evidence < evidence))
            .take(MAX_OFFERED_PER_STEP)
            .map(|waiting| waiting.offer_on(conn, evidence))
            .collect()
    }

    /// Offers the release of one session.
    pub(super) fn offer_one(
        &mut self,
        sid: &SessionId,
        conn: ConnId,
        evidence: ViewerEvidence,
    ) -> Option<Release> {
        let waiting = self.by_number.get_mut(self.numbers.get(sid)?)?;
        Some(waiting.offer_on(conn, evidence))
    }

    /// Withdraws the offers on a connection that has ended.
    pub(super) fn withdraw(&mut self, conn: ConnId) {
        for waiting in self.by_number.values_mut() {
            waiting.offer = waiting.offer.filter(|offer| offer.conn != conn);
        }
    }

    /// Removes all releases, as that connection has carried a session. Returns those not yet written on it.
    pub(super) fn take_all(&mut self, conn: ConnId) -> Vec<Release> {
        self.numbers.clear();
        std::mem::take(&mut self.by_number)
            .into_values()
            .filter(|waiting| waiting.offer.is_none_or(|offer| offer.conn != conn))
            .map(|waiting| Release { conn, sid: waiting.sid, cause: waiting.cause })
            .collect()
    }
}
