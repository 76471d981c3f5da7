//! What is kept of the list for the next start.

use super::{FeedError, ListNews, ServerEntry, MOST_SERVERS};
use cloverhollow::ListMode;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The last list as it is kept on disk: the stale copy of the next start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedList {
    /// Version of this format.
    pub format: u32,
    /// Version of the list.
    pub version: u64,
    /// All servers, ages as of the saving.
    pub servers: Vec<ServerEntry>,
}

impl SavedList {
    /// The format that this program writes and reads.
    pub const FORMAT: u32 = 1;

    /// Reads a file's text.
    ///
    /// # Errors
    /// In words, why it cannot be trusted; the file is then set aside.
    pub fn read(text: &str) -> Result<SavedList, String> {
        let saved: SavedList = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if saved.format != Self::FORMAT {
            return Err(format!("format {} and not {}", saved.format, Self::FORMAT));
        }
        if saved.servers.len() > MOST_SERVERS {
            return Err(FeedError::TooMany.to_string());
        }
        Ok(saved)
    }

    /// As news at a start. How long ago it was saved is not known (clocks jump): a server that was cold when
    /// it was saved counts as started now, the careful way; the next list tells better.
    pub fn news(mut self, cold: Duration) -> ListNews {
        for s in &mut self.servers {
            s.started_ms_ago = s.started_ms_ago.filter(|ms| Duration::from_millis(*ms) < cold).map(|_| 0);
        }
        ListNews { mode: ListMode::Stale, version: self.version, entries: self.servers }
    }
}
