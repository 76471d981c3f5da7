//! The session core: one state machine for every front, without any I/O.
//!
//! A shell (sockets, or a simulation in virtual time) reports what happened as [`Input`]s, with the time as
//! an argument, and carries out the [`Command`]s that come back. In between, the core turns inputs into
//! events of the decision module ([`Policy`]), has it decide, and turns its actions into commands. The core
//! itself decides neither server nor rung nor whether to try again; what it keeps is what is *proven*:
//! which attempts were never sent, which may have run, who still waits for an answer.
//!
//! The way of a request: [`arrival::read`] maps hints and path to an [`Arrival`]; [`Core::step`] reports it
//! as a call; the module's `Send` becomes [`Command::Send`]; the shell's word on it becomes the attempt's
//! outcome; [`Command::Answer`] goes to whoever waits.

pub mod arrival;
mod broken;
mod core;
mod gauge;
mod held;
mod learn;
mod list;
mod lives;
mod policy;
mod routes;
mod stats;
mod terms;
mod timers;
mod types;

pub use crate::core::{Core, Tap};
pub use broken::{enforce, Broken, BROKEN_EXIT};
/// A name as a number, equal on all fronts.
pub use cloverhollow_settings::title_id;
pub use gauge::Gauge;
pub use learn::Shelf;
pub use list::{
    Feed, FeedError, ListMessage, ListNews, MessageKind, SavedList, ServerEntry, ServerList, WireState,
};
pub use list::{MOST_MESSAGE_BYTES, MOST_SERVERS};
pub use policy::Policy;
pub use routes::{Route, Routes};
pub use stats::Stats;
pub use terms::{ClassTerms, MemoryTerms, Terms};
pub use types::*;
