//! The command channel: numbered events that change the list of video servers.

mod directory;

use cloverhollow_session::MAX_SERVERS;
pub use directory::ServerDirectory;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// One event, as it was told.
#[derive(Clone, Debug, Deserialize)]
pub struct ChannelUpdate {
    /// Its number.
    pub cursor: u64,
    nodes: Option<Nodes>,
}

#[derive(Clone, Debug, Deserialize)]
struct Nodes {
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
    #[serde(default)]
    group: u64,
    status: Status,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    since_ms: u64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    InService,
    Terminating,
    Terminated,
}

/// A server's weight and group may be this at most, so that what is reckoned with them stays a number.
const MOST_WEIGHT: f64 = 1e9;
/// See above.
const MOST_GROUP: u64 = 1 << 40;

/// Why an event can't be used. The channel is asked again, from the last one that could.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum ChannelError {
    #[error("no event: {0}")]
    Syntax(String),
    #[error("event {cursor}: {problem}")]
    InvalidUpdate { cursor: u64, problem: String },
    #[error("event {cursor} after {last_cursor}")]
    Gap { cursor: u64, last_cursor: u64 },
    #[error("event {cursor}: more than {MAX_SERVERS} servers")]
    TooManyServers { cursor: u64 },
    #[error("event {cursor}: the weight of server `{name}` is not over 0 and up to {MOST_WEIGHT}")]
    Weight { cursor: u64, name: String },
    #[error("event {cursor}: the group of server `{name}` is over {MOST_GROUP}")]
    Group { cursor: u64, name: String },
}

/// As much of an event as its number.
#[derive(Deserialize)]
struct Numbered {
    cursor: u64,
}

#[derive(Deserialize)]
struct Known {
    #[serde(default)]
    cmds: Vec<ChannelUpdate>,
}

impl ServerDirectory {
    /// The events that the configuration holds.
    ///
    /// # Errors
    /// They can't be read.
    pub fn parse_initial(value: Value) -> Result<Vec<ChannelUpdate>, ChannelError> {
        let known: Known = serde_json::from_value(value).map_err(|e| ChannelError::Syntax(e.to_string()))?;
        Ok(known.cmds)
    }

    /// Reads the data of one event of the stream.
    ///
    /// # Errors
    /// It can't be read.
    pub fn parse_update(data: &str) -> Result<ChannelUpdate, ChannelError> {
        serde_json::from_str(data).map_err(|e| match serde_json::from_str(data) {
            Ok(Numbered { cursor }) => ChannelError::InvalidUpdate { cursor, problem: e.to_string() },
            Err(_) => ChannelError::Syntax(e.to_string()),
        })
    }
}
