//! What fronts know of servers: kept as pieces with their age and origin, merged by a lattice, exchanged
//! between fronts. No I/O and no wall clock: times are each front's own, and a piece travels with its age.
//!
//! - [`facts`]: the pieces and how two of them join.
//! - [`Book`]: one front's own pieces and those it heard; [`BookView`] is a snapshot that readers take
//!   without blocking the book's owner.
//! - [`wire`]: messages between fronts, with version and checksum.
//! - [`Warmer`]: whom a front that starts asks, when, and when it counts as warm.
//! - [`Feeds`]: how many warm starts a front feeds at a time.

pub mod observations;
mod store;
mod transfers;
mod warm_start;
pub mod wire;

pub use store::{
    KnowledgeStore, KnowledgeView, MergeError, MergeOutcome, ServerUpdate, MAX_HOPS, MAX_PEERS, MAX_SERVERS,
};
pub use transfers::{KnowledgeTransfers, RetainedMessage, TransferRefused};
pub use warm_start::{KnowledgeLevel, LevelReason, PeerRequest, WarmStart, WarmStartConfig};
