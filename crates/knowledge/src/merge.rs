//! Merges of peers' messages: validation, and the results.

use crate::observations::*;
use crate::store::{MAX_HOPS, MAX_PEERS, MAX_SERVERS};
use crate::wire::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum age of an observation in a message: one day. A greater age indicates a fault of the sender.
const MAX_AGE_MS: u32 = 86_400_000;

/// Reason why a message was rejected. Nothing of a rejected message is merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the error texts describe the variants
pub enum MergeError {
    #[error("message of another fleet")]
    OtherFleet,
    #[error("nonce does not match the request: replayed answer")]
    NonceMismatch,
    #[error("message was sent by this front")]
    OwnMessage,
    #[error("message is older than one already merged from the same sender")]
    StaleSequence,
    #[error("message gives an observer's later observation a greater age than its earlier one")]
    InconsistentAges,
    #[error("message has more than {MAX_SERVERS} servers or {MAX_PEERS} peers")]
    TooManyEntries,
    #[error("age, hop count or reading out of range")]
    OutOfRange,
}

/// Result of a merge for one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerUpdate {
    /// Id of the server.
    pub server: u64,
    /// Received observations that are better than this front's own.
    pub observations: ServerObservations,
}

/// Result of a merge.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergeOutcome {
    /// Servers with new observations.
    pub updates: Vec<ServerUpdate>,
    /// Addresses of peers that the sender knows.
    pub peers: Vec<SocketAddr>,
}

/// Checks the ranges of ages, hops and readings, and that each observer's later observations have the smaller ages.
/// The age check detects the simplest forgery: an old observation that is given a small age.
pub(crate) fn validate(message: &Message) -> Result<(), MergeError> {
    let mut ages_by_observer: BTreeMap<Observer, Vec<(u64, u32)>> = BTreeMap::new();
    for (_, wire) in &message.servers {
        for (origin, age, hops) in wire.provenances() {
            if age > MAX_AGE_MS || hops > MAX_HOPS {
                return Err(MergeError::OutOfRange);
            }
            ages_by_observer.entry(origin.observer).or_default().push((origin.seq, age));
        }
        // [`Reading::from_ratio`] limits a ratio to 1000.
        if wire.readings().any(|r| r.0 > 1_000_000) {
            return Err(MergeError::OutOfRange);
        }
    }
    for mut ages in ages_by_observer.into_values() {
        ages.sort_unstable();
        if ages.windows(2).any(|w| w[0].0 < w[1].0 && w[1].1 > w[0].1.saturating_add(AGE_TOLERANCE_MS)) {
            return Err(MergeError::InconsistentAges);
        }
    }
    Ok(())
}

/// Tolerance when comparing ages of one observer's observations, which may have arrived over routes with different
/// delays.
const AGE_TOLERANCE_MS: u32 = 2_000;

/// Drops observations that this front made itself and receives back: they confirm nothing.
pub(crate) fn without_own(observations: &ServerObservations, instance: u64) -> ServerObservations {
    fn other<T: Copy>(slot: Option<Versioned<T>>, instance: u64) -> Option<Versioned<T>> {
        slot.filter(|o| o.provenance.origin.observer.instance != instance)
    }
    ServerObservations {
        // States that this front observed before a restart are in its persisted server list.
        state: other(observations.state, instance),
        start: observations.start,
        health: other(observations.health, instance),
        link_load: other(observations.link_load, instance),
        uplink_load: other(observations.uplink_load, instance),
        delivered_share: other(observations.delivered_share, instance),
    }
}
