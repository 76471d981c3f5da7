//! Validation of peers' messages before they are merged.

use crate::observations::*;
use crate::store::{MAX_HOPS, MAX_SERVERS};
use crate::wire::Message;
use std::collections::BTreeMap;

/// Oldest age that a message may tell, ms: a day. What is older is no observation but a fault.
const OLDEST_MS: u32 = 86_400_000;

/// Why a message is not merged. Nothing of it is then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum MergeError {
    #[error("of another fleet")]
    OtherFleet,
    #[error("not the answer to what was asked: a replay")]
    NonceMismatch,
    #[error("its own")]
    OwnMessage,
    #[error("older than one that was merged from the same sender")]
    StaleSequence,
    #[error("an observer's later observation is told as older than its earlier one")]
    InconsistentAges,
    #[error("more than {MAX_SERVERS} servers")]
    TooManyServers,
    #[error("an age, a reading or a count that cannot be")]
    OutOfRange,
}

/// Ranges, and that each observer's later observations are the younger ones: the cheapest lie on ages.
pub(crate) fn check(m: &Message) -> Result<(), MergeError> {
    let mut told: BTreeMap<Observer, Vec<(u64, u32)>> = BTreeMap::new();
    for (_, wire) in &m.servers {
        for (origin, age, hops) in wire.provenances() {
            if age > OLDEST_MS || hops > MAX_HOPS {
                return Err(MergeError::OutOfRange);
            }
            told.entry(origin.observer).or_default().push((origin.seq, age));
        }
        if wire.readings().any(|r| r.0 > 1_000_000) {
            return Err(MergeError::OutOfRange);
        }
    }
    for mut all in told.into_values() {
        all.sort_unstable();
        if all.windows(2).any(|w| w[0].0 < w[1].0 && w[1].1 > w[0].1.saturating_add(AGE_GRAIN_MS)) {
            return Err(MergeError::InconsistentAges);
        }
    }
    Ok(())
}

/// Ages of pieces that came over different ways differ by the ways' lengths.
const AGE_GRAIN_MS: u32 = 2_000;
