//! Releases that were sent and not confirmed yet.

use crate::types::Epoch;
use std::collections::BTreeMap;

/// Unconfirmed releases: for each party, the highest epoch up to which it must release the session. Bounded by the
/// number of parties that were sent a request and have not confirmed its release.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PendingReleases<P: Ord>(BTreeMap<P, Epoch>);

impl<P: Ord> Default for PendingReleases<P> {
    fn default() -> PendingReleases<P> {
        PendingReleases(BTreeMap::new())
    }
}

impl<P: Ord + Copy> PendingReleases<P> {
    /// Adds a release up to `epoch`, or raises the epoch of the party's pending one.
    pub fn add(&mut self, to: P, epoch: Epoch) {
        let pending = self.0.entry(to).or_insert(epoch);
        *pending = (*pending).max(epoch);
    }

    /// Handles a confirmation. One for an earlier epoch than the pending one confirms nothing.
    pub fn confirm(&mut self, from: P, epoch: Epoch) {
        if self.0.get(&from).is_some_and(|pending| *pending <= epoch) {
            self.0.remove(&from);
        }
    }

    /// Removes the release of a party that is dead and therefore holds nothing.
    pub fn remove(&mut self, party: P) {
        self.0.remove(&party);
    }

    /// Returns whether no release is pending.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of parties with a pending release.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Parties with a pending release, each with its epoch.
    pub fn iter(&self) -> impl Iterator<Item = (P, Epoch)> + '_ {
        self.0.iter().map(|(party, epoch)| (*party, *epoch))
    }
}
