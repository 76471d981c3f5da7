//! Words that a party is owed until it confirms them, or is known to be gone.

use crate::types::Epoch;
use std::collections::BTreeMap;

/// By party, the highest step that it is to let go of. Bounded by the parties that were asked and have not answered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PendingReleases<P: Ord>(BTreeMap<P, Epoch>);

impl<P: Ord> Default for PendingReleases<P> {
    fn default() -> PendingReleases<P> {
        PendingReleases(BTreeMap::new())
    }
}

impl<P: Ord + Copy> PendingReleases<P> {
    /// From here on the party owes the word that it holds nothing up to this step.
    pub fn add(&mut self, to: P, epoch: Epoch) {
        let owed = self.0.entry(to).or_insert(epoch);
        *owed = (*owed).max(epoch);
    }

    /// It said so. An earlier step than the one owed confirms nothing.
    pub fn confirm(&mut self, from: P, epoch: Epoch) {
        if self.0.get(&from).is_some_and(|owed| *owed <= epoch) {
            self.0.remove(&from);
        }
    }

    /// It is gone: it holds nothing.
    pub fn remove(&mut self, party: P) {
        self.0.remove(&party);
    }

    /// Whether nothing is owed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many parties owe a word.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Who owes, up to which step.
    pub fn iter(&self) -> impl Iterator<Item = (P, Epoch)> + '_ {
        self.0.iter().map(|(party, epoch)| (*party, *epoch))
    }
}
