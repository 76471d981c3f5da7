//! Command channel: numbered events that change the list of video servers.

mod directory;

use cloverhollow_session::MAX_SERVERS;
pub use directory::ServerDirectory;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// One event of the command channel, as received.
#[derive(Clone, Debug, Deserialize)]
pub struct ChannelUpdate {
    /// Sequence number of the event.
    pub cursor: u64,
    /// Change of the server list; `None` if the event does not concern it.
    nodes: Option<Nodes>,
}

#[derive(Clone, Debug, Deserialize)]
struct Nodes {
    /// True if `endpoints` are all servers, false if only those that changed.
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

#[derive(Clone, Debug, Deserialize)]
struct Endpoint {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    /// Cell of the server.
    #[serde(default)]
    group: u64,
    status: Status,
    #[serde(default = "default_weight")]
    weight: f64,
    /// Unix time at which the server's process started, ms; 0 if unknown.
    #[serde(default)]
    since_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    InService,
    /// Finishes its sessions and accepts no new ones.
    Terminating,
    /// Removed from the list.
    Terminated,
}

/// Upper bound of a server's weight; keeps sums and products of weights finite.
const MAX_WEIGHT: f64 = 1e9;
/// Upper bound of a server's group; keeps arithmetic on groups from overflowing.
const MAX_GROUP: u64 = 1 << 40;

/// Reason why an event is rejected. The stream is then requested again from the last event that was applied.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the error messages document the variants
pub enum ChannelError {
    #[error("malformed event: {0}")]
    Syntax(String),
    #[error("event {cursor}: {problem}")]
    InvalidUpdate { cursor: u64, problem: String },
    #[error("event {cursor} after {last_cursor}")]
    Gap { cursor: u64, last_cursor: u64 },
    #[error("event {cursor}: more than {MAX_SERVERS} servers")]
    TooManyServers { cursor: u64 },
    #[error("event {cursor}: the weight of server `{name}` is not above 0 and at most {MAX_WEIGHT}")]
    Weight { cursor: u64, name: String },
    #[error("event {cursor}: the group of server `{name}` is above {MAX_GROUP}")]
    Group { cursor: u64, name: String },
}

/// The sequence number alone, read from an event whose other fields are invalid.
#[derive(Deserialize)]
struct CursorOnly {
    cursor: u64,
}

/// Value of the configuration's field `known`.
#[derive(Deserialize)]
struct InitialUpdates {
    #[serde(default)]
    cmds: Vec<ChannelUpdate>,
}

impl ServerDirectory {
    /// Parses the events that the configuration contains (its field `known`).
    ///
    /// # Errors
    /// The value is malformed.
    pub fn parse_initial(value: Value) -> Result<Vec<ChannelUpdate>, ChannelError> {
        let initial: InitialUpdates =
            serde_json::from_value(value).map_err(|e| ChannelError::Syntax(e.to_string()))?;
        Ok(initial.cmds)
    }

    /// Parses the data of one event of the stream.
    ///
    /// # Errors
    /// The event is malformed.
    pub fn parse_update(data: &str) -> Result<ChannelUpdate, ChannelError> {
        serde_json::from_str(data).map_err(|e| match serde_json::from_str(data) {
            Ok(CursorOnly { cursor }) => ChannelError::InvalidUpdate { cursor, problem: e.to_string() },
            Err(_) => ChannelError::Syntax(e.to_string()),
        })
    }
}
