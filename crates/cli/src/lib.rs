//! Parts shared by the command `cloverhollow` and the fronts of crate `lab`: log options and a front as a process.

mod daemon;
mod logs;

pub use daemon::{serve, Serve, ServeError};
pub use logs::{LogForm, Logs};
