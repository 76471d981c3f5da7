//! NODE_CONFIG: what the platform tells a session manager at its start, and again when it changes.

use crate::channel::{ChannelUpdate, ServerDirectory};
use crate::settings::{self, SiteSettings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// What a process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ResourceLimits {
    /// Most file descriptors.
    pub sockets: usize,
}

#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: ResourceLimits,
    channel: SocketAddr,
    known: Value,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    settings: Value,
}

/// A configuration that was read whole.
#[derive(Debug)]
pub struct Config {
    /// Name of the instance.
    pub name: String,
    /// Where viewers connect.
    pub listen: SocketAddr,
    /// Of the decisions' random numbers.
    pub seed: u64,
    /// What the process may use.
    pub limits: ResourceLimits,
    /// Where the command channel is.
    pub channel: SocketAddr,
    /// What the command channel has told before the start.
    pub initial_updates: Vec<ChannelUpdate>,
    /// Where the other session managers' datagrams arrive; `None` where the settings allow none.
    pub peer_listen: Option<SocketAddr>,
    /// Where theirs arrive, by their numbers, the own among them.
    pub peers: Vec<SocketAddr>,
    /// The settings.
    pub site: SiteSettings,
}

/// Why a configuration can't be used: the field, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct ConfigError {
    /// Which field; `file` for all of it.
    pub field: String,
    /// What is wrong, and what is allowed.
    pub problem: String,
}

/// Fewest descriptors that a session manager can work with: its own files, and a few connections of each kind.
const FEWEST_SOCKETS: usize = 64;

/// Reads a configuration.
///
/// # Errors
/// Its first fault.
pub fn read(text: &str) -> Result<Config, ConfigError> {
    let fault = |field: &str, what: String| ConfigError { field: field.to_owned(), problem: what };
    let mut json = serde_json::Deserializer::from_str(text);
    let raw: Raw = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        fault(if matches!(&*path, "." | "?") { "file" } else { &path }, e.inner().to_string())
    })?;
    json.end().map_err(|e| fault("file", e.to_string()))?;
    let hex = raw.seed.bytes().all(|b| b.is_ascii_hexdigit()); // a sign would be read too
    let seed = u64::from_str_radix(&raw.seed, 16).ok().filter(|_| hex);
    let seed = seed.ok_or_else(|| fault("seed", format!("`{}` is not 1 to 16 hex digits", raw.seed)))?;
    if raw.limits.sockets < FEWEST_SOCKETS {
        let what = format!("{} is not {FEWEST_SOCKETS} or more", raw.limits.sockets);
        return Err(fault("limits.sockets", what));
    }
    let site = settings::read(raw.settings).map_err(|e| fault("settings", e))?;
    let s = &site.settings;
    if s.classes.is_empty() || s.ladder.is_empty() {
        return Err(fault("settings", "at least one of `grades` and of `domain.level-kb` is needed".into()));
    }
    let known = ServerDirectory::parse_initial(raw.known).map_err(|e| fault("known", e.to_string()))?;
    // What the first list is made of has to be usable, as each event is later.
    let mut list = ServerDirectory::default();
    for told in &known {
        list.apply(told.clone(), 0).map_err(|e| fault("known", e.to_string()))?;
    }
    let (name, listen, limits, channel) = (raw.name, raw.listen, raw.limits, raw.channel);
    let (peer_listen, peers) = (raw.peer_listen.filter(|_| site.peer_datagrams), raw.peers);
    Ok(Config { name, listen, seed, limits, channel, initial_updates: known, peer_listen, peers, site })
}
