//! What a layout costs before the fronts take it.
//!
//! A [`Layout`] says what lies where; a [`Demand`] what the fronts recorded. The decision module itself plays
//! the one against the other in virtual time; a flow bounds what any routing could serve. Nothing here is a
//! rule: a forecast that is wrong halts a release, and the six rules are kept without it (`docs/changes.md`).

pub mod bound;
mod came;
mod cast;
mod course;
pub mod demand;
mod figures;
mod follow;
mod help;
pub mod layout;
pub mod learn;
mod play;
mod recorder;
mod types;
mod upsets;
mod verdict;
pub mod wanted;
mod world;

pub use came::Came;
pub use demand::{Judged, Unfit};
pub use figures::{Days, Fault, Plan, Scene, MOST_PLAYS};
pub use layout::{between, BadLayout};
pub use learn::{BrokenRecord, Compared, Record, Said};
pub use play::{play, Manner, Stage};
pub use recorder::{BrokenRecorder, Line, Recorder};
pub use types::*;
pub use verdict::{assess, Asking, Bars, MOST_STEPS};
pub use world::BrokenWorld;
