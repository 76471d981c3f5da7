//! A live session handed on to another front, no word lost: protocol state without I/O.
//!
//! The giver holds the session; the taker is a front of the neighbouring hall. Messages may be lost, doubled and late. As in
//! `cloverhollow-moves`, from which the [`Epoch`] is: each step carries an epoch that only rises; words are numbered and owed until
//! they are confirmed. Who may be wrong about whom is in `docs/changes.md`.

mod types;

pub use cloverhollow_moves::Epoch;
pub use types::*;
