//! Hints between players, fronts and servers, without any I/O.
//!
//! - [`cmcd`]: Common Media Client Data (CTA-5004, version 1 whole; of version 2 the keys that tell a
//!   session's life, and the event and response reports).
//! - [`cmsd`]: Common Media Server Data (CTA-5006), read and written as structured fields (RFC 9651).
//!
//! Unusable hints never fail a read: each is dropped alone and counted in [`Faults`].

mod faults;
mod keys;
mod scan;

pub mod cmcd;
pub mod cmsd;
mod reconcile;
mod write;

pub use faults::{Fault, Faults};
pub use keys::{Group, Key};
pub use reconcile::{reconcile, Contradiction, Contradictions};
