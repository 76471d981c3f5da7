//! Media hints between players, fronts and servers (CMCD and CMSD), without any I/O.
//!
//! - [`cmcd`]: Common Media Client Data (CTA-5004): version 1 complete; of version 2 the keys about the state
//!   of a session, and the event and response reports.
//! - [`cmsd`]: Common Media Server Data (CTA-5006), read and written as structured fields (RFC 9651).
//!
//! An unusable hint never fails a request: it alone is dropped and counted in [`Faults`].

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
