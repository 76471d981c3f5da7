//! What the command `cloverhollow` and the laboratory's fronts share: logs, and a front as a process.

mod daemon;
mod logs;

pub use daemon::{serve, Serve, ServeError};
pub use logs::{LogForm, Logs};
