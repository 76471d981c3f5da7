//! Fronts' knowledge about servers: versioned observations with age and origin, merged as a lattice and exchanged
//! between fronts. Without I/O and without a wall clock: times are on each front's own clock, and an observation
//! is sent with its age.
//!
//! - [`observations`]: the observations and their join.
//! - [`KnowledgeStore`]: observations made by this front and observations received from peers;
//!   [`KnowledgeView`] is a snapshot that readers use without blocking the store's owner.
//! - [`wire`]: messages between fronts, with format version and checksum.
//! - [`WarmStart`]: requests to peers after a start, and the decision when the front is warm.
//! - [`KnowledgeTransfers`]: limit on concurrent transfers to peers, and messages retained for resumption.

mod level;
mod merge;
pub mod observations;
mod provenance;
mod store;
mod transfers;
mod view;
mod warm_start;
pub mod wire;

pub use level::{KnowledgeLevel, LevelReason};
pub use merge::{MergeError, MergeOutcome, ServerUpdate};
pub use store::{KnowledgeStore, MAX_HOPS, MAX_PEERS, MAX_SERVERS};
pub use transfers::{KnowledgeTransfers, RetainedMessage, TransferRefused};
pub use view::KnowledgeView;
pub use warm_start::{PeerRequest, WarmStart, WarmStartConfig};
