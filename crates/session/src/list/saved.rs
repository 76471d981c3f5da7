//! Copy of the server list that is persisted for the next start.

use super::{FeedError, ListUpdate, ServerEntry, MAX_SERVERS};
use cloverhollow::ListMode;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Persisted copy of the last server list. The next incarnation starts with it as a stale list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedList {
    /// Version of the storage format.
    pub format: u32,
    /// Version of the list.
    pub version: u64,
    /// All servers, with their ages as of the time of saving.
    pub servers: Vec<ServerEntry>,
}

impl SavedList {
    /// Version of the storage format that this program writes and reads.
    pub const FORMAT: u32 = 1;

    /// Parses the text of a persisted list.
    ///
    /// # Errors
    /// Description of the reason for which the text cannot be used. The caller then sets the copy aside.
    pub fn read(text: &str) -> Result<SavedList, String> {
        let saved: SavedList = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if saved.format != Self::FORMAT {
            return Err(format!("storage format is {}, expected {}", saved.format, Self::FORMAT));
        }
        if saved.servers.len() > MAX_SERVERS {
            return Err(FeedError::TooMany.to_string());
        }
        Ok(saved)
    }

    /// Converts this copy to the update that is applied at a start. A server younger than `cold` when it was saved
    /// counts as started now.
    ///
    /// The time since the saving is unknown because clocks may jump, so the youngest possible age is assumed. The
    /// next list from discovery replaces it.
    pub fn into_update(mut self, cold: Duration) -> ListUpdate {
        for s in &mut self.servers {
            s.started_ms_ago = s.started_ms_ago.filter(|ms| Duration::from_millis(*ms) < cold).map(|_| 0);
        }
        ListUpdate { mode: ListMode::Stale, version: self.version, entries: self.servers }
    }
}
