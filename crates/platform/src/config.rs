//! `NODE_CONFIG`: the configuration that the platform gives a session manager at its start, and again when it changes.

use crate::channel::{ChannelUpdate, ServerDirectory};
use crate::settings::{self, SiteSettings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ResourceLimits {
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Maximum memory, MB (1,048,576 bytes). `None` if it is not limited.
    pub memory_mb: Option<u64>,
}

/// The configuration as written, before validation.
#[derive(Deserialize)]
struct RawConfig {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: ResourceLimits,
    channel: SocketAddr,
    /// Events of the command channel up to the start of the process.
    known: Value,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    settings: Value,
}

/// A valid configuration.
#[derive(Debug)]
pub struct Config {
    /// Name of the instance.
    pub name: String,
    /// Address on which viewers connect.
    pub listen: SocketAddr,
    /// Seed of the random numbers that decisions use.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: ResourceLimits,
    /// Address of the command channel.
    pub channel: SocketAddr,
    /// Events of the command channel up to the start of the process.
    pub initial_updates: Vec<ChannelUpdate>,
    /// Address on which datagrams of other session managers arrive; `None` if the settings do not allow them.
    pub peer_listen: Option<SocketAddr>,
    /// Datagram addresses of all session managers, ordered by their index, including this one.
    pub peers: Vec<SocketAddr>,
    /// Settings of the instance.
    pub site: SiteSettings,
}

/// Reason why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct ConfigError {
    /// Path of the invalid field; `file` for the file as a whole.
    pub field: String,
    /// Description of the problem and of the allowed values.
    pub problem: String,
}

/// Minimum number of file descriptors: the process's own files and a few connections of each kind.
const MIN_SOCKETS: usize = 64;

/// Parses and validates a configuration.
///
/// # Errors
/// The first problem that is found.
pub fn read(text: &str) -> Result<Config, ConfigError> {
    let error = |field: &str, problem: String| ConfigError { field: field.to_owned(), problem };
    let mut json = serde_json::Deserializer::from_str(text);
    let raw: RawConfig = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        error(if matches!(&*path, "." | "?") { "file" } else { &path }, e.inner().to_string())
    })?;
    json.end().map_err(|e| error("file", e.to_string()))?;
    let hex = raw.seed.bytes().all(|b| b.is_ascii_hexdigit()); // from_str_radix also accepts a sign
    let seed = u64::from_str_radix(&raw.seed, 16).ok().filter(|_| hex);
    let seed = seed.ok_or_else(|| error("seed", format!("`{}` is not 1 to 16 hex digits", raw.seed)))?;
    if raw.limits.sockets < MIN_SOCKETS {
        let problem = format!("{} is not {MIN_SOCKETS} or more", raw.limits.sockets);
        return Err(error("limits.sockets", problem));
    }
    let site = settings::read(raw.settings).map_err(|e| error("settings", e))?;
    let s = &site.settings;
    if s.classes.is_empty() || s.ladder.is_empty() {
        return Err(error("settings", "at least one of `grades` and of `domain.level-kb` is needed".into()));
    }
    let initial_updates =
        ServerDirectory::parse_initial(raw.known).map_err(|e| error("known", e.to_string()))?;
    // The initial events are checked here in the same way as later ones when they arrive.
    let mut directory = ServerDirectory::default();
    for update in &initial_updates {
        directory.apply(update.clone(), 0).map_err(|e| error("known", e.to_string()))?;
    }
    let (name, listen, limits, channel) = (raw.name, raw.listen, raw.limits, raw.channel);
    let (peer_listen, peers) = (raw.peer_listen.filter(|_| site.peer_datagrams), raw.peers);
    Ok(Config { name, listen, seed, limits, channel, initial_updates, peer_listen, peers, site })
}
