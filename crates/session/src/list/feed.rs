//! Discovery's messages and their order.

use super::{ServerEntry, MOST_SERVERS};
use cloverhollow::ListMode;
use serde::{Deserialize, Serialize};

/// What a message holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MessageKind {
    /// All servers; what is missing is gone.
    Whole,
    /// Servers that changed since version `after`.
    Patch,
}

/// A message of discovery: the data of one event of its stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListMessage {
    /// What it holds.
    pub kind: MessageKind,
    /// Version of the list that it leads to.
    pub version: u64,
    /// Version that a patch goes out from.
    #[serde(default)]
    pub after: u64,
    /// The servers.
    pub servers: Vec<ServerEntry>,
}

/// News as the core takes it, in order and without gaps.
#[derive(Clone, Debug, PartialEq)]
pub struct ListNews {
    /// How the entries are to be read.
    pub mode: ListMode,
    /// Version of the list.
    pub version: u64,
    /// The entries.
    pub entries: Vec<ServerEntry>,
}

impl ListNews {
    /// The stream broke or could not be had: the list stays as it was.
    pub fn broken() -> Self {
        ListNews { mode: ListMode::Failed, version: 0, entries: Vec::new() }
    }
}

/// Why a message cannot be used. The stream is asked for again, from the start.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[allow(missing_docs)] // the messages say it
pub enum FeedError {
    #[error("a patch after version {after}, and {known:?} is known")]
    Gap { after: u64, known: Option<u64> },
    #[error("version {version} after {known}")]
    Backwards { version: u64, known: u64 },
    #[error("more than {MOST_SERVERS} servers")]
    TooMany,
    #[error("a server with a weight that is no positive number")]
    Weight,
    #[error("not a message: {0}")]
    Syntax(String),
}

/// Puts messages of one stream in order. A stream that is asked for anew gets a new feed, which begins with
/// a whole list: patches of two streams never mix.
#[derive(Debug, Default)]
pub struct Feed {
    known: Option<u64>,
}

impl Feed {
    /// Reads the data of one event.
    ///
    /// # Errors
    /// It is malformed, or out of order.
    pub fn read(&mut self, data: &str) -> Result<ListNews, FeedError> {
        let message: ListMessage =
            serde_json::from_str(data).map_err(|e| FeedError::Syntax(e.to_string()))?;
        if message.servers.len() > MOST_SERVERS {
            return Err(FeedError::TooMany);
        }
        if message.servers.iter().any(|s| !s.weight.is_finite() || s.weight <= 0.0) {
            return Err(FeedError::Weight);
        }
        let mode = match (message.kind, self.known) {
            (MessageKind::Whole, _) => ListMode::Full,
            (MessageKind::Patch, Some(known)) if known == message.after => ListMode::Patch,
            (MessageKind::Patch, known) => return Err(FeedError::Gap { after: message.after, known }),
        };
        if let Some(known) = self.known.filter(|k| message.version <= *k && mode == ListMode::Patch) {
            return Err(FeedError::Backwards { version: message.version, known });
        }
        self.known = Some(message.version);
        Ok(ListNews { mode, version: message.version, entries: message.servers })
    }
}
