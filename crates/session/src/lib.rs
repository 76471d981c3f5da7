//! Session core of a front: one state machine for all its sessions, without I/O.
//!
//! The caller (sockets, or a simulation in virtual time) reports events as [`Input`]s, with the current time as an
//! argument, and carries out the [`Command`]s that are returned. In between, the core translates inputs to events of
//! the [`Policy`], runs the policy, and translates its actions to commands. The core itself chooses neither server
//! nor rung and does not decide on retries. It tracks what is *proven*: which attempts were never sent, which ones
//! may have been executed by a server, and which viewers still wait for an answer.
//!
//! A request takes these steps: [`arrival::read`] translates hints and path to an [`Arrival`]; [`Core::step`] passes
//! it to the policy as a session request; the policy's `Send` action becomes [`Command::Send`]; the caller's report
//! on the attempt becomes its outcome; [`Command::Answer`] goes to each waiting viewer.
//!
//! Comments refer to these rules by number:
//!
//! 1. Each request gets exactly one answer by its deadline.
//! 2. A session has at most one pending attempt, and a paid session that a server may have executed is never set up
//!    again.
//! 3. No set-up is sent to a server after this front has learned that the server accepts no new sessions.
//! 4. A cold server, that is one that has just started, is not sent more set-ups at once than it can take.
//! 5. A session's rung and the number of sessions of one title stay within the limits of the class.
//! 6. Retries stay within the retry budget, across restarts of the front too.

pub mod arrival;
mod config;
mod core;
mod history;
mod invariants;
mod knowledge;
mod list;
mod policy;
mod report_throttle;
mod routes;
mod session_state;
mod stats;
mod timers;
mod types;

pub use crate::core::{Core, StepObserver};
/// Hash of a name, equal on all fronts.
pub use cloverhollow_settings::title_id;
pub use config::{ClassConfig, CoreConfig, PersistenceConfig};
pub use invariants::{invariants_hold, InvariantViolation, INVARIANT_EXIT_CODE};
pub use knowledge::SnapshotCell;
pub use list::{
    Feed, FeedError, ListMessage, ListUpdate, MessageKind, SavedList, ServerEntry, ServerList, WireState,
};
pub use list::{MAX_MESSAGE_BYTES, MAX_SERVERS};
pub use policy::Policy;
pub use report_throttle::ReportThrottle;
pub use routes::{Route, Routes};
pub use stats::Stats;
pub use types::*;
