//! Moving a session between servers without a gap: prepare at the target, hand over at an object boundary, release
//! at the source.
//!
//! [`Mover`] is the front's side, one for each session that may be moved; [`Holder`] is a server's side, one for
//! each process. Neither has I/O or a clock: what came in is an argument, what to do comes back. Messages may be
//! lost, doubled and late. Three things make that harmless:
//!
//! - each step carries an [`Epoch`] that only rises; a repeated or late step does nothing;
//! - each message is for one [`Incarnation`] of a server: what was meant for a process that is gone does nothing
//!   to the next one, and a late word that a server died says nothing of the one that came after it;
//! - a release that nobody confirmed is owed until the server confirms it or is known to be gone.
//!
//! Bytes pass through the front, so it alone says which server a session plays from ([`Mover::playing`]): there is
//! one at a time. `tests/model.rs` checks all interleavings.

mod holder;
mod mover;
mod pending_releases;
mod types;

pub use holder::Holder;
pub use mover::{Input, Mover, Output, Stage};
pub use pending_releases::PendingReleases;
pub use types::{Answer, Ask, Epoch, Incarnation, Place, Server, Word};
