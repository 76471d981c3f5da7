//! Errors at the start of a front.

use std::net::SocketAddr;

/// Reason why a front did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("{field} {address}: {source}")]
    Listen {
        /// Settings field that holds the address.
        field: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A key for the members' datagrams cannot be used.
    #[error("members.keys {file}: {reason}")]
    InvalidKey {
        /// Path of the key file.
        file: String,
        /// Description of the problem.
        reason: String,
    },
    /// Another process of this front is running. Two processes would each spend the whole of every budget.
    #[error("keep.file: {0}")]
    AlreadyRunning(#[from] cloverhollow_store::LogFileError),
}
