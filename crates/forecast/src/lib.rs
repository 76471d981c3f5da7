//! What a layout costs before the fronts take it.
//!
//! A [`Layout`] says what lies where; a [`Demand`] what the fronts recorded. The decision module itself plays the one against the
//! other in virtual time; a flow bounds what any routing could serve. Nothing here is a rule: a forecast that is wrong halts a
//! release, and the six rules are kept without it (`docs/changes.md`).

mod types;

pub use types::*;
