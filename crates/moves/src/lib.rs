//! Moving a session between servers without a gap: prepare at the target, switch at an object boundary, release at
//! the source.
//!
//! [`MoveCoordinator`] is the front's side, one for each session that may be moved; [`MoveParticipant`] is a server's
//! side, one for each process and session. Neither has I/O or a clock: inputs are arguments, and the actions to take
//! are returned. Messages may be lost, duplicated and delayed. Three rules make the protocol safe against that:
//!
//! - each step carries an [`Epoch`] that only rises; a repeated or late step has no effect;
//! - each message is addressed to one [`Incarnation`] of a server: a message for an earlier process has no effect on
//!   its successor, and a late notice of a process's death says nothing about its successor;
//! - an unconfirmed release stays pending until the server confirms it or its process is known to be dead.
//!
//! Media data passes through the front, which alone decides the server that a session plays from
//! ([`MoveCoordinator::playing_process`]): there is one at a time. `tests/model.rs` checks all interleavings.

mod coordinator;
mod events;
mod participant;
mod pending_releases;
mod types;

pub use coordinator::MoveCoordinator;
pub use events::{Input, Output, Stage};
pub use participant::MoveParticipant;
pub use pending_releases::PendingReleases;
pub use types::{Answer, Epoch, Incarnation, Message, Request, ServerId, ServerProcess};
