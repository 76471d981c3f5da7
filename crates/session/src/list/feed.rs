//! Messages of the discovery stream and their order.

use super::{ServerEntry, MAX_SERVERS};
use cloverhollow::ListMode;
use serde::{Deserialize, Serialize};

/// Scope of a discovery message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MessageKind {
    /// The complete list. A server that is not in it is gone.
    Whole,
    /// Servers that changed since version [`ListMessage::after`].
    Patch,
}

/// A discovery message: the data of one event of the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListMessage {
    /// Scope of the message.
    pub kind: MessageKind,
    /// Version of the list after the message is applied.
    pub version: u64,
    /// Version of the list that a patch applies to. Unused in a full list.
    #[serde(default)]
    pub after: u64,
    /// Servers in the message.
    pub servers: Vec<ServerEntry>,
}

/// A validated update of the server list, in order and without gaps.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// Relation of the entries to the list before the update.
    pub mode: ListMode,
    /// Version of the list after the update.
    pub version: u64,
    /// Servers in the update.
    pub entries: Vec<ServerEntry>,
}

impl ListUpdate {
    /// Update that reports an unavailable or broken stream. The list stays as it was.
    pub fn broken() -> Self {
        ListUpdate { mode: ListMode::Failed, version: 0, entries: Vec::new() }
    }
}

/// Reason for rejecting a discovery message. The stream is then requested again from the start.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum FeedError {
    /// A patch applies to another version than the last one received.
    #[error("patch applies to version {after}, last version received: {known:?}")]
    Gap {
        /// Version that the patch applies to.
        after: u64,
        /// Last version received on this stream, if any.
        known: Option<u64>,
    },
    /// A patch leads to a version that is not newer than the last one.
    #[error("version {version} is not newer than version {known}")]
    Backwards {
        /// Version that the patch leads to.
        version: u64,
        /// Last version received on this stream.
        known: u64,
    },
    /// The message names too many servers.
    #[error("more than {MAX_SERVERS} servers")]
    TooMany,
    /// A server's weight is not a positive finite number.
    #[error("server weight is not a positive number")]
    InvalidWeight,
    /// The data is not a discovery message.
    #[error("malformed discovery message: {0}")]
    Syntax(String),
}

/// Decoder for the messages of one discovery stream, which checks their order.
///
/// Each new stream needs a new feed, and begins with a full list, so patches of two streams never mix.
#[derive(Debug, Default)]
pub struct Feed {
    /// Version of the last message; `None` before the first one.
    last_version: Option<u64>,
}

impl Feed {
    /// Decodes the data of one event.
    ///
    /// # Errors
    /// The message is malformed or out of order.
    pub fn read(&mut self, data: &str) -> Result<ListUpdate, FeedError> {
        let message: ListMessage =
            serde_json::from_str(data).map_err(|e| FeedError::Syntax(e.to_string()))?;
        if message.servers.len() > MAX_SERVERS {
            return Err(FeedError::TooMany);
        }
        if message.servers.iter().any(|s| !s.weight.is_finite() || s.weight <= 0.0) {
            return Err(FeedError::InvalidWeight);
        }
        let mode = match (message.kind, self.last_version) {
            (MessageKind::Whole, _) => ListMode::Full,
            (MessageKind::Patch, Some(known)) if known == message.after => ListMode::Patch,
            (MessageKind::Patch, known) => return Err(FeedError::Gap { after: message.after, known }),
        };
        if let Some(known) = self.last_version.filter(|k| message.version <= *k && mode == ListMode::Patch) {
            return Err(FeedError::Backwards { version: message.version, known });
        }
        self.last_version = Some(message.version);
        Ok(ListUpdate { mode, version: message.version, entries: message.servers })
    }
}
